//! Sequential test of a version on trial against the version that serves.
//!
//! For each route, and for all together, a CUSUM of the log-likelihood ratio of a bad share `p1` against
//! `p0`, the share seen at the serving version on the same route in the last seconds. Trouble that
//! strikes both versions raises `p0` and condemns none; a version that turns bad late is found from where
//! it turned. Answers of the version on trial are judged a little later than they arrive, so that
//! `p0` includes the seconds after them too. Where few requests make `p0` uncertain, the CUSUM alone may
//! still err; a version is condemned only if its answers since the CUSUM last was zero are also in contrast
//! to those of the serving version in the same time.
//!
//! Requests with their companions are judged by evidence of their own as well, of all routes together: a
//! version that fails only with several requests at once would be acquitted by its answers to single ones.

use super::evidence::{Evidence, Excursion, condemns};
use super::stable_share::{SHORT_WINDOW_MIDDLE, ShareWindow, StableShare};
use super::totals::{ArmOutcomes, add_outcomes};
use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use thornbridge_proto::peer::rollout::Outcomes;

/// CUSUM below which nothing speaks against a version, in nats.
const INNOCENT_NATS: f64 = 4.5;
/// Evidence of all companions together below which nothing speaks against a version under load, in nats. A
/// version that is bad under load is so from the start, so that late good answers do not outweigh it.
const UNDER_LOAD_NATS: f64 = 2.0;
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

/// What a version on trial answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sample {
    /// Attempts, each by itself.
    Single,
    /// Requests together with their companions.
    Companion,
}

/// Evidence that condemned a version.
#[derive(Debug)]
struct Condemnation {
    /// Route; empty for all together.
    route: String,
    sample: Sample,
}

/// Answers of the version on trial that are not judged yet.
#[derive(Debug)]
struct Unjudged {
    judged_at: Timestamp,
    route: String,
    sample: Sample,
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
    /// Evidence of companions, of all routes.
    beside_others: Excursion,
    /// The same since the order.
    beside_others_nats: f64,
    companions: Outcomes,
    /// Answers of the version on trial that carried information; one of a request and its companion.
    informative: u32,
    condemnation: Option<Condemnation>,
}

impl Verdict {
    pub(super) fn new() -> Self {
        Self {
            routes: BTreeMap::new(),
            stable: ShareWindow::short(),
            unjudged: VecDeque::new(),
            outcomes: ArmOutcomes::default(),
            beside_others: Excursion::default(),
            beside_others_nats: 0.0,
            companions: Outcomes::default(),
            informative: 0,
            condemnation: None,
        }
    }

    /// Adds outcomes of a route that became known.
    pub(super) fn add(&mut self, now: Timestamp, route: &str, outcomes: ArmOutcomes) {
        let verdict = self.route_mut(route);
        verdict.outcomes.add(outcomes);
        verdict.add_stable(now, outcomes.stable);
        self.stable.add(now, outcomes.stable);
        self.beside_others.add_stable(outcomes.stable);
        self.outcomes.add(outcomes);
        self.judge_later(now, route, Sample::Single, outcomes.trial);
    }

    /// Adds outcomes of a route's requests together with their companions.
    pub(super) fn add_companions(&mut self, now: Timestamp, route: &str, trial: Outcomes) {
        add_outcomes(&mut self.companions, trial);
        self.judge_later(now, route, Sample::Companion, trial);
    }

    fn route_mut(&mut self, route: &str) -> &mut RouteVerdict {
        self.routes
            .entry(route.to_owned())
            .or_insert_with(RouteVerdict::new)
    }

    fn judge_later(&mut self, now: Timestamp, route: &str, sample: Sample, trial: Outcomes) {
        if trial.total() > 0 {
            self.unjudged.push_back(Unjudged {
                judged_at: now + JUDGING_DELAY,
                route: route.to_owned(),
                sample,
                trial,
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
        let condemnation = self.condemnation.as_ref()?;
        Some(&condemnation.route)
    }

    /// Whether companions condemned the version.
    pub(super) fn is_condemned_under_load(&self) -> bool {
        let condemnation = self.condemnation.as_ref();
        condemnation.is_some_and(|condemnation| condemnation.sample == Sample::Companion)
    }

    /// Finding as of now.
    pub(super) fn finding(&self) -> Finding {
        let routes = self.routes.values().map(|route| route.own.nats);
        let highest_nats = routes.fold(self.joint_nats(), f64::max);
        let highest_nats = highest_nats.max(self.beside_others.nats);
        let is_innocent = highest_nats < INNOCENT_NATS && self.beside_others_nats < UNDER_LOAD_NATS;
        match self.informative >= ANSWERS_MINIMUM && is_innocent {
            true => Finding::Innocent,
            false => Finding::Doubtful,
        }
    }

    /// Outcomes of requests together with their companions, on all routes.
    pub(super) fn companions(&self) -> Outcomes {
        self.companions
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
        for answers in &answers {
            let nats = self.evidence_of(now, answers);
            match answers.sample {
                Sample::Single => self.judge_route(now, &answers.route, answers.trial, nats),
                Sample::Companion => self.judge_companions(now, answers.trial, nats),
            }
        }
    }

    /// Evidence of answers, in nats; zero if they carry no information.
    fn evidence_of(&mut self, now: Timestamp, answers: &Unjudged) -> f64 {
        let all_routes_share = self.stable.share(now);
        let verdict = self.route_mut(&answers.route);
        let stable_share = verdict.stable_share.share(now, all_routes_share);
        let evidence = match answers.sample {
            Sample::Single => Evidence::against(stable_share),
            Sample::Companion => Evidence::of_pairs_against(stable_share),
        };
        let Some(evidence) = evidence else {
            return 0.0;
        };
        let total = answers.trial.total();
        self.informative = match answers.sample {
            Sample::Single => self.informative + total,
            // A request and its companion tell as much as one answer.
            Sample::Companion => self.informative.saturating_sub(total),
        };
        evidence.of(answers.trial)
    }

    fn judge_companions(&mut self, now: Timestamp, trial: Outcomes, nats: f64) {
        let recent_stable = self.stable.outcomes(now);
        self.beside_others.add_trial(trial, nats, recent_stable);
        self.beside_others_nats += nats;
        if self.beside_others.nats <= 0.0 {
            self.beside_others = Excursion::default();
        }
        let evidence = self.beside_others;
        if condemns(evidence.nats, evidence.contrast_nats()) {
            self.condemn(String::new(), Sample::Companion);
        }
    }

    fn judge_route(&mut self, now: Timestamp, route: &str, trial: Outcomes, nats: f64) {
        let verdict = self.route_mut(route);
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
        if condemns(own.nats, own.contrast_nats()) {
            self.condemn(route.to_owned(), Sample::Single);
        } else if condemns(self.joint_nats(), self.joint_contrast_nats()) {
            self.condemn(String::new(), Sample::Single);
        }
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

    /// The first evidence that condemns a version stays.
    fn condemn(&mut self, route: String, sample: Sample) {
        self.condemnation
            .get_or_insert(Condemnation { route, sample });
    }
}
