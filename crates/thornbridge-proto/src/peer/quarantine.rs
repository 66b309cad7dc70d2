//! Requests under which servers crashed: what nodes tell each other of them.
//!
//! A record can be taken any number of times and in any order: instances are added up, the newest
//! crash counts, and a request that a server answered stays cleared.

use crate::BackEndId;
use crate::fingerprint::Fingerprint;
use serde::{Deserialize, Serialize};

/// What a node knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Instances that ended while they had it.
    pub instances: Vec<BackEndId>,
    /// Milliseconds since the last of them did, or since it was cleared.
    pub age_ms: u32,
    /// Whether a server answered it: then it is not the request that crashes servers.
    pub cleared: bool,
}

/// A message about such requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineMessage {
    /// What the sender knows.
    pub records: Vec<CrashRecord>,
}
