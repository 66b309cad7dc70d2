//! Sampling over the period, and in bursts at one server.

use super::support::{ROUTE, at_ms, new_conductor, node, permits_in, report, requests};
use std::collections::BTreeMap;
use thornbridge_proto::BackEndId;

/// Interval of reports of the busy node.
const REPORT_INTERVAL_MS: u64 = 100;
/// Requests of the busy node in one interval: 40 a second.
const REQUESTS: u32 = 4;
/// Start of the last fifth of the sampling time.
const LAST_FIFTH_MS: u64 = 8_640;
/// End of the first fifth of the sampling time.
const FIRST_FIFTH_MS: u64 = 2_160;

/// Permits and the server sampled, by time since the order in milliseconds.
fn permits_over_the_period() -> Vec<(u64, u32, Option<BackEndId>)> {
    let mut conductor = new_conductor();
    conductor.add_slack();
    let times = (0..10_800).step_by(REPORT_INTERVAL_MS as usize);
    times
        .map(|at| {
            let report = report(vec![requests(ROUTE, REQUESTS)]);
            let permits = conductor.handle_report(at_ms(at), node(0), &report);
            (at, permits_in(&permits), permits.instance)
        })
        .collect()
}

fn sum_between(permits: &[(u64, u32, Option<BackEndId>)], from_ms: u64, to_ms: u64) -> u32 {
    let within = permits
        .iter()
        .filter(|(at, ..)| (from_ms..to_ms).contains(at));
    within.map(|(_, count, _)| count).sum()
}

#[test]
fn sample_is_spent_by_the_end() {
    let permits = permits_over_the_period();
    let sum = sum_between(&permits, 0, 12_000);
    assert!((40..=49).contains(&sum), "{sum}");
}

#[test]
fn a_third_of_the_sample_is_early() {
    let permits = permits_over_the_period();
    let early = sum_between(&permits, 0, FIRST_FIFTH_MS);
    assert!((12..=20).contains(&early), "{early}");
}

#[test]
fn some_of_the_sample_is_kept_for_the_last_fifth() {
    let permits = permits_over_the_period();
    let late = sum_between(&permits, LAST_FIFTH_MS, 12_000);
    assert!((5..=12).contains(&late), "{late}");
}

#[test]
fn all_servers_are_sampled_in_turn() {
    let mut by_server: BTreeMap<Option<BackEndId>, u32> = BTreeMap::new();
    for (_, count, instance) in permits_over_the_period() {
        *by_server.entry(instance).or_default() += count;
    }
    assert_eq!(by_server.len(), 3);
    assert!(
        by_server.values().all(|count| *count >= 10),
        "{by_server:?}"
    );
}

#[test]
fn burst_is_at_the_rate_of_one_server_after_completion() {
    let permits = permits_over_the_period();
    let in_burst = (0..100).map(|tenths| {
        let from = tenths * 100;
        sum_between(&permits, from, from + 500)
    });
    let most = in_burst.max().unwrap_or_default();
    assert!((5..=9).contains(&most), "{most} in half a second");
}
