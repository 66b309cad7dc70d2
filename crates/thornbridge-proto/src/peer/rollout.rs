//! Roll-outs of server versions: orders, and the sampling of a version on trial.
//!
//! A node sends to servers of a version on trial only with permits. It reports its requests and the
//! outcomes of both versions to the node that conducts the roll-out, which answers with permits.
//!
//! A companion is a second attempt of a request at the same server at the same time. It shows what a
//! version does with two requests at once. Companions of a route are named like a route of their own
//! ([`companions_of`]), so that no message changes: earlier builds return their permits unused. In such
//! a report, `trial` counts requests together with their companions, bad if either was, and `stable.good`
//! the requests for which a companion could have been sent.
//!
//! Earlier builds cannot decode these messages. A node therefore sends them only to a peer that has
//! sent one, or an empty [`QuarantineMessage`](super::quarantine::QuarantineMessage), which earlier
//! builds ignore and never send.

use super::view::StoreRevision;
use crate::{BackEndId, ServerVersion, ServiceName};
use serde::{Deserialize, Serialize};

/// Ends the name of a route where it stands for the companions of its requests.
const COMPANIONS_SUFFIX: &str = "\u{1f}companions";

/// Name of the companions of a route's requests.
pub fn companions_of(route: &str) -> String {
    format!("{route}{COMPANIONS_SUFFIX}")
}

/// Route whose companions have this name; `None` if it is the name of a route.
pub fn route_of_companions(name: &str) -> Option<&str> {
    name.strip_suffix(COMPANIONS_SUFFIX)
}

/// State of a roll-out, as written to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutState {
    /// Both versions run; the target version is on trial.
    #[serde(rename = "s")]
    Serving,
    /// The target version replaced the others.
    #[serde(rename = "c")]
    Complete,
    /// The target version was rejected.
    #[serde(rename = "r")]
    RolledBack,
}

impl RolloutState {
    /// Whether the roll-out is over.
    pub fn is_final(self) -> bool {
        self != Self::Serving
    }
}

/// Identity of an order: a later order of the same version has a later creation or target change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RolloutId {
    /// Service.
    pub service: ServiceName,
    /// Version to which its requests are to move.
    pub target: ServerVersion,
    /// Revision at which the object was created.
    pub created: u64,
}

/// An operator's order to move a service to a version, and how far it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Identity.
    pub id: RolloutId,
    /// Time allowed, in milliseconds.
    pub period_ms: u64,
    /// Revision of the object's last change.
    pub revision: StoreRevision,
    /// State last written for this target; `None` if there is none.
    pub state: Option<RolloutState>,
    /// Time since a node first read the order, in milliseconds.
    pub elapsed_ms: u64,
}

/// All orders as of a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrders {
    /// Revision as of which these are all.
    pub at: StoreRevision,
    /// Orders, by service.
    pub orders: Vec<RolloutOrder>,
    /// Versions that serve services of which several versions are registered, as far as known.
    pub established: Vec<(ServiceName, ServerVersion)>,
}

/// Numbers of attempts by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Answered in usual time.
    pub good: u32,
    /// Failed, rejected, without an answer, or several times slower than usual.
    pub bad: u32,
}

impl Outcomes {
    /// Number of attempts.
    pub fn total(self) -> u32 {
        self.good + self.bad
    }
}

/// What a node saw of a route since the order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteReport {
    /// Name of the route, or of its companions.
    pub route: String,
    /// Requests sent to the service, at any version, since the last report.
    pub requests: u32,
    /// Permits that lapsed unused since the last report.
    pub returned: u32,
    /// Outcomes at the version on trial, since the order.
    pub trial: Outcomes,
    /// Outcomes at the serving version, since the order.
    pub stable: Outcomes,
}

/// Report of a node to the conductor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Order.
    pub order: RolloutId,
    /// Routes with requests or outcomes.
    pub routes: Vec<RouteReport>,
}

/// Answer of the conductor to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutGrant {
    /// Order.
    pub order: RolloutId,
    /// Whether the sender conducts the roll-out; `false` sends the reporter to the next member.
    pub conducts: bool,
    /// Decision, once there is one, whether or not the store has it yet.
    pub decision: Option<RolloutState>,
    /// Requests of each route, and companions, that the receiver may send to the version on trial.
    pub permits: Vec<(String, u32)>,
    /// Time within which the permits must be used, in milliseconds.
    pub valid_ms: u32,
    /// Server to sample; `None` for any server of the version.
    pub instance: Option<BackEndId>,
}

/// Messages about roll-outs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutMessage {
    /// Orders known to the sender. A receiver that knows later ones answers with its own.
    #[serde(rename = "o")]
    Orders(RolloutOrders),
    /// Report to the conductor.
    #[serde(rename = "r")]
    Report(RolloutReport),
    /// Answer to a report.
    #[serde(rename = "g")]
    Grant(RolloutGrant),
}
