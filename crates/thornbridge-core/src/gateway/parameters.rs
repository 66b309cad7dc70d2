//! Tunable parameters of a gateway and their defaults.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of the views: configuration, registry and evacuated zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ViewParameters {
    /// Whether zones may be evacuated; if so, evacuation orders are read from the store.
    pub evacuations: bool,
    /// Age of views, since the store last confirmed them, at which a node reads the store itself.
    pub staleness_limit: Duration,
    /// Longest wait of a watch. The end of a watch confirms the views.
    pub watch_wait: Duration,
    /// Interval between polls of the member that a node follows.
    pub poll_interval: Duration,
    /// Pause after a watch that returned changes, so that further changes are read together.
    pub coalescing: Duration,
    /// Timeout of a list, and of a watch beyond its wait.
    pub read_timeout: Duration,
    /// Initial timeout of lists, doubled after several failures in a row up to `read_timeout`.
    /// Short, so that a connection opened while the store was down is soon replaced.
    pub first_read_timeout: Duration,
    /// Initial backoff after a failed read, doubled with each further failure.
    pub first_backoff: Duration,
    /// Constant backoff after failed reads while no view is known.
    pub unknown_backoff: Duration,
    /// Upper bound of the backoff between reads.
    pub longest_backoff: Duration,
    /// Interval between exchanges of digests with one random peer.
    pub digest_interval: Duration,
    /// Number of peers notified at once of a new revision.
    pub digest_fanout: usize,
    /// Time for which removed instances are remembered for peers.
    pub departures_kept: Duration,
    /// Longest time for which a new configuration waits for connections to new shards.
    pub staging: Duration,
}

impl Default for ViewParameters {
    fn default() -> Self {
        Self {
            evacuations: true,
            staleness_limit: Duration::from_millis(1_800),
            watch_wait: Duration::from_millis(450),
            poll_interval: Duration::from_millis(360),
            coalescing: Duration::from_millis(300),
            read_timeout: Duration::from_millis(1_000),
            first_read_timeout: Duration::from_millis(400),
            first_backoff: Duration::from_millis(100),
            unknown_backoff: Duration::from_millis(600),
            longest_backoff: Duration::from_millis(1_000),
            digest_interval: Duration::from_millis(2_000),
            digest_fanout: 3,
            departures_kept: Duration::from_secs(120),
            staging: Duration::from_millis(800),
        }
    }
}

/// Bound on the requests that a cold server gets in a second, relative to what it bears.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmUpBound {
    /// Requests per request that the server bears.
    pub overage: f64,
    /// Requests a second beyond those.
    pub slack: f64,
}

/// Parameters of servers, connections and server selection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServerParameters {
    /// Share of a server's connection limit that all nodes together use. Below one half, since the
    /// connections of machines that lost power occupy the server until it closes them.
    pub connection_share: f64,
    /// Share of a server's connection limit that subsetting assigns. The rest is for nodes missing
    /// in other nodes' member lists, and for connections outside of the subset. One half would leave
    /// room for machines that come back after a power loss, at a cost on all other days.
    pub subset_share: f64,
    /// Servers of a service in a node's subset, if not all nodes can connect to all servers.
    pub replicas_wanted: u32,
    /// Servers of a service to connect to ahead of use. Others are connected to on demand.
    pub servers_ahead: usize,
    /// Upper bound of this node's connections to one server.
    pub connections_maximum: u32,
    /// Weight of an observation in the estimate of a server's slowdown.
    pub speed_weight: f64,
    /// Interval between observations at which `speed_weight` applies; the weight grows with longer
    /// intervals.
    pub speed_interval: Duration,
    /// Half-life of a server's slowdown without observations.
    pub speed_half_life: Duration,
    /// Cost of a server in another zone, beyond its latency; cross-zone traffic is charged for.
    pub other_zone_cost: Duration,
    /// Cost of a server in another region, beyond its latency.
    pub other_region_cost: Duration,
    /// Cost added by a failure.
    pub failure_cost: Duration,
    /// Cost added by a connection that could not be opened.
    pub unreachable_cost: Duration,
    /// Half-life of failure costs.
    pub failure_half_life: Duration,
    /// Cost of a server that rejects all requests.
    pub rejection_cost: Duration,
    /// Weight of an answer in the rejection rate of a server.
    pub rejection_weight: f64,
    /// Half-life of the rejection rate without requests. Longer than that of failures, since a
    /// server may reject requests for long and each node seldom sends to it.
    pub rejection_half_life: Duration,
    /// Multiple of the expected latency, plus `silence_margin`, after which an attempt is overdue.
    pub silence_factor: f64,
    /// Time beyond `silence_factor` times the expected latency after which an attempt is overdue.
    pub silence_margin: Duration,
    /// Cost of a server with an overdue attempt.
    pub silence_cost: Duration,
    /// Least time without an answer after which a connection may be dead. Older idle connections to
    /// the server are then closed, and another connection may be opened. Longer than usual pauses
    /// of servers, and half of the second in which a request should be served.
    pub dead_connection: Duration,
    /// Initial backoff after a connection that could not be opened or was closed before it carried
    /// an answer; doubled with each further one in a row.
    pub reconnect_pause: Duration,
    /// Upper bound of the reconnect backoff after connections that could not be opened.
    pub reconnect_pause_maximum: Duration,
    /// Upper bound of the reconnect backoff after connections that were closed at once, by servers at
    /// their connection limit.
    pub refused_pause_maximum: Duration,
    /// Idle timeout of connections, unless the server announces a shorter one.
    pub idle_time: Duration,
    /// Idle timeout of connections to a server beyond the first, and of connections outside of the
    /// subset.
    pub spare_idle_time: Duration,
    /// Idle timeout while servers refuse connections, so that nodes share the available ones.
    pub scarce_idle_time: Duration,
    /// Window in which refused connections are counted.
    pub scarcity_window: Duration,
    /// Time after startup in which the member list may be incomplete; one connection to each server
    /// is allowed.
    pub settling: Duration,
    /// Window over which the maximum number of members is taken.
    pub members_memory: Duration,
    /// Time for which an instance is still used as a last resort after its entry vanished; its
    /// server may write a lost entry again with the next heartbeat.
    pub vanished_grace: Duration,
    /// Longest use of a vanished instance after the store last confirmed its entry.
    pub vanished_unconfirmed: Duration,
    /// Time for which servers count as cold after an evacuation.
    pub cold_after_evacuation: Duration,
    /// Bound on what cold servers get, of services that tell what these bear; `None` if there is none.
    pub warm_up_bound: Option<WarmUpBound>,
    /// Samples from which quantiles of the work are taken.
    pub work_samples: usize,
}

impl Default for ServerParameters {
    fn default() -> Self {
        Self {
            connection_share: 0.45,
            subset_share: 0.8,
            replicas_wanted: 3,
            servers_ahead: 3,
            connections_maximum: 32,
            speed_weight: 0.2,
            speed_interval: Duration::from_millis(200),
            speed_half_life: Duration::from_secs(2),
            other_zone_cost: Duration::from_micros(1_500),
            other_region_cost: Duration::from_millis(5),
            failure_cost: Duration::from_millis(40),
            unreachable_cost: Duration::from_millis(300),
            failure_half_life: Duration::from_millis(1_000),
            rejection_cost: Duration::from_millis(60),
            rejection_weight: 0.3,
            rejection_half_life: Duration::from_secs(5),
            silence_factor: 2.0,
            silence_margin: Duration::from_millis(6),
            silence_cost: Duration::from_millis(60),
            dead_connection: Duration::from_millis(500),
            reconnect_pause: Duration::from_millis(300),
            reconnect_pause_maximum: Duration::from_millis(2_400),
            refused_pause_maximum: Duration::from_secs(20),
            idle_time: Duration::from_secs(20),
            spare_idle_time: Duration::from_secs(4),
            scarce_idle_time: Duration::from_millis(50),
            scarcity_window: Duration::from_secs(2),
            settling: Duration::from_secs(3),
            members_memory: Duration::from_secs(20),
            vanished_grace: Duration::from_millis(1_800),
            vanished_unconfirmed: Duration::from_millis(2_550),
            cold_after_evacuation: Duration::from_secs(3),
            warm_up_bound: None,
            work_samples: 256,
        }
    }
}

/// Parameters of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ExchangeParameters {
    /// One-way network delay to a caller; the latency objective is measured at the caller.
    pub caller_delay: Duration,
    /// Time reserved for this node's own work between the decision to answer and the last byte.
    pub answer_margin: Duration,
    /// Upper bound of the time reserved for observed delays of this node's answers, as a share of
    /// the latency objective.
    pub delay_share_maximum: f64,
    /// Quantile of the work after which a request may be hedged.
    pub hedge_quantile: f64,
    /// Time reserved for a hedge before the answer is due, in multiples of the hedge's expected
    /// latency.
    pub hedge_reserve: f64,
    /// Least delay of a hedge.
    pub hedge_minimum: Duration,
    /// Initial delay of hedges, as a share of the latency objective.
    pub hedge_initial_share: f64,
    /// Interval between checks of a request that waits for the budget or a server.
    pub look_interval: Duration,
    /// Time after the end of a request until its attempts are cancelled. Cancelling closes the
    /// connection, and most attempts end by themselves.
    pub gone_grace: Duration,
    /// Least `Retry-After` time of a refused caller.
    pub retry_after: Duration,
    /// `Retry-After` time of a caller that cannot be served yet, as a share of the caller timeout:
    /// long, since the caller retries only once, and short enough for the retry to be served.
    pub retry_after_share: f64,
    /// Share of the caller timeout for which a request waits while no configuration or registry is
    /// known.
    pub awaiting_share: f64,
    /// Time after startup in which missing servers may still register: the store may have lost their
    /// entries while it was unavailable.
    pub settling: Duration,
    /// Time beyond the expected report after which an owner of a slice counts as silent and another
    /// owner gets the slice, as a share of the latency objective. With lower values, loaded owners
    /// count as silent.
    pub silent_owner_share: f64,
    /// Number of concurrent requests beyond which new ones are refused.
    pub requests_maximum: usize,
}

impl Default for ExchangeParameters {
    fn default() -> Self {
        Self {
            caller_delay: Duration::from_millis(3),
            answer_margin: Duration::from_millis(5),
            delay_share_maximum: 0.5,
            hedge_quantile: 0.9,
            hedge_reserve: 2.0,
            hedge_minimum: Duration::from_millis(2),
            hedge_initial_share: 0.25,
            look_interval: Duration::from_millis(5),
            gone_grace: Duration::from_millis(250),
            retry_after: Duration::from_millis(100),
            retry_after_share: 0.25,
            awaiting_share: 0.35,
            settling: Duration::from_secs(3),
            silent_owner_share: 0.2,
            requests_maximum: 400,
        }
    }
}

/// Parameters of the retry budget, which all nodes share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BudgetParameters {
    /// Extra attempts per request of a service.
    pub ratio: f64,
    /// Extra attempts per window in addition to those earned by `ratio`, for all nodes together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Share of the budget that is used; the rest covers attempts that reach servers later than
    /// they are counted.
    pub used_share: f64,
    /// Windows after startup in which only the share left by `used_share` may be used, since the
    /// previous process may have used the rest.
    pub settling_windows: f64,
}

impl Default for BudgetParameters {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 10.0,
            window: Duration::from_secs(10),
            used_share: 0.9,
            settling_windows: 1.05,
        }
    }
}

/// Parameters of gathers that are divided among nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SliceParameters {
    /// Processor time of this node for one part of a gather. Zero if unknown; gathers are not
    /// divided then.
    pub part_cost: Duration,
    /// Assumed round trip to another node.
    pub hop: Duration,
    /// Share of the latency objective that an undivided gather may take of this node's processor
    /// time.
    pub whole_share_maximum: f64,
    /// Upper bound of the time reserved for the round trip to an owner, as a share of the latency
    /// objective.
    pub overhead_share_maximum: f64,
    /// Time initially reserved for the round trip to an owner, as a share of the latency objective.
    pub overhead_share_initial: f64,
    /// Half-life of an owner's failures.
    pub failure_half_life: Duration,
}

impl Default for SliceParameters {
    fn default() -> Self {
        Self {
            part_cost: Duration::ZERO,
            hop: Duration::from_millis(3),
            whole_share_maximum: 0.25,
            overhead_share_maximum: 0.5,
            overhead_share_initial: 0.2,
            failure_half_life: Duration::from_secs(2),
        }
    }
}

/// Parameters of the quarantine of requests that crash servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct QuarantineParameters {
    /// Whether requests that crash servers are detected.
    pub enabled: bool,
    /// Servers that must have crashed under a request before it is restricted to canaries. Lower
    /// values also affect requests that ran concurrently with a crashing one.
    pub crashes: usize,
    /// Servers that may get a request after `crashes` crashes, so that an answer can clear it.
    pub canaries: u32,
    /// Longest time in which canaries may get a request. Longer than usual pauses of servers, and an
    /// eighth of the least time within which all nodes must know of the request.
    pub testing: Duration,
    /// Delay after a crash until peers are notified; most requests are cleared by then.
    pub telling: Duration,
    /// Interval between messages to one random peer while there are records.
    pub repair_interval: Duration,
    /// Time after the last crash for which a request stays quarantined. Servers may be repaired
    /// meanwhile, and one of them gets the request then.
    pub kept: Duration,
    /// Time for which an answered request is not suspected. Connections of servers that end together
    /// break within a second or two.
    pub answered_lifetime: Duration,
    /// Upper bound of the number of records.
    pub records_maximum: usize,
}

impl Default for QuarantineParameters {
    fn default() -> Self {
        Self {
            enabled: true,
            crashes: 3,
            canaries: 2,
            testing: Duration::from_millis(500),
            telling: Duration::from_millis(100),
            repair_interval: Duration::from_secs(1),
            kept: Duration::from_secs(180),
            answered_lifetime: Duration::from_secs(10),
            records_maximum: 2_048,
        }
    }
}

/// Processor time for one part of a gather on a full core, at the lower end: 180 parts take 10 to
/// 40 ms.
const PART_COST_PER_CORE: Duration = Duration::from_micros(100);

/// Parameters of roll-outs of server versions.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RolloutParameters {
    /// Whether roll-outs may be ordered; if so, orders are read from the store.
    pub enabled: bool,
    /// Requests that a rejected version may have got until its deadline, per request of its service.
    pub exposure_share: f64,
    /// Requests that it may have got beyond those.
    pub exposure_slack: f64,
    /// Time after its 50th bad answer from which a version must get no requests.
    pub stop_within: Duration,
}

impl Default for RolloutParameters {
    fn default() -> Self {
        Self {
            enabled: false,
            exposure_share: 0.1,
            exposure_slack: 50.0,
            stop_within: Duration::from_secs(5),
        }
    }
}

/// All tunable parameters of a gateway.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayParameters {
    /// Views.
    pub views: ViewParameters,
    /// Servers.
    pub servers: ServerParameters,
    /// Requests.
    pub exchange: ExchangeParameters,
    /// Gathers that are divided among nodes.
    pub slices: SliceParameters,
    /// Quarantine of requests that crash servers.
    pub quarantine: QuarantineParameters,
    /// Retry budget.
    pub budget: BudgetParameters,
    /// Roll-outs.
    pub rollouts: RolloutParameters,
    /// Membership.
    pub membership: crate::membership::MembershipParameters,
}

/// Staleness limit of views, as a share of the shortest time within which a change must take effect.
const STALENESS_SHARE: f64 = 0.6;
/// Wait of a watch, as a share of the staleness limit.
const WATCH_SHARE: f64 = 0.25;
/// Poll interval, as a share of the staleness limit.
const POLL_SHARE: f64 = 0.2;
/// Grace period of vanished servers, as a share of the drain time.
const VANISHED_SHARE: f64 = 0.6;
/// Longest use of a vanished server since the store last confirmed its entry, as a share of the drain
/// time.
const UNCONFIRMED_SHARE: f64 = 0.85;

impl GatewayParameters {
    /// Derives the part cost of gathers from the share of a processor core that this node has.
    pub fn set_processor_share(&mut self, share: f64) {
        if share.is_finite() && share > 0.0 {
            self.slices.part_cost = PART_COST_PER_CORE.div_f64(share);
        }
    }

    /// Derives view and server parameters from the operator's bounds: the time within which a
    /// configuration must be active, and the times after which draining servers and servers of
    /// evacuated zones must get no requests.
    pub fn apply_operator_bounds(
        &mut self,
        activation: Duration,
        drain: Duration,
        evacuation: Option<Duration>,
    ) {
        let shortest = activation
            .min(drain)
            .min(evacuation.unwrap_or(Duration::MAX));
        self.views.evacuations = evacuation.is_some();
        let limit = shortest.mul_f64(STALENESS_SHARE);
        self.views.staleness_limit = limit;
        self.views.watch_wait = limit.mul_f64(WATCH_SHARE);
        self.views.poll_interval = limit.mul_f64(POLL_SHARE);
        self.servers.vanished_grace = drain.mul_f64(VANISHED_SHARE);
        self.servers.vanished_unconfirmed = drain.mul_f64(UNCONFIRMED_SHARE);
    }
}
