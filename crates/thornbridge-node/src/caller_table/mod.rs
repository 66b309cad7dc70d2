//! Connections of callers, and the memory that callers make the process hold.
//!
//! Each connection has an [`Account`]. Bytes are reserved in it before they are held: request bodies
//! while they are received and for as long as anything refers to them, answers until callers have read
//! them. The number of connections and the bytes of each [`Pool`] have a limit. Whoever needs room beyond
//! it waits until others have released theirs: accounts are evicted for it, those first that hold the most
//! for the longest.

mod account;
mod eviction;
mod request_body;
mod socket_buffers;
#[cfg(test)]
mod tests;

pub(crate) use account::{Account, Evicted, Reservation};
pub(crate) use request_body::RequestBody;

use eviction::choose_victim;
use socket_buffers::{BufferShare, SocketBuffers};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Interval between log lines on evicted accounts.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Number of [`Pool`]s.
const POOLS: usize = 2;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pool {
    /// Requests, until no part of the process refers to their bodies.
    Requests,
    /// Answers, until they are written to their connections.
    Answers,
}

/// Who the connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The caller: for a request or the rest of one, or for the reading of an answer.
    AwaitingCaller,
    /// The process: for the answer to a request.
    AwaitingAnswer,
}

/// Limits of a table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TableLimits {
    /// Bytes of requests.
    pub(crate) request_bytes: usize,
    /// Bytes of answers.
    pub(crate) answer_bytes: usize,
    /// Bytes that the system holds for connections.
    pub(crate) socket_buffer_bytes: usize,
}

impl TableLimits {
    fn of(&self, pool: Pool) -> usize {
        match pool {
            Pool::Requests => self.request_bytes,
            Pool::Answers => self.answer_bytes,
        }
    }
}

/// What callers hold.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TableUsage {
    /// Open connections.
    pub(crate) connections: usize,
    /// Bytes of requests.
    pub(crate) request_bytes: usize,
    /// Bytes of answers.
    pub(crate) answer_bytes: usize,
    /// Accounts that were evicted since the start.
    pub(crate) evicted: u64,
}

/// Connections of the callers of one listener.
#[derive(Debug)]
pub(crate) struct CallerTable {
    /// Name of the listener, for the log.
    side: &'static str,
    limits: TableLimits,
    state: Mutex<State>,
    /// Told when an account was evicted, closed or has released bytes.
    changed: Notify,
}

#[derive(Debug)]
struct State {
    accounts: HashMap<u64, Entry>,
    next_key: u64,
    open: usize,
    /// Accounts whose connections are open and will be closed.
    closing: usize,
    /// Bytes by pool.
    held: [usize; POOLS],
    /// Bytes by pool of accounts that will release them.
    releasing: [usize; POOLS],
    buffers: SocketBuffers,
    evictions: u64,
    /// Evictions and time at the last log line.
    logged: Option<(u64, Instant)>,
}

#[derive(Debug)]
struct Entry {
    phase: Phase,
    phase_since: Instant,
    is_open: bool,
    /// Evicted or closed: what it holds is on its way out.
    is_releasing: bool,
    held: [usize; POOLS],
    buffer_share: BufferShare,
    evicted: CancellationToken,
}

/// Outcome of an attempt to hold more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Growth {
    Granted,
    /// Others have to release theirs before.
    Wait,
    Refused,
}

impl CallerTable {
    /// An empty table.
    pub(crate) fn new(side: &'static str, limits: TableLimits) -> Arc<Self> {
        Arc::new(Self {
            side,
            limits,
            state: Mutex::new(State::new(limits)),
            changed: Notify::new(),
        })
    }

    /// Opens an account, once fewer than `max_connections` are open.
    pub(crate) async fn admit(self: &Arc<Self>, max_connections: usize) -> Account {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Changes count from before the look at the state.
            changed.as_mut().enable();
            let opened = self.try_admit(max_connections);
            if let Some(account) = opened.and_then(|key| self.account(key)) {
                return account;
            }
            changed.await;
        }
    }

    /// Open connections.
    pub(crate) fn open(&self) -> usize {
        self.lock().open
    }

    /// What is held now.
    pub(crate) fn usage(&self) -> TableUsage {
        let state = self.lock();
        TableUsage {
            connections: state.open,
            request_bytes: state.held[Pool::Requests as usize],
            answer_bytes: state.held[Pool::Answers as usize],
            evicted: state.evictions,
        }
    }

    fn try_admit(&self, max_connections: usize) -> Option<u64> {
        let mut state = self.lock();
        if state.open < max_connections {
            return Some(state.open_account(max_connections));
        }
        let excess = state.open + 1 - max_connections;
        while state.closing < excess {
            let victim = choose_victim(&state, |entry| usize::from(entry.is_open))?;
            self.evict(&mut state, victim);
        }
        None
    }

    fn try_grow(&self, key: u64, pool: Pool, bytes: usize) -> Growth {
        let mut state = self.lock();
        let state = &mut *state;
        let index = pool as usize;
        let Some(entry) = state.accounts.get_mut(&key) else {
            return Growth::Refused;
        };
        if entry.is_releasing {
            return Growth::Refused;
        }
        let held = state.held[index];
        let limit = self.limits.of(pool);
        // One account may exceed the limit alone: a single request within its own limits is served.
        if held + bytes <= limit || held == entry.held[index] {
            entry.held[index] += bytes;
            state.held[index] += bytes;
            return Growth::Granted;
        }
        let excess = held + bytes - limit;
        while state.releasing[index] < excess {
            match choose_victim(state, |entry| entry.held[index]) {
                Some(victim) => self.evict(state, victim),
                None => break,
            }
        }
        match state
            .accounts
            .get(&key)
            .is_none_or(|entry| entry.is_releasing)
        {
            true => Growth::Refused,
            false => Growth::Wait,
        }
    }

    fn evict(&self, state: &mut State, key: u64) {
        state.evictions += 1;
        self.log_evictions(state);
        state.release_soon(key);
        if let Some(entry) = state.accounts.get(&key) {
            entry.evicted.cancel();
        }
        self.changed.notify_waiters();
    }

    /// Logs evictions, as many as there were since the last line.
    fn log_evictions(&self, state: &mut State) {
        let (logged, at) = state.logged.unzip();
        if at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        log::warn!(
            side = self.side,
            evicted = state.evictions - logged.unwrap_or_default(),
            connections = state.open,
            request_bytes = state.held[Pool::Requests as usize],
            answer_bytes = state.held[Pool::Answers as usize];
            "callers evicted"
        );
        state.logged = Some((state.evictions, Instant::now()));
    }

    fn release(&self, key: u64, pool: Pool, bytes: usize) {
        let mut state = self.lock();
        let state = &mut *state;
        let index = pool as usize;
        state.held[index] -= bytes;
        if let Some(entry) = state.accounts.get_mut(&key) {
            entry.held[index] -= bytes;
            if entry.is_releasing {
                state.releasing[index] -= bytes;
            }
        }
        state.remove_if_ended(key);
        self.changed.notify_waiters();
    }

    fn close(&self, key: u64) {
        let mut state = self.lock();
        let state = &mut *state;
        // What is still referred to, by a request at a server, is released soon.
        state.release_soon(key);
        state.open -= 1;
        state.closing -= 1;
        if let Some(entry) = state.accounts.get_mut(&key) {
            entry.is_open = false;
            state.buffers.put_back(entry.buffer_share);
        }
        state.remove_if_ended(key);
        self.changed.notify_waiters();
    }

    fn set_phase(&self, key: u64, phase: Phase) {
        if let Some(entry) = self.lock().accounts.get_mut(&key) {
            entry.phase = phase;
            entry.phase_since = Instant::now();
        }
    }

    /// The account that was just opened.
    fn account(self: &Arc<Self>, key: u64) -> Option<Account> {
        let state = self.lock();
        let entry = state.accounts.get(&key)?;
        let buffer_bytes = entry.buffer_share.buffer_bytes();
        let evicted = entry.evicted.clone();
        Some(Account::new(Arc::clone(self), key, buffer_bytes, evicted))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn new(limits: TableLimits) -> Self {
        Self {
            accounts: HashMap::new(),
            next_key: 0,
            open: 0,
            closing: 0,
            held: [0; POOLS],
            releasing: [0; POOLS],
            buffers: SocketBuffers::new(limits.socket_buffer_bytes),
            evictions: 0,
            logged: None,
        }
    }

    fn open_account(&mut self, max_connections: usize) -> u64 {
        let key = self.next_key;
        self.next_key += 1;
        self.open += 1;
        let entry = Entry {
            phase: Phase::AwaitingCaller,
            phase_since: Instant::now(),
            is_open: true,
            is_releasing: false,
            held: [0; POOLS],
            buffer_share: self.buffers.take(max_connections),
            evicted: CancellationToken::new(),
        };
        self.accounts.insert(key, entry);
        key
    }

    /// Counts an account among those that release what they hold.
    fn release_soon(&mut self, key: u64) {
        let Some(entry) = self.accounts.get_mut(&key) else {
            return;
        };
        if entry.is_releasing {
            return;
        }
        entry.is_releasing = true;
        for (releasing, held) in self.releasing.iter_mut().zip(entry.held) {
            *releasing += held;
        }
        self.closing += 1;
    }

    fn remove_if_ended(&mut self, key: u64) {
        let entry = self.accounts.get(&key);
        if entry.is_some_and(|entry| !entry.is_open && entry.held == [0; POOLS]) {
            self.accounts.remove(&key);
        }
    }
}
