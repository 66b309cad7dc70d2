//! Which of several usable back ends gets an attempt.
//!
//! The combined policy draws a few at random (M. Mitzenmacher, "The Power of Two Choices in
//! Randomized Load Balancing", 2001) and compares an expected cost: latency, raised by the cube
//! of the load, as in L. Suresh et al., "C3: Cutting Tail Latency in Cloud Data Stores via
//! Adaptive Replica Selection", NSDI 2015. Load is this node's own attempts in flight plus what
//! the back end reports of others, fading with age. As in B. Wydrowski et al., "Load is not what
//! you should balance: Introducing Prequal", NSDI 2024, latencies that hardly differ do not
//! decide; there, load does.
//!
//! A report alone never wins: where this node's own knowledge does not support it, it only tilts
//! the odds, so a back end that understates its load gains a bounded share.

use super::back_end::BackEndIndex;
use super::latency::approximate_log2;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// How back ends are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalancerPolicy {
    /// Any, with equal chances. The baseline.
    Random,
    /// Of a few drawn at random (two with `choices = 2`), the one with fewer own attempts in
    /// flight.
    PowerOfTwo,
    /// Of a few drawn at random, the one with the lower expected cost.
    #[default]
    Combined,
}

/// Tunable values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BalancerParameters {
    /// How back ends are compared.
    pub policy: BalancerPolicy,
    /// Back ends drawn at random and compared. More than two, since most of what is compared is
    /// this node's own and never stale; not all of a large service, since each costs some time.
    pub choices: u32,
    /// Ratio of two costs up to which they count as equal and load decides: measured latencies
    /// are noisy.
    pub tolerance: f32,
    /// Chance that a report decides where own knowledge does not agree with it. Between 0.5,
    /// where reports are not heard, and 1, where a false one attracts everything.
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

/// What the comparison looks at.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) back_end: BackEndIndex,
    /// Own attempts in flight.
    pub(super) own_in_flight: f32,
    /// Work of others, as reported and aged.
    pub(super) others_load: f32,
    pub(super) slots: f32,
    /// Logarithm to base 2 of the expected latency; absent where nothing is known.
    pub(super) latency_log2_us: Option<f32>,
}

/// Picks one. `candidates` is not empty.
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
        // The draw is already in random order: the first wins where nothing decides.
        best = match parameters.policy {
            BalancerPolicy::PowerOfTwo if next.own_in_flight < best.own_in_flight => next,
            BalancerPolicy::Combined => compare(parameters, random, &best, &next),
            _ => best,
        };
    }
    best.back_end
}

/// The next of a random order (Fisher and Yates): swaps it to its position.
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

/// What to do when a report is not trusted: own knowledge where it says something, else the
/// other one of the two.
fn discount_report(own: Preference, reported: Preference) -> Preference {
    match (own, reported) {
        (Preference::Equal, Preference::First) => Preference::Second,
        (Preference::Equal, Preference::Second) => Preference::First,
        _ => own,
    }
}

/// Which is better: by cost where that differs enough, else by load.
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

/// Logarithm of the expected latency with one attempt more.
fn log2_cost(candidate: &Candidate, others_load: f32) -> f32 {
    let load = (candidate.own_in_flight + others_load + 1.0) / candidate.slots.max(1.0);
    candidate.latency_log2_us.unwrap_or(0.0) + approximate_log2(1.0 + load * load * load)
}
