//! Model of nodes that compete for one lease in the model store, with the invariants of its writes.

use crate::model_store::ModelStore;
use std::time::Duration;
use thornbridge_config::objects::LeaseObject;
use thornbridge_core::Timestamp;
use thornbridge_core::lease::{Lease, LeaseCounters, LeaseParameters};
use thornbridge_proto::NodeId;
use thornbridge_proto::platform::{ObjectKind, PlatformFailure, PlatformRequest};

pub const LEASE: &str = "reader";

/// Fault injected into one request to the store.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    None,
    Unreachable,
    RequestLost,
    AnswerLost,
    /// The caller gets no answer, and the request takes effect later.
    Delayed,
    /// The request takes effect, and the answer arrives at the node's next step.
    SlowAnswer,
}

/// A node with its lease and its clock.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub lease: Lease,
    /// Difference between the node's clock and the time of the model; grows on clock jumps.
    pub clock_offset: Duration,
    /// Whether the clock ever jumped undetected.
    pub undetected_jump: bool,
    pub pending_answer: Option<Answer>,
}

type Answer = Result<thornbridge_proto::platform::PlatformResponse, PlatformFailure>;

/// A write of the lease that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    pub at: Duration,
    pub writer: NodeId,
    pub object: LeaseObject,
}

/// Candidates for one lease, with the store and the time of the model.
#[derive(Clone, Debug)]
pub struct LeaseModel {
    pub now: Duration,
    pub parameters: LeaseParameters,
    pub store: ModelStore,
    pub candidates: Vec<Candidate>,
    pub delayed: Vec<(usize, PlatformRequest)>,
    pub last_write: Option<Write>,
    pub undetected_jump: bool,
}

impl LeaseModel {
    pub fn new(parameters: LeaseParameters, clock_offsets: &[Duration]) -> Self {
        let candidates = clock_offsets.iter().enumerate().map(|(index, offset)| {
            let node = NodeId(index as u64 + 1);
            let mut lease = Lease::new(parameters.clone(), LEASE.to_owned(), node);
            lease.set_wanted(Timestamp::from_epoch(*offset), true);
            Candidate {
                lease,
                clock_offset: *offset,
                undetected_jump: false,
                pending_answer: None,
            }
        });
        Self {
            now: Duration::ZERO,
            candidates: candidates.collect(),
            parameters,
            store: ModelStore::default(),
            delayed: Vec::new(),
            last_write: None,
            undetected_jump: false,
        }
    }

    pub fn clock(&self, index: usize) -> Timestamp {
        Timestamp::from_epoch(self.now + self.candidates[index].clock_offset)
    }

    /// Delivers a slow answer to one node, or sends the node's next request if one is due.
    pub fn step(&mut self, index: usize, fault: Fault) {
        let clock = self.clock(index);
        let counters = &mut LeaseCounters::default();
        if let Some(answer) = self.candidates[index].pending_answer.take() {
            let lease = &mut self.candidates[index].lease;
            return lease.handle_reply(clock, &answer, 1.0, counters);
        }
        let lease = &mut self.candidates[index].lease;
        let Some(request) = lease.poll(clock, true, counters) else {
            return;
        };
        let answer = match fault {
            Fault::None | Fault::SlowAnswer => self.apply(index, &request),
            Fault::Unreachable => Err(PlatformFailure::Unreachable),
            Fault::RequestLost => Err(PlatformFailure::NoAnswer),
            Fault::AnswerLost => {
                let _ = self.apply(index, &request);
                Err(PlatformFailure::NoAnswer)
            }
            Fault::Delayed => {
                self.delayed.push((index, request));
                Err(PlatformFailure::NoAnswer)
            }
        };
        let candidate = &mut self.candidates[index];
        if matches!(fault, Fault::SlowAnswer) {
            candidate.pending_answer = Some(answer);
        } else {
            candidate.lease.handle_reply(clock, &answer, 1.0, counters);
        }
    }

    /// Whether the node's next due request is a write.
    pub fn next_request_is_write(&self, index: usize) -> bool {
        let mut lease = self.candidates[index].lease.clone();
        let request = lease.poll(self.clock(index), true, &mut LeaseCounters::default());
        matches!(request, Some(PlatformRequest::Put { .. }))
    }

    pub fn check_now(&mut self, index: usize) {
        let clock = self.clock(index);
        self.candidates[index].lease.check_now(clock);
    }

    pub fn deliver_delayed(&mut self, delayed: usize) {
        if delayed < self.delayed.len() {
            let (index, request) = self.delayed.remove(delayed);
            let _ = self.apply(index, &request);
        }
    }

    /// Advances a node's clock; the node notices only if `detected` is set.
    pub fn jump_clock(&mut self, index: usize, by: Duration, detected: bool) {
        self.candidates[index].clock_offset += by;
        let clock = self.clock(index);
        if detected {
            let counters = &mut LeaseCounters::default();
            self.candidates[index].lease.clock_jumped(clock, counters);
        } else {
            self.undetected_jump = true;
            self.candidates[index].undetected_jump = true;
        }
    }

    fn apply(&mut self, index: usize, request: &PlatformRequest) -> Answer {
        let result = self.store.apply(request);
        if let (PlatformRequest::Put { body, .. }, Ok(_)) = (request, &result) {
            let write = Write {
                at: self.now,
                writer: NodeId(index as u64 + 1),
                object: serde_json::from_str(body).unwrap(),
            };
            self.check_write(&write);
            self.last_write = Some(write);
        }
        result
    }

    /// A write that takes effect renews or releases the writer's own lease, or acquires a free or
    /// expired lease with the next token. A lease is free once released, and also for its last
    /// holder.
    fn check_write(&self, write: &Write) {
        let object = &write.object;
        let Some(last) = &self.last_write else {
            assert_eq!((object.fencing_token, object.renewal), (1, 0));
            return;
        };
        if object.fencing_token == last.object.fencing_token {
            assert_eq!(
                last.object.holder,
                Some(write.writer),
                "a stale write took effect"
            );
            assert_eq!(object.renewal, last.object.renewal + 1);
            return;
        }
        assert_eq!(object.fencing_token, last.object.fencing_token + 1);
        assert_eq!(object.holder, Some(write.writer));
        let is_free = last
            .object
            .holder
            .is_none_or(|holder| holder == write.writer);
        let is_expired = write.at >= last.at + self.parameters.duration;
        assert!(
            is_free || is_expired || self.undetected_jump,
            "lease acquired before its expiry: {write:?}"
        );
    }

    /// Checks that each node holds only what the store shows, and that at most one node holds the
    /// lease, unless a clock jumped undetected.
    pub fn check_invariants(&self) {
        let mut holders = 0;
        for (index, candidate) in self.candidates.iter().enumerate() {
            let Some(token) = candidate.lease.held_token(self.clock(index)) else {
                continue;
            };
            if self.undetected_jump {
                continue;
            }
            holders += 1;
            let stored = self.store.get(ObjectKind::Lease, LEASE).unwrap();
            let stored: LeaseObject = serde_json::from_str(&stored.body).unwrap();
            let holder = NodeId(index as u64 + 1);
            assert_eq!(
                (stored.holder, stored.fencing_token),
                (Some(holder), token.0)
            );
        }
        assert!(holders <= 1);
    }
}
