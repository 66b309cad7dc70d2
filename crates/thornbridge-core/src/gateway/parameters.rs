//! Tunable values of a gateway, each with its default and the reason for it.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Tunable values of the views.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ViewParameters {
    /// Whether zones may be evacuated: orders of that are read then.
    pub evacuations: bool,
    /// Age of views, since the store last confirmed them, at which a node reads the store itself.
    pub staleness_limit: Duration,
    /// Longest wait of a watch. Views are confirmed when it ends.
    pub watch_wait: Duration,
    /// Time between polls of the member that a node follows.
    pub poll_interval: Duration,
    /// Pause after a watch that brought changes: more often follow, and each call has its price.
    pub coalescing: Duration,
    /// Time beyond the wait, or for a list, after which a read has failed.
    pub read_timeout: Duration,
    /// The same for the first reads, doubled with each second that fails: a store that was away when a
    /// connection was opened is tried again soon.
    pub first_read_timeout: Duration,
    /// First pause after a read that failed; doubled with each.
    pub first_backoff: Duration,
    /// Pause after a read that failed while nothing is known; it does not grow.
    pub unknown_backoff: Duration,
    /// Longest pause between reads.
    pub longest_backoff: Duration,
    /// Time between exchanges of digests with one peer drawn at random.
    pub digest_interval: Duration,
    /// Peers that are told at once of a new revision.
    pub digest_fanout: usize,
    /// Time for which departures are remembered for peers.
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

/// Tunable values of the servers and their choice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServerParameters {
    /// Share of a server's connections that all nodes together use. Below a half, since machines
    /// that lose power leave theirs to the server for a while, and come back for new ones.
    pub connection_share: f64,
    /// Share of a server's connections that is given out where not every node can have one. The
    /// rest is for nodes that others do not know yet, and for second choices. A half would leave
    /// room for machines that come back after a power loss, and costs more on all other days.
    pub subset_share: f64,
    /// Servers of a service that a node wants to be connected to, where not all are open to it.
    pub replicas_wanted: u32,
    /// Servers of a service to which a connection is opened ahead of use: the choice, a second
    /// attempt, and one in reserve. Others are connected to when a request needs them.
    pub servers_ahead: usize,
    /// Most connections of this node to one server.
    pub connections_maximum: u32,
    /// Weight of the newest observation of a server's speed.
    pub speed_weight: f64,
    /// Time between observations of a server for which the weight holds; after longer times the
    /// newest weighs as much as those that were missed.
    pub speed_interval: Duration,
    /// Half-life of what is known of a server's speed, while nothing is observed.
    pub speed_half_life: Duration,
    /// Cost of a server in another zone, beside its latency: bytes between zones are paid for.
    pub other_zone_cost: Duration,
    /// Cost of a server in another region.
    pub other_region_cost: Duration,
    /// Cost that a failure adds.
    pub failure_cost: Duration,
    /// Cost that a refused connection adds.
    pub unreachable_cost: Duration,
    /// Half-life of these costs.
    pub failure_half_life: Duration,
    /// Cost of a server that rejects all that it gets: an attempt of the few that a part has.
    pub rejection_cost: Duration,
    /// Weight of the newest answer in the share that a server rejects.
    pub rejection_weight: f64,
    /// Half-life of that share while nothing is sent to the server. Longer than other failures are
    /// remembered: a server that works at a part of its requests may do so for long, and each node
    /// meets it seldom.
    pub rejection_half_life: Duration,
    /// An attempt this many times older than expected makes its server a poor choice.
    pub silence_factor: f64,
    /// The same, in time that is added.
    pub silence_margin: Duration,
    /// Cost of a server that is silent.
    pub silence_cost: Duration,
    /// Least time without an answer after which it may be the connection that is dead: others to the
    /// server that were not used since are closed, and a fresh one may be opened beside it. More than
    /// servers pause (0.3 s), and half of the second in which a request is to be served.
    pub dead_connection: Duration,
    /// Pause after a connection that could not be opened, or that was closed before it carried
    /// an answer; doubled with each in a row.
    pub reconnect_pause: Duration,
    /// Longest such pause after connections that could not be opened.
    pub reconnect_pause_maximum: Duration,
    /// Longest such pause after connections that were closed at once: the server has too many, and
    /// will for as long as there are so many nodes.
    pub refused_pause_maximum: Duration,
    /// Time that a resting connection is kept, where the server names none.
    pub idle_time: Duration,
    /// The same for connections beyond the first to a server: they are left of a burst, and a
    /// machine that loses power leaves them to the server for a while.
    pub spare_idle_time: Duration,
    /// Time that a connection is kept after use while servers refuse others: all nodes share them.
    pub scarce_idle_time: Duration,
    /// Time for which a refused connection is remembered.
    pub scarcity_window: Duration,
    /// Time after a start in which other members may not be known: one connection a server.
    pub settling: Duration,
    /// Time for which the highest number of members counts.
    pub members_memory: Duration,
    /// Time that an instance is still used, as a last choice, after its entry vanished without
    /// notice: the store may have lost entries that their servers write again within a heartbeat.
    pub vanished_grace: Duration,
    /// The same, counted from when the store last confirmed that the entry was there.
    pub vanished_unconfirmed: Duration,
    /// Time for which servers count as cold after an evacuation: as users say of their start (3 s).
    pub cold_after_evacuation: Duration,
    /// Answers from which a quantile of the work is taken.
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
            work_samples: 256,
        }
    }
}

/// Tunable values of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ExchangeParameters {
    /// One way to a caller: a latency objective counts at the caller.
    pub caller_delay: Duration,
    /// Time kept for this node's own work between the decision to answer and the last byte.
    pub answer_margin: Duration,
    /// Most that is kept, as a share of the latency objective, for the time that answers of this
    /// node are seen to wait after they were decided.
    pub delay_share_maximum: f64,
    /// Quantile of the work after which a second attempt is made, at the soonest.
    pub hedge_quantile: f64,
    /// Time that is kept for a second attempt before an answer is due, in times that it usually takes.
    pub hedge_reserve: f64,
    /// Least time before a second attempt.
    pub hedge_minimum: Duration,
    /// Share of the latency objective that a second attempt waits before anything is learnt.
    pub hedge_initial_share: f64,
    /// Time between looks at a request that waits for the budget or a server.
    pub look_interval: Duration,
    /// Time after a caller left before its attempts are cut off. Most end by themselves, and a
    /// connection is dear.
    pub gone_grace: Duration,
    /// When a refused caller is to come back, at the soonest.
    pub retry_after: Duration,
    /// When one that cannot be served yet is to come back, as a share of its patience: late, since
    /// it comes back once only, and early enough to be served then.
    pub retry_after_share: f64,
    /// Share of a caller's patience for which its request waits while no configuration or registry
    /// is known.
    pub awaiting_share: f64,
    /// Time after a start in which servers that are not registered may still come: the store may
    /// have lost their entries while it was away.
    pub settling: Duration,
    /// Time beyond the expected report after which an owner of a slice counts as silent: another one is
    /// asked, and later gathers avoid it. As a share of the latency objective: against 0.3, 0.1 costs
    /// 0.014 ± 0.007 on days of high load, where loaded owners are taken for silent, and gains 0.03 where
    /// 30% of the nodes are (pairs of days, docs/DECISIONS).
    pub silent_owner_share: f64,
    /// Requests at once, beyond which new ones are refused.
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

/// The budget of attempts beyond the first, for all nodes together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BudgetParameters {
    /// Extra attempts for each request of a service.
    pub ratio: f64,
    /// Extra attempts in a window beside those, for all nodes together.
    pub slack: f64,
    /// Window.
    pub window: Duration,
    /// Share of the budget that is used: attempts arrive later than they are counted here.
    pub used_share: f64,
    /// Windows after a start in which only what [`Self::used_share`] leaves is used: the process before
    /// may have used the rest up to its end, and its last attempts arrive later than they were counted.
    pub settling_windows: f64,
}

impl Default for BudgetParameters {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 10.0,
            window: Duration::from_secs(10),
            used_share: 0.85,
            settling_windows: 1.05,
        }
    }
}

/// Tunable values of gathers that are divided among nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SliceParameters {
    /// Time that this node needs for one part of a gather: to send it and to take its answer. Zero
    /// where it is not known; gathers are not divided then.
    pub part_cost: Duration,
    /// Way to another node and back, as far as it is known before one was asked: two zones of a
    /// region.
    pub hop: Duration,
    /// Share of the latency objective that a whole gather may take of this node's time before it
    /// is divided. A guess: the rest is for the servers and the ways.
    pub whole_share_maximum: f64,
    /// Most that is kept for the way to an owner and back, as a share of the latency objective. A
    /// guess, as for answers that wait in this node.
    pub overhead_share_maximum: f64,
    /// What is kept before anything was observed. A guess.
    pub overhead_share_initial: f64,
    /// Half-life of an owner's failures: about the time in which members learn that one is gone.
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

/// Tunable values of requests that crash servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct QuarantineParameters {
    /// Whether such requests are looked for at all.
    pub enabled: bool,
    /// Servers that must have crashed under a request. Two would be met by others that ran beside one
    /// twice; each more costs servers.
    pub crashes: usize,
    /// Servers that may get it after that, so that one can clear it.
    pub canaries: u32,
    /// Longest time for which they may: several times as long as a server pauses (0.3 s), and an eighth
    /// of the least time in which users want it to be known everywhere (4 s).
    pub testing: Duration,
    /// Time after a crash until others are told of it: most requests are cleared by then.
    pub telling: Duration,
    /// Time between messages to one peer drawn at random, while there is something to tell.
    pub repair_interval: Duration,
    /// Time after its last crash for which a request is kept from servers. A guess: servers may be
    /// repaired meanwhile, and one of them gets it then.
    pub kept: Duration,
    /// Time for which an answered request is not suspected: connections of servers that end at one
    /// moment break within a second or two. A guess beyond that.
    pub answered_lifetime: Duration,
    /// Requests that are remembered: about 0.5 MB.
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

/// Time that a whole processor core needs for one part of a gather: 180 parts take 10 to 40 ms of one
/// (docs/design/0017), so that it is calculated, and at the lower end.
const PART_COST_OF_A_CORE: Duration = Duration::from_micros(100);

/// All tunable values of a gateway.
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
    /// Requests that crash servers.
    pub quarantine: QuarantineParameters,
    /// Extra attempts.
    pub budget: BudgetParameters,
    /// Membership.
    pub membership: crate::membership::MembershipParameters,
}

/// Part of the time in which a change must be in force after which views count as too old.
const STALENESS_SHARE: f64 = 0.6;
/// Part of that age that a watch waits.
const WATCH_SHARE: f64 = 0.25;
/// Part of that age between polls.
const POLL_SHARE: f64 = 0.2;
/// Part of the time to drain for which a server whose entry vanished is still a last choice.
const VANISHED_SHARE: f64 = 0.6;
/// Part of the time to drain, from when the store last confirmed its entry, after which it is none.
const UNCONFIRMED_SHARE: f64 = 0.85;

impl GatewayParameters {
    /// Fits the division of gathers to the share of a processor core that this node has.
    pub fn fit_processor(&mut self, share: f64) {
        if share.is_finite() && share > 0.0 {
            self.slices.part_cost = PART_COST_OF_A_CORE.div_f64(share);
        }
    }

    /// Fits the views and servers to the operator's bounds: the time in which a configuration must be in
    /// force, and those after which leaving servers, and servers of evacuated zones, must get nothing.
    pub fn fit(&mut self, in_force: Duration, drain: Duration, evacuation: Option<Duration>) {
        let least = in_force.min(drain).min(evacuation.unwrap_or(Duration::MAX));
        self.views.evacuations = evacuation.is_some();
        let limit = least.mul_f64(STALENESS_SHARE);
        self.views.staleness_limit = limit;
        self.views.watch_wait = limit.mul_f64(WATCH_SHARE);
        self.views.poll_interval = limit.mul_f64(POLL_SHARE);
        self.servers.vanished_grace = drain.mul_f64(VANISHED_SHARE);
        self.servers.vanished_unconfirmed = drain.mul_f64(UNCONFIRMED_SHARE);
    }
}
