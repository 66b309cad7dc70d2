//! A roll-out in virtual time: requests at many nodes, one conductor, seeded draws.

use super::support::{ORDERED_AT, PERIOD, new_conductor, node, report};
use crate::gateway::rollouts::conductor::{Conductor, Decision};
use crate::time::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use thornbridge_proto::peer::rollout::{
    Outcomes, RolloutState, RouteReport, companions_of, route_of_companions,
};

/// Routes of the service.
const ROUTES: [&str; 2] = ["lookup", "sweep"];
/// Time from the order until the state is written and new servers are warm.
const WARM_AFTER: Duration = Duration::from_millis(1_000);
const REPORT_INTERVAL_MS: u64 = 100;
/// Time from a node's report until it has the permits.
const GRANT_DELAY: Duration = Duration::from_millis(5);
const GOOD_ANSWER_MS: std::ops::Range<u64> = 40..120;
/// A bad answer fails at once or is several times slower.
const FAILED_ANSWER_MS: u64 = 20;
const SLOW_ANSWER_MS: std::ops::Range<u64> = 300..500;

/// Version that answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Version {
    Old,
    New,
}

/// Bad share of answers, by version, route and time since the order.
pub(super) type BadShare = fn(Version, usize, Duration) -> f64;

#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) rate_per_s: f64,
    pub(super) nodes: usize,
    /// Number of routes, each with the same part of the requests.
    pub(super) routes: usize,
    pub(super) bad_share: BadShare,
    /// Bad share of the new version's answers to companions, beside `bad_share`.
    pub(super) bad_beside_others: f64,
}

/// What a run showed.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) decision: Decision,
    /// Requests sent to the new version until the decision.
    pub(super) sampled: u32,
    /// Companions among them.
    pub(super) companions: u32,
    /// Bad ones among those sent.
    pub(super) bad: u32,
    /// Requests from the order to the deadline.
    pub(super) requests: u32,
    /// Requests sent to the new version from the order to the deadline.
    pub(super) exposed: u32,
}

/// What an attempt was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Sent {
    ToOld,
    ToNew,
    Companion,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    Answer {
        node: usize,
        route: usize,
        attempt: Sent,
        good: bool,
    },
    Report {
        node: usize,
    },
    /// Permits of a node end.
    Lapse {
        node: usize,
    },
}

#[derive(Clone, Debug, Default)]
struct RouteCounts {
    requests: u32,
    returned: u32,
    trial: Outcomes,
    stable: Outcomes,
    /// Permits: when they become usable and when they lapse.
    permits: Vec<(Timestamp, Timestamp)>,
}

/// Counts of a route and of its companions.
#[derive(Clone, Debug, Default)]
struct RouteNode {
    requests: RouteCounts,
    companions: RouteCounts,
}

impl RouteCounts {
    fn lapse(&mut self, now: Timestamp) {
        let held = self.permits.len();
        self.permits.retain(|(_, until)| now < *until);
        self.returned += (held - self.permits.len()) as u32;
    }

    fn take_permit(&mut self, now: Timestamp) -> bool {
        self.lapse(now);
        let usable = self.permits.iter().position(|(from, _)| *from <= now);
        usable.map(|idx| self.permits.swap_remove(idx)).is_some()
    }

    fn take_report(&mut self, now: Timestamp, route: &str) -> RouteReport {
        self.lapse(now);
        RouteReport {
            route: route.to_owned(),
            requests: std::mem::take(&mut self.requests),
            returned: std::mem::take(&mut self.returned),
            trial: self.trial,
            stable: self.stable,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct SimulatedNode {
    routes: [RouteNode; ROUTES.len()],
    next_report: Option<Timestamp>,
}

struct Simulation {
    scenario: Scenario,
    conductor: Conductor,
    random: Pcg64Mcg,
    nodes: Vec<SimulatedNode>,
    events: BinaryHeap<Reverse<(Timestamp, Event)>>,
    sampled: u32,
    companions: u32,
    bad: u32,
    requests: u32,
}

/// Runs a roll-out until its decision.
pub(super) fn run(scenario: Scenario, seed: u64) -> Run {
    let mut conductor = new_conductor();
    conductor.set_instances(Vec::new());
    let mut simulation = Simulation {
        scenario,
        conductor,
        random: Pcg64Mcg::seed_from_u64(seed),
        nodes: vec![SimulatedNode::default(); scenario.nodes],
        events: BinaryHeap::new(),
        sampled: 0,
        companions: 0,
        bad: 0,
        requests: 0,
    };
    let decision = simulation.run();
    let requests = simulation.requests;
    simulation.count_until_deadline();
    let after_decision = match decision.state {
        RolloutState::Complete => simulation.requests - requests,
        RolloutState::Serving | RolloutState::RolledBack => 0,
    };
    Run {
        decision,
        sampled: simulation.sampled,
        companions: simulation.companions,
        bad: simulation.bad,
        requests: simulation.requests,
        exposed: simulation.sampled + after_decision,
    }
}

impl Simulation {
    fn run(&mut self) -> Decision {
        let warm_at = ORDERED_AT + WARM_AFTER;
        let mut warm = false;
        self.schedule(ORDERED_AT, Event::Request);
        while let Some(Reverse((now, event))) = self.events.pop() {
            if !warm && now >= warm_at {
                warm = true;
                self.conductor.add_slack();
                self.conductor.set_instances(super::support::instances(3));
            }
            self.handle(now, event);
            if let Some(decision) = self.conductor.decide(now) {
                return decision;
            }
            assert!(now < ORDERED_AT + PERIOD, "no decision by the deadline");
        }
        unreachable!("requests follow each other")
    }

    /// Counts the requests that arrive after the decision.
    fn count_until_deadline(&mut self) {
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now >= ORDERED_AT + PERIOD {
                return;
            }
            if event == Event::Request {
                self.arrive(now);
            }
        }
    }

    /// Counts a request and plans the next one.
    fn arrive(&mut self, now: Timestamp) {
        self.requests += 1;
        let draw: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let interval = Duration::from_secs_f64(-draw.ln() / self.scenario.rate_per_s);
        self.schedule(now + interval, Event::Request);
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn handle(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Request => self.request(now),
            Event::Answer {
                node,
                route,
                attempt,
                good,
            } => {
                self.answer(now, node, route, attempt, good);
            }
            Event::Report { node } => {
                self.nodes[node].next_report = None;
                self.report(now, node);
            }
            Event::Lapse { node } => self.report(now, node),
        }
    }

    fn request(&mut self, now: Timestamp) {
        self.arrive(now);
        let node = self.random.random_range(0..self.scenario.nodes);
        let route = self.random.random_range(0..self.scenario.routes);
        let counts = &mut self.nodes[node].routes[route];
        counts.requests.requests += 1;
        if !counts.requests.take_permit(now) {
            self.send(now, node, route, Sent::ToOld);
        } else {
            let has_companion = counts.companions.take_permit(now);
            let good = self.send(now, node, route, Sent::ToNew);
            if has_companion {
                let pair = good & self.send(now, node, route, Sent::Companion);
                let counts = &mut self.nodes[node].routes[route].companions;
                counts.trial.good += u32::from(pair);
                counts.trial.bad += u32::from(!pair);
            }
        }
        self.nodes[node].routes[route].companions.stable.good += 1;
        self.report_soon(now, node);
    }

    /// Sends an attempt; returns whether its answer will be good.
    fn send(&mut self, now: Timestamp, node: usize, route: usize, attempt: Sent) -> bool {
        let (version, bad_beside_others) = match attempt {
            Sent::ToOld => (Version::Old, 0.0),
            Sent::ToNew => (Version::New, 0.0),
            Sent::Companion => (Version::New, self.scenario.bad_beside_others),
        };
        let bad_share = (self.scenario.bad_share)(version, route, now.since(ORDERED_AT));
        let good = !self.random.random_bool(bad_share.max(bad_beside_others));
        let new_version = version == Version::New;
        self.sampled += u32::from(new_version);
        self.companions += u32::from(attempt == Sent::Companion);
        self.bad += u32::from(new_version && !good);
        let answered_at = now + self.answer_time(good);
        let answer = Event::Answer {
            node,
            route,
            attempt,
            good,
        };
        self.schedule(answered_at, answer);
        good
    }

    fn answer_time(&mut self, good: bool) -> Duration {
        let ms = match good {
            true => self.random.random_range(GOOD_ANSWER_MS),
            false if self.random.random_bool(0.5) => FAILED_ANSWER_MS,
            false => self.random.random_range(SLOW_ANSWER_MS),
        };
        Duration::from_millis(ms)
    }

    fn answer(&mut self, now: Timestamp, node: usize, route: usize, attempt: Sent, good: bool) {
        let counts = &mut self.nodes[node].routes[route];
        let outcomes = match attempt {
            Sent::ToOld => &mut counts.requests.stable,
            Sent::ToNew | Sent::Companion => &mut counts.requests.trial,
        };
        match good {
            true => outcomes.good += 1,
            false => outcomes.bad += 1,
        }
        self.report_soon(now, node);
    }

    /// Plans a report at the node's next interval.
    fn report_soon(&mut self, now: Timestamp, node: usize) {
        let interval = Duration::from_millis(REPORT_INTERVAL_MS);
        let phase = Duration::from_millis(node as u64 * 37 % REPORT_INTERVAL_MS);
        let passed_us = (now.since(ORDERED_AT + phase)).as_micros() / interval.as_micros();
        let at = ORDERED_AT + phase + interval * (passed_us as u32 + 1);
        if self.nodes[node].next_report.replace(at).is_none() {
            self.schedule(at, Event::Report { node });
        }
    }

    fn report(&mut self, now: Timestamp, number: usize) {
        let routes = self.nodes[number].routes.iter_mut().zip(ROUTES);
        let routes = routes.flat_map(|(counts, route)| {
            let companions = companions_of(route);
            [
                counts.requests.take_report(now, route),
                counts.companions.take_report(now, &companions),
            ]
        });
        let routes = report(routes.collect());
        let permits = self.conductor.handle_report(now, node(number), &routes);
        let until = now + GRANT_DELAY + permits.valid;
        for (name, count) in &permits.by_route {
            let route = route_of_companions(name).unwrap_or(name);
            let idx = ROUTES.iter().position(|known| *known == route);
            let counts = &mut self.nodes[number].routes[idx.expect("a route of the service")];
            let counts = match route_of_companions(name) {
                Some(_) => &mut counts.companions,
                None => &mut counts.requests,
            };
            let permit = (now + GRANT_DELAY, until);
            counts
                .permits
                .extend(std::iter::repeat_n(permit, *count as usize));
        }
        if !permits.by_route.is_empty() {
            self.schedule(until, Event::Lapse { node: number });
        }
    }
}
