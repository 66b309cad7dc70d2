//! HTTP gateway: routes plain HTTP requests to the servers listed in a registry.
//!
//! [`Gateway`] is a state machine without I/O. A driver passes [`GatewayEvent`]s with the current
//! time to [`Gateway::handle`] and carries out the [`GatewayAction`]s that it returns. The gateway
//! decides which server receives a request, when to hedge or retry, when a gather over several
//! shards is complete enough to answer, and which route configuration is active.
//!
//! | module | concern |
//! | --- | --- |
//! | `views` | route configuration, registry and evacuated zones, from the store and from peers |
//! | `routes` | the active configuration, resolved |
//! | `servers` | server state, connections, load balancing |
//! | `exchange` | requests in flight: attempts, hedges, retries, answers |
//! | `slices` | partitioning of a gather's shards among nodes |
//! | `quarantine` | requests that crash the servers that run them |
//! | `rollouts` | moving a service to another version of its servers |
//! | `pending` | requests received before the first configuration |
//! | `planned_stop` | what becomes of requests when the node stops |
//! | `budget` | cluster-wide budget of extra attempts |
//! | [`crate::membership`] | nodes that share the budgets |

mod action;
mod activation;
mod budget;
mod caller_try;
mod event;
mod exchange;
mod handling;
mod members;
mod parameters;
mod peer_messages;
mod pending;
mod planned_stop;
mod quarantine;
mod refusal;
mod rollout_updates;
mod rollouts;
mod routes;
mod servers;
mod slices;
mod staging;
mod telemetry;
#[cfg(test)]
mod tests;
#[allow(dead_code)]
mod version_roles;
mod view_updates;
mod views;
mod window;
mod work;

pub use action::{GatewayAction, GatewayAnswer, RefusalReason, RefusalStatus, SourceRead};

pub use caller_try::CallerTry;
pub use event::{
    ExchangeFailure, GatewayEvent, InvalidReply, ReplyVerdict, RequestHead, ServerLoad,
    ServerReply, SourceFailure, SourceReply, StateWriteReply, ViewKind, ViewObject,
};
pub use parameters::{
    BudgetParameters, ExchangeParameters, GatewayParameters, QuarantineParameters,
    RolloutParameters, ServerParameters, SliceParameters, ViewParameters, WarmUpBound,
};
pub use rollouts::telemetry::{RolloutChange, RolloutStep};
pub use servers::Placement;
pub use telemetry::{
    AttemptCause, AttemptOutcome, AttemptSummary, GatewayChange, RequestSummary, SliceOutcome,
    SliceSummary, ViewOrigin,
};
pub use views::era::{EraTracker, ReportedEra, StaleEra};

use crate::driver_action::Action;
use crate::membership::Membership;
use crate::signal::Signal;
use crate::time::Timestamp;
use budget::ExtraAttemptBudget;
use exchange::Exchanges;
use pending::PendingRequests;
use planned_stop::PlannedStop;
use quarantine::Quarantine;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rollout_updates::order_reader_parameters;
use rollouts::Rollouts;
use rollouts::trials::Trials;
use routes::RouteTable;
use servers::Servers;
use slices::Slices;
use staging::Staging;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use thornbridge_config::routes::RouteConfiguration;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::membership::{MemberRecord, MemberState};
use thornbridge_proto::{Incarnation, NodeName};
use views::evacuations::Evacuations;
use views::freshness::Freshness;
use views::gossip::ViewGossip;
use views::registry::Registry;
use views::source::SourceReader;

/// Arguments of [`Gateway::new`].
#[derive(Clone, Debug)]
pub struct GatewaySetup {
    /// Identity and peer address of this process.
    pub endpoint: PeerEndpoint,
    /// Name assigned by the operator.
    pub name: NodeName,
    /// Zone and region of this node.
    pub placement: Placement,
    /// Peers contacted to join the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random generator.
    pub seed: u64,
    /// Tunable parameters.
    pub parameters: GatewayParameters,
}

/// State machine of one gateway node.
#[derive(Debug)]
pub struct Gateway {
    now: Timestamp,
    random: Pcg64Mcg,
    actions: VecDeque<GatewayAction>,
    parameters: GatewayParameters,
    membership: Membership,
    member_actions: VecDeque<Action>,
    member_signals: VecDeque<Signal>,
    members: usize,
    configuration_source: SourceReader,
    registry_source: SourceReader,
    evacuation_source: SourceReader,
    rollout_source: SourceReader,
    view_gossip: ViewGossip,
    registry: Registry,
    evacuations: Evacuations,
    configuration: Option<Arc<RouteConfiguration>>,
    staging: Staging,
    routes: RouteTable,
    servers: Servers,
    budget: ExtraAttemptBudget,
    exchanges: Exchanges,
    quarantine: Quarantine,
    rollouts: Rollouts,
    trials: Trials,
    slices: Slices,
    own_address: SocketAddr,
    /// Whether members, shards or servers changed since slices were last assigned.
    slices_outdated: bool,
    /// Until when received messages may have been queued while this process was paused.
    messages_stale_until: Timestamp,
    pending: PendingRequests,
    ready: bool,
    planned_stop: Option<PlannedStop>,
    next_maintenance: Timestamp,
    freshness: Freshness,
    /// Whether this node reads the store itself instead of following peers.
    reads: bool,
    /// Whether seeds are configured and this node is not one of them.
    joins_via_seeds: bool,
}

impl Gateway {
    /// Creates a gateway; the first event must be [`GatewayEvent::Started`].
    pub fn new(setup: GatewaySetup) -> Self {
        let parameters = setup.parameters;
        let own = MemberRecord {
            endpoint: setup.endpoint,
            operator_address: setup.endpoint.address,
            name: setup.name,
            zone: setup.placement.zone.clone(),
            region: setup.placement.region.clone(),
            incarnation: Incarnation(0),
            state: MemberState::Alive,
        };
        let views = &parameters.views;
        let own_address = setup.endpoint.address;
        let joins_via_seeds = !setup.seeds.is_empty() && !setup.seeds.contains(&own_address);
        let has_other_seeds = setup.seeds.iter().any(|seed| *seed != own_address);
        let mut random = Pcg64Mcg::seed_from_u64(setup.seed);
        let first_slice = random.random();
        Self {
            now: Timestamp::ZERO,
            random,
            actions: VecDeque::new(),
            membership: Membership::new(parameters.membership.clone(), own, setup.seeds),
            member_actions: VecDeque::new(),
            member_signals: VecDeque::new(),
            members: 1,
            configuration_source: SourceReader::new(ViewKind::Configuration, views.clone())
                .follow_peers(),
            registry_source: SourceReader::new(ViewKind::Registry, views.clone()).follow_peers(),
            evacuation_source: SourceReader::new(ViewKind::Evacuations, views.clone())
                .follow_peers(),
            rollout_source: SourceReader::new(ViewKind::Rollouts, order_reader_parameters(views))
                .follow_peers(),
            view_gossip: ViewGossip::new(views.clone()),
            registry: Registry::default(),
            evacuations: Evacuations::default(),
            configuration: None,
            staging: Staging::default(),
            routes: RouteTable::default(),
            slices: Slices::new(
                parameters.slices.clone(),
                setup.placement.clone(),
                own_address,
                first_slice,
            ),
            own_address,
            slices_outdated: true,
            messages_stale_until: Timestamp::ZERO,
            servers: Servers::new(
                parameters.servers.clone(),
                setup.placement,
                setup.endpoint.address,
            )
            .with_other_seeds(has_other_seeds),
            budget: ExtraAttemptBudget::new(parameters.budget.clone(), has_other_seeds, setup.seed),
            exchanges: Exchanges::new(parameters.exchange.clone()),
            quarantine: Quarantine::new(parameters.quarantine.clone()),
            rollouts: Rollouts::new(parameters.rollouts, own_address),
            trials: Trials::default(),
            pending: PendingRequests::default(),
            freshness: Freshness::new(parameters.views.staleness_limit),
            reads: true,
            joins_via_seeds,
            parameters,
            ready: false,
            planned_stop: None,
            next_maintenance: Timestamp::ZERO,
        }
    }

    /// Next action to carry out, or `None` if there is none.
    pub fn poll_action(&mut self) -> Option<GatewayAction> {
        self.actions.pop_front()
    }

    /// Number of requests not answered yet.
    pub fn in_flight(&self) -> usize {
        self.exchanges.in_flight() + self.pending.len()
    }

    /// Number of members that share the budgets, including this node.
    pub fn members(&self) -> usize {
        self.members
    }

    /// Number of requests with a crash record.
    pub fn quarantine_records(&self) -> usize {
        self.quarantine.len()
    }

    /// Number of servers with state, those that left included.
    #[cfg(test)]
    pub(crate) fn known_servers(&self) -> usize {
        self.servers.len()
    }

    /// Number of registry entries.
    pub fn registered_instances(&self) -> usize {
        self.registry.len()
    }

    /// Store era of the registry view; 0 if the store reports none.
    pub fn store_era(&self) -> u64 {
        self.registry.revision().unwrap_or_default().era
    }

    /// Version of the active configuration; 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.routes.version.0
    }
}
