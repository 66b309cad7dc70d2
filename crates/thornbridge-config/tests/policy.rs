//! Policy files: what they change, and what is refused.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use thornbridge_config::policy::apply;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Hedging {
    delay: Duration,
    reserve: f64,
    attempts: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Values {
    enabled: bool,
    hedging: Hedging,
}

#[test]
fn a_policy_changes_what_it_names_and_nothing_else() {
    let values = Values {
        enabled: true,
        ..Values::default()
    };
    let policy = "[hedging]\ndelay_ms = 1500.5\nreserve = 3";
    let changed = apply(&values, policy).unwrap();
    assert!(changed.enabled);
    assert_eq!(changed.hedging.delay, Duration::from_micros(1_500_500));
    assert_eq!(changed.hedging.reserve, 3.0);
    assert_eq!(changed.hedging.attempts, 0);
}

#[test]
fn every_problem_is_told_at_once() {
    let policy = "enabled = 1\nunknown = 2\n[hedging]\ndelay = 3\ndelay_ms = -1\nattempts = 'x'";
    let error = apply(&Values::default(), policy).unwrap_err().to_string();
    for name in [
        "enabled",
        "unknown",
        "hedging.delay:",
        "hedging.delay_ms",
        "hedging.attempts",
    ] {
        assert!(error.contains(name), "{name} in {error}");
    }
}

#[test]
fn an_empty_policy_changes_nothing() {
    let values = Values::default();
    assert_eq!(apply(&values, "").unwrap(), values);
}
