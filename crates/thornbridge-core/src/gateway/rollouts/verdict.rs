//! Sequential test of a version on trial against the version that serves.
//!
//! For each route, and for all together, a CUSUM of the log-likelihood ratio of a bad share `p1` against
//! `p0`, the share seen at the serving version on the same route in the last seconds. Trouble that strikes both versions raises `p0` and condemns none; a version that turns bad late is found from
//! where it turned. Answers of the version on trial are judged a little later than they arrive, so that
//! `p0` includes the seconds after them too. Where few requests make `p0` uncertain, the CUSUM alone may
//! still err; a version is condemned only if its answers since the CUSUM last was zero are also in contrast
//! to those of the serving version in the same time.

use super::totals::{ArmOutcomes, add_outcomes};
use crate::gateway::window::SumWindow;
use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use thornbridge_proto::peer::rollout::Outcomes;

/// CUSUM at which a version is condemned, in nats.
const CONDEMNING_NATS: f64 = 9.0;
/// Contrast of the versions without which none is condemned, in nats.
const CONTRAST_NATS_MINIMUM: f64 = 7.0;
/// CUSUM below which nothing speaks against a version, in nats.
const INNOCENT_NATS: f64 = CONDEMNING_NATS / 2.0;
/// Informative answers of the version on trial without which it is not accepted.
const ANSWERS_MINIMUM: u32 = 8;

/// Least bad share assumed of the serving version.
const STABLE_SHARE_MINIMUM: f64 = 0.03;
/// Bad share of the serving version above which answers carry no information.
const STABLE_SHARE_MAXIMUM: f64 = 0.5;
/// Least bad share that is looked for.
const WORSE_SHARE_MINIMUM: f64 = 0.3;
/// Highest bad share that is looked for.
const WORSE_SHARE_MAXIMUM: f64 = 0.9;
/// Bad share that is looked for, as a multiple of that of the serving version.
const WORSE_FACTOR: f64 = 4.0;

/// Bad share assumed before any answer is known.
const PRIOR_SHARE: f64 = 0.1;
/// Answers as which an assumed share counts.
const PRIOR_ANSWERS: f64 = 2.0;
/// Answers as which the share of all routes counts at a route, over the short window.
const OTHER_ROUTES_ANSWERS: f64 = 4.0;

/// Time from an answer of the version on trial until it is judged: half of the short window.
const JUDGING_DELAY: Duration = Duration::from_secs(1);

const BUCKET_DURATION: Duration = Duration::from_millis(200);
/// Window that shows the usual bad share: 4 s.
const LONG_WINDOW_BUCKETS: u32 = 20;
/// Window that shows new trouble: 2 s.
const SHORT_WINDOW_BUCKETS: u32 = 10;

/// Bad share over a sliding window.
#[derive(Debug)]
struct ShareWindow {
    answers: SumWindow,
    bad: SumWindow,
}

impl ShareWindow {
    fn new(buckets: u32) -> Self {
        Self {
            answers: SumWindow::new(BUCKET_DURATION, buckets),
            bad: SumWindow::new(BUCKET_DURATION, buckets),
        }
    }

    fn add(&mut self, now: Timestamp, outcomes: Outcomes) {
        self.answers.add(now, u64::from(outcomes.total()));
        self.bad.add(now, u64::from(outcomes.bad));
    }

    fn outcomes(&mut self, now: Timestamp) -> Outcomes {
        let bad = self.bad.sum(now);
        let good = self.answers.sum(now) - bad;
        Outcomes {
            good: good as u32,
            bad: bad as u32,
        }
    }

    /// Share of the window, with an assumed share that counts as a number of answers.
    fn share(&mut self, now: Timestamp, assumed_share: f64, assumed_answers: f64) -> f64 {
        let answers = self.answers.sum(now) as f64 + assumed_answers;
        let bad = self.bad.sum(now) as f64 + assumed_share * assumed_answers;
        bad / answers
    }
}

/// Bad share of the serving version.
#[derive(Debug)]
struct StableShare {
    long: ShareWindow,
    short: ShareWindow,
}

impl StableShare {
    fn new() -> Self {
        Self {
            long: ShareWindow::new(LONG_WINDOW_BUCKETS),
            short: ShareWindow::new(SHORT_WINDOW_BUCKETS),
        }
    }

    fn add(&mut self, now: Timestamp, outcomes: Outcomes) {
        self.long.add(now, outcomes);
        self.short.add(now, outcomes);
    }

    /// `all_routes_share`: share over all routes in the short window.
    fn share(&mut self, now: Timestamp, all_routes_share: f64) -> f64 {
        let long = self.long.share(now, PRIOR_SHARE, PRIOR_ANSWERS);
        let short = self
            .short
            .share(now, all_routes_share, OTHER_ROUTES_ANSWERS);
        let seen = long.max(short);
        seen.max(STABLE_SHARE_MINIMUM)
    }

    fn recent(&mut self, now: Timestamp) -> Outcomes {
        self.short.outcomes(now)
    }
}

/// Log-likelihood ratios of a good and a bad answer, worse against equal, in nats.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    good_nats: f64,
    bad_nats: f64,
}

impl Evidence {
    /// `None` if answers carry no information at this bad share of the serving version.
    fn against(stable_share: f64) -> Option<Self> {
        if stable_share > STABLE_SHARE_MAXIMUM {
            return None;
        }
        let worse_share = (WORSE_FACTOR * stable_share)
            .max(WORSE_SHARE_MINIMUM)
            .min(WORSE_SHARE_MAXIMUM);
        Some(Self {
            good_nats: ((1.0 - worse_share) / (1.0 - stable_share)).ln(),
            bad_nats: (worse_share / stable_share).ln(),
        })
    }

    fn of(self, outcomes: Outcomes) -> f64 {
        f64::from(outcomes.good) * self.good_nats + f64::from(outcomes.bad) * self.bad_nats
    }
}

/// Answers since the evidence last was zero, and the evidence.
#[derive(Clone, Copy, Debug, Default)]
struct Excursion {
    nats: f64,
    trial: Outcomes,
    /// Answers of the serving version in the same time.
    stable: Outcomes,
}

impl Excursion {
    fn add_stable(&mut self, stable: Outcomes) {
        if self.trial.total() > 0 {
            add_outcomes(&mut self.stable, stable);
        }
    }

    /// `recent_stable`: answers of the serving version around the time of these answers.
    fn add_trial(&mut self, trial: Outcomes, nats: f64, recent_stable: Outcomes) {
        if self.trial.total() == 0 {
            self.stable = recent_stable;
        }
        add_outcomes(&mut self.trial, trial);
        self.nats += nats;
    }

    /// Log-likelihood ratio of different bad shares of the versions against equal ones, in nats; zero if
    /// the version on trial has the lower one.
    fn contrast_nats(&self) -> f64 {
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

#[derive(Debug)]
struct RouteVerdict {
    /// Evidence on this route.
    own: Excursion,
    /// Part of this route in the evidence on all routes.
    joint: Excursion,
    stable_share: StableShare,
    outcomes: ArmOutcomes,
}

impl RouteVerdict {
    fn new() -> Self {
        Self {
            own: Excursion::default(),
            joint: Excursion::default(),
            stable_share: StableShare::new(),
            outcomes: ArmOutcomes::default(),
        }
    }

    fn add_stable(&mut self, now: Timestamp, stable: Outcomes) {
        self.stable_share.add(now, stable);
        self.own.add_stable(stable);
        self.joint.add_stable(stable);
    }
}

/// What the outcomes say of the version on trial, should the roll-out end now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// It is as good as the serving version.
    Innocent,
    /// Too little is known, or something speaks against it.
    Doubtful,
}

/// Answers of the version on trial that are not judged yet.
#[derive(Debug)]
struct Unjudged {
    judged_at: Timestamp,
    route: String,
    trial: Outcomes,
}

/// Evidence on the version on trial.
#[derive(Debug)]
pub(super) struct Verdict {
    routes: BTreeMap<String, RouteVerdict>,
    /// Answers of the serving version on all routes.
    stable: ShareWindow,
    /// Oldest first.
    unjudged: VecDeque<Unjudged>,
    outcomes: ArmOutcomes,
    /// Answers of the version on trial that carried information.
    informative: u32,
    /// Route whose evidence condemned the version; empty for all together.
    condemned_by: Option<String>,
}

impl Verdict {
    pub(super) fn new() -> Self {
        Self {
            routes: BTreeMap::new(),
            stable: ShareWindow::new(SHORT_WINDOW_BUCKETS),
            unjudged: VecDeque::new(),
            outcomes: ArmOutcomes::default(),
            informative: 0,
            condemned_by: None,
        }
    }

    /// Adds outcomes of a route that became known.
    pub(super) fn add(&mut self, now: Timestamp, route: &str, outcomes: ArmOutcomes) {
        let verdict = self
            .routes
            .entry(route.to_owned())
            .or_insert_with(RouteVerdict::new);
        verdict.outcomes.add(outcomes);
        verdict.add_stable(now, outcomes.stable);
        self.stable.add(now, outcomes.stable);
        self.outcomes.add(outcomes);
        if outcomes.trial.total() > 0 {
            self.unjudged.push_back(Unjudged {
                judged_at: now + JUDGING_DELAY,
                route: route.to_owned(),
                trial: outcomes.trial,
            });
        }
    }

    /// Judges the answers that are old enough.
    pub(super) fn judge(&mut self, now: Timestamp) {
        let old_enough = |answers: &Unjudged| answers.judged_at <= now;
        let count = self.unjudged.partition_point(old_enough);
        self.judge_first(now, count);
    }

    /// Judges all answers.
    pub(super) fn judge_all(&mut self, now: Timestamp) {
        self.judge_first(now, self.unjudged.len());
    }

    /// When answers will be old enough to be judged.
    pub(super) fn next_judgement(&self) -> Option<Timestamp> {
        self.unjudged.front().map(|answers| answers.judged_at)
    }

    /// Route whose evidence condemned the version, empty for all together; `None` if it is not condemned.
    pub(super) fn condemned_by(&self) -> Option<&str> {
        self.condemned_by.as_deref()
    }

    /// Finding as of now.
    pub(super) fn finding(&self) -> Finding {
        let routes = self.routes.values().map(|route| route.own.nats);
        let highest_nats = routes.fold(self.joint_nats(), f64::max);
        match self.informative >= ANSWERS_MINIMUM && highest_nats < INNOCENT_NATS {
            true => Finding::Innocent,
            false => Finding::Doubtful,
        }
    }

    /// Outcomes of all routes.
    pub(super) fn outcomes(&self) -> ArmOutcomes {
        self.outcomes
    }

    /// Outcomes of a route; of all routes if it is empty.
    pub(super) fn outcomes_of(&self, route: &str) -> ArmOutcomes {
        let of_route = self.routes.get(route).map(|route| route.outcomes);
        of_route.unwrap_or(self.outcomes)
    }

    /// Answers of the version on trial on a route.
    pub(super) fn answers_of(&self, route: &str) -> u32 {
        let of_route = self.routes.get(route);
        of_route.map_or(0, |route| route.outcomes.trial.total())
    }

    fn judge_first(&mut self, now: Timestamp, count: usize) {
        let answers: Vec<Unjudged> = self.unjudged.drain(..count).collect();
        for Unjudged { route, trial, .. } in &answers {
            self.judge_answers(now, route, *trial);
        }
    }

    fn judge_answers(&mut self, now: Timestamp, route: &str, trial: Outcomes) {
        let Some(verdict) = self.routes.get_mut(route) else {
            return;
        };
        let all_routes_share = self.stable.share(now, PRIOR_SHARE, PRIOR_ANSWERS);
        let stable_share = verdict.stable_share.share(now, all_routes_share);
        let evidence = Evidence::against(stable_share);
        if evidence.is_some() {
            self.informative += trial.total();
        }
        let nats = evidence.map_or(0.0, |evidence| evidence.of(trial));
        let recent_stable = verdict.stable_share.recent(now);
        verdict.own.add_trial(trial, nats, recent_stable);
        verdict.joint.add_trial(trial, nats, recent_stable);
        if verdict.own.nats <= 0.0 {
            verdict.own = Excursion::default();
        }
        let own = verdict.own;
        if self.joint_nats() <= 0.0 {
            self.end_joint_excursion();
        }
        self.condemn(route, own);
    }

    fn joint_nats(&self) -> f64 {
        self.routes.values().map(|route| route.joint.nats).sum()
    }

    fn joint_contrast_nats(&self) -> f64 {
        let mut all = Excursion::default();
        for route in self.routes.values() {
            add_outcomes(&mut all.trial, route.joint.trial);
            add_outcomes(&mut all.stable, route.joint.stable);
        }
        all.contrast_nats()
    }

    fn end_joint_excursion(&mut self) {
        for route in self.routes.values_mut() {
            route.joint = Excursion::default();
        }
    }

    fn condemn(&mut self, route: &str, own: Excursion) {
        if self.condemned_by.is_some() {
            return;
        }
        if condemns(own.nats, own.contrast_nats()) {
            self.condemned_by = Some(route.to_owned());
        } else if condemns(self.joint_nats(), self.joint_contrast_nats()) {
            self.condemned_by = Some(String::new());
        }
    }
}

fn condemns(nats: f64, contrast_nats: f64) -> bool {
    nats >= CONDEMNING_NATS && contrast_nats >= CONTRAST_NATS_MINIMUM
}
