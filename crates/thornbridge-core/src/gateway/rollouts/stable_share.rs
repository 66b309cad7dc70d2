//! Bad share of the serving version over sliding windows.

use crate::gateway::window::SumWindow;
use crate::time::Timestamp;
use std::time::Duration;
use thornbridge_proto::peer::rollout::Outcomes;

/// Least bad share that is assumed.
const SHARE_MINIMUM: f64 = 0.03;
/// Bad share assumed before any answer is known.
const PRIOR_SHARE: f64 = 0.1;
/// Answers as which [`PRIOR_SHARE`] counts.
const PRIOR_ANSWERS: f64 = 2.0;
/// Answers as which the share of all routes counts at a route, over the short window.
const ALL_ROUTES_ANSWERS: f64 = 6.0;

const BUCKET_DURATION: Duration = Duration::from_millis(200);
/// Window that shows the usual bad share: 4 s.
const LONG_WINDOW_BUCKETS: u32 = 20;
/// Window that shows new trouble: 2 s.
const SHORT_WINDOW_BUCKETS: u32 = 10;
/// Middle of the short window, counted from its end.
pub(super) const SHORT_WINDOW_MIDDLE: Duration = Duration::from_secs(1);

/// Bad share over a sliding window.
#[derive(Debug)]
pub(super) struct ShareWindow {
    answers: SumWindow,
    bad: SumWindow,
}

impl ShareWindow {
    /// Short window.
    pub(super) fn short() -> Self {
        Self::new(SHORT_WINDOW_BUCKETS)
    }

    fn new(buckets: u32) -> Self {
        Self {
            answers: SumWindow::new(BUCKET_DURATION, buckets),
            bad: SumWindow::new(BUCKET_DURATION, buckets),
        }
    }

    pub(super) fn add(&mut self, now: Timestamp, outcomes: Outcomes) {
        self.answers.add(now, u64::from(outcomes.total()));
        self.bad.add(now, u64::from(outcomes.bad));
    }

    /// Answers of the window.
    pub(super) fn outcomes(&mut self, now: Timestamp) -> Outcomes {
        let bad = self.bad.sum(now);
        let good = self.answers.sum(now) - bad;
        Outcomes {
            good: good as u32,
            bad: bad as u32,
        }
    }

    /// Share of the window.
    pub(super) fn share(&mut self, now: Timestamp) -> f64 {
        self.share_assuming(now, PRIOR_SHARE, PRIOR_ANSWERS)
    }

    /// Share of the window, with an assumed share that counts as a number of answers.
    fn share_assuming(&mut self, now: Timestamp, assumed_share: f64, assumed_answers: f64) -> f64 {
        let answers = self.answers.sum(now) as f64 + assumed_answers;
        let bad = self.bad.sum(now) as f64 + assumed_share * assumed_answers;
        bad / answers
    }
}

/// Bad share of the serving version on a route.
#[derive(Debug)]
pub(super) struct StableShare {
    long: ShareWindow,
    short: ShareWindow,
}

impl StableShare {
    pub(super) fn new() -> Self {
        Self {
            long: ShareWindow::new(LONG_WINDOW_BUCKETS),
            short: ShareWindow::new(SHORT_WINDOW_BUCKETS),
        }
    }

    pub(super) fn add(&mut self, now: Timestamp, outcomes: Outcomes) {
        self.long.add(now, outcomes);
        self.short.add(now, outcomes);
    }

    /// Higher one of the shares of the windows. `all_routes_share`: share over all routes in the short window.
    pub(super) fn share(&mut self, now: Timestamp, all_routes_share: f64) -> f64 {
        let long = self.long.share(now);
        let short = self
            .short
            .share_assuming(now, all_routes_share, ALL_ROUTES_ANSWERS);
        let seen = long.max(short);
        seen.max(SHARE_MINIMUM)
    }

    /// Answers in the short window.
    pub(super) fn recent(&mut self, now: Timestamp) -> Outcomes {
        self.short.outcomes(now)
    }
}
