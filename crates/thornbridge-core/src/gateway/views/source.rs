//! Reading one view from the store: a list, then watches, one call at a time.
//!
//! Guards against a store that refuses, throttles, loses answers, forgets its history or falls
//! silent: every read has a time limit, failures are followed by pauses that grow, and a history
//! that is gone by a new list. So is a new era of the store, in which a watch would miss changes.

use crate::gateway::action::{GatewayAction, SourceRead};

use crate::gateway::event::{SourceFailure, SourceReply, ViewKind, ViewObject};
use crate::gateway::notes::GatewayChange;
use crate::gateway::parameters::ViewParameters;
use crate::time::Timestamp;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::time::Duration;
use thornbridge_proto::peer::view::StoreRevision;

/// Failures in a row beyond which the pause does not grow.
const MAX_DOUBLINGS: u32 = 8;
/// Failures in a row after which a list is given twice the time.
const FAILURES_PER_TIMEOUT: u32 = 6;
/// Least part of a pause while nothing is known: nodes that started together are to read at
/// different times, so that one of them meets the store soon after it is back.
const LEAST_FIRST_PAUSE: f64 = 0.1;
/// Least part of a pause otherwise.
const LEAST_PAUSE: f64 = 0.5;
/// Members in the order of readers after which a node pauses twice as long: calls that fail are
/// priced too, and whoever succeeds tells the others.
const RANKS_PER_PAUSE: f64 = 8.0;

/// What a reader does now.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Doing {
    /// Nothing: peers tell of changes.
    Following,
    /// Nothing until then.
    Pausing(Timestamp),
    /// Waits for a page of the list.
    Listing(Timestamp),
    /// Waits for changes.
    Watching(Timestamp),
}

/// What a read brought.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::gateway) enum SourceNews {
    /// The whole view, as of a revision.
    Whole(Vec<ViewObject>, StoreRevision),
    /// Changes up to a revision.
    Changes(Vec<ViewObject>, StoreRevision),
}

/// The reader of one view.
#[derive(Debug)]
pub(in crate::gateway) struct SourceReader {
    kind: ViewKind,
    parameters: ViewParameters,
    doing: Doing,
    read: u64,
    /// Pages of a list that is not complete, and the revision of its first.
    pages: Vec<ViewObject>,
    first_page: Option<StoreRevision>,
    after: Option<String>,
    /// Revision to watch from; `None` where a list is needed.
    at: Option<StoreRevision>,
    failures: u32,
    last_answer: Timestamp,
    reachable: bool,
    /// Whether peers tell of the view, so that nothing is read.
    following: bool,
    /// When the store last confirmed the view.
    confirmed_at: Option<Timestamp>,
    /// This node's place in the order of readers.
    rank: usize,
}

impl SourceReader {
    pub(in crate::gateway) fn new(kind: ViewKind, parameters: ViewParameters) -> Self {
        Self {
            kind,
            parameters,
            doing: Doing::Pausing(Timestamp::ZERO),
            read: 0,
            pages: Vec::new(),
            first_page: None,
            after: None,
            at: None,
            failures: 0,
            last_answer: Timestamp::ZERO,
            reachable: true,
            following: false,
            confirmed_at: None,
            rank: 0,
        }
    }

    /// The same reader, which leaves the view to peers until it is told to read.
    pub(in crate::gateway) fn following(mut self) -> Self {
        self.following = true;
        self
    }

    /// Takes this node's place in the order of readers; 0 reads for all.
    pub(in crate::gateway) fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// Takes new tunable values, for the next read on.
    pub(in crate::gateway) fn set_parameters(&mut self, parameters: ViewParameters) {
        self.parameters = parameters;
    }

    /// Whether peers tell of the view. A read under way is not broken off; no other follows it.
    /// `known`: everything up to this revision is known, so that a watch can begin there.
    pub(in crate::gateway) fn set_following(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        following: bool,
        known: Option<StoreRevision>,
    ) {
        self.following = following;
        if following || self.doing != Doing::Following {
            return;
        }
        self.at = self.at.max(known);
        self.start(now, actions);
    }

    /// When the store last confirmed the view.
    pub(in crate::gateway) fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Time since the store last answered a read of this view.
    pub(in crate::gateway) fn age(&self, now: Timestamp) -> Duration {
        now.since(self.last_answer)
    }

    /// When [`Self::timer_due`] wants to be called.
    pub(in crate::gateway) fn next_timeout(&self) -> Timestamp {
        match self.doing {
            Doing::Following => Timestamp::MAX,
            Doing::Pausing(until) | Doing::Listing(until) | Doing::Watching(until) => until,
        }
    }

    /// Starts the next read, or gives one up that took too long.
    pub(in crate::gateway) fn timer_due(
        &mut self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
    ) {
        match self.doing {
            Doing::Pausing(until) if until <= now => self.start(now, actions),
            Doing::Listing(until) | Doing::Watching(until) if until <= now => {
                self.failed(now, random, actions, SourceFailure::Unreachable);
            }
            _ => {}
        }
    }

    /// The store answered a read.
    pub(in crate::gateway) fn replied(
        &mut self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
        read: u64,
        result: Result<SourceReply, SourceFailure>,
    ) -> Option<SourceNews> {
        let asked = matches!(self.doing, Doing::Listing(_) | Doing::Watching(_));
        if read != self.read || !asked {
            return None;
        }
        match result {
            Ok(reply) => {
                self.answered(now, actions);
                let news = self.take(now, reply);
                match &news {
                    Some(SourceNews::Changes(objects, _)) if !objects.is_empty() => {
                        self.doing = Doing::Pausing(now + self.parameters.coalescing);
                    }
                    _ => self.start(now, actions),
                }
                news
            }
            Err(SourceFailure::HistoryGone) => {
                self.answered(now, actions);
                self.at = None;
                self.start(now, actions);
                None
            }
            Err(failure) => {
                self.failed(now, random, actions, failure);
                None
            }
        }
    }

    fn take(&mut self, now: Timestamp, reply: SourceReply) -> Option<SourceNews> {
        match reply {
            SourceReply::Page { objects, next, at } => {
                let first = *self.first_page.get_or_insert(at);
                if first.era != at.era {
                    self.forget_pages();
                    return None;
                }
                self.pages.extend(objects);
                self.after = next;
                if self.after.is_some() {
                    return None;
                }
                self.at = Some(first);
                self.first_page = None;
                self.confirmed_at = Some(now);
                Some(SourceNews::Whole(std::mem::take(&mut self.pages), first))
            }
            SourceReply::Changes { objects, at } => {
                let known = self.at.unwrap_or_default();
                if at.era != known.era {
                    // Revisions are given out again in a new era: what lies between is not told.
                    self.at = None;
                    return None;
                }
                self.confirmed_at = Some(now);
                self.at = Some(at.max(known));
                Some(SourceNews::Changes(objects, at))
            }
        }
    }

    fn start(&mut self, now: Timestamp, actions: &mut VecDeque<GatewayAction>) {
        // A list that has begun is finished: whoever asked may be the first to know.
        if self.following && self.after.is_none() {
            self.doing = Doing::Following;
            return;
        }
        self.read += 1;
        let (what, timeout) = match self.at {
            Some(from) => {
                let wait = self.parameters.watch_wait;
                let timeout = wait + self.parameters.read_timeout;
                self.doing = Doing::Watching(now + timeout);
                (SourceRead::Watch { from, wait }, timeout)
            }
            None => {
                let doublings = (self.failures / FAILURES_PER_TIMEOUT).min(MAX_DOUBLINGS);
                let timeout = self.parameters.first_read_timeout * 2_u32.pow(doublings);
                let timeout = timeout.min(self.parameters.read_timeout);
                self.doing = Doing::Listing(now + timeout);
                let after = self.after.clone();
                (SourceRead::List { after }, timeout)
            }
        };
        actions.push_back(GatewayAction::Read {
            kind: self.kind,
            read: self.read,
            what,
            timeout,
        });
    }

    fn answered(&mut self, now: Timestamp, actions: &mut VecDeque<GatewayAction>) {
        if !self.reachable {
            self.tell(now, actions, true, None);
        }
        self.reachable = true;
        self.failures = 0;
        self.last_answer = now;
    }

    fn failed(
        &mut self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
        failure: SourceFailure,
    ) {
        if self.reachable {
            self.tell(now, actions, false, Some(failure));
        }
        self.reachable = false;
        // A list begins anew; a watch goes on from where it was.
        self.forget_pages();
        let pause = self
            .backoff()
            .mul_f64(random.random_range(self.least_pause()..=1.0));
        self.failures += 1;
        self.doing = Doing::Pausing(now + pause);
    }

    fn forget_pages(&mut self) {
        self.pages.clear();
        self.first_page = None;
        self.after = None;
    }

    /// Longest pause after this failure.
    fn backoff(&self) -> Duration {
        let parameters = &self.parameters;
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let pause = match self.at {
            None => parameters.unknown_backoff,
            Some(_) => parameters.first_backoff * 2_u32.pow(doublings),
        };
        let pause = pause.min(parameters.longest_backoff);
        pause.mul_f64(1.0 + self.rank as f64 / RANKS_PER_PAUSE)
    }

    fn least_pause(&self) -> f64 {
        match self.at {
            None => LEAST_FIRST_PAUSE,
            Some(_) => LEAST_PAUSE,
        }
    }

    fn tell(
        &self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        reachable: bool,
        failure: Option<SourceFailure>,
    ) {
        let age = self.age(now);
        let change = GatewayChange::Source {
            kind: self.kind,
            reachable,
            failure,
            age,
        };
        actions.push_back(GatewayAction::Changed(change));
    }
}
