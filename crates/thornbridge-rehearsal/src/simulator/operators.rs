//! Operators and automation: they publish, approve and roll out bundles, through the same
//! [`OperatorSession`]s that the command line drives.

use super::occurrence::{Occurrence, PlatformArrival, RollOutStep};
use super::platform::PlatformClient;
use super::trace::Step;
use super::{Simulator, first_snapshots};
use crate::scenario::SnapshotNumber;
use std::time::Duration;
use thornbridge_config::approval::{SigningKey, TrustedKey};
use thornbridge_config::objects::RolloutOrigin;
use thornbridge_core::OperationId;
use thornbridge_core::operator::{
    OperatorCommand, OperatorOutcome, OperatorSession, OperatorStep, RolloutRequest,
};
use thornbridge_proto::platform::{PlatformFailure, PlatformResponse};
use thornbridge_proto::{BundleVersion, ChangeId, Generation};

/// Id of the key that approves in simulations.
const KEY_ID: &str = "rehearsal";
/// Secret of that key; of no use elsewhere.
const KEY_BYTES: [u8; 32] = [7; 32];
/// One way between an operator and the platform.
const OPERATOR_DELAY: Duration = Duration::from_millis(2);
/// An operator who must have a change in force tries again after this.
const PATIENCE: Duration = Duration::from_secs(2);

/// Where an operator is with a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Publishing,
    Approving,
    RollingOut,
}

/// One operator, or one run of automation, with one change.
#[derive(Debug)]
struct Operator {
    session: OperatorSession,
    stage: Stage,
    step: RollOutStep,
    version: BundleVersion,
    served: Vec<Vec<SnapshotNumber>>,
    expected: Option<Generation>,
}

/// All operators.
#[derive(Debug)]
pub struct Operators {
    key: SigningKey,
    /// Snapshots that the bundle in force names, by service, newest first.
    pub served: Vec<Vec<SnapshotNumber>>,
    operators: Vec<Option<Operator>>,
}

impl Operators {
    /// Operators of a deployment with so many services.
    pub fn new(services: usize) -> Self {
        Self {
            key: SigningKey::from_bytes(&KEY_BYTES),
            served: first_snapshots(services),
            operators: Vec::new(),
        }
    }

    /// The key that nodes trust.
    pub fn trusted_key(&self) -> TrustedKey {
        TrustedKey {
            id: KEY_ID.to_owned(),
            public_key: hex::encode(self.key.verifying_key().to_bytes()),
        }
    }

    /// The newest snapshot of a service that the bundle in force names.
    pub fn newest_served(&self, service: usize) -> SnapshotNumber {
        self.served[service]
            .first()
            .copied()
            .unwrap_or(SnapshotNumber(0))
    }
}

impl Simulator {
    /// The first version is in force before any node starts.
    pub(super) fn roll_out_first(&mut self) {
        let operator = self.new_operator(RollOutStep::Plain);
        let mut answer = None;
        while let Some(next) = self.operator_next(operator, answer.take()) {
            if let OperatorStep::Request(request) = next {
                let client = PlatformClient::Operator(operator);
                answer = Some(self.store(client, request));
            }
        }
    }

    /// An operator begins a change.
    pub(super) fn roll_out(&mut self, step: RollOutStep) {
        let operator = self.new_operator(step);
        self.operator_step(operator, None);
    }

    fn new_operator(&mut self, step: RollOutStep) -> usize {
        let index = self.operators.operators.len();
        let version = format!("version-{}", index + 1);
        let served = self.served_after(&step);
        let bundle = self.setup.deployment.bundle(&version, &served);
        let version = bundle.version.clone();
        let command = OperatorCommand::Publish { bundle };
        let operator = Operator {
            session: OperatorSession::new(command, change_id(&version, Stage::Publishing)),
            stage: Stage::Publishing,
            step,
            version,
            served,
            expected: self.oracle.configuration.current(),
        };
        self.operators.operators.push(Some(operator));
        index
    }

    /// Snapshots that a bundle names after a change.
    fn served_after(&self, step: &RollOutStep) -> Vec<Vec<SnapshotNumber>> {
        let mut served = self.operators.served.clone();
        let services = self.setup.deployment.services.iter();
        for (index, (served, service)) in served.iter_mut().zip(services).enumerate() {
            if let RollOutStep::Retire(newest) = step {
                served.retain(|snapshot| *snapshot >= newest[index]);
            }
            let newest = service.catalogue.newest();
            if *step != RollOutStep::Plain && served.first() != Some(&newest) {
                served.insert(0, newest);
            }
        }
        served
    }

    /// Something an operator waited for is there.
    pub(super) fn operator_step(
        &mut self,
        operator: usize,
        answer: Option<Result<PlatformResponse, PlatformFailure>>,
    ) {
        let tag = 2 + ((operator as u64) << 3);
        self.trace.note(self.now, Step::Life, [tag, 1, 0], || {
            super::node_steps::shortened(format!("operator-{operator} <- {answer:?}"))
        });
        match self.operator_next(operator, answer) {
            Some(OperatorStep::Request(request)) => {
                let client = PlatformClient::Operator(operator);
                let operation = OperationId(0);
                let arrival = PlatformArrival::Request { operation, request };
                self.after(OPERATOR_DELAY, Occurrence::Platform { client, arrival });
            }
            Some(OperatorStep::Wait(delay)) => {
                let answer = None;
                self.after(delay, Occurrence::Operator { operator, answer });
            }
            Some(OperatorStep::Done(_)) | None => {}
        }
    }

    /// What an operator does next; `None` when the change is made or given up.
    fn operator_next(
        &mut self,
        index: usize,
        answer: Option<Result<PlatformResponse, PlatformFailure>>,
    ) -> Option<OperatorStep> {
        let mut operator = self.operators.operators[index].take()?;
        let next = match operator.session.step(answer) {
            OperatorStep::Done(Ok(outcome)) => {
                self.next_stage(&mut operator, &outcome)?;
                operator.session.step(None)
            }
            OperatorStep::Done(Err(_)) => {
                self.start_over(operator.step);
                return None;
            }
            next => next,
        };
        self.operators.operators[index] = Some(operator);
        Some(next)
    }

    /// A command of a change succeeded; `None` when it was the last.
    fn next_stage(&mut self, operator: &mut Operator, outcome: &OperatorOutcome) -> Option<()> {
        let version = operator.version.clone();
        let (stage, command) = match (operator.stage, outcome) {
            (Stage::Publishing, _) => {
                let key_id = KEY_ID.to_owned();
                let key = self.operators.key.clone();
                let command = OperatorCommand::Approve {
                    version,
                    key_id,
                    key,
                };
                (Stage::Approving, command)
            }
            (Stage::Approving, _) => {
                let request = RolloutRequest {
                    version,
                    origin: RolloutOrigin {
                        author: "rehearsal".to_owned(),
                        automation: operator.step == RollOutStep::Plain,
                        at_unix_ms: None,
                    },
                    expected: operator.expected,
                    trusted_keys: vec![self.operators.trusted_key()],
                };
                (Stage::RollingOut, OperatorCommand::RolloutStart(request))
            }
            (Stage::RollingOut, _) => {
                self.change_made(operator);
                return None;
            }
        };
        let change = change_id(&operator.version, stage);
        operator.stage = stage;
        operator.session = OperatorSession::new(command, change);
        Some(())
    }

    fn change_made(&mut self, operator: &Operator) {
        self.operators.served = operator.served.clone();
        if let RollOutStep::Retire(_) = operator.step {
            self.schedule_snapshot_drop();
        }
    }

    /// A change was refused or given up: one that is needed is made anew.
    fn start_over(&mut self, step: RollOutStep) {
        if step != RollOutStep::Plain {
            let life = super::occurrence::Life::RollOut(step);
            self.after(PATIENCE, Occurrence::Life(life));
        }
    }
}

fn change_id(version: &BundleVersion, stage: Stage) -> ChangeId {
    ChangeId::new(format!("{version}-{stage:?}"))
}
