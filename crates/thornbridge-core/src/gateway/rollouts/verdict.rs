//! Sequential test of a version on trial against the version that serves.
//!
//! For each route, and for all together, a CUSUM of the log-likelihood ratio of a bad share `p1` against
//! `p0`, the share seen at the serving version on the same route in the last seconds. Trouble that
//! strikes both versions raises `p0` and condemns none; a version that turns bad late is found from where
//! it turned. Answers of the version on trial are judged a little later than they arrive, so that
//! `p0` includes the seconds after them too. Where few requests make `p0` uncertain, the CUSUM alone may
//! still err; a version is condemned only if its answers since the CUSUM last was zero are also in contrast
//! to those of the serving version in the same time.

use super::evidence::{CONDEMNING_NATS, Evidence, Excursion, condemns};
use super::stable_share::{SHORT_WINDOW_MIDDLE, ShareWindow, StableShare};
use super::totals::{ArmOutcomes, add_outcomes};
use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use thornbridge_proto::peer::rollout::Outcomes;

/// CUSUM below which nothing speaks against a version, in nats.
const INNOCENT_NATS: f64 = CONDEMNING_NATS / 2.0;
/// Informative answers of the version on trial without which it is not accepted.
const ANSWERS_MINIMUM: u32 = 8;
/// Time from an answer of the version on trial until it is judged.
const JUDGING_DELAY: Duration = SHORT_WINDOW_MIDDLE;

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
            stable: ShareWindow::short(),
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
        let all_routes_share = self.stable.share(now);
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
