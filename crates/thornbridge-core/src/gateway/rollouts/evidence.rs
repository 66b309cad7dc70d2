//! Evidence that the version on trial is worse than the serving one, from answers.

use super::totals::add_outcomes;
use thornbridge_proto::peer::rollout::Outcomes;

/// CUSUM and contrast at which a version is condemned, in nats.
const CONDEMNING_NATS: f64 = 11.0;
/// Bad share of the serving version above which answers carry no information.
const STABLE_SHARE_MAXIMUM: f64 = 0.5;
/// Least bad share that is looked for.
const WORSE_SHARE_MINIMUM: f64 = 0.3;
/// Highest bad share that is looked for.
const WORSE_SHARE_MAXIMUM: f64 = 0.9;
/// Bad share that is looked for, as a multiple of that of the serving version.
const WORSE_FACTOR: f64 = 4.0;

/// Log-likelihood ratios of a good and a bad answer, worse against equal, in nats.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evidence {
    good_nats: f64,
    bad_nats: f64,
}

impl Evidence {
    /// `None` if answers carry no information at this bad share of the serving version.
    pub(super) fn against(stable_share: f64) -> Option<Self> {
        if stable_share > STABLE_SHARE_MAXIMUM {
            return None;
        }
        let worse_share = WORSE_FACTOR * stable_share;
        let worse_share = worse_share.clamp(WORSE_SHARE_MINIMUM, WORSE_SHARE_MAXIMUM);
        Some(Self {
            good_nats: ((1.0 - worse_share) / (1.0 - stable_share)).ln(),
            bad_nats: (worse_share / stable_share).ln(),
        })
    }

    /// The same for pairs of attempts, of which one is bad if either attempt is.
    pub(super) fn of_pairs_against(stable_share: f64) -> Option<Self> {
        Self::against(1.0 - (1.0 - stable_share).powi(2))
    }

    pub(super) fn of(self, outcomes: Outcomes) -> f64 {
        f64::from(outcomes.good) * self.good_nats + f64::from(outcomes.bad) * self.bad_nats
    }
}

/// Answers since the evidence last was zero, and the evidence.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Excursion {
    pub(super) nats: f64,
    pub(super) trial: Outcomes,
    /// Answers of the serving version in the same time.
    pub(super) stable: Outcomes,
}

impl Excursion {
    pub(super) fn add_stable(&mut self, stable: Outcomes) {
        if self.trial.total() > 0 {
            add_outcomes(&mut self.stable, stable);
        }
    }

    /// `recent_stable`: answers of the serving version around the time of these answers.
    pub(super) fn add_trial(&mut self, trial: Outcomes, nats: f64, recent_stable: Outcomes) {
        if self.trial.total() == 0 {
            self.stable = recent_stable;
        }
        add_outcomes(&mut self.trial, trial);
        self.nats += nats;
    }

    /// Log-likelihood ratio of different bad shares of the versions against equal ones, in nats; zero if
    /// the version on trial has the lower one.
    pub(super) fn contrast_nats(&self) -> f64 {
        let (trial, stable) = (self.trial, self.stable);
        if bad_share(trial) <= bad_share(stable) {
            return 0.0;
        }
        let mut both = trial;
        add_outcomes(&mut both, stable);
        log_likelihood(trial) + log_likelihood(stable) - log_likelihood(both)
    }
}

fn bad_share(outcomes: Outcomes) -> f64 {
    f64::from(outcomes.bad) / f64::from(outcomes.total().max(1))
}

/// Highest log-likelihood of outcomes under one bad share.
fn log_likelihood(outcomes: Outcomes) -> f64 {
    let total = f64::from(outcomes.total());
    let of_count = |count: u32| match count {
        0 => 0.0,
        _ => f64::from(count) * (f64::from(count) / total).ln(),
    };
    of_count(outcomes.good) + of_count(outcomes.bad)
}

/// Whether evidence and contrast together condemn a version.
pub(super) fn condemns(nats: f64, contrast_nats: f64) -> bool {
    nats >= CONDEMNING_NATS && contrast_nats >= CONDEMNING_NATS
}
