//! Log lines: one for each request and one for each state change.

use std::fmt::Write;
use std::time::Duration;
use thornbridge_core::gateway::{
    AttemptSummary, GatewayChange, RequestSummary, RolloutChange, SliceSummary, SourceFailure,
};
use thornbridge_proto::BackEndId;
use thornbridge_proto::peer::rollout::RolloutState;

/// Maximum number of attempts listed in one line.
const MAX_LISTED_ATTEMPTS: usize = 8;

/// Logs the end of a request.
pub(super) fn log_request(summary: &RequestSummary) {
    log::info!(
        id = summary.id.as_str(),
        fingerprint:% = summary.fingerprint,
        route = summary.route.as_str(),
        outcome = summary.outcome,
        version = summary.version.0,
        registry = summary.registry.number,
        took_ms = millis(summary.duration),
        answer_by_ms = millis(summary.answer_due),
        parts = summary.parts_answered,
        of = summary.parts_requested,
        attempts = summary.attempts_sent,
        denied = summary.extra_attempts_denied,
        caller_try = summary.caller_try.as_str(),
        retry_after_ms = millis_or_minus_one(summary.retry_after),
        coordinator = format_coordinator(summary).as_str(),
        owners = format_owners(&summary.slices).as_str(),
        notable = format_attempts(&summary.notable_attempts).as_str();
        "request"
    );
}

/// Address of the coordinator if this node answered a slice; empty otherwise.
fn format_coordinator(summary: &RequestSummary) -> String {
    summary
        .coordinator
        .map_or_else(String::new, |address| address.to_string())
}

/// Slice owners, each with the time of the request to it and the outcome.
fn format_owners(slices: &[SliceSummary]) -> String {
    let mut text = String::new();
    for slice in slices {
        let requested_ms = millis(slice.requested_after);
        let outcome = slice.outcome.as_str();
        // Writing to a `String` cannot fail.
        let _ = write!(text, "{}@{requested_ms}:{outcome};", slice.owner);
    }
    text
}

/// Attempts, each with server, cause, send time, outcome and duration.
fn format_attempts(attempts: &[AttemptSummary]) -> String {
    let mut text = String::new();
    for attempt in attempts.iter().take(MAX_LISTED_ATTEMPTS) {
        let _ = write!(
            text,
            "{} {}@{}:{}",
            attempt.server,
            attempt.cause.as_str(),
            millis(attempt.sent_after),
            attempt.outcome.as_str()
        );
        if let Some(duration) = attempt.duration {
            let _ = write!(text, "+{}", millis(duration));
        }
        text.push(';');
    }
    if attempts.len() > MAX_LISTED_ATTEMPTS {
        let _ = write!(text, "and {} more", attempts.len() - MAX_LISTED_ATTEMPTS);
    }
    text
}

/// Logs a state change.
pub(super) fn log_change(change: &GatewayChange) {
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
            age_ms = millis_or_minus_one(*age);
            "store reader"
        ),
        GatewayChange::ColdServers {
            limited,
            begun,
            ended,
            examples,
        } => log::info!(
            limited = *limited,
            begun = *begun,
            ended = *ended,
            examples = join_ids(examples).as_str();
            "cold servers"
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
            duration,
        } => log::info!(
            silent = *silent,
            slices = *slices,
            lasts_ms = millis(*duration);
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
            instances = join_ids(instances).as_str(),
            origin = origin.as_str();
            "request quarantine"
        ),
        GatewayChange::Rollout(change) => log_rollout(change),
        GatewayChange::Members { members } => log::info!(members = *members; "members"),
        GatewayChange::BudgetMembers { members } => {
            log::info!(sharers = members.unwrap_or_default(); "budget sharers");
        }
        GatewayChange::BudgetUsage {
            service,
            requests,
            previous_requests,
            extra,
            denied,
            misdirected,
            members,
        } => log::info!(
            service = service.as_str(),
            requests = *requests,
            requests_before = *previous_requests,
            extra = *extra,
            denied = *denied,
            misdirected = *misdirected,
            sharers = members.unwrap_or_default();
            "budget use"
        ),
        GatewayChange::Lifecycle { state } => log::info!(state = *state; "node"),
    }
}

/// Logs a step of a roll-out.
fn log_rollout(change: &RolloutChange) {
    log::info!(
        service = change.service.as_str(),
        target_version = change.target.as_str(),
        step = change.step.as_str(),
        state = change.state.map_or("none", format_rollout_state),
        reason = change.reason,
        route = change.route.as_str(),
        trial_good = change.trial.good,
        trial_bad = change.trial.bad,
        stable_good = change.stable.good,
        stable_bad = change.stable.bad,
        companions_good = change.companions.good,
        companions_bad = change.companions.bad,
        elapsed_ms = millis(change.elapsed),
        era = change.revision.era,
        revision = change.revision.number;
        "rollout"
    );
}

fn format_rollout_state(state: RolloutState) -> &'static str {
    match state {
        RolloutState::Serving => "serving",
        RolloutState::Complete => "complete",
        RolloutState::RolledBack => "rolled_back",
    }
}

fn join_ids(instances: &[BackEndId]) -> String {
    let ids: Vec<&str> = instances.iter().map(BackEndId::as_str).collect();
    ids.join(" ")
}

/// Milliseconds; -1 for `None`.
fn millis_or_minus_one(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| millis(time) as i64)
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
