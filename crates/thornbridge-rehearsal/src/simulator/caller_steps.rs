//! What happens to callers.

use super::callers::{
    ANSWER_TIMEOUT, AVOID_PERIOD, CONNECT_TIMEOUT, Delivery, HITS_WANTED, Impatience, MOST_TRIES,
};
use super::network::Place;
use super::occurrence::{CallerResult, CallerStep, NodeArrival, Occurrence};
use super::trace::Step;
use super::{Simulator, back_end, corpus, kind_of};
use crate::oracle::{Asked, AskedKind};
use std::time::Duration;
use thornbridge_core::{CallerId, Event};
use thornbridge_proto::caller::{ActionRequest, Executed, QueryRequest};

/// A request that a node took must be answered within this time, whatever the service.
const LONGEST_ANSWER: Duration = Duration::from_secs(31);

impl Simulator {
    pub(super) fn caller_step(&mut self, step: CallerStep) {
        self.trace
            .note(self.now, Step::Caller, [step_tag(&step), 0, 0], || {
                format!("caller {step:?}")
            });
        match step {
            CallerStep::Arrives { service } => self.request_arrives(service),
            CallerStep::Repeats { request } => self.try_request(request),
            CallerStep::HangsUp { request } => self.hang_up(request),
            CallerStep::Hears { caller, result } => self.caller_hears(caller, result),
            CallerStep::Loses { caller } => self.caller_gives_up(caller),
        }
    }

    fn request_arrives(&mut self, service: usize) {
        self.schedule_arrival(service, self.now);
        let kind = kind_of(&self.setup.deployment, service);
        let request = self.callers.open_request(service, kind, self.now);
        self.measurements[service].offered += 1;
        self.note_lower_bound(service, request);
        self.try_request(request);
        match self.callers.impatience(request) {
            Some(Impatience::Repeat(delay)) => {
                let step = CallerStep::Repeats { request };
                self.after(delay, Occurrence::Caller(step));
            }
            Some(Impatience::HangUp(delay)) => {
                let step = CallerStep::HangsUp { request };
                self.after(delay, Occurrence::Caller(step));
            }
            None => {}
        }
    }

    /// Sends a request to the next node, another one each time.
    fn try_request(&mut self, request: u64) {
        let tries = self.callers.requests[request as usize].tries;
        let settled = self.callers.requests[request as usize].settled;
        if settled || tries >= MOST_TRIES {
            return;
        }
        let node = self.next_node(request, tries as usize);
        let caller = self.callers.open_delivery(request, node, self.now);
        let to = self.place_of_node(node);
        let way = self.network.reliable(self.now, Place::Callers, to);
        match way.filter(|_| !self.has_lost_power(node)) {
            Some(delay) => {
                let run = self.hosts[node].run;
                self.send_to_node(delay, node, run, NodeArrival::Request { caller });
            }
            None => {
                self.hosts[node].avoided_until = self.now + CONNECT_TIMEOUT + AVOID_PERIOD;
                self.caller_loses(caller, CONNECT_TIMEOUT);
            }
        }
    }

    fn next_node(&self, request: u64, tries: usize) -> usize {
        let nodes = self.hosts.len();
        let first = self.callers.first_node(request, nodes) + tries;
        let usable = |node: &usize| self.hosts[*node].avoided_until <= self.now;
        (0..nodes)
            .map(|step| (first + step) % nodes)
            .find(usable)
            .unwrap_or(first % nodes)
    }

    /// A request reaches the node's process.
    pub(super) fn request_reaches(&mut self, node: usize, caller: CallerId) {
        let run = self.hosts[node].run;
        let delivery = &mut self.callers.deliveries[caller.0 as usize];
        if delivery.closed {
            return;
        }
        delivery.run = Some(run);
        delivery.taken = self.now;
        let delivery = *delivery;
        self.hosts[node].unanswered += 1;
        let asked = self.asked(&delivery);
        let service = self.setup.deployment.services[asked.service]
            .scenario
            .name
            .clone();
        let event = match asked.kind {
            AskedKind::Query => Event::CallerQuery {
                caller,
                request: QueryRequest {
                    service,
                    query: corpus::query_text(asked.request, asked.attempt),
                    limit: asked.limit,
                    timeout: None,
                    minimum_coverage: None,
                },
            },
            AskedKind::Action => {
                self.oracle.action_asked(asked.request);
                Event::CallerAction {
                    caller,
                    request: ActionRequest {
                        service,
                        key: back_end::action_key(asked.request),
                        payload: format!("payload {}", asked.request),
                        timeout: None,
                    },
                }
            }
        };
        self.handle(node, event);
    }

    /// What a try asked for.
    pub(super) fn asked(&self, delivery: &Delivery) -> Asked {
        let request = &self.callers.requests[delivery.request as usize];
        Asked {
            request: delivery.request,
            attempt: delivery.attempt,
            service: request.service,
            limit: HITS_WANTED,
            kind: request.kind,
        }
    }

    fn hang_up(&mut self, request: u64) {
        let found = self
            .callers
            .deliveries
            .iter()
            .rposition(|delivery| delivery.request == request && !delivery.closed);
        let Some(position) = found else {
            return;
        };
        let delivery = &mut self.callers.deliveries[position];
        delivery.closed = true;
        let (node, run) = (delivery.node, delivery.run);
        self.settle_without_answer(request, Settled::Abandoned);
        if run == Some(self.hosts[node].run) && self.hosts[node].pause.is_none() {
            self.hosts[node].unanswered = self.hosts[node].unanswered.saturating_sub(1);
            let caller = CallerId(position as u64);
            self.handle(node, Event::CallerDisconnected { caller });
        }
    }

    fn caller_hears(&mut self, caller: CallerId, result: CallerResult) {
        let Some(delivery) = self.callers.delivery(caller).copied() else {
            return;
        };
        let request = delivery.request;
        let entry = &mut self.callers.requests[request as usize];
        entry.open = entry.open.saturating_sub(1);
        match result {
            CallerResult::Answered { coverage } => self.settle_answered(request, coverage),
            CallerResult::Refused {
                executed: Executed::No,
                elsewhere: true,
            } if entry.tries < MOST_TRIES => self.try_request(request),
            CallerResult::Refused { .. } if entry.open > 0 => {}
            CallerResult::Refused { executed, .. } => {
                let settled = match executed {
                    Executed::No => Settled::Refused,
                    Executed::Unknown => Settled::Failed,
                };
                self.settle_without_answer(request, settled);
            }
        }
    }

    fn settle_answered(&mut self, request: u64, coverage: Option<f64>) {
        if !self.callers.settle(request) {
            return;
        }
        let entry = self.callers.requests[request as usize];
        let measured = &mut self.measurements[entry.service];
        measured.answered(entry.sent, self.now.since(entry.sent));
        if let Some(coverage) = coverage {
            measured.coverage.push((entry.sent, coverage));
        }
    }

    fn settle_without_answer(&mut self, request: u64, settled: Settled) {
        if !self.callers.settle(request) {
            return;
        }
        let entry = self.callers.requests[request as usize];
        let measured = &mut self.measurements[entry.service];
        match settled {
            Settled::Refused => measured.refused += 1,
            Settled::Failed => measured.failed += 1,
            Settled::Abandoned => {}
        }
    }

    /// A try will never be answered; its caller notices after a while.
    pub(super) fn caller_loses(&mut self, caller: CallerId, after: Duration) {
        let step = CallerStep::Loses { caller };
        self.after(after, Occurrence::Caller(step));
    }

    fn caller_gives_up(&mut self, caller: CallerId) {
        let Some(delivery) = self.callers.deliveries.get_mut(caller.0 as usize) else {
            return;
        };
        delivery.closed = true;
        let request = delivery.request;
        let entry = &mut self.callers.requests[request as usize];
        entry.open = entry.open.saturating_sub(1);
        if entry.tries < MOST_TRIES {
            self.try_request(request);
        } else if entry.open == 0 {
            self.settle_without_answer(request, Settled::Failed);
        }
    }

    /// The tries that a node took and did not answer are lost with its run.
    pub(super) fn lose_deliveries(&mut self, node: usize, run: u32, silent: bool) {
        let to_callers = self.setup.deployment.scenario.network.to_callers;
        let delay = if silent { ANSWER_TIMEOUT } else { to_callers };
        let lost: Vec<usize> = (0..self.callers.deliveries.len())
            .filter(|position| {
                let delivery = &self.callers.deliveries[*position];
                !delivery.closed && delivery.node == node && delivery.run == Some(run)
            })
            .collect();
        for position in lost {
            let request = self.callers.deliveries[position].request;
            if self.callers.requests[request as usize].kind == AskedKind::Action {
                self.oracle.action_abandoned(request);
            }
            self.callers.deliveries[position].closed = true;
            self.caller_loses(CallerId(position as u64), delay);
        }
    }

    /// At the end, each request that a live node took long ago must have been answered.
    pub(super) fn check_unanswered(&mut self) {
        for position in 0..self.callers.deliveries.len() {
            let delivery = self.callers.deliveries[position];
            let host = &self.hosts[delivery.node];
            let open = !delivery.closed && delivery.run == Some(host.run);
            let calm = host.pause.is_none() && host.resumed.is_none_or(|at| at < delivery.taken);
            if open && calm && self.now.since(delivery.taken) > LONGEST_ANSWER {
                let asked = self.asked(&delivery);
                self.oracle.never_answered(self.now, asked, false);
            }
        }
        let unsettled: Vec<usize> = (0..self.callers.requests.len())
            .filter(|number| !self.callers.requests[*number].settled)
            .collect();
        for number in unsettled {
            self.settle_without_answer(number as u64, Settled::Failed);
        }
    }
}

/// How a request ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Settled {
    Refused,
    Failed,
    Abandoned,
}

/// A number for a step, part of the digest.
fn step_tag(step: &CallerStep) -> u64 {
    match step {
        CallerStep::Arrives { service } => 1 + ((*service as u64) << 3),
        CallerStep::Repeats { request } => 3 + (request << 3),
        CallerStep::HangsUp { request } => 4 + (request << 3),
        CallerStep::Hears { caller, .. } => 5 + (caller.0 << 3),
        CallerStep::Loses { caller } => 6 + (caller.0 << 3),
    }
}
