//! Concurrent operator sessions over a store that loses replies, delays writes and is unreachable.

use crate::model_store::ModelStore;
use crate::sample;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::BTreeMap;
use thornbridge_config::approval::{SigningKey, TrustedKey};
use thornbridge_config::objects::{
    PublishedBundle, Rollout, RolloutHistory, RolloutHold, RolloutOrigin,
};
use thornbridge_core::operator::{
    OperatorCommand, OperatorErrorKind, OperatorOutcome, OperatorSession, OperatorStep,
    RolloutRequest,
};
use thornbridge_proto::platform::{ObjectKind, PlatformFailure, PlatformRequest};
use thornbridge_proto::{ChangeId, Generation};

const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

/// Fault of one request.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    None,
    Unreachable,
    /// The request is lost.
    RequestLost,
    /// The request is executed, and its reply is lost.
    ReplyLost,
    /// The session gets no reply, and the request is executed later.
    Delayed,
}

#[derive(Clone, Debug)]
pub enum Transition {
    Begin(Command),
    Step { session: usize, fault: Fault },
    Crash { session: usize },
    Deliver { delayed: usize },
}

#[derive(Clone, Debug)]
pub enum Command {
    Start { version: usize, automation: bool },
    Rollback { automation: bool },
    Hold,
    Release,
}

/// Reference state: the number of sessions. The oracle is the log of writes of the store.
#[derive(Clone, Debug, Default)]
pub struct SessionCount(usize);

impl ReferenceStateMachine for SessionCount {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Transition> {
        let begin = command().prop_map(Transition::Begin);
        if state.0 == 0 {
            return begin.boxed();
        }
        let sessions = state.0;
        prop_oneof![
            2 => begin,
            40 => (sessions.saturating_sub(4)..sessions, fault()).prop_map(|(session, fault)| Transition::Step { session, fault }),
            1 => (0..sessions).prop_map(|session| Transition::Crash { session }),
            1 => (0..4_usize).prop_map(|delayed| Transition::Deliver { delayed }),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, transition: &Transition) -> bool {
        match transition {
            Transition::Step { session, .. } | Transition::Crash { session } => *session < state.0,
            Transition::Begin(_) | Transition::Deliver { .. } => true,
        }
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        if matches!(transition, Transition::Begin(_)) {
            state.0 += 1;
        }
        state
    }
}

fn command() -> impl Strategy<Value = Command> {
    prop_oneof![
        6 => (0..VERSIONS.len(), any::<bool>())
            .prop_map(|(version, automation)| Command::Start { version, automation }),
        2 => any::<bool>().prop_map(|automation| Command::Rollback { automation }),
        1 => Just(Command::Hold),
        1 => Just(Command::Release),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => Just(Fault::None),
        1 => Just(Fault::Unreachable),
        1 => Just(Fault::RequestLost),
        2 => Just(Fault::ReplyLost),
        1 => Just(Fault::Delayed),
    ]
}

#[derive(Clone, Debug)]
struct RunningSession {
    session: OperatorSession,
    change: ChangeId,
    request: Option<PlatformRequest>,
    writes_without_reply: Vec<PlatformRequest>,
    result: Option<Result<OperatorOutcome, OperatorErrorKind>>,
    crashed: bool,
}

impl RunningSession {
    /// Checks that no write with an unknown outcome is sent again, except of history entries, which
    /// have the same content from every writer.
    fn check_not_sent_again(&self, request: &PlatformRequest) {
        assert!(
            !self.writes_without_reply.contains(request),
            "sent again with an unknown outcome: {request:?}"
        );
    }

    fn record_write_without_reply(&mut self, request: &PlatformRequest, fault: Fault) {
        let no_reply = matches!(
            fault,
            Fault::RequestLost | Fault::ReplyLost | Fault::Delayed
        );
        let is_guarded = matches!(
            request,
            PlatformRequest::Put { kind, .. } if *kind != ObjectKind::History
        );
        if no_reply && is_guarded {
            self.writes_without_reply.push(request.clone());
        }
    }
}

/// Operator sessions over one store.
#[derive(Clone)]
pub struct SessionHarness {
    store: ModelStore,
    sessions: Vec<RunningSession>,
    delayed: Vec<PlatformRequest>,
    trusted: Vec<TrustedKey>,
}

impl SessionHarness {
    pub fn new() -> Self {
        let mut harness = Self {
            store: ModelStore::default(),
            sessions: Vec::new(),
            delayed: Vec::new(),
            trusted: sample::trusted_keys(),
        };
        for version in VERSIONS {
            let bundle = sample::bundle(version, &["search"]);
            harness.run_command(OperatorCommand::Publish { bundle });
            harness.run_command(OperatorCommand::Approve {
                version: version.into(),
                key_id: sample::KEY_ID.to_owned(),
                key: sample::signing_key(),
            });
        }
        harness
    }

    fn run_command(&mut self, command: OperatorCommand) {
        let session = self.begin(command);
        while self.sessions[session].result.is_none() {
            self.step(session, Fault::None);
        }
        assert!(matches!(self.sessions[session].result, Some(Ok(_))));
    }

    fn begin(&mut self, command: OperatorCommand) -> usize {
        let change = ChangeId::new(format!("change-{}", self.sessions.len()));
        self.sessions.push(RunningSession {
            session: OperatorSession::new(command, change.clone()),
            change,
            request: None,
            writes_without_reply: Vec::new(),
            result: None,
            crashed: false,
        });
        self.sessions.len() - 1
    }

    pub fn begin_command(&mut self, command: &Command) {
        let origin = |automation| RolloutOrigin {
            author: format!("author-{automation}"),
            automation,
            at_unix_ms: None,
        };
        let trusted_keys = self.trusted.clone();
        match *command {
            Command::Start {
                version,
                automation,
            } => {
                let request = RolloutRequest {
                    version: VERSIONS[version].into(),
                    origin: origin(automation),
                    expected: None,
                    trusted_keys,
                };
                self.begin(OperatorCommand::RolloutStart(request));
            }
            Command::Rollback { automation } => {
                let command = OperatorCommand::RolloutRollback {
                    version: None,
                    origin: origin(automation),
                    trusted_keys,
                };
                self.begin(command);
            }
            Command::Hold => {
                let hold = RolloutHold {
                    holder: "operator".to_owned(),
                    reason: "test".to_owned(),
                };
                self.begin(OperatorCommand::RolloutHold(hold));
            }
            Command::Release => {
                self.begin(OperatorCommand::RolloutRelease);
            }
        }
    }

    pub fn step(&mut self, session: usize, fault: Fault) {
        let running = &mut self.sessions[session];
        if running.result.is_some() || running.crashed {
            return;
        }
        let request = running.request.take();
        if let Some(request) = &request {
            running.check_not_sent_again(request);
            running.record_write_without_reply(request, fault);
        }
        let last = request.map(|request| match fault {
            Fault::None => self.store.apply(&request),
            Fault::Unreachable => Err(PlatformFailure::Unreachable),
            Fault::RequestLost => Err(PlatformFailure::NoAnswer),
            Fault::ReplyLost => {
                let _ = self.store.apply(&request);
                Err(PlatformFailure::NoAnswer)
            }
            Fault::Delayed => {
                self.delayed.push(request);
                Err(PlatformFailure::NoAnswer)
            }
        });
        match running.session.step(last) {
            OperatorStep::Request(request) => running.request = Some(request),
            OperatorStep::Wait(_) => {}
            OperatorStep::Done(result) => {
                running.result = Some(result.map_err(|error| error.kind()));
            }
        }
    }

    pub fn deliver_delayed(&mut self, delayed: usize) {
        if delayed < self.delayed.len() {
            let request = self.delayed.remove(delayed);
            let _ = self.store.apply(&request);
        }
    }

    pub fn crash(&mut self, session: usize) {
        self.sessions[session].crashed = true;
    }

    pub fn has_delayed(&self) -> bool {
        !self.delayed.is_empty()
    }

    /// Indices of the sessions that neither ended nor crashed.
    pub fn running_sessions(&self) -> Vec<usize> {
        let is_running = |session: &usize| {
            let running = &self.sessions[*session];
            running.result.is_none() && !running.crashed
        };
        (0..self.sessions.len()).filter(is_running).collect()
    }

    /// Text that identifies a state: store, delayed requests and sessions.
    pub fn state_key(&self) -> String {
        let (store, delayed) = (&self.store, &self.delayed);
        format!("{store:?} {delayed:?} {:?}", self.sessions)
    }

    fn registers(&self) -> Vec<Rollout> {
        let writes = self.store.writes.iter();
        let of_register = writes.filter(|object| object.kind == ObjectKind::Rollout);
        of_register
            .map(|object| serde_json::from_str(&object.body).unwrap())
            .collect()
    }

    pub fn check_invariants(&self) {
        let registers = self.registers();
        let mut previous: Option<&Rollout> = None;
        let mut generations_by_change: BTreeMap<ChangeId, Vec<Generation>> = BTreeMap::new();
        for register in &registers {
            self.check_successor(previous, register);
            if previous.is_none_or(|previous| previous.current != register.current) {
                let generations = generations_by_change
                    .entry(register.current.change.clone())
                    .or_default();
                generations.push(register.current.generation);
            }
            previous = Some(register);
        }
        for running in &self.sessions {
            let none = Vec::new();
            let generations = generations_by_change.get(&running.change).unwrap_or(&none);
            assert!(generations.len() <= 1, "one change made {generations:?}");
            match &running.result {
                Some(Ok(OperatorOutcome::RolledOut { record, .. })) => {
                    assert_eq!(generations, &[record.generation]);
                }
                Some(Err(OperatorErrorKind::Unknown)) | None => {}
                Some(_) => assert!(
                    generations.is_empty(),
                    "the command reported no change but made {generations:?}"
                ),
            }
        }
    }

    fn check_successor(&self, previous: Option<&Rollout>, register: &Rollout) {
        let record = &register.current;
        match previous {
            Some(previous) if previous.current == *record => return,
            Some(previous) => {
                assert_eq!(record.generation.0, previous.current.generation.0 + 1);
                assert_eq!(register.hold, previous.hold);
                let violates_hold = previous.hold.is_some() && register.origin.automation;
                assert!(!violates_hold, "automation rolled out despite a hold");
                self.check_history(&previous.history());
            }
            None => assert_eq!(record.generation, Generation(1)),
        }
        self.check_approved(register);
    }

    fn check_approved(&self, register: &Rollout) {
        let record = &register.current;
        let stored = self.store.get(ObjectKind::Bundle, record.version.as_str());
        let published: PublishedBundle = serde_json::from_str(&stored.unwrap().body).unwrap();
        assert_eq!(published.digest, record.digest);
        thornbridge_config::approval::verify(
            &self.trusted,
            &record.key_id,
            &record.version,
            &record.digest,
            &record.signature,
        )
        .unwrap();
    }

    fn check_history(&self, expected: &RolloutHistory) {
        let name = expected.record.generation.to_string();
        let stored = self.store.get(ObjectKind::History, &name);
        let stored: RolloutHistory = serde_json::from_str(&stored.unwrap().body).unwrap();
        assert_eq!(&stored, expected);
    }

    /// Delivers the delayed requests, then runs all sessions to their end without faults.
    fn finish(&mut self) {
        while !self.delayed.is_empty() {
            self.deliver_delayed(0);
        }
        for session in 0..self.sessions.len() {
            while self.sessions[session].result.is_none() && !self.sessions[session].crashed {
                self.step(session, Fault::None);
            }
        }
        self.check_invariants();
    }
}

pub struct SessionTest;

impl StateMachineTest for SessionTest {
    type SystemUnderTest = SessionHarness;
    type Reference = SessionCount;

    fn init_test(_: &SessionCount) -> SessionHarness {
        SessionHarness::new()
    }

    fn apply(
        mut harness: SessionHarness,
        _: &SessionCount,
        transition: Transition,
    ) -> SessionHarness {
        let setup_sessions = 2 * VERSIONS.len();
        match transition {
            Transition::Begin(command) => harness.begin_command(&command),
            Transition::Step { session, fault } => harness.step(setup_sessions + session, fault),
            Transition::Crash { session } => harness.crash(setup_sessions + session),
            Transition::Deliver { delayed } => harness.deliver_delayed(delayed),
        }
        harness
    }

    fn check_invariants(harness: &SessionHarness, _: &SessionCount) {
        harness.check_invariants();
    }

    fn teardown(mut harness: SessionHarness) {
        harness.finish();
    }
}

/// Fixed seed for reproducible runs; `THORNBRIDGE_LONG` runs more cases.
fn config(cases: u32) -> Config {
    let long = std::env::var_os("THORNBRIDGE_LONG").is_some();
    Config {
        cases: if long { cases * 100 } else { cases },
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(128))]

    #[test]
    fn each_change_makes_at_most_one_approved_generation(sequential 1..200 => SessionTest);
}

fn start(version: &str) -> OperatorCommand {
    OperatorCommand::RolloutStart(sample::rollout(version.into()))
}

fn run_to_end(
    harness: &mut SessionHarness,
    session: usize,
) -> Result<OperatorOutcome, OperatorErrorKind> {
    while harness.sessions[session].result.is_none() {
        harness.step(session, Fault::None);
    }
    harness.sessions[session].result.clone().unwrap()
}

fn step_until_write(harness: &mut SessionHarness, session: usize) {
    let sends_write = |running: &RunningSession| {
        let request = running.request.as_ref();
        request.is_some_and(|request| {
            matches!(
                request,
                PlatformRequest::Put {
                    kind: ObjectKind::Rollout,
                    ..
                }
            )
        })
    };
    while !sends_write(&harness.sessions[session]) {
        harness.step(session, Fault::None);
    }
}

#[test]
fn second_swap_of_same_register_version_is_refused() {
    let mut harness = SessionHarness::new();
    let first = harness.begin(start("v1"));
    let second = harness.begin(start("v2"));
    step_until_write(&mut harness, first);
    step_until_write(&mut harness, second);
    let second_result = run_to_end(&mut harness, second);
    let first_result = run_to_end(&mut harness, first);
    assert!(second_result.is_ok());
    assert_eq!(first_result, Err(OperatorErrorKind::Refused));
}

#[test]
fn lost_reply_is_resolved_despite_later_generation() {
    let mut harness = SessionHarness::new();
    let first = harness.begin(start("v1"));
    step_until_write(&mut harness, first);
    harness.step(first, Fault::ReplyLost);
    let second = harness.begin(start("v2"));
    assert!(run_to_end(&mut harness, second).is_ok());
    assert!(run_to_end(&mut harness, first).is_ok());
    let generations: Vec<u64> = harness
        .registers()
        .iter()
        .map(|register| register.current.generation.0)
        .collect();
    assert_eq!(generations, [1, 2]);
}

#[test]
fn delayed_write_ends_as_unknown_and_is_not_retried() {
    let mut harness = SessionHarness::new();
    let session = harness.begin(start("v1"));
    step_until_write(&mut harness, session);
    harness.step(session, Fault::Delayed);
    assert_eq!(
        run_to_end(&mut harness, session),
        Err(OperatorErrorKind::Unknown)
    );
    assert!(harness.registers().is_empty());
    harness.finish();
    assert_eq!(harness.registers().len(), 1);
}

#[test]
fn republishing_succeeds_only_with_identical_content() {
    let mut harness = SessionHarness::new();
    let same = OperatorCommand::Publish {
        bundle: sample::bundle("v1", &["search"]),
    };
    let other = OperatorCommand::Publish {
        bundle: sample::bundle("v1", &["search", "cards"]),
    };
    let same = harness.begin(same);
    let other = harness.begin(other);
    assert!(run_to_end(&mut harness, same).is_ok());
    assert_eq!(
        run_to_end(&mut harness, other),
        Err(OperatorErrorKind::Refused)
    );
}

#[test]
fn untrusted_approval_is_refused() {
    let mut harness = SessionHarness::new();
    harness.trusted = vec![TrustedKey::of(
        sample::KEY_ID,
        &SigningKey::from_bytes(&[8; 32]),
    )];
    harness.begin_command(&Command::Start {
        version: 0,
        automation: false,
    });
    let session = harness.sessions.len() - 1;
    assert_eq!(
        run_to_end(&mut harness, session),
        Err(OperatorErrorKind::Refused)
    );
    assert!(harness.registers().is_empty());
}

#[test]
fn version_approved_with_new_key_becomes_new_generation() {
    let mut harness = SessionHarness::new();
    let first = harness.begin(start("v1"));
    assert!(run_to_end(&mut harness, first).is_ok());
    let again = harness.begin(start("v1"));
    assert_eq!(
        run_to_end(&mut harness, again),
        Err(OperatorErrorKind::Refused),
        "the same approval is already active"
    );
    let new_key = SigningKey::from_bytes(&[9; 32]);
    harness.trusted.push(TrustedKey::of("ops-new", &new_key));
    let approve = harness.begin(OperatorCommand::Approve {
        version: "v1".into(),
        key_id: "ops-new".to_owned(),
        key: new_key,
    });
    assert!(run_to_end(&mut harness, approve).is_ok());
    let mut request = sample::rollout("v1".into());
    request.trusted_keys = harness.trusted.clone();
    let renewed = harness.begin(OperatorCommand::RolloutStart(request));
    assert!(run_to_end(&mut harness, renewed).is_ok());
    let last = harness.registers().pop().unwrap().current;
    assert_eq!(
        (last.generation, last.key_id.as_str()),
        (Generation(2), "ops-new")
    );
    harness.check_invariants();
}
