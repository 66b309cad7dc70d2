//! Test harness: a gateway with configuration and servers that records its actions.

use crate::driver_action::{CallerId, ConnectionId};
use crate::gateway::{
    ExchangeFailure, Gateway, GatewayAction, GatewayAnswer, GatewayEvent, GatewayParameters,
    GatewaySetup, Placement, ReplyVerdict, RequestHead, ServerReply, SourceReply, ViewKind,
    ViewObject,
};
use crate::time::Timestamp;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::routes::{
    CallerLimits, GatherTarget, Repeatability, Route, RouteConfiguration, RouteTarget,
    RouteVersion, RoutedService,
};
use thornbridge_proto::fingerprint::Fingerprint;
use thornbridge_proto::peer::membership::{MemberRecord, MemberState, MembershipMessage};
use thornbridge_proto::peer::quarantine::{CrashRecord, QuarantineMessage};
use thornbridge_proto::peer::slice::{SliceMessage, SliceTask};
use thornbridge_proto::peer::view::{
    Instance, InstanceState, RegistryDelta, StoreRevision, ViewMessage,
};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::{
    AttemptId, BackEndId, Incarnation, NodeId, NodeName, RegionName, ServerVersion, ServiceName,
    ZoneName,
};

/// Record returned by every shard.
pub const RECORD: &[u8] = b"0000000000000001";

/// Attempt sent by the gateway.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub attempt: AttemptId,
    pub connection: ConnectionId,
    pub caller: CallerId,
    pub instance: String,
    pub caller_timeout: Duration,
}

/// Gateway under test. Connections open at once unless they are held; other actions are recorded.
pub struct Harness {
    pub gateway: Gateway,
    pub now: Timestamp,
    pub sent: Vec<SentAttempt>,
    pub answers: BTreeMap<CallerId, GatewayAnswer>,
    pub reads: Vec<(ViewKind, u64)>,
    /// Slice tasks and the owners that they were sent to.
    pub tasks: Vec<(SocketAddr, SliceTask)>,
    /// Slice messages sent to peers.
    pub slice_messages: Vec<(SocketAddr, SliceMessage)>,
    /// Displaced servers that peers were told of.
    pub told_displaced: Vec<(SocketAddr, RegistryDelta)>,
    /// Relayed requests that were dropped.
    pub released: Vec<CallerId>,
    pub closed: Vec<ConnectionId>,
    /// Addresses of opened connections, in order.
    pub opened: Vec<SocketAddr>,
    /// Connections that are currently open.
    pub open: Vec<ConnectionId>,
    /// Number of further connections to reset right after they open.
    resets_left: u32,
    holds_connects: bool,
    /// Connections that are held while they open.
    pub pending: Vec<ConnectionId>,
    /// Number of timer events.
    pub timers: u32,
    next_caller: u64,
}

/// Endpoint of another node.
pub fn peer(number: u8) -> PeerEndpoint {
    PeerEndpoint {
        node: NodeId(100 + u64::from(number)),
        address: SocketAddr::from(([10, 0, 1, number], 1)),
    }
}

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Address of a server, different for each id.
pub fn server_address(id: &str) -> SocketAddr {
    let hash = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
    let [high, middle, low, ..] = hash.to_be_bytes();
    SocketAddr::from(([10, high, middle, low], 80))
}

pub fn instance(id: &str, service: &str, state: InstanceState) -> Instance {
    Instance {
        born_ms: 0,
        id: BackEndId::new(id),
        service: ServiceName::new(service),
        address: server_address(id),
        zone: ZoneName::new("zone"),
        slots: 2,
        state,
        version: ServerVersion::default(),
        cold_milliseconds: 0,
    }
}

pub fn route(prefix: &str, target: RouteTarget, repeatability: Repeatability) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "host".to_owned(),
        prefix: prefix.to_owned(),
        target,
        repeatability,
        time_limit: millis(1_000),
        latency_objective: millis(100),
        priority: 0,
        attempts: 2,
        home_regions: Vec::new(),
    }
}

pub fn gather(shards: &[&str], least_share: f64) -> RouteTarget {
    RouteTarget::Gather(GatherTarget {
        shards: shards
            .iter()
            .map(|shard| ServiceName::new(*shard))
            .collect(),
        records: 2,
        least_share,
    })
}

/// Ids of two servers per shard, each with its shard.
pub fn two_servers_per_shard<'a>(shards: &[&'a str]) -> Vec<(String, &'a str)> {
    let servers = shards.iter().copied();
    let replicas = |shard| (0..2).map(move |replica| (format!("{shard}-{replica}"), shard));
    servers.flat_map(replicas).collect()
}

pub fn service(name: &str) -> RouteTarget {
    RouteTarget::Service(ServiceName::new(name))
}

pub fn configuration(version: u64, routes: Vec<Route>) -> RouteConfiguration {
    let names: Vec<ServiceName> = routes
        .iter()
        .flat_map(|route| route.target.services())
        .cloned()
        .collect();
    let services = names.into_iter().map(|name| RoutedService {
        name,
        connections: 40,
        warm_up: None,
    });
    RouteConfiguration {
        version: RouteVersion(version),
        services: services.collect(),
        routes,
        limits: CallerLimits::default(),
    }
}

impl Harness {
    /// Starts a gateway without configuration and registry.
    pub fn unconfigured() -> Self {
        let mut parameters = GatewayParameters::default();
        parameters.budget.ratio = 0.5;
        parameters.budget.settling_windows = 0.0;
        let zone = ZoneName::new("zone");
        let region = RegionName::new("region");
        let gateway = Gateway::new(GatewaySetup {
            endpoint: PeerEndpoint {
                node: NodeId(1),
                address: SocketAddr::from(([10, 0, 0, 9], 1)),
            },
            name: NodeName::new("node"),
            placement: Placement {
                zone: zone.clone(),
                region: region.clone(),
                regions: BTreeMap::from([
                    (zone, region),
                    (ZoneName::new("zone-abroad"), RegionName::new("abroad")),
                ]),
            },
            seeds: Vec::new(),
            seed: 5,
            parameters,
        });
        let mut harness = Self {
            gateway,
            now: Timestamp::ZERO,
            sent: Vec::new(),
            answers: BTreeMap::new(),
            reads: Vec::new(),
            tasks: Vec::new(),
            slice_messages: Vec::new(),
            told_displaced: Vec::new(),
            released: Vec::new(),
            closed: Vec::new(),
            opened: Vec::new(),
            open: Vec::new(),
            resets_left: 0,
            holds_connects: false,
            pending: Vec::new(),
            timers: 0,
            next_caller: 0,
        };
        harness.event(GatewayEvent::Started);
        harness
    }

    /// Starts a gateway and loads these routes and servers.
    pub fn serving(routes: Vec<Route>, servers: &[(&str, &str)]) -> Self {
        let mut harness = Self::unconfigured();
        let instances = servers.iter().enumerate().map(|(index, (id, service))| {
            let revision = StoreRevision::without_era(10 + index as u64);
            ViewObject::Instance(revision, instance(id, service, InstanceState::Ready))
        });
        harness.list_reply(ViewKind::Registry, instances.collect(), 50);
        let object = ViewObject::Configuration(configuration(1, routes));
        harness.list_reply(ViewKind::Configuration, vec![object], 50);
        harness.advance(millis(5_000));
        harness
    }

    pub fn event(&mut self, event: GatewayEvent) {
        self.gateway.handle(self.now, event);
        while let Some(action) = self.gateway.poll_action() {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: GatewayAction) {
        match action {
            GatewayAction::Open {
                connection,
                address,
            } => {
                self.opened.push(address);
                match self.holds_connects {
                    true => self.pending.push(connection),
                    false => self.connection_opened(connection),
                }
            }
            GatewayAction::Close { connection } => {
                self.open.retain(|other| *other != connection);
                self.closed.push(connection);
            }
            GatewayAction::Send {
                attempt,
                connection,
                caller,
                instance,
                caller_timeout,
            } => self.sent.push(SentAttempt {
                attempt,
                connection,
                caller,
                instance: instance.as_str().to_owned(),
                caller_timeout,
            }),
            GatewayAction::Answer { caller, answer } => {
                let before = self.answers.insert(caller, answer);
                assert!(before.is_none(), "{caller:?} answered twice");
            }
            GatewayAction::Read { kind, read, .. } => {
                self.reads.retain(|(other, _)| *other != kind);
                self.reads.push((kind, read));
            }
            GatewayAction::SendTask { to, task, .. } => self.tasks.push((to, *task)),
            GatewayAction::SendPeer {
                to,
                message: PeerMessage::Slice(message),
            } => self.slice_messages.push((to, message)),
            GatewayAction::SendPeer {
                to,
                message: PeerMessage::View(ViewMessage::Registry(delta)),
            } if delta.as_displaced().is_some() => self.told_displaced.push((to, delta)),
            GatewayAction::ReleaseRelayed { caller } => self.released.push(caller),
            _ => {}
        }
    }

    fn connection_opened(&mut self, connection: ConnectionId) {
        self.open.push(connection);
        let connect_time = millis(1);
        self.event(GatewayEvent::ConnectionOpened {
            connection,
            connect_time,
        });
        if self.resets_left > 0 {
            self.resets_left -= 1;
            self.close_by_server(connection);
        }
    }

    /// Leaves new connections pending.
    pub fn hold_connects(&mut self) {
        self.holds_connects = true;
    }

    /// Opens the connections that are held.
    pub fn open_pending(&mut self) {
        for connection in std::mem::take(&mut self.pending) {
            self.connection_opened(connection);
        }
    }

    /// Adds peers and sets the processor share, so that gathers are divided; the budget of extra
    /// attempts is large.
    pub fn join_peers_with_processor_share(&mut self, processor_share: f64, peers: u8) {
        let mut parameters = GatewayParameters::default();
        parameters.set_processor_share(processor_share);
        parameters.budget.ratio = 0.5;
        parameters.budget.slack = 1_000.0;
        parameters.budget.settling_windows = 0.0;
        let parameters = Box::new(parameters);
        self.event(GatewayEvent::Reconfigured { parameters });
        self.add_peers(peers);
        self.advance(millis(300));
    }

    /// Sets the budget of extra attempts to zero.
    pub fn disable_extra_attempts(&mut self) {
        let mut parameters = GatewayParameters::default();
        parameters.budget.ratio = 0.0;
        parameters.budget.slack = 0.0;
        let parameters = Box::new(parameters);
        self.event(GatewayEvent::Reconfigured { parameters });
    }

    /// Adds peers, which never answer probes.
    pub fn add_peers(&mut self, peers: u8) {
        for number in 1..=peers {
            let endpoint = peer(number);
            let member = MemberRecord {
                endpoint,
                operator_address: endpoint.address,
                name: NodeName::new(format!("peer-{number}")),
                zone: ZoneName::new("zone"),
                region: RegionName::new("region"),
                incarnation: Incarnation(0),
                state: MemberState::Alive,
            };
            let message = PeerMessage::Membership(MembershipMessage::Join { member });
            self.event(GatewayEvent::PeerMessage {
                from: endpoint,
                message,
            });
        }
    }

    /// Delivers a slice message from a peer.
    pub fn slice_message(&mut self, from: PeerEndpoint, message: SliceMessage) {
        let message = PeerMessage::Slice(message);
        self.event(GatewayEvent::PeerMessage { from, message });
    }

    /// Delivers a message about views from a peer.
    pub fn view_message(&mut self, from: PeerEndpoint, message: ViewMessage) {
        let message = PeerMessage::View(message);
        self.event(GatewayEvent::PeerMessage { from, message });
    }

    /// Delivers crash records from a peer.
    pub fn quarantine_message(&mut self, from: PeerEndpoint, records: Vec<CrashRecord>) {
        let message = PeerMessage::Quarantine(QuarantineMessage { records });
        self.event(GatewayEvent::PeerMessage { from, message });
    }

    /// Resets the given number of next connections right after they open.
    pub fn reset_next_connections(&mut self, connections: u32) {
        self.resets_left = connections;
    }

    fn close_by_server(&mut self, connection: ConnectionId) {
        self.open.retain(|other| *other != connection);
        // A connection with an attempt fails the attempt; only an idle one is reported as lost.
        let mut attempts = self.sent.iter();
        let event = match attempts.rfind(|sent| sent.connection == connection) {
            Some(sent) => GatewayEvent::Failed {
                attempt: sent.attempt,
                failure: ExchangeFailure::MayHaveRun,
            },
            None => GatewayEvent::ConnectionLost { connection },
        };
        self.event(event);
    }

    /// Answers the pending read of a view with a complete list.
    pub fn list_reply(&mut self, kind: ViewKind, objects: Vec<ViewObject>, at: u64) {
        let reply = SourceReply::Page {
            objects,
            next: None,
            at: StoreRevision::without_era(at),
        };
        self.source_reply(kind, Ok(reply));
    }

    /// Answers the pending watch of a view with changes.
    pub fn watch_reply(&mut self, kind: ViewKind, objects: Vec<ViewObject>, at: u64) {
        let at = StoreRevision::without_era(at);
        self.source_reply(kind, Ok(SourceReply::Changes { objects, at }));
    }

    /// Answers the pending read of a view.
    pub fn source_reply(
        &mut self,
        kind: ViewKind,
        result: Result<SourceReply, crate::gateway::SourceFailure>,
    ) {
        let reads = self.reads.iter();
        let read = reads.copied().find(|(other, _)| *other == kind);
        let (_, read) = read.expect("no pending read of this view");
        self.event(GatewayEvent::SourceReplied { kind, read, result });
    }

    /// Advances time and fires due timers.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(due) = self.gateway.next_timeout()
            && due <= until
        {
            self.now = self.now.max(due);
            self.timers += 1;
            assert!(self.timers < 100_000, "more than 100,000 timer events");
            self.event(GatewayEvent::TimerDue);
            self.now = self.now + Duration::from_micros(10);
        }
        self.now = self.now.max(until);
    }

    pub fn send_request(&mut self, path: &str) -> CallerId {
        self.send_request_with_timeout(path, millis(2_000))
    }

    /// Sends a request whose caller waits for `caller_timeout`.
    pub fn send_request_with_timeout(&mut self, path: &str, caller_timeout: Duration) -> CallerId {
        self.next_caller += 1;
        let caller = CallerId(self.next_caller);
        let head = RequestHead {
            id: Some(format!("request-{}", self.next_caller)),
            fingerprint: Fingerprint(u128::from(self.next_caller)),
            host: "host".to_owned(),
            path: path.to_owned(),
            caller_timeout: Some(caller_timeout),
            first_on_connection: false,
        };
        self.event(GatewayEvent::Request { caller, head });
        caller
    }

    /// Time after which a refused caller may retry.
    pub fn retry_after(&self, caller: CallerId) -> Option<Duration> {
        match self.answers.get(&caller) {
            Some(GatewayAnswer::Refused { retry_after, .. }) => *retry_after,
            _ => None,
        }
    }

    /// Attempts sent for a caller's request.
    pub fn sent_for(&self, caller: CallerId) -> Vec<SentAttempt> {
        let sent = self.sent.iter().filter(|sent| sent.caller == caller);
        sent.cloned().collect()
    }

    pub fn reply(&mut self, attempt: AttemptId, reply: ServerReply) {
        let reply = Box::new(reply);
        self.event(GatewayEvent::Replied { attempt, reply });
    }

    pub fn refusal_status(&self, caller: CallerId) -> Option<crate::gateway::RefusalStatus> {
        match self.answers.get(&caller) {
            Some(GatewayAnswer::Refused { status, .. }) => Some(*status),
            _ => None,
        }
    }
}

pub fn answer(body: &'static [u8]) -> ServerReply {
    ServerReply {
        status: 200,
        headers: http::HeaderMap::new(),
        signature: Some(Bytes::from_static(b"signed")),
        body: Bytes::from_static(body),
        verdict: ReplyVerdict::Answer,
        load: None,
        reusable: true,
        keep_alive: None,
    }
}

pub fn verdict(verdict: ReplyVerdict) -> ServerReply {
    ServerReply {
        verdict,
        status: 503,
        ..answer(b"")
    }
}

/// Answers all attempts, including those sent in response to earlier answers.
pub fn answer_all(harness: &mut Harness) {
    let mut answered = 0;
    while let Some(sent) = harness.sent.get(answered) {
        let attempt = sent.attempt;
        answered += 1;
        harness.reply(attempt, answer(RECORD));
    }
}
