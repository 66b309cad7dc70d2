//! Operators and automation racing over a store that loses answers, delays writes and goes away.

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

/// How the store treats one request.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    None,
    Unreachable,
    /// The request is lost on its way.
    RequestLost,
    /// The answer is lost on its way back.
    AnswerLost,
    /// The caller hears nothing, and the request arrives later.
    Delayed,
}

#[derive(Clone, Debug)]
pub enum Transition {
    Begin(Wanted),
    Step { session: usize, fault: Fault },
    Crash { session: usize },
    Arrive { delayed: usize },
}

#[derive(Clone, Debug)]
pub enum Wanted {
    Start { version: usize, automation: bool },
    Rollback { automation: bool },
    Hold,
    Release,
}

/// The reference knows only how many sessions were begun; the oracle is the store's own log.
#[derive(Clone, Debug, Default)]
pub struct Begun(usize);

impl ReferenceStateMachine for Begun {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Transition> {
        let begin = wanted().prop_map(Transition::Begin);
        if state.0 == 0 {
            return begin.boxed();
        }
        let sessions = state.0;
        prop_oneof![
            2 => begin,
            40 => (sessions.saturating_sub(4)..sessions, fault()).prop_map(|(session, fault)| Transition::Step { session, fault }),
            1 => (0..sessions).prop_map(|session| Transition::Crash { session }),
            1 => (0..4_usize).prop_map(|delayed| Transition::Arrive { delayed }),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, transition: &Transition) -> bool {
        match transition {
            Transition::Step { session, .. } | Transition::Crash { session } => *session < state.0,
            Transition::Begin(_) | Transition::Arrive { .. } => true,
        }
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        if matches!(transition, Transition::Begin(_)) {
            state.0 += 1;
        }
        state
    }
}

fn wanted() -> impl Strategy<Value = Wanted> {
    prop_oneof![
        6 => (0..VERSIONS.len(), any::<bool>())
            .prop_map(|(version, automation)| Wanted::Start { version, automation }),
        2 => any::<bool>().prop_map(|automation| Wanted::Rollback { automation }),
        1 => Just(Wanted::Hold),
        1 => Just(Wanted::Release),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => Just(Fault::None),
        1 => Just(Fault::Unreachable),
        1 => Just(Fault::RequestLost),
        2 => Just(Fault::AnswerLost),
        1 => Just(Fault::Delayed),
    ]
}

#[derive(Clone, Debug)]
struct Running {
    session: OperatorSession,
    change: ChangeId,
    asked: Option<PlatformRequest>,
    in_doubt: Vec<PlatformRequest>,
    ended: Option<Result<OperatorOutcome, OperatorErrorKind>>,
    crashed: bool,
}

impl Running {
    /// A history entry is the same whoever writes it, and may be sent again. Nothing else may.
    fn check_not_written_twice(&self, request: &PlatformRequest) {
        assert!(
            !self.in_doubt.contains(request),
            "written twice: {request:?}"
        );
    }

    fn note_doubt(&mut self, request: &PlatformRequest, fault: Fault) {
        let lost = matches!(
            fault,
            Fault::RequestLost | Fault::AnswerLost | Fault::Delayed
        );
        let guarded = matches!(
            request,
            PlatformRequest::Put { kind, .. } if *kind != ObjectKind::History
        );
        if lost && guarded {
            self.in_doubt.push(request.clone());
        }
    }
}

/// Sessions over one store.
#[derive(Clone)]
pub struct Race {
    store: ModelStore,
    sessions: Vec<Running>,
    delayed: Vec<PlatformRequest>,
    trusted: Vec<TrustedKey>,
}

impl Race {
    pub fn new() -> Self {
        let mut race = Self {
            store: ModelStore::default(),
            sessions: Vec::new(),
            delayed: Vec::new(),
            trusted: sample::trusted_keys(),
        };
        for version in VERSIONS {
            let bundle = sample::bundle(version, &["search"]);
            race.complete(OperatorCommand::Publish { bundle });
            race.complete(OperatorCommand::Approve {
                version: version.into(),
                key_id: sample::KEY_ID.to_owned(),
                key: sample::signing_key(),
            });
        }
        race
    }

    fn complete(&mut self, command: OperatorCommand) {
        let session = self.begin(command);
        while self.sessions[session].ended.is_none() {
            self.step(session, Fault::None);
        }
        assert!(matches!(self.sessions[session].ended, Some(Ok(_))));
    }

    fn begin(&mut self, command: OperatorCommand) -> usize {
        let change = ChangeId::new(format!("change-{}", self.sessions.len()));
        self.sessions.push(Running {
            session: OperatorSession::new(command, change.clone()),
            change,
            asked: None,
            in_doubt: Vec::new(),
            ended: None,
            crashed: false,
        });
        self.sessions.len() - 1
    }

    pub fn begin_wanted(&mut self, wanted: &Wanted) {
        let origin = |automation| RolloutOrigin {
            author: format!("author-{automation}"),
            automation,
            at_unix_ms: None,
        };
        let trusted_keys = self.trusted.clone();
        match *wanted {
            Wanted::Start {
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
            Wanted::Rollback { automation } => {
                let command = OperatorCommand::RolloutRollback {
                    version: None,
                    origin: origin(automation),
                    trusted_keys,
                };
                self.begin(command);
            }
            Wanted::Hold => {
                let hold = RolloutHold {
                    holder: "operator".to_owned(),
                    reason: "test".to_owned(),
                };
                self.begin(OperatorCommand::RolloutHold(hold));
            }
            Wanted::Release => {
                self.begin(OperatorCommand::RolloutRelease);
            }
        }
    }

    pub fn step(&mut self, session: usize, fault: Fault) {
        let running = &mut self.sessions[session];
        if running.ended.is_some() || running.crashed {
            return;
        }
        let asked = running.asked.take();
        if let Some(request) = &asked {
            running.check_not_written_twice(request);
            running.note_doubt(request, fault);
        }
        let last = asked.map(|request| match fault {
            Fault::None => self.store.apply(&request),
            Fault::Unreachable => Err(PlatformFailure::Unreachable),
            Fault::RequestLost => Err(PlatformFailure::NoAnswer),
            Fault::AnswerLost => {
                let _ = self.store.apply(&request);
                Err(PlatformFailure::NoAnswer)
            }
            Fault::Delayed => {
                self.delayed.push(request);
                Err(PlatformFailure::NoAnswer)
            }
        });
        match running.session.step(last) {
            OperatorStep::Request(request) => running.asked = Some(request),
            OperatorStep::Wait(_) => {}
            OperatorStep::Done(result) => {
                running.ended = Some(result.map_err(|error| error.kind()));
            }
        }
    }

    pub fn arrive(&mut self, delayed: usize) {
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

    /// Sessions that neither ended nor crashed.
    pub fn running(&self) -> Vec<usize> {
        let runs = |session: &usize| {
            let running = &self.sessions[*session];
            running.ended.is_none() && !running.crashed
        };
        (0..self.sessions.len()).filter(runs).collect()
    }

    /// Tells states apart: what is stored, what is on its way, and where each session is.
    pub fn key(&self) -> String {
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

    pub fn check(&self) {
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
            let made = generations_by_change.get(&running.change).unwrap_or(&none);
            assert!(made.len() <= 1, "one change made {made:?}");
            match &running.ended {
                Some(Ok(OperatorOutcome::RolledOut { record, .. })) => {
                    assert_eq!(made, &[record.generation]);
                }
                Some(Err(OperatorErrorKind::Unknown)) | None => {}
                Some(_) => assert!(made.is_empty(), "said no change, made {made:?}"),
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
                let held_out = previous.hold.is_some() && register.origin.automation;
                assert!(!held_out, "automation passed a hold");
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

    /// What is still on its way arrives; what still runs is run to its end without faults.
    fn finish(&mut self) {
        while !self.delayed.is_empty() {
            self.arrive(0);
        }
        for session in 0..self.sessions.len() {
            while self.sessions[session].ended.is_none() && !self.sessions[session].crashed {
                self.step(session, Fault::None);
            }
        }
        self.check();
    }
}

pub struct RaceTest;

impl StateMachineTest for RaceTest {
    type SystemUnderTest = Race;
    type Reference = Begun;

    fn init_test(_: &Begun) -> Race {
        Race::new()
    }

    fn apply(mut race: Race, _: &Begun, transition: Transition) -> Race {
        let preparation = 2 * VERSIONS.len();
        match transition {
            Transition::Begin(wanted) => race.begin_wanted(&wanted),
            Transition::Step { session, fault } => race.step(preparation + session, fault),
            Transition::Crash { session } => race.crash(preparation + session),
            Transition::Arrive { delayed } => race.arrive(delayed),
        }
        race
    }

    fn check_invariants(race: &Race, _: &Begun) {
        race.check();
    }

    fn teardown(mut race: Race) {
        race.finish();
    }
}

/// A fixed seed, so that the verdict is the same on every run; many more cases on demand.
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
    fn rollouts_rise_by_one_approved_version_and_each_has_one_author(sequential 1..200 => RaceTest);
}

fn start(version: &str) -> OperatorCommand {
    OperatorCommand::RolloutStart(sample::rollout(version.into()))
}

fn run_to_end(race: &mut Race, session: usize) -> Result<OperatorOutcome, OperatorErrorKind> {
    while race.sessions[session].ended.is_none() {
        race.step(session, Fault::None);
    }
    race.sessions[session].ended.clone().unwrap()
}

fn step_until_write(race: &mut Race, session: usize) {
    let asks_write = |running: &Running| {
        let asked = running.asked.as_ref();
        asked.is_some_and(|asked| {
            matches!(
                asked,
                PlatformRequest::Put {
                    kind: ObjectKind::Rollout,
                    ..
                }
            )
        })
    };
    while !asks_write(&race.sessions[session]) {
        race.step(session, Fault::None);
    }
}

#[test]
fn of_two_operators_that_read_the_same_register_one_wins_and_the_other_is_refused() {
    let mut race = Race::new();
    let first = race.begin(start("v1"));
    let second = race.begin(start("v2"));
    step_until_write(&mut race, first);
    step_until_write(&mut race, second);
    let second_result = run_to_end(&mut race, second);
    let first_result = run_to_end(&mut race, first);
    assert!(second_result.is_ok());
    assert_eq!(first_result, Err(OperatorErrorKind::Refused));
}

#[test]
fn a_lost_answer_is_resolved_by_reading_back_though_another_generation_followed() {
    let mut race = Race::new();
    let first = race.begin(start("v1"));
    step_until_write(&mut race, first);
    race.step(first, Fault::AnswerLost);
    let second = race.begin(start("v2"));
    assert!(run_to_end(&mut race, second).is_ok());
    assert!(run_to_end(&mut race, first).is_ok());
    let generations: Vec<u64> = race
        .registers()
        .iter()
        .map(|register| register.current.generation.0)
        .collect();
    assert_eq!(generations, [1, 2]);
}

#[test]
fn a_write_that_may_yet_arrive_ends_as_unknown_and_is_not_repeated() {
    let mut race = Race::new();
    let session = race.begin(start("v1"));
    step_until_write(&mut race, session);
    race.step(session, Fault::Delayed);
    assert_eq!(
        run_to_end(&mut race, session),
        Err(OperatorErrorKind::Unknown)
    );
    assert!(race.registers().is_empty());
    race.finish();
    assert_eq!(race.registers().len(), 1);
}

#[test]
fn published_content_never_changes_and_the_same_content_may_be_published_again() {
    let mut race = Race::new();
    let same = OperatorCommand::Publish {
        bundle: sample::bundle("v1", &["search"]),
    };
    let other = OperatorCommand::Publish {
        bundle: sample::bundle("v1", &["search", "cards"]),
    };
    let same = race.begin(same);
    let other = race.begin(other);
    assert!(run_to_end(&mut race, same).is_ok());
    assert_eq!(
        run_to_end(&mut race, other),
        Err(OperatorErrorKind::Refused)
    );
}

#[test]
fn an_untrusted_approval_is_not_rolled_out() {
    let mut race = Race::new();
    race.trusted = vec![TrustedKey::of(
        sample::KEY_ID,
        &SigningKey::from_bytes(&[8; 32]),
    )];
    race.begin_wanted(&Wanted::Start {
        version: 0,
        automation: false,
    });
    let session = race.sessions.len() - 1;
    assert_eq!(
        run_to_end(&mut race, session),
        Err(OperatorErrorKind::Refused)
    );
    assert!(race.registers().is_empty());
}

#[test]
fn a_version_signed_anew_by_another_key_comes_into_force_as_a_new_generation() {
    let mut race = Race::new();
    let first = race.begin(start("v1"));
    assert!(run_to_end(&mut race, first).is_ok());
    let again = race.begin(start("v1"));
    assert_eq!(
        run_to_end(&mut race, again),
        Err(OperatorErrorKind::Refused),
        "exactly this is in force already"
    );
    let new_key = SigningKey::from_bytes(&[9; 32]);
    race.trusted.push(TrustedKey::of("ops-new", &new_key));
    let approve = race.begin(OperatorCommand::Approve {
        version: "v1".into(),
        key_id: "ops-new".to_owned(),
        key: new_key,
    });
    assert!(run_to_end(&mut race, approve).is_ok());
    let mut request = sample::rollout("v1".into());
    request.trusted_keys = race.trusted.clone();
    let renewed = race.begin(OperatorCommand::RolloutStart(request));
    assert!(run_to_end(&mut race, renewed).is_ok());
    let last = race.registers().pop().unwrap().current;
    assert_eq!(
        (last.generation, last.key_id.as_str()),
        (Generation(2), "ops-new")
    );
    race.check();
}
