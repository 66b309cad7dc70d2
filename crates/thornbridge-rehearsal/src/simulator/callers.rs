//! Callers: an open loop of requests, tries at several nodes, repeats under the same key.

use crate::oracle::AskedKind;
use crate::scenario::hash_parts;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use thornbridge_core::{CallerId, Timestamp};

/// Hits that callers ask for.
pub const HITS_WANTED: u32 = 10;
/// Nodes that a caller tries for one request.
pub const MOST_TRIES: u32 = 3;
/// A caller waits this long for a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A caller waits this long for an answer from a node that it no longer hears.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// A node that a caller could not reach is avoided by all callers for this long.
pub const AVOID_PERIOD: Duration = Duration::from_secs(1);
/// Share of actions that an impatient caller repeats under the same key through another node.
const REPEATED_ACTIONS: f64 = 0.05;
/// An impatient caller repeats within this time.
const REPEAT_WITHIN: Duration = Duration::from_millis(60);
/// Share of queries whose caller goes away, and how soon.
const ABANDONED_QUERIES: f64 = 0.002;
const ABANDONED_WITHIN: Duration = Duration::from_millis(20);
const NODE_PURPOSE: u64 = 51;

/// One request as its caller sees it.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest {
    /// Service, by position.
    pub service: usize,
    /// Query or action.
    pub kind: AskedKind,
    /// When it was first sent.
    pub sent: Timestamp,
    /// Deliveries made so far.
    pub tries: u32,
    /// Deliveries that may still be answered.
    pub open: u32,
    /// Whether it has its final outcome.
    pub settled: bool,
}

/// One try of a request at one node. Its [`CallerId`] is its position.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    /// Number of the request.
    pub request: u64,
    /// Which try of it.
    pub attempt: u32,
    /// The node.
    pub node: usize,
    /// Run of the node that took it; absent before.
    pub run: Option<u32>,
    /// When the node took it.
    pub taken: Timestamp,
    /// Whether the node answered or refused, or the caller gave it up.
    pub closed: bool,
}

/// What an impatient or vanishing caller does after sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Impatience {
    /// Sends the action again under its key through another node.
    Repeat(Duration),
    /// Hangs up.
    HangUp(Duration),
}

/// All callers.
#[derive(Debug)]
pub struct Callers {
    /// Requests by number.
    pub requests: Vec<CallerRequest>,
    /// Tries by caller id.
    pub deliveries: Vec<Delivery>,
    /// Requests without final outcome.
    pub unsettled: usize,
    arrivals: Vec<Pcg64Mcg>,
    rates: Vec<f64>,
    seed: u64,
}

impl Callers {
    /// Callers that offer each service so many requests a second.
    pub fn new(rates: Vec<f64>, seed: u64) -> Self {
        let generator = |index: usize| Pcg64Mcg::seed_from_u64(hash_parts(seed, &[index as u64]));
        Self {
            requests: Vec::new(),
            deliveries: Vec::new(),
            unsettled: 0,
            arrivals: (0..rates.len()).map(generator).collect(),
            rates,
            seed,
        }
    }

    /// Time to the next request of a service: a Poisson process.
    pub fn next_arrival(&mut self, service: usize, factor: f64) -> Option<Duration> {
        let rate = self.rates[service] * factor;
        if rate <= 0.0 {
            return None;
        }
        let uniform = 1.0 - self.arrivals[service].random::<f64>();
        let seconds = -libm::log(uniform) / rate;
        Some(Duration::from_nanos((seconds * 1e9) as u64))
    }

    /// A new request; gives its number.
    pub fn open_request(&mut self, service: usize, kind: AskedKind, now: Timestamp) -> u64 {
        self.unsettled += 1;
        self.requests.push(CallerRequest {
            service,
            kind,
            sent: now,
            tries: 0,
            open: 0,
            settled: false,
        });
        (self.requests.len() - 1) as u64
    }

    /// The node that a caller asks first, by position among so many.
    pub fn first_node(&self, request: u64, nodes: usize) -> usize {
        (hash_parts(self.seed, &[NODE_PURPOSE, request]) % nodes as u64) as usize
    }

    /// A new try of a request at a node.
    pub fn open_delivery(&mut self, request: u64, node: usize, now: Timestamp) -> CallerId {
        let entry = &mut self.requests[request as usize];
        let attempt = entry.tries;
        entry.tries += 1;
        entry.open += 1;
        self.deliveries.push(Delivery {
            request,
            attempt,
            node,
            run: None,
            taken: now,
            closed: false,
        });
        CallerId((self.deliveries.len() - 1) as u64)
    }

    /// The try of a caller id.
    pub fn delivery(&self, caller: CallerId) -> Option<&Delivery> {
        self.deliveries.get(caller.0 as usize)
    }

    /// Gives a request its final outcome; false where it had one.
    pub fn settle(&mut self, request: u64) -> bool {
        let entry = &mut self.requests[request as usize];
        if entry.settled {
            return false;
        }
        entry.settled = true;
        self.unsettled -= 1;
        true
    }

    /// Whether the caller of a request repeats it or goes away, drawn from its number.
    pub fn impatience(&self, request: u64) -> Option<Impatience> {
        let hash = hash_parts(self.seed, &[request]);
        let chance = crate::scenario::unit(hash);
        let share = crate::scenario::unit(hash_parts(self.seed, &[request, 1]));
        match self.requests[request as usize].kind {
            AskedKind::Action if chance < REPEATED_ACTIONS => {
                Some(Impatience::Repeat(REPEAT_WITHIN.mul_f64(share)))
            }
            AskedKind::Query if chance < ABANDONED_QUERIES => {
                Some(Impatience::HangUp(ABANDONED_WITHIN.mul_f64(share)))
            }
            _ => None,
        }
    }
}
