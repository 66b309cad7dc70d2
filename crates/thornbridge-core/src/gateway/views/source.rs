//! Reader of one view in the store: a list, then watches, with one read in flight at a time.
//!
//! Every read has a timeout, and failures are retried with backoff. A new list follows if the store
//! no longer has the history to watch from, or began a new era, across which a watch would miss
//! changes.

use crate::gateway::action::{GatewayAction, SourceRead};

use crate::gateway::event::{SourceFailure, SourceReply, ViewKind, ViewObject};
use crate::gateway::parameters::ViewParameters;
use crate::gateway::telemetry::GatewayChange;
use crate::time::Timestamp;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::time::Duration;
use thornbridge_proto::peer::view::StoreRevision;

/// Consecutive failures after which the backoff no longer grows.
const MAX_DOUBLINGS: u32 = 8;
/// Consecutive failures after which the timeout of a list is doubled.
const FAILURES_PER_TIMEOUT_DOUBLING: u32 = 6;
/// Minimum jitter factor of the backoff before the first list. A wide range spreads the reads of
/// nodes that started together, so that one of them soon reaches a store that is available again.
const MIN_INITIAL_BACKOFF_SHARE: f64 = 0.1;
/// Minimum jitter factor of the backoff after the first list.
const MIN_BACKOFF_SHARE: f64 = 0.5;
/// Ranks in the reader order per additional base backoff. Failed calls are billed too, and a single
/// successful reader updates the other members.
const RANKS_PER_BACKOFF_UNIT: f64 = 8.0;

/// Time within which a watch is answered that had changes to return from the start.
const IMMEDIATE_REPLY: Duration = Duration::from_millis(100);

/// State of a reader, with the time at which it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ReaderState {
    /// No reads; changes come from peers.
    Following,
    /// No read until the given time.
    Pausing(Timestamp),
    /// Waits for a page of the list until the given time.
    Listing(Timestamp),
    /// Waits for changes until the given time.
    Watching(Timestamp),
}

/// Update of the view by a reply.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::gateway) enum SourceUpdate {
    /// All objects as of a revision.
    List(Vec<ViewObject>, StoreRevision),
    /// Changes up to a revision.
    Changes(Vec<ViewObject>, StoreRevision),
}

impl SourceUpdate {
    /// Returns the update with each object replaced.
    pub(in crate::gateway) fn map_objects(self, map: impl FnMut(ViewObject) -> ViewObject) -> Self {
        match self {
            Self::List(objects, at) => Self::List(objects.into_iter().map(map).collect(), at),
            Self::Changes(objects, at) => Self::Changes(objects.into_iter().map(map).collect(), at),
        }
    }
}

/// The reader of one view.
#[derive(Debug)]
pub(in crate::gateway) struct SourceReader {
    kind: ViewKind,
    parameters: ViewParameters,
    state: ReaderState,
    read_id: u64,
    /// Objects of the pages received so far of a list in progress.
    listed_objects: Vec<ViewObject>,
    /// Revision of the first page of that list.
    list_revision: Option<StoreRevision>,
    /// Name after which the next page begins; `None` outside of a list.
    page_cursor: Option<String>,
    /// Revision to watch from; `None` if a list is needed.
    revision: Option<StoreRevision>,
    consecutive_failures: u32,
    last_answer_at: Timestamp,
    reachable: bool,
    /// Whether changes come from peers, so that no new read begins.
    follows_peers: bool,
    /// When the store last confirmed the view.
    confirmed_at: Option<Timestamp>,
    /// When the read in flight, or the last one, began.
    read_since: Timestamp,
    /// Time for which the changes of the last reply may have been in the store.
    change_age: Duration,
    /// Position in the reader order.
    rank: usize,
}

impl SourceReader {
    pub(in crate::gateway) fn new(kind: ViewKind, parameters: ViewParameters) -> Self {
        Self {
            kind,
            parameters,
            state: ReaderState::Pausing(Timestamp::ZERO),
            read_id: 0,
            listed_objects: Vec::new(),
            list_revision: None,
            page_cursor: None,
            revision: None,
            consecutive_failures: 0,
            last_answer_at: Timestamp::ZERO,
            reachable: true,
            follows_peers: false,
            confirmed_at: None,
            read_since: Timestamp::ZERO,
            change_age: Duration::ZERO,
            rank: 0,
        }
    }

    /// Starts the reader as a follower of its peers.
    pub(in crate::gateway) fn follow_peers(mut self) -> Self {
        self.follows_peers = true;
        self
    }

    /// Sets this node's position in the reader order; the node at 0 reads for all.
    pub(in crate::gateway) fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// Sets the parameters of the following reads.
    pub(in crate::gateway) fn set_parameters(&mut self, parameters: ViewParameters) {
        self.parameters = parameters;
    }

    /// Switches between following and reading. A read in flight is completed in either case.
    /// `known`: revision up to which the view is complete, from which a watch can start.
    pub(in crate::gateway) fn set_follows_peers(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        follows_peers: bool,
        known: Option<StoreRevision>,
    ) {
        self.follows_peers = follows_peers;
        if follows_peers || self.state != ReaderState::Following {
            return;
        }
        self.revision = self.revision.max(known);
        self.start_read(now, actions);
    }

    /// When the store last confirmed the view.
    pub(in crate::gateway) fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Longest time for which the changes of the last reply may have been in the store unread: those that a
    /// watch had to wait for are new. Zero if unknown.
    pub(in crate::gateway) fn change_age(&self) -> Duration {
        self.change_age
    }

    /// Time since the store last answered a read of this view.
    pub(in crate::gateway) fn age(&self, now: Timestamp) -> Duration {
        now.since(self.last_answer_at)
    }

    /// When [`Self::timer_due`] is due next.
    pub(in crate::gateway) fn next_timeout(&self) -> Timestamp {
        match self.state {
            ReaderState::Following => Timestamp::MAX,
            ReaderState::Pausing(until)
            | ReaderState::Listing(until)
            | ReaderState::Watching(until) => until,
        }
    }

    /// Starts the next read, or fails the current one on timeout.
    pub(in crate::gateway) fn timer_due(
        &mut self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
    ) {
        match self.state {
            ReaderState::Pausing(until) if until <= now => self.start_read(now, actions),
            ReaderState::Listing(until) | ReaderState::Watching(until) if until <= now => {
                self.read_failed(now, random, actions, SourceFailure::Unreachable);
            }
            _ => {}
        }
    }

    /// Handles the result of a read; returns the update of the view, if any.
    pub(in crate::gateway) fn replied(
        &mut self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
        read_id: u64,
        result: Result<SourceReply, SourceFailure>,
    ) -> Option<SourceUpdate> {
        let is_reading = matches!(
            self.state,
            ReaderState::Listing(_) | ReaderState::Watching(_)
        );
        if read_id != self.read_id || !is_reading {
            return None;
        }
        match result {
            Ok(reply) => {
                self.read_answered(now, actions);
                self.change_age = self.unread_time(now);
                let update = self.apply_reply(now, reply);
                match &update {
                    Some(SourceUpdate::Changes(objects, _)) if !objects.is_empty() => {
                        self.state = ReaderState::Pausing(now + self.parameters.coalescing);
                    }
                    _ => self.start_read(now, actions),
                }
                update
            }
            Err(SourceFailure::HistoryCompacted) => {
                self.read_answered(now, actions);
                self.revision = None;
                self.start_read(now, actions);
                None
            }
            Err(failure) => {
                self.read_failed(now, random, actions, failure);
                None
            }
        }
    }

    fn unread_time(&self, now: Timestamp) -> Duration {
        let waited = matches!(self.state, ReaderState::Watching(_))
            && now.since(self.read_since) > IMMEDIATE_REPLY;
        match self.confirmed_at {
            Some(confirmed_at) if !waited => now.since(confirmed_at),
            _ => Duration::ZERO,
        }
    }

    fn apply_reply(&mut self, now: Timestamp, reply: SourceReply) -> Option<SourceUpdate> {
        match reply {
            SourceReply::Page { objects, next, at } => {
                let list_revision = *self.list_revision.get_or_insert(at);
                if list_revision.era != at.era {
                    self.discard_pages();
                    return None;
                }
                self.listed_objects.extend(objects);
                self.page_cursor = next;
                if self.page_cursor.is_some() {
                    return None;
                }
                self.revision = Some(list_revision);
                self.list_revision = None;
                self.confirmed_at = Some(now);
                Some(SourceUpdate::List(
                    std::mem::take(&mut self.listed_objects),
                    list_revision,
                ))
            }
            SourceReply::Changes { objects, at } => {
                let known = self.revision.unwrap_or_default();
                if at.era != known.era {
                    // A new era reuses revisions, so that a watch does not return all changes.
                    self.revision = None;
                    return None;
                }
                self.confirmed_at = Some(now);
                self.revision = Some(at.max(known));
                Some(SourceUpdate::Changes(objects, at))
            }
        }
    }

    fn start_read(&mut self, now: Timestamp, actions: &mut VecDeque<GatewayAction>) {
        // A list in progress is completed: no peer may have the view yet.
        if self.follows_peers && self.page_cursor.is_none() {
            self.state = ReaderState::Following;
            return;
        }
        self.read_id += 1;
        self.read_since = now;
        let (what, timeout) = match self.revision {
            Some(from) => {
                let wait = self.parameters.watch_wait;
                let timeout = wait + self.parameters.read_timeout;
                self.state = ReaderState::Watching(now + timeout);
                (SourceRead::Watch { from, wait }, timeout)
            }
            None => {
                let doublings =
                    (self.consecutive_failures / FAILURES_PER_TIMEOUT_DOUBLING).min(MAX_DOUBLINGS);
                let timeout = self.parameters.first_read_timeout * 2_u32.pow(doublings);
                let timeout = timeout.min(self.parameters.read_timeout);
                self.state = ReaderState::Listing(now + timeout);
                let after = self.page_cursor.clone();
                (SourceRead::List { after }, timeout)
            }
        };
        actions.push_back(GatewayAction::Read {
            kind: self.kind,
            read: self.read_id,
            what,
            timeout,
        });
    }

    fn read_answered(&mut self, now: Timestamp, actions: &mut VecDeque<GatewayAction>) {
        if !self.reachable {
            self.report_reachability(now, actions, true, None);
        }
        self.reachable = true;
        self.consecutive_failures = 0;
        self.last_answer_at = now;
    }

    fn read_failed(
        &mut self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
        failure: SourceFailure,
    ) {
        if self.reachable {
            self.report_reachability(now, actions, false, Some(failure));
        }
        self.reachable = false;
        // A list restarts from its first page; a watch resumes from its revision.
        self.discard_pages();
        let backoff = self
            .max_backoff()
            .mul_f64(random.random_range(self.min_backoff_share()..=1.0));
        self.consecutive_failures += 1;
        self.state = ReaderState::Pausing(now + backoff);
    }

    fn discard_pages(&mut self) {
        self.listed_objects.clear();
        self.list_revision = None;
        self.page_cursor = None;
    }

    /// Backoff before jitter.
    fn max_backoff(&self) -> Duration {
        let parameters = &self.parameters;
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let backoff = match self.revision {
            None => parameters.unknown_backoff,
            Some(_) => parameters.first_backoff * 2_u32.pow(doublings),
        };
        let backoff = backoff.min(parameters.longest_backoff);
        backoff.mul_f64(1.0 + self.rank as f64 / RANKS_PER_BACKOFF_UNIT)
    }

    /// Minimum jitter factor.
    fn min_backoff_share(&self) -> f64 {
        match self.revision {
            None => MIN_INITIAL_BACKOFF_SHARE,
            Some(_) => MIN_BACKOFF_SHARE,
        }
    }

    fn report_reachability(
        &self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        reachable: bool,
        failure: Option<SourceFailure>,
    ) {
        let age = self.age(now);
        let change = GatewayChange::StoreReachability {
            kind: self.kind,
            reachable,
            failure,
            age,
        };
        actions.push_back(GatewayAction::Changed(change));
    }
}
