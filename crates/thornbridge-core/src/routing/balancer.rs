//! Load balancing among the candidates for an attempt.
//!
//! The combined policy samples a few candidates (M. Mitzenmacher, "The Power of Two Choices in
//! Randomized Load Balancing", 2001) and compares their expected cost: latency multiplied by the
//! cube of the load, as in L. Suresh et al., "C3: Cutting Tail Latency in Cloud Data Stores via
//! Adaptive Replica Selection", NSDI 2015. Load is the number of this node's attempts in flight
//! plus the reported load of other nodes, which decays with age. Candidates of similar cost are
//! compared by load, as in B. Wydrowski et al., "Load is not what you should balance: Introducing
//! Prequal", NSDI 2024.
//!
//! A load report that this node's own observations do not confirm decides with a bounded
//! probability only, so that a back end that understates its load attracts a bounded share of the
//! attempts.

use super::back_end::BackEndIndex;
use super::latency::approximate_log2;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Load balancing policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalancerPolicy {
    /// Uniformly random.
    Random,
    /// Fewest own attempts in flight among a few candidates chosen at random.
    PowerOfTwo,
    /// Lowest expected cost among a few candidates chosen at random.
    #[default]
    Combined,
}

/// Parameters of load balancing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BalancerParameters {
    /// Load balancing policy.
    pub policy: BalancerPolicy,
    /// Candidates that are chosen at random and compared. More than two, since most of what is compared
    /// is this node's own and never stale; not all of a large service, since each costs some time.
    pub choices: u32,
    /// Ratio of two costs up to which they count as equal and load decides.
    pub tolerance: f32,
    /// Probability that a load report decides where own observations disagree with it, from 0.5
    /// (reports have no effect) to 1 (reports always decide, so that a false one attracts everything).
    pub report_trust: f32,
}

impl Default for BalancerParameters {
    fn default() -> Self {
        Self {
            policy: BalancerPolicy::default(),
            choices: 10,
            tolerance: 1.1,
            report_trust: 0.75,
        }
    }
}

/// Back end as seen by the load balancer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) back_end: BackEndIndex,
    /// This node's attempts in flight.
    pub(super) own_in_flight: f32,
    /// Load of other nodes, decayed with the age of the report.
    pub(super) others_load: f32,
    pub(super) slots: f32,
    /// Log2 of the expected latency in µs; `None` if unknown.
    pub(super) latency_log2_us: Option<f32>,
}

/// Chooses one of the candidates, of which there must be at least one.
pub(super) fn pick(
    parameters: &BalancerParameters,
    random: &mut impl Rng,
    candidates: &mut [Candidate],
) -> BackEndIndex {
    if candidates.len() == 1 {
        return candidates[0].back_end;
    }
    let drawn = match parameters.policy {
        BalancerPolicy::Random => 1,
        _ => (parameters.choices.max(1) as usize).min(candidates.len()),
    };
    let mut best = draw(random, candidates, 0);
    for position in 1..drawn {
        let next = draw(random, candidates, position);
        // Candidates are in random order, so keeping the first one breaks ties at random.
        best = match parameters.policy {
            BalancerPolicy::PowerOfTwo if next.own_in_flight < best.own_in_flight => next,
            BalancerPolicy::Combined => compare(parameters, random, &best, &next),
            _ => best,
        };
    }
    best.back_end
}

/// Fisher-Yates step: swaps a random remaining candidate to `position`.
fn draw(random: &mut impl Rng, candidates: &mut [Candidate], position: usize) -> Candidate {
    let other = random.random_range(position..candidates.len());
    candidates.swap(position, other);
    candidates[position]
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Preference {
    First,
    Second,
    Equal,
}

fn compare(
    parameters: &BalancerParameters,
    random: &mut impl Rng,
    first: &Candidate,
    second: &Candidate,
) -> Candidate {
    let own = preference(parameters, first, second, |_| 0.0);
    let reported = preference(parameters, first, second, |candidate| candidate.others_load);
    let trusted = own == reported || random.random::<f32>() < parameters.report_trust;
    let decided = if trusted {
        reported
    } else {
        discount_report(own, reported)
    };
    match decided {
        Preference::Second => *second,
        Preference::First | Preference::Equal => *first,
    }
}

/// Preference when a report is not trusted: by own observations, or against the report if these
/// have no preference.
fn discount_report(own: Preference, reported: Preference) -> Preference {
    match (own, reported) {
        (Preference::Equal, Preference::First) => Preference::Second,
        (Preference::Equal, Preference::Second) => Preference::First,
        _ => own,
    }
}

/// Preference by cost if the costs differ by more than the tolerance, else by load.
fn preference(
    parameters: &BalancerParameters,
    first: &Candidate,
    second: &Candidate,
    others_load: impl Fn(&Candidate) -> f32,
) -> Preference {
    let (first_others_load, second_others_load) = (others_load(first), others_load(second));
    let tolerance = approximate_log2(parameters.tolerance);
    let cost_difference =
        log2_cost(first, first_others_load) - log2_cost(second, second_others_load);
    if cost_difference.abs() > tolerance {
        return prefer_lower(cost_difference);
    }
    prefer_lower(
        (first.own_in_flight + first_others_load) / first.slots
            - (second.own_in_flight + second_others_load) / second.slots,
    )
}

fn prefer_lower(difference: f32) -> Preference {
    if difference < 0.0 {
        Preference::First
    } else if difference > 0.0 {
        Preference::Second
    } else {
        Preference::Equal
    }
}

/// Log2 of the expected cost of one more attempt.
fn log2_cost(candidate: &Candidate, others_load: f32) -> f32 {
    let load = (candidate.own_in_flight + others_load + 1.0) / candidate.slots.max(1.0);
    candidate.latency_log2_us.unwrap_or(0.0) + approximate_log2(1.0 + load * load * load)
}
