//! What must always hold, checked by what callers, servers and the store saw.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thornbridge_config::routes::RECORD_BYTES;
use thornbridge_core::Timestamp;
use thornbridge_core::gateway::{GatewayAnswer, RefusalStatus};
use thornbridge_proto::ServiceName;

/// Time without disruption after which a node counts as in touch.
pub(super) const CONTACT: Duration = Duration::from_secs(4);
/// Crashes after which a request counts as one that crashes servers.
const CRASHES: usize = 3;
/// Tries of such a request that may reach servers later than that.
const TRIES_AFTER: usize = 3;
/// Window of the budget of extra attempts.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Time beyond its limit that a request may go without an answer.
const LIMIT_SLACK: Duration = Duration::from_millis(500);
/// Time beyond what is left that a server may be given.
const PATIENCE_SLACK: Duration = Duration::from_millis(500);

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// An answer is a server's whole answer to its own request.
    OwnAnswer,
    /// The parts of an answer and the number left out are the shards of one version.
    OneVersion,
    /// Enough parts are in.
    LeastShare,
    /// The records are the greatest of the named parts, in falling order.
    GreatestRecords,
    /// A request that may not be repeated ran at most once.
    AtMostOnce,
    /// A request that was refused as not run did not run.
    RefusedNotRun,
    /// No part ran on more servers than the route allows.
    Attempts,
    /// Extra attempts stay within the budget of each service.
    Budget,
    /// A leaving server gets nothing new after its time to drain.
    Drain,
    /// A server of an evacuated zone gets nothing new after the time for that.
    Evacuation,
    /// A configuration is in force in time.
    Configuration,
    /// A node does not go back to an older configuration.
    GoesBack,
    /// A final answer comes within the route's time limit.
    TimeLimit,
    /// Servers are given no more time than is left.
    Patience,
    /// A request under which servers crashed is sent to servers a few times more, at most.
    CrashingRequest,
    /// After the last fault, callers are served again.
    Recovery,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The rule.
    pub rule: Rule,
    /// What was seen.
    pub detail: String,
}

/// An arrival at a server.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at: Timestamp,
    pub(super) request: u64,
    pub(super) service: ServiceName,
    pub(super) server: usize,
    pub(super) ran: bool,
}

/// What is known of one try of a caller.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) at: Timestamp,
    pub(super) repeatable: bool,
    pub(super) limit: Duration,
    pub(super) attempts: u32,
    pub(super) refused_not_run: bool,
    /// Number of the request: the same in all of its tries.
    pub(super) content: u64,
}

/// Everything seen.
#[derive(Debug, Default)]
pub(super) struct Oracle {
    pub(super) arrivals: Vec<Arrival>,
    pub(super) asked: BTreeMap<u64, Asked>,
    /// Requests for each service: when they were sent.
    pub(super) requests_for: BTreeMap<ServiceName, Vec<Timestamp>>,
    /// Shard sets of the versions, by version.
    pub(super) versions: BTreeMap<u64, BTreeSet<ServiceName>>,
    pub(super) broken: Vec<Broken>,
    /// When servers crashed under a request.
    crashes: BTreeMap<u64, Vec<Timestamp>>,
    /// Tries of such a request that reached servers though that had to be known.
    sent_though_crashing: BTreeMap<u64, BTreeSet<u64>>,
}

/// A signature as the model's servers write it.
pub(super) fn signature(service: &ServiceName, request: u64, server: usize) -> String {
    format!("{service}/{request}/{server}")
}

/// The records of a server's answer: the same for all servers of a service.
pub(super) fn records(service: &ServiceName, request: u64) -> Vec<u8> {
    let mut body = Vec::new();
    for index in 0..6_u64 {
        let text = format!("{service}{request}{index}");
        let hash = xxhash_rust::xxh3::xxh3_128(text.as_bytes());
        body.extend_from_slice(&hash.to_be_bytes());
    }
    // A rest that is no record.
    body.extend_from_slice(b"rest");
    body
}

impl Oracle {
    pub(super) fn breaks(&mut self, rule: Rule, detail: String) {
        self.broken.push(Broken { rule, detail });
    }

    /// A request's answer reached its caller.
    pub(super) fn answered(
        &mut self,
        now: Timestamp,
        request: u64,
        answer: &GatewayAnswer,
        least_share: f64,
    ) {
        let Some(asked) = self.asked.get_mut(&request) else {
            return;
        };
        let took = now.since(asked.at);
        if took > asked.limit + LIMIT_SLACK {
            let detail = format!("request {request} answered after {took:?}");
            self.breaks(Rule::TimeLimit, detail);
            return;
        }
        match answer {
            GatewayAnswer::Refused { status, .. } => {
                asked.refused_not_run = *status == RefusalStatus::NotRun;
            }
            GatewayAnswer::Forwarded { body, .. } => {
                let own = format!("answer to {request}");
                if body[..] != *own.as_bytes() {
                    let detail = format!("request {request} got {body:?}");
                    self.breaks(Rule::OwnAnswer, detail);
                }
            }
            GatewayAnswer::Gathered {
                signatures,
                missing,
                records,
            } => {
                let texts = signatures
                    .iter()
                    .map(|part| String::from_utf8_lossy(part).into_owned());
                let texts: Vec<String> = texts.collect();
                self.gathered(request, &texts, *missing, records, least_share);
            }
        }
    }

    fn gathered(
        &mut self,
        request: u64,
        signatures: &[String],
        missing: usize,
        found: &[u8],
        least_share: f64,
    ) {
        let mut services = BTreeSet::new();
        for signature in signatures {
            let mut parts = signature.split('/');
            let service = ServiceName::new(parts.next().unwrap_or_default());
            let own = parts.next() == Some(&request.to_string());
            if !own || !services.insert(service) {
                let detail = format!("request {request} has the part {signature}");
                self.breaks(Rule::OwnAnswer, detail);
                return;
            }
        }
        let all = services.len() + missing;
        let of_one = |set: &BTreeSet<ServiceName>| set.len() == all && services.is_subset(set);
        if !self.versions.values().any(of_one) {
            let detail = format!("request {request}: {services:?} and {missing} missing");
            self.breaks(Rule::OneVersion, detail);
        }
        if (services.len() as f64) < least_share * all as f64 - 1e-9 {
            let detail = format!("request {request}: {} of {all}", services.len());
            self.breaks(Rule::LeastShare, detail);
        }
        let mut expected: Vec<[u8; RECORD_BYTES]> = services
            .iter()
            .flat_map(|service| {
                let body = records(service, request);
                let chunks = body.chunks_exact(RECORD_BYTES);
                let records = chunks.filter_map(|chunk| chunk.try_into().ok());
                records.collect::<Vec<[u8; RECORD_BYTES]>>()
            })
            .collect();
        expected.sort_unstable_by(|left, right| right.cmp(left));
        expected.truncate(50);
        if expected.concat() != found {
            self.breaks(Rule::GreatestRecords, format!("request {request}"));
        }
    }

    /// A server is given this much time.
    pub(super) fn patience(&mut self, now: Timestamp, request: u64, given: Duration) {
        let Some(asked) = self.asked.get(&request) else {
            self.breaks(Rule::OwnAnswer, format!("nobody asked {request}"));
            return;
        };
        let left = asked.limit.saturating_sub(now.since(asked.at));
        if given > left + PATIENCE_SLACK {
            let detail = format!("request {request}: given {given:?}, left {left:?}");
            self.breaks(Rule::Patience, detail);
        }
    }

    /// Number of the request that this was a try of.
    pub(super) fn content_of(&self, request: u64) -> u64 {
        self.asked.get(&request).map_or(0, |asked| asked.content)
    }

    pub(super) fn crashed_under(&mut self, now: Timestamp, content: u64) {
        self.crashes.entry(content).or_default().push(now);
    }

    /// When a request had crashed enough servers to be told by that.
    pub(super) fn third_crash(&self, content: u64) -> Option<Timestamp> {
        self.crashes.get(&content)?.get(CRASHES - 1).copied()
    }

    pub(super) fn sent_though_crashing(&mut self, content: u64, request: u64) {
        let tries = self.sent_though_crashing.entry(content).or_default();
        tries.insert(request);
    }

    /// Servers that crashed under each request that crashed some, as these came.
    pub(super) fn crashes_by_request(&self) -> Vec<u64> {
        // They are numbered from above.
        let newest_first = self.crashes.values();
        newest_first.rev().map(|times| times.len() as u64).collect()
    }

    /// Checks what only the whole run shows.
    pub(super) fn finish(&mut self, budget: (f64, f64)) {
        self.check_runs();
        self.check_budget(budget);
        self.check_crashing();
    }

    fn check_crashing(&mut self) {
        let tries = std::mem::take(&mut self.sent_though_crashing);
        for (content, tries) in tries {
            if tries.len() > TRIES_AFTER {
                let crashes = self.crashes.get(&content).map_or(0, Vec::len);
                let detail = format!("{} tries after {crashes} crashes", tries.len());
                self.breaks(Rule::CrashingRequest, detail);
            }
        }
    }

    fn check_runs(&mut self) {
        let mut runs: BTreeMap<(u64, ServiceName), BTreeSet<usize>> = BTreeMap::new();
        let mut run_count: BTreeMap<u64, u32> = BTreeMap::new();
        for arrival in self.arrivals.iter().filter(|arrival| arrival.ran) {
            let key = (arrival.request, arrival.service.clone());
            runs.entry(key).or_default().insert(arrival.server);
            *run_count.entry(arrival.request).or_default() += 1;
        }
        let mut found = Vec::new();
        for ((request, service), servers) in &runs {
            let Some(asked) = self.asked.get(request) else {
                continue;
            };
            if servers.len() > asked.attempts as usize {
                let detail = format!("request {request} ran on {servers:?} of {service}");
                found.push((Rule::Attempts, detail));
            }
        }
        for (request, count) in &run_count {
            let Some(asked) = self.asked.get(request) else {
                continue;
            };
            if !asked.repeatable && *count > 1 {
                found.push((
                    Rule::AtMostOnce,
                    format!("request {request} ran {count} times"),
                ));
            }
            if !asked.repeatable && asked.refused_not_run {
                found.push((Rule::RefusedNotRun, format!("request {request} ran")));
            }
        }
        for (rule, detail) in found {
            self.breaks(rule, detail);
        }
    }

    /// Arrivals beyond the first of each part.
    pub(super) fn extra_arrivals(&self) -> u64 {
        let mut first = BTreeSet::new();
        let again = self.arrivals.iter().filter(|arrival| {
            let part = (arrival.request, arrival.service.clone());
            !first.insert(part)
        });
        again.count() as u64
    }

    fn check_budget(&mut self, (ratio, slack): (f64, f64)) {
        let mut first = BTreeSet::new();
        let mut extra: BTreeMap<ServiceName, Vec<Timestamp>> = BTreeMap::new();
        for arrival in &self.arrivals {
            if !first.insert((arrival.request, arrival.service.clone())) {
                let times = extra.entry(arrival.service.clone()).or_default();
                times.push(arrival.at);
            }
        }
        let mut found = Vec::new();
        for (service, times) in &extra {
            let requests = self.requests_for.get(service);
            let in_window = |times: &[Timestamp], end: Timestamp| {
                let from = end - BUDGET_WINDOW;
                times.iter().filter(|at| **at > from && **at <= end).count() as f64
            };
            for end in times {
                let requests = requests.map_or(0.0, |requests| {
                    let half = BUDGET_WINDOW / 2;
                    in_window(requests, *end)
                        .max(in_window(requests, *end - half))
                        .max(in_window(requests, *end - BUDGET_WINDOW))
                });
                let used = in_window(times, *end);
                if used > ratio * requests + slack {
                    let detail = format!("{service}: {used} extra for {requests} at {end:?}");
                    found.push(detail);
                    break;
                }
            }
        }
        for detail in found {
            self.breaks(Rule::Budget, detail);
        }
    }
}
