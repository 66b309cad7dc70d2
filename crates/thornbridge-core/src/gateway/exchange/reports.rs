//! Coordinator of a divided gather: handles owners' reports and grants further attempts.

use super::part::{Part, PartState};
use super::request::Request;
use super::slice::send_message;
use super::{Context, Exchanges};
use crate::gateway::telemetry::SliceOutcome;
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::peer::slice::{SliceId, SliceMessage, SliceReport};

/// Sender of a report, and the slice it reports on.
struct Sender {
    owner: SocketAddr,
    id: SliceId,
    /// Index of the slice in its request.
    index: usize,
}

impl Exchanges {
    /// Treats a task that could not be sent as refused.
    pub(in crate::gateway) fn task_not_sent(
        &mut self,
        context: &mut Context<'_>,
        owner: SocketAddr,
        slice: SliceId,
    ) {
        self.slice_reported(context, owner, slice, SliceReport::refusal(), false);
    }

    /// Delegates slices to other owners after no link to their owner could be opened.
    pub(in crate::gateway) fn owner_unreachable(
        &mut self,
        context: &mut Context<'_>,
        owner: SocketAddr,
        slices: &[SliceId],
    ) {
        context.slices.owner_failed(context.now, owner);
        for id in slices {
            self.delegate_unsent(context, owner, *id);
        }
    }

    fn delegate_unsent(&mut self, context: &mut Context<'_>, owner: SocketAddr, id: SliceId) {
        let Some((caller, index)) = self.delegated_slices.get(&id).copied() else {
            return;
        };
        let Some(mut request) = self.requests.remove(&caller) else {
            return;
        };
        if request.slices[index].is_delegated_to(owner, id) {
            self.owner_lost(context, &mut request, index, id, SliceOutcome::Unsent);
        }
        self.requests.insert(caller, request);
        self.advance(context, caller);
    }

    /// Handles a report, and a request for further attempts if the owner makes one.
    pub(in crate::gateway) fn slice_reported(
        &mut self,
        context: &mut Context<'_>,
        owner: SocketAddr,
        id: SliceId,
        report: SliceReport,
        requests_grant: bool,
    ) {
        let Some((caller, index)) = self.delegated_slices.get(&id).copied() else {
            return;
        };
        let Some(mut request) = self.requests.remove(&caller) else {
            return;
        };
        let sender = Sender { owner, id, index };
        if !request.slices[index].is_delegated_to(owner, id) {
            self.requests.insert(caller, request);
            return;
        }
        self.apply_report(context, &mut request, &sender, report);
        if requests_grant {
            grant_attempts(context, &mut request, &sender);
        }
        self.requests.insert(caller, request);
        self.advance(context, caller);
    }

    fn apply_report(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
        sender: &Sender,
        report: SliceReport,
    ) {
        let slice = &mut request.slices[sender.index];
        let Some(delegation) = slice.delegation_mut(sender.id) else {
            return;
        };
        if report.refused {
            let refused = SliceOutcome::Refused;
            self.owner_lost(context, request, sender.index, sender.id, refused);
            return;
        }
        if matches!(
            delegation.outcome,
            SliceOutcome::Pending | SliceOutcome::Silent
        ) {
            let elapsed = Duration::from_micros(report.elapsed_us);
            let overhead = context
                .now
                .since(delegation.sent_at)
                .saturating_sub(elapsed);
            context.slices.owner_answered(sender.owner, overhead);
            let queued_parts = f64::from(report.waiting);
            context
                .slices
                .observe_owner_queue(context.now, sender.owner, queued_parts);
        }
        delegation.outcome = match report.finished {
            true => SliceOutcome::Finished,
            false => SliceOutcome::Partial,
        };
        if report.finished {
            self.delegated_slices.remove(&sender.id);
        }
        if !slice.awaits_first_report() {
            slice.silent_at = None;
        }
        apply_shards(context, request, sender, report);
        if request.slices[sender.index]
            .open_delegations()
            .next()
            .is_none()
        {
            // Shards missing from all reports, because one was lost, are delegated again.
            self.delegate_slice(context, request, sender.index);
        }
    }
}

/// Grants an owner all remaining attempts, or none if another owner may have used them. An owner that
/// asks again has them already, and gets attempts lent in place of those that lapsed or were used.
fn grant_attempts(context: &mut Context<'_>, request: &mut Request, sender: &Sender) {
    let max_attempts = request.max_attempts;
    let slice = &mut request.slices[sender.index];
    let mut others = slice
        .delegations
        .iter()
        .filter(|delegation| delegation.id != sender.id);
    let sole_owner = others.all(|delegation| delegation.outcome.is_not_run());
    let attempts = match sole_owner {
        true => 1 + max_attempts.saturating_sub(slice.granted_attempts),
        false => 1,
    };
    slice.granted_attempts += attempts - 1;
    let lent = match sole_owner && slice.granted_attempts > 1 {
        true => lend_attempts(context, request, sender.index),
        false => Vec::new(),
    };
    let grant = SliceMessage::Grant {
        slice: sender.id,
        attempts,
        lent,
    };
    send_message(context, sender.owner, grant);
}

/// Charges this node's budget for one extra attempt on each open shard of a slice. Budgets are divided
/// among all nodes, so lending moves unused shares to the owners without exceeding the total. Most
/// loans lapse unused.
fn lend_attempts(context: &mut Context<'_>, request: &Request, index: usize) -> Vec<u16> {
    let mut lent = Vec::new();
    for (position, part) in request.parts[request.slices[index].shards()]
        .iter()
        .enumerate()
    {
        let Ok(position) = u16::try_from(position) else {
            break;
        };
        if part.is_delegated() && context.budget.try_take(context.now, part.service) {
            lent.push(position);
        }
    }
    lent
}

/// Applies the shard results of a report.
fn apply_shards(
    context: &mut Context<'_>,
    request: &mut Request,
    sender: &Sender,
    report: SliceReport,
) {
    let slice = &mut request.slices[sender.index];
    let shards = slice.shards();
    let index_in_request = |position: u16| shards.start + usize::from(position);
    let answered = report.answered.iter();
    let answered = answered.map(|(position, signature)| {
        let signature = Bytes::copy_from_slice(signature.as_slice());
        (index_in_request(*position), signature)
    });
    let answered: Vec<(usize, Bytes)> = answered.filter(|(index, _)| *index < shards.end).collect();
    if !answered.is_empty() {
        context
            .quarantine
            .record_answer(context.now, request.fingerprint);
    }
    let Some(delegation) = slice.delegation_mut(sender.id) else {
        return;
    };
    delegation.answered.extend(answered);
    let records = Bytes::copy_from_slice(report.records.as_slice());
    delegation.records.push(records);
    choose_source(request, sender);
    let slice = &request.slices[sender.index];
    if slice
        .open_delegations()
        .any(|delegation| delegation.id != sender.id)
    {
        // Another owner may still answer the failed shards.
        return;
    }
    // One attempt is left per shard; any other owner may have used the rest.
    let prior_attempts = request.max_attempts.saturating_sub(1);
    for (position, failure) in report.failed {
        let index = index_in_request(position);
        let part = request.parts.get_mut(index);
        if let Some(part) = part.filter(|part| index < shards.end && !part.is_finished()) {
            part.apply_owner_failure(failure, prior_attempts);
        }
    }
}

/// Selects the owner that answered most shards of a slice as its source.
fn choose_source(request: &mut Request, sender: &Sender) {
    let slice = &mut request.slices[sender.index];
    let answered_count = |id: SliceId| {
        let delegation = slice
            .delegations
            .iter()
            .find(|delegation| delegation.id == id);
        delegation.map_or(0, |delegation| delegation.answered.len())
    };
    let previous = slice.source.filter(|source| *source != sender.id);
    if previous.is_some_and(|source| answered_count(source) >= answered_count(sender.id)) {
        return;
    }
    slice.source = Some(sender.id);
    let slice = &request.slices[sender.index];
    if previous.is_some() {
        for position in slice.shards() {
            discard_report(&mut request.parts[position]);
        }
    }
    // The records of a source cover all its shards, so they replace answers received locally.
    let answered = slice
        .source()
        .map_or(&[][..], |delegation| &delegation.answered);
    for (position, signature) in answered {
        let part = &mut request.parts[*position];
        part.state = PartState::AnsweredByOwner(signature.clone());
        part.check_at = None;
    }
}

fn discard_report(part: &mut Part) {
    if matches!(part.state, PartState::AnsweredByOwner(_)) {
        part.state = PartState::Delegated;
    }
}
