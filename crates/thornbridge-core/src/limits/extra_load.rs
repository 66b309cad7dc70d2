//! Per-service budget of extra attempts: hedges and retries.
//!
//! A token bucket: each first attempt earns a fixed share of a token, each extra attempt costs one
//! token. Extra attempts therefore never exceed that share of the first attempts plus the initial
//! tokens.
//!
//! References: J. Dean and L. A. Barroso, "The Tail at Scale", CACM 2013 (hedges); "Addressing
//! Cascading Failures", Site Reliability Engineering, 2016 (retry budgets).

use serde::{Deserialize, Serialize};

/// Tokens are counted in integer millionths, so that rounding errors do not accumulate.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Parameters of the extra-load budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ExtraLoadParameters {
    /// Initial tokens. Lets a node that just started, or has little traffic, retry at once when a
    /// replica fails, instead of waiting for the deadline beside a healthy one.
    pub initial_tokens: u32,
    /// Capacity of the bucket, in tokens. Covers the hedges of one large query without allowing a
    /// long burst of extra load after an idle period.
    pub maximum_tokens: u32,
    /// Share of shed replies above which all extra attempts are denied, since they would prolong
    /// the overload.
    pub shed_share_ceiling: f64,
    /// Replies over which the share of shed replies is averaged.
    pub shed_memory_replies: f64,
}

impl Default for ExtraLoadParameters {
    fn default() -> Self {
        Self {
            initial_tokens: 10,
            maximum_tokens: 200,
            shed_share_ceiling: 0.1,
            shed_memory_replies: 100.0,
        }
    }
}

/// Kind of extra attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtraAttempt {
    /// Sent because the first attempt is slow.
    Hedge,
    /// Sent because the first attempt failed, was shed, or had no usable reply.
    Retry,
}

/// Counters of extra attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExtraLoadCounters {
    /// First attempts.
    pub first_attempts: u64,
    /// Hedges allowed.
    pub hedges: u64,
    /// Retries allowed.
    pub retries: u64,
    /// Attempts that replaced one that was never sent; not extra load.
    pub replacements: u64,
    /// Hedges and retries denied for lack of tokens.
    pub denied_no_token: u64,
    /// Hedges and retries denied because too many replies were shed.
    pub denied_shedding: u64,
}

impl ExtraLoadCounters {
    /// Adds another service's counters.
    pub fn add(&mut self, other: &Self) {
        self.first_attempts += other.first_attempts;
        self.hedges += other.hedges;
        self.retries += other.retries;
        self.replacements += other.replacements;
        self.denied_no_token += other.denied_no_token;
        self.denied_shedding += other.denied_shedding;
    }
}

/// Budget of extra attempts of a service.
#[derive(Debug)]
pub struct ExtraLoadBudget {
    parameters: ExtraLoadParameters,
    earned_microtokens: u64,
    available_microtokens: u64,
    shed_share: f64,
    counters: ExtraLoadCounters,
}

impl ExtraLoadBudget {
    /// Creates a budget that earns `share` of a token (0 to 1) with each first attempt.
    pub fn new(parameters: ExtraLoadParameters, share: f64) -> Self {
        Self {
            earned_microtokens: microtokens(share),
            available_microtokens: initial_microtokens(&parameters, share),
            parameters,
            shed_share: 0.0,
            counters: ExtraLoadCounters::default(),
        }
    }

    /// Sets the share earned per first attempt. Earned tokens are kept.
    pub fn set_share(&mut self, share: f64) {
        self.earned_microtokens = microtokens(share);
    }

    /// Counts a first attempt and earns its share of a token.
    pub fn record_first_attempt(&mut self) {
        self.counters.first_attempts += 1;
        let maximum = u64::from(self.parameters.maximum_tokens) * MICROTOKENS_PER_TOKEN;
        self.available_microtokens =
            (self.available_microtokens + self.earned_microtokens).min(maximum);
    }

    /// Counts an attempt that replaces one that ended with `NotSent`. No token is needed, since the
    /// replaced attempt never reached a back end.
    pub fn record_replacement(&mut self) {
        self.counters.replacements += 1;
    }

    /// Takes a token for an extra attempt. Returns whether the attempt is allowed.
    #[must_use]
    pub fn try_take(&mut self, kind: ExtraAttempt) -> bool {
        if self.shed_share > self.parameters.shed_share_ceiling {
            self.counters.denied_shedding += 1;
            return false;
        }
        if self.available_microtokens < MICROTOKENS_PER_TOKEN {
            self.counters.denied_no_token += 1;
            return false;
        }
        self.available_microtokens -= MICROTOKENS_PER_TOKEN;
        match kind {
            ExtraAttempt::Hedge => self.counters.hedges += 1,
            ExtraAttempt::Retry => self.counters.retries += 1,
        }
        true
    }

    /// Whether an extra attempt would be allowed.
    pub fn available(&self) -> bool {
        self.available_microtokens >= MICROTOKENS_PER_TOKEN
            && self.shed_share <= self.parameters.shed_share_ceiling
    }

    /// Counts a reply; `shed` if the back end rejected the attempt because of overload.
    pub fn record_reply(&mut self, shed: bool) {
        let weight = 1.0 / self.parameters.shed_memory_replies.max(1.0);
        let sample = if shed { 1.0 } else { 0.0 };
        self.shed_share += (sample - self.shed_share) * weight;
    }

    /// Counters of extra attempts.
    pub fn counters(&self) -> &ExtraLoadCounters {
        &self.counters
    }
}

fn microtokens(share: f64) -> u64 {
    // Rounds down, so that the share is never exceeded; the epsilon compensates float errors.
    (share.clamp(0.0, 1.0) * MICROTOKENS_PER_TOKEN as f64 + 1e-6) as u64
}

/// Initial tokens; none for a service that allows no extra load.
fn initial_microtokens(parameters: &ExtraLoadParameters, share: f64) -> u64 {
    if share > 0.0 {
        u64::from(parameters.initial_tokens) * MICROTOKENS_PER_TOKEN
    } else {
        0
    }
}
