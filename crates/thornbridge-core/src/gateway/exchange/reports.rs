//! A gather's coordinator: takes the reports of owners, and grants them further attempts.

use super::leg::{Leg, LegState};
use super::request::Request;
use super::slice::send_message;
use super::{Exchanges, Scope};
use crate::gateway::notes::SliceOutcome;
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::peer::slice::{SliceId, SliceMessage, SliceReport};

/// Extra attempts that are lent for one shard of a slice at most: a rejected attempt may be rejected
/// again.
const MOST_LENT: usize = 2;

/// Where a report comes from, and whose slice it is about.
struct Sender {
    owner: SocketAddr,
    id: SliceId,
    /// Place of the slice in its request.
    index: usize,
}

impl Exchanges {
    /// A task never left this node.
    pub(in crate::gateway) fn task_not_sent(
        &mut self,
        scope: &mut Scope<'_>,
        owner: SocketAddr,
        slice: SliceId,
    ) {
        self.slice_reported(scope, owner, slice, SliceReport::refusal(), false);
    }

    /// An owner reported, and maybe asks for further attempts.
    pub(in crate::gateway) fn slice_reported(
        &mut self,
        scope: &mut Scope<'_>,
        owner: SocketAddr,
        id: SliceId,
        report: SliceReport,
        requests_grant: bool,
    ) {
        let Some((caller, index)) = self.slices.get(&id).copied() else {
            return;
        };
        let Some(mut request) = self.requests.remove(&caller) else {
            return;
        };
        let sender = Sender { owner, id, index };
        if !request.slices[index].was_asked(owner, id) {
            self.requests.insert(caller, request);
            return;
        }
        self.take_report(scope, &mut request, &sender, report);
        if requests_grant {
            grant_attempts(scope, &mut request, &sender);
        }
        self.requests.insert(caller, request);
        self.advance(scope, caller);
    }

    fn take_report(
        &mut self,
        scope: &mut Scope<'_>,
        request: &mut Request,
        sender: &Sender,
        report: SliceReport,
    ) {
        let slice = &mut request.slices[sender.index];
        let Some(asked) = slice.asked_mut(sender.id) else {
            return;
        };
        if report.refused {
            let refused = SliceOutcome::Refused;
            self.owner_lost(scope, request, sender.index, sender.id, refused);
            return;
        }
        if matches!(asked.outcome, SliceOutcome::Asked | SliceOutcome::Silent) {
            let elapsed = Duration::from_micros(report.elapsed_us);
            let overhead = scope.now.since(asked.at).saturating_sub(elapsed);
            scope.slices.owner_answered(sender.owner, overhead);
            let waiting = f64::from(report.waiting);
            scope.slices.owner_waits(scope.now, sender.owner, waiting);
        }
        asked.outcome = match report.finished {
            true => SliceOutcome::Finished,
            false => SliceOutcome::Reporting,
        };
        if report.finished {
            self.slices.remove(&sender.id);
        }
        if !slice.is_unheard() {
            slice.silent_at = None;
        }
        take_shards(scope, request, sender, report);
        if request.slices[sender.index].open().next().is_none() {
            // A report that was lost on its way leaves shards that nobody will answer any more.
            self.ask_owner(scope, request, sender.index);
        }
    }
}

/// Grants an owner all attempts that are left, or none: what another one may have used is never
/// granted twice.
fn grant_attempts(scope: &mut Scope<'_>, request: &mut Request, sender: &Sender) {
    let all = request.attempts;
    let slice = &mut request.slices[sender.index];
    let mut others = slice.asked.iter().filter(|asked| asked.id != sender.id);
    let alone = others.all(|asked| asked.outcome == SliceOutcome::Refused);
    let attempts = match alone {
        true => 1 + all.saturating_sub(slice.granted),
        false => 1,
    };
    slice.granted += attempts - 1;
    let lent = match attempts {
        1 => Vec::new(),
        _ => lend_attempts(scope, request, sender.index),
    };
    let grant = SliceMessage::Grant {
        slice: sender.id,
        attempts,
        lent,
    };
    send_message(scope, sender.owner, grant);
}

/// Pays extra attempts for the shards of a slice that are open, out of this node's budget. The slack
/// is divided by all nodes, and only the owners of a shard need it: it comes to them with the
/// requests, and the shares still add up.
fn lend_attempts(scope: &mut Scope<'_>, request: &Request, index: usize) -> Vec<u16> {
    let mut lent = Vec::new();
    for (place, leg) in request.legs[request.slices[index].shards()]
        .iter()
        .enumerate()
    {
        let Ok(place) = u16::try_from(place) else {
            break;
        };
        for _ in 0..MOST_LENT {
            if leg.is_delegated() && scope.budget.try_take(scope.now, leg.service) {
                lent.push(place);
            }
        }
    }
    lent
}

/// Takes a report's shards over.
fn take_shards(scope: &mut Scope<'_>, request: &mut Request, sender: &Sender, report: SliceReport) {
    let slice = &mut request.slices[sender.index];
    let shards = slice.shards();
    let in_slice = |place: u16| shards.start + usize::from(place);
    let answered = report.answered.iter();
    let answered = answered.map(|(place, signature)| {
        let signature = Bytes::copy_from_slice(signature.as_slice());
        (in_slice(*place), signature)
    });
    let answered: Vec<(usize, Bytes)> = answered.filter(|(place, _)| *place < shards.end).collect();
    if !answered.is_empty() {
        scope.quarantine.answered(scope.now, request.fingerprint);
    }
    let Some(asked) = slice.asked_mut(sender.id) else {
        return;
    };
    asked.answered.extend(answered);
    let records = Bytes::copy_from_slice(report.records.as_slice());
    asked.records.push(records);
    choose_source(request, sender);
    let slice = &request.slices[sender.index];
    if slice.open().any(|asked| asked.id != sender.id) {
        // Another owner may still answer what this one could not.
        return;
    }
    // One attempt is left for each: an owner that is asked yet, too, has one.
    let elsewhere = request.attempts.saturating_sub(1);
    for (place, failure) in report.failed {
        let place = in_slice(place);
        let leg = request.legs.get_mut(place);
        if let Some(leg) = leg.filter(|leg| place < shards.end && !leg.is_over()) {
            leg.failed_elsewhere(failure, elsewhere);
        }
    }
}

/// Lets the reports of the owner count that answered most shards of a slice.
fn choose_source(request: &mut Request, sender: &Sender) {
    let slice = &mut request.slices[sender.index];
    let count = |id: SliceId| {
        let asked = slice.asked.iter().find(|asked| asked.id == id);
        asked.map_or(0, |asked| asked.answered.len())
    };
    let before = slice.source.filter(|source| *source != sender.id);
    if before.is_some_and(|source| count(source) >= count(sender.id)) {
        return;
    }
    slice.source = Some(sender.id);
    let slice = &request.slices[sender.index];
    if before.is_some() {
        for place in slice.shards() {
            forget_report(&mut request.legs[place]);
        }
    }
    // A source's records hold those of all its shards: they replace answers that this node got.
    let answered = slice.source().map_or(&[][..], |asked| &asked.answered);
    for (place, signature) in answered {
        let leg = &mut request.legs[*place];
        leg.state = LegState::Reported(signature.clone());
        leg.look_at = None;
    }
}

fn forget_report(leg: &mut Leg) {
    if matches!(leg.state, LegState::Reported(_)) {
        leg.state = LegState::Delegated;
    }
}
