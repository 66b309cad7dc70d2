//! Lines of the log: one for each change of state, with its values as keys.

use thornbridge_core::StateChange;
use thornbridge_proto::peer::membership::MemberState;

/// Writes a change of state.
pub(crate) fn state_change(change: &StateChange) {
    match change {
        StateChange::ConfigurationActivated {
            generation,
            version,
        } => log::info!(generation:%, version:%; "configuration in force"),
        StateChange::ConfigurationRejected { reason } => {
            log::warn!(reason:%; "configuration refused");
        }
        StateChange::MemberChanged { node, name, state } => member(node, name, *state),
        StateChange::BackEndChanged { back_end, state } => {
            log::info!(back_end:%, state:%; "back end changed");
        }
        StateChange::LeaseChanged {
            name,
            held,
            fencing_token,
        } => log::info!(lease:% = name, held, fencing_token; "lease changed"),
        StateChange::PlatformChanged { reachable: true } => log::info!("platform reachable"),
        StateChange::PlatformChanged { reachable: false } => log::warn!("platform unreachable"),
        StateChange::Lifecycle { state } => log::info!(state:%; "node changed"),
    }
}

/// Writes a change of readiness.
pub(crate) fn readiness(ready: bool) {
    log::info!(ready; "readiness changed");
}

fn member(
    node: &thornbridge_proto::NodeId,
    name: &thornbridge_proto::NodeName,
    state: MemberState,
) {
    match state {
        MemberState::Alive | MemberState::Leaving => {
            log::info!(node:%, name:%, state:?; "member changed");
        }
        MemberState::Suspect | MemberState::Dead => {
            log::warn!(node:%, name:%, state:?; "member changed");
        }
    }
}
