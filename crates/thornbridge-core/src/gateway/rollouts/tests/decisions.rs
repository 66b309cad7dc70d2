//! Shares of good versions that are condemned and of bad ones that are completed, over seeded draws.

use super::simulation::{BadShare, Run, Scenario, Version, run};
use crate::gateway::rollouts::conductor::DecisionReason;
use std::time::Duration;

/// Runs of a good version: its errors are rare.
const GOOD_RUNS: u64 = 1_000;
/// Runs of a bad version.
const BAD_RUNS: u64 = 200;
/// Runs are more by this factor where `THORNBRIDGE_LONG` is set.
const LONG_FACTOR: u64 = 10;

/// Nodes of a large deployment, of which each has few requests.
const MANY_NODES: usize = 72;
/// Nodes of a small one.
const FEW_NODES: usize = 6;

const HALF: Duration = Duration::from_secs(6);
const TROUBLE: std::ops::Range<Duration> = Duration::from_secs(4)..Duration::from_secs(7);

/// Shares of the runs by their decision, and means.
#[derive(Debug, Default)]
struct Shares {
    runs: u32,
    worse: u32,
    undecided: u32,
    completed: u32,
    sampled: u32,
    bad: u32,
    most_bad: u32,
}

impl Shares {
    fn add(&mut self, run: &Run) {
        self.runs += 1;
        match run.decision.reason {
            DecisionReason::Worse => self.worse += 1,
            DecisionReason::Undecided => self.undecided += 1,
            DecisionReason::NotWorse => self.completed += 1,
        }
        self.sampled += run.sampled;
        self.bad += run.bad;
        self.most_bad = self.most_bad.max(run.bad);
    }

    fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.runs)
    }

    fn completed_share(&self) -> f64 {
        self.share(self.completed)
    }

    fn condemned_share(&self) -> f64 {
        self.share(self.worse)
    }
}

fn shares(name: &str, rate_per_s: f64, nodes: usize, runs: u64, bad_share: BadShare) -> Shares {
    let long = std::env::var_os("THORNBRIDGE_LONG").is_some();
    let runs = if long { runs * LONG_FACTOR } else { runs };
    let scenario = Scenario {
        rate_per_s,
        nodes,
        bad_share,
    };
    let mut shares = Shares::default();
    for seed in 0..runs {
        shares.add(&run(scenario, seed));
    }
    println!(
        "| {name} | {rate_per_s} | {nodes} | {runs} | {:.4} | {:.4} | {:.4} | {:.1} | {:.1} | {} |",
        shares.share(shares.worse),
        shares.share(shares.undecided),
        shares.share(shares.completed),
        shares.share(shares.sampled),
        shares.share(shares.bad),
        shares.most_bad,
    );
    shares
}

/// The rates and numbers of nodes that each test runs at.
const SETTINGS: [(f64, usize); 4] = [
    (8.0, MANY_NODES),
    (8.0, FEW_NODES),
    (40.0, MANY_NODES),
    (40.0, FEW_NODES),
];

fn assert_seldom_condemned(name: &str, bad_share: BadShare) {
    for (rate_per_s, nodes) in SETTINGS {
        let shares = shares(name, rate_per_s, nodes, GOOD_RUNS, bad_share);
        assert!(
            shares.condemned_share() <= 0.005,
            "{rate_per_s}, {nodes}: {shares:?}"
        );
    }
}

/// `bounds`: completed shares allowed, for each of [`SETTINGS`].
fn assert_seldom_completed(name: &str, bounds: [f64; 4], bad_share: BadShare) {
    for ((rate_per_s, nodes), bound) in SETTINGS.into_iter().zip(bounds) {
        let shares = shares(name, rate_per_s, nodes, BAD_RUNS, bad_share);
        assert!(
            shares.completed_share() <= bound,
            "{rate_per_s}, {nodes}: {shares:?}"
        );
        assert!(shares.most_bad < 50, "{rate_per_s}, {nodes}: {shares:?}");
    }
}

fn usual(version: Version, at_new: f64) -> f64 {
    match version {
        Version::Old => 0.005,
        Version::New => at_new,
    }
}

#[test]
fn good_version_is_seldom_condemned() {
    assert_seldom_condemned("good", |_, _, _| 0.005);
}

#[test]
fn errors_at_both_versions_seldom_condemn() {
    assert_seldom_condemned("0.05 bad at both", |_, _, _| 0.05);
}

#[test]
fn burst_of_trouble_at_both_versions_seldom_condemns() {
    assert_seldom_condemned("trouble at both for 3 s", |_, _, at| {
        if TROUBLE.contains(&at) { 0.5 } else { 0.005 }
    });
}

#[test]
fn version_bad_in_two_fifths_is_seldom_completed() {
    assert_seldom_completed("0.4 bad", [0.05; 4], |version, _, _| usual(version, 0.4));
}

#[test]
fn version_bad_in_three_fifths_is_seldom_completed() {
    assert_seldom_completed("0.6 bad", [0.02; 4], |version, _, _| usual(version, 0.6));
}

#[test]
fn version_always_bad_is_never_completed() {
    assert_seldom_completed("always bad", [0.0; 4], |version, _, _| usual(version, 1.0));
}

fn from_half(version: Version, at: Duration, share: f64) -> f64 {
    usual(version, if at < HALF { 0.005 } else { share })
}

#[test]
fn version_bad_in_two_fifths_late_is_seldom_completed() {
    assert_seldom_completed("0.4 bad from half", [0.05; 4], |version, _, at| {
        from_half(version, at, 0.4)
    });
}

#[test]
fn version_bad_in_three_fifths_late_is_seldom_completed() {
    assert_seldom_completed("0.6 bad from half", [0.05; 4], |version, _, at| {
        from_half(version, at, 0.6)
    });
}

#[test]
fn version_always_bad_late_is_seldom_completed() {
    assert_seldom_completed("always bad from half", [0.02; 4], |version, _, at| {
        from_half(version, at, 1.0)
    });
}

fn on_one_route(version: Version, route: usize, share: f64) -> f64 {
    usual(version, if route == 0 { 0.005 } else { share })
}

#[test]
fn version_bad_in_two_fifths_on_one_route_is_seldom_completed() {
    assert_seldom_completed("0.4 bad on one route", [0.05; 4], |version, route, _| {
        on_one_route(version, route, 0.4)
    });
}

#[test]
fn version_bad_in_three_fifths_on_one_route_is_seldom_completed() {
    assert_seldom_completed("0.6 bad on one route", [0.05; 4], |version, route, _| {
        on_one_route(version, route, 0.6)
    });
}

#[test]
fn version_always_bad_on_one_route_is_seldom_completed() {
    assert_seldom_completed("always bad on one route", [0.02; 4], |version, route, _| {
        on_one_route(version, route, 1.0)
    });
}
