//! Requests that crash the servers that run them.

use super::faults::FaultStep;
use super::{Sent, World};
use crate::gateway::callers::Try;
use crate::gateway::oracle::CONTACT;
use crate::gateway::server::Condition;
use rand::Rng;
use std::time::Duration;
use thornbridge_core::Timestamp;

/// A request that crashes servers, and when it comes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crashing {
    content: u64,
    load: usize,
    every: Duration,
    until: Timestamp,
}

impl World {
    pub(super) fn crashing_request_comes(
        &mut self,
        load: usize,
        every: Duration,
        lasts: Duration,
        away: Duration,
    ) {
        // Ordinary requests are numbered from below.
        let content = u64::MAX - self.crashing.len() as u64;
        self.crashing.insert(content, away);
        self.ask_crashing(Crashing {
            content,
            load,
            every,
            until: self.now + lasts,
        });
    }

    pub(super) fn ask_crashing(&mut self, crashing: Crashing) {
        let zone = self.random.random_range(0..self.scenario.nodes.len());
        self.ask(Try {
            content: crashing.content,
            load: crashing.load,
            zone,
            first_asked: self.now,
            tries_left: 1,
            node: (0, 0),
            until: self.now + self.scenario.loads[crashing.load].caller_timeout,
        });
        if self.now + crashing.every < crashing.until {
            self.later(crashing.every, FaultStep::AskCrashing(crashing));
        }
    }

    /// Whether a request of this number is one that others are counted with.
    pub(super) fn is_ordinary(&self, content: u64) -> bool {
        !self.crashing.contains_key(&content)
    }

    /// Whether a server that runs a request until then crashes under it: halfway.
    pub(super) fn crashes_before(&mut self, sent: &Sent, end: Timestamp) -> bool {
        let content = self.oracle.content_of(sent.request);
        let crashes = !self.is_ordinary(content);
        if crashes {
            let (server, request) = (sent.server, sent.request);
            let after = end.since(self.now) / 2;
            self.later(after, FaultStep::CrashUnder { server, request });
        }
        crashes
    }

    pub(super) fn crash_under(&mut self, server: usize, request: u64) {
        let content = self.oracle.content_of(request);
        let Some(away) = self.crashing.get(&content).copied() else {
            return;
        };
        if self.servers[server].condition != Condition::Up {
            return;
        }
        self.oracle.crashed_under(self.now, content);
        self.crash(server, away, false);
    }

    /// A request that three servers ended under is no longer sent to servers, once nodes in touch had
    /// the time to hear of it.
    pub(super) fn check_crashing(&mut self, sent: &Sent) {
        let content = self.oracle.content_of(sent.request);
        let Some(third) = self.oracle.third_crash(content) else {
            return;
        };
        if self.now.since(third) > CONTACT && self.in_touch(sent.node) {
            self.oracle.sent_though_crashing(content, sent.request);
        }
    }
}
