//! The bound on permits holds for all conductors and nodes together.

use super::support::{ORDERED_AT, ROUTE, answers, new_conductor, node, outcomes, report, requests};
use crate::gateway::rollouts::conductor::Conductor;
use crate::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;
use thornbridge_proto::peer::rollout::RouteReport;

const CONDUCTORS: usize = 3;
const NODES: usize = 4;
/// Part of the bound that the sample may spend.
const SAMPLE_SHARE: f64 = 0.5;
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

fn config() -> Config {
    Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    }
}

/// What becomes of a report.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Answered,
    ReportLost,
    GrantLost,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Requests arrive at a node.
    Requests {
        node: usize,
        count: u32,
    },
    /// A node reports to a conductor.
    Report {
        node: usize,
        conductor: usize,
        delivery: Delivery,
    },
    /// A node uses permits.
    Use {
        node: usize,
        count: u32,
    },
    /// A node's unused permits lapse.
    Lapse {
        node: usize,
    },
    RestartNode {
        node: usize,
    },
    /// A new conductor takes over, knowing nothing.
    TakeOver {
        conductor: usize,
    },
    /// The conductor's write of the first state succeeds, if none has before.
    ClaimSlack {
        conductor: usize,
    },
    Wait {
        ms: u64,
    },
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Answered),
        1 => Just(Delivery::ReportLost),
        1 => Just(Delivery::GrantLost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let nodes = 0..NODES;
    let conductors = 0..CONDUCTORS;
    prop_oneof![
        4 => (nodes.clone(), 1..40_u32).prop_map(|(node, count)| Step::Requests { node, count }),
        8 => (nodes.clone(), conductors.clone(), delivery()).prop_map(
            |(node, conductor, delivery)| Step::Report { node, conductor, delivery }
        ),
        4 => (nodes.clone(), 1..10_u32).prop_map(|(node, count)| Step::Use { node, count }),
        2 => nodes.clone().prop_map(|node| Step::Lapse { node }),
        1 => nodes.prop_map(|node| Step::RestartNode { node }),
        1 => conductors.clone().prop_map(|conductor| Step::TakeOver { conductor }),
        1 => conductors.prop_map(|conductor| Step::ClaimSlack { conductor }),
        4 => (1..400_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// What a node holds; the trial's answers are all good.
#[derive(Clone, Debug, Default)]
struct Node {
    requests: u32,
    permits: u32,
    returned: u32,
    used: u32,
}

impl Node {
    fn take_report(&mut self) -> RouteReport {
        RouteReport {
            requests: std::mem::take(&mut self.requests),
            returned: std::mem::take(&mut self.returned),
            ..answers(ROUTE, outcomes(self.used, 0), outcomes(0, 0))
        }
    }
}

/// Nodes, conductors, and what happened in all.
struct World {
    now: Timestamp,
    nodes: Vec<Node>,
    conductors: Vec<Conductor>,
    slack_claimed: bool,
    requests: u32,
    used: u32,
}

impl World {
    fn new() -> Self {
        Self {
            now: ORDERED_AT,
            nodes: vec![Node::default(); NODES],
            conductors: (0..CONDUCTORS).map(|_| new_conductor()).collect(),
            slack_claimed: false,
            requests: 0,
            used: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Requests { node, count } => {
                self.nodes[node].requests += count;
                self.requests += count;
            }
            Step::Report {
                node,
                conductor,
                delivery,
            } => self.report(node, conductor, delivery),
            Step::Use { node, count } => self.use_permits(node, count),
            Step::Lapse { node } => {
                let node = &mut self.nodes[node];
                node.returned += std::mem::take(&mut node.permits);
            }
            Step::RestartNode { node } => self.nodes[node] = Node::default(),
            Step::TakeOver { conductor } => self.conductors[conductor] = new_conductor(),
            Step::ClaimSlack { conductor } if !self.slack_claimed => {
                self.slack_claimed = true;
                self.conductors[conductor].add_slack();
            }
            Step::ClaimSlack { .. } => {}
            Step::Wait { ms } => self.now = self.now + Duration::from_millis(ms),
        }
    }

    fn report(&mut self, number: usize, conductor: usize, delivery: Delivery) {
        let route = self.nodes[number].take_report();
        if matches!(delivery, Delivery::ReportLost) {
            return;
        }
        let conductor = &mut self.conductors[conductor];
        let permits = conductor.handle_report(self.now, node(number), &report(vec![route]));
        if matches!(delivery, Delivery::Answered) {
            self.nodes[number].permits += super::support::permits_in(&permits);
        }
    }

    fn use_permits(&mut self, node: usize, count: u32) {
        let node = &mut self.nodes[node];
        let used = node.permits.min(count);
        node.permits -= used;
        node.used += used;
        self.used += used;
    }

    /// Permits used and usable.
    fn exposure(&self) -> f64 {
        let usable: u32 = self.nodes.iter().map(|node| node.permits).sum();
        f64::from(self.used + usable)
    }

    fn bound(&self) -> f64 {
        let slack = if self.slack_claimed {
            EXPOSURE_SLACK
        } else {
            0.0
        };
        SAMPLE_SHARE * (EXPOSURE_SHARE * f64::from(self.requests) + slack)
    }
}

proptest! {
    #![proptest_config(config())]

    /// Reports and grants are lost, nodes restart, conductors take over or work at the same time.
    #[test]
    fn permits_of_all_conductors_stay_within_the_sample(
        steps in prop::collection::vec(step(), 1..400)
    ) {
        let mut world = World::new();
        for step in steps {
            world.apply(step);
            let (exposure, bound) = (world.exposure(), world.bound());
            prop_assert!(exposure <= bound, "{exposure} permits, bound {bound}");
        }
    }
}

/// Requests counted by a node may fail before they reach the service.
#[test]
fn part_of_the_earned_permits_is_left_for_requests_that_never_arrive() {
    let mut conductor = new_conductor();
    let mut granted = 0;
    for at in (0..10_700).step_by(100) {
        let report = report(vec![requests(ROUTE, 10)]);
        let now = ORDERED_AT + Duration::from_millis(at);
        granted += super::support::permits_in(&conductor.handle_report(now, node(0), &report));
    }
    assert!(
        f64::from(granted) <= 0.96 * SAMPLE_SHARE * EXPOSURE_SHARE * 1_070.0,
        "{granted}"
    );
}

#[test]
fn slack_added_twice_counts_once() {
    let mut conductor = new_conductor();
    conductor.add_slack();
    conductor.add_slack();
    let mut granted = 0;
    for at in (0..10_700).step_by(100) {
        let report = report(vec![requests(ROUTE, 1)]);
        let now = ORDERED_AT + Duration::from_millis(at);
        granted += super::support::permits_in(&conductor.handle_report(now, node(0), &report));
    }
    assert!(granted <= 30, "{granted}");
}
