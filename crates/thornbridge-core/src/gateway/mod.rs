//! The gateway: plain HTTP requests routed to the servers of a registry.
//!
//! Beside the query and action protocols of [`crate::Node`], a cluster can serve HTTP callers
//! whose servers come and go by themselves. [`Gateway`] holds every decision of that: which
//! server gets a request, when another one gets it too, when a gather over many shards is
//! complete enough, which configuration is in force, and what to believe of servers, store and
//! peers. Like [`crate::Node`] it has no I/O: it takes a [`GatewayEvent`] with the present time
//! and gives back [`GatewayAction`]s.
//!
//! | module | concern |
//! | --- | --- |
//! | `views` | route configuration, registry and evacuated zones, from the store and from peers |
//! | `routes` | the configuration in force, resolved |
//! | `servers` | what is known of servers, their connections, the choice among them |
//! | `exchange` | requests: attempts, hedges, retries, completeness, answers |
//! | `slices` | gathers that are divided among nodes: groups of shards and their owners |
//! | `quarantine` | requests that crash the servers that run them |
//! | `awaiting` | requests that came before any configuration |
//! | `budget` | extra attempts, shared by all nodes |
//! | [`crate::membership`] | who shares the budgets |

mod action;
mod awaiting;
mod budget;
mod enforcing;
mod event;
mod exchange;
mod handling;
mod members;
mod notes;
mod parameters;
mod patience;
mod peer_viewing;
mod quarantine;
mod routes;
mod servers;
mod slices;
mod staging;
#[cfg(test)]
mod tests;
mod viewing;
mod views;
mod window;
mod work;

pub use action::{GatewayAction, GatewayAnswer, RefusalPromise, RefusalReason, SourceRead};

pub use event::{
    ExchangeFailure, GatewayEvent, ReplyVerdict, RequestHead, ServerLoad, ServerReply,
    SourceFailure, SourceReply, ViewKind, ViewObject,
};
pub use notes::{
    AttemptCause, AttemptNote, AttemptOutcome, GatewayChange, RequestNote, SliceNote, SliceOutcome,
    ViewOrigin,
};
pub use parameters::{
    BudgetParameters, ExchangeParameters, GatewayParameters, QuarantineParameters,
    ServerParameters, SliceParameters, ViewParameters,
};
pub use patience::CallerTry;
pub use servers::Placement;
pub use views::era::{EndedEra, EraTracker, ToldEra};

use crate::driver_action::Action;
use crate::membership::Membership;
use crate::signal::Signal;
use crate::time::Timestamp;
use awaiting::Awaiting;
use budget::ExtraAttemptBudget;
use exchange::Exchanges;
use quarantine::Quarantine;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
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
use views::peers::PeerViews;
use views::registry::Registry;
use views::source::SourceReader;

/// What a gateway is told when it is made.
#[derive(Clone, Debug)]
pub struct GatewaySetup {
    /// This run's identity and peer address.
    pub endpoint: PeerEndpoint,
    /// Operator's name for it.
    pub name: NodeName,
    /// Where it stands.
    pub placement: Placement,
    /// Peers to join through.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random generator.
    pub seed: u64,
    /// Tunable values.
    pub parameters: GatewayParameters,
}

/// The state machine of one gateway.
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
    peer_views: PeerViews,
    registry: Registry,
    evacuations: Evacuations,
    configuration: Option<Arc<RouteConfiguration>>,
    staging: Staging,
    routes: RouteTable,
    servers: Servers,
    budget: ExtraAttemptBudget,
    exchanges: Exchanges,
    quarantine: Quarantine,
    slices: Slices,
    own_address: SocketAddr,
    /// Whether members, shards or servers changed since gathers were divided.
    division_stale: bool,
    /// Until when messages of peers may have waited for this process to go on.
    stale_until: Timestamp,
    awaiting: Awaiting,
    ready: bool,
    stopping: bool,
    next_warming: Timestamp,
    freshness: Freshness,
    /// Whether this node reads the store itself.
    reads: bool,
    /// Whether other members are named to join through, and this node is none of them.
    joins_through_others: bool,
}

impl Gateway {
    /// A gateway that has not started: the first event must be [`GatewayEvent::Started`].
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
        let joins_through_others = !setup.seeds.is_empty() && !setup.seeds.contains(&own_address);
        let others_named = setup.seeds.iter().any(|seed| *seed != own_address);
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
                .following(),
            registry_source: SourceReader::new(ViewKind::Registry, views.clone()).following(),
            evacuation_source: SourceReader::new(ViewKind::Evacuations, views.clone()).following(),
            peer_views: PeerViews::new(views.clone()),
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
            division_stale: true,
            stale_until: Timestamp::ZERO,
            servers: Servers::new(
                parameters.servers.clone(),
                setup.placement,
                setup.endpoint.address,
            ),
            budget: ExtraAttemptBudget::new(parameters.budget.clone(), others_named, setup.seed),
            exchanges: Exchanges::new(parameters.exchange.clone()),
            quarantine: Quarantine::new(parameters.quarantine.clone()),
            awaiting: Awaiting::default(),
            freshness: Freshness::new(parameters.views.staleness_limit),
            reads: true,
            joins_through_others,
            parameters,
            ready: false,
            stopping: false,
            next_warming: Timestamp::ZERO,
        }
    }

    /// The next thing to carry out; `None` when all is done.
    pub fn poll_action(&mut self) -> Option<GatewayAction> {
        self.actions.pop_front()
    }

    /// Requests without an answer yet.
    pub fn in_flight(&self) -> usize {
        self.exchanges.in_flight() + self.awaiting.len()
    }

    /// Members that share the budgets, this one included.
    pub fn members(&self) -> usize {
        self.members
    }

    /// Requests under which servers crashed, as far as is remembered.
    pub fn suspects(&self) -> usize {
        self.quarantine.len()
    }

    /// Entries of the registry.
    pub fn instances(&self) -> usize {
        self.registry.len()
    }

    /// Era of the store that the registry is known as of; 0 where it tells none.
    pub fn store_era(&self) -> u64 {
        self.registry.upto().unwrap_or_default().era
    }

    /// Version of the configuration in force; 0 where there is none.
    pub fn version(&self) -> u64 {
        self.routes.version.0
    }
}
