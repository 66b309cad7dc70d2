//! Lines of the log: one for each request, and one for each change of state.

use std::fmt::Write;
use std::time::Duration;
use thornbridge_core::gateway::{
    AttemptSummary, GatewayChange, RequestSummary, SliceSummary, SourceFailure,
};
use thornbridge_proto::BackEndId;

/// Attempts that one line names at most.
const ATTEMPTS_NAMED: usize = 8;

/// A request ended.
pub(super) fn finished(note: &RequestSummary) {
    log::info!(
        id = note.id.as_str(),
        fingerprint:% = note.fingerprint,
        route = note.route.as_str(),
        outcome = note.outcome,
        version = note.version.0,
        registry = note.registry.number,
        took_ms = millis(note.took),
        answer_by_ms = millis(note.objective),
        parts = note.parts,
        of = note.of,
        attempts = note.attempts,
        denied = note.denied,
        caller_try = note.caller_try.as_str(),
        retry_after_ms = or_never(note.retry_after),
        coordinator = coordinator(note).as_str(),
        owners = owners(&note.slices).as_str(),
        notable = named(&note.notable).as_str();
        "request"
    );
}

/// The node whose caller's request it was, where this one answered a slice of it.
fn coordinator(note: &RequestSummary) -> String {
    note.coordinator
        .map_or_else(String::new, |address| address.to_string())
}

/// Owners that were asked for slices: when, and how each stood at the end.
fn owners(slices: &[SliceSummary]) -> String {
    let mut text = String::new();
    for slice in slices {
        let asked_ms = millis(slice.asked_after);
        let outcome = slice.outcome.as_str();
        // Writing to a string cannot fail.
        let _ = write!(text, "{}@{asked_ms}:{outcome};", slice.owner);
    }
    text
}

fn named(attempts: &[AttemptSummary]) -> String {
    let mut text = String::new();
    for attempt in attempts.iter().take(ATTEMPTS_NAMED) {
        let _ = write!(
            text,
            "{} {}@{}:{}",
            attempt.server,
            attempt.cause.as_str(),
            millis(attempt.sent_after),
            attempt.outcome.as_str()
        );
        if let Some(took) = attempt.took {
            let _ = write!(text, "+{}", millis(took));
        }
        text.push(';');
    }
    if attempts.len() > ATTEMPTS_NAMED {
        let _ = write!(text, "and {} more", attempts.len() - ATTEMPTS_NAMED);
    }
    text
}

/// A state changed.
pub(super) fn changed(change: &GatewayChange) {
    match change {
        GatewayChange::ConfigurationActivated {
            version,
            replaced,
            origin,
            staged_for,
        } => log::info!(
            version = version.0,
            replaced = replaced.0,
            origin = origin.as_str(),
            staged_ms = millis(*staged_for);
            "configuration in force"
        ),
        GatewayChange::ObjectRejected { name, reason } => {
            log::warn!(name = name.as_str(), reason = reason.as_str(); "object refused");
        }
        GatewayChange::Instance {
            id,
            service,
            state,
            revision,
            origin,
        } => log::info!(
            id = id.as_str(),
            service = service.as_str(),
            state = *state,
            era = revision.era,
            revision = revision.number,
            origin = origin.as_str();
            "instance"
        ),
        GatewayChange::Evacuation {
            zone,
            evacuated,
            servers,
            revision,
            origin,
        } => log::info!(
            zone = zone.as_str(),
            evacuated = *evacuated,
            servers = *servers,
            era = revision.era,
            revision = revision.number,
            origin = origin.as_str();
            "evacuation"
        ),
        GatewayChange::RegistryLoaded {
            instances,
            revision,
            origin,
        } => log::info!(
            instances = *instances,
            era = revision.era,
            revision = revision.number,
            origin = origin.as_str();
            "registry known"
        ),
        GatewayChange::StoreEra {
            ended,
            begun,
            changed,
            instances,
            origin,
        } => log::warn!(
            ended_era = ended.era,
            ended_revision = ended.number,
            era = begun.era,
            revision = begun.number,
            changed = *changed,
            instances = *instances,
            origin = origin.as_str();
            "store era"
        ),
        GatewayChange::StoreReachability {
            kind,
            reachable,
            failure,
            age,
        } => log::info!(
            view = kind.as_str(),
            reachable = *reachable,
            failure = failure.map_or("none", SourceFailure::as_str),
            age_ms = millis(*age);
            "store"
        ),
        GatewayChange::ServerAvoidance { id, avoided, cause } => {
            log::info!(id = id.as_str(), avoided = *avoided, cause = *cause; "server trust");
        }
        GatewayChange::StoreReader { reads, rank, age } => log::info!(
            reads = *reads,
            rank = *rank,
            age_ms = or_never(*age);
            "store reader"
        ),
        GatewayChange::Scarcity {
            scarce,
            refused,
            opened,
        } => log::info!(
            scarce = *scarce,
            refused = *refused,
            opened = *opened;
            "server connections"
        ),
        GatewayChange::OwnersSilent {
            silent,
            slices,
            lasts,
        } => log::info!(
            silent = *silent,
            slices = *slices,
            lasts_ms = millis(*lasts);
            "owners missing"
        ),
        GatewayChange::Quarantine {
            fingerprint,
            state,
            instances,
            origin,
        } => log::info!(
            fingerprint:% = fingerprint,
            state = *state,
            instances = joined(instances).as_str(),
            origin = origin.as_str();
            "request quarantine"
        ),
        GatewayChange::Members { members } => log::info!(members = *members; "members"),
        GatewayChange::BudgetMembers { sharers } => {
            log::info!(sharers = sharers.unwrap_or_default(); "budget sharers");
        }
        GatewayChange::Lifecycle { state } => log::info!(state = *state; "node"),
    }
}

fn joined(instances: &[BackEndId]) -> String {
    let names: Vec<&str> = instances.iter().map(BackEndId::as_str).collect();
    names.join(" ")
}

/// Milliseconds; -1 where there is no such time.
fn or_never(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| millis(time) as i64)
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
