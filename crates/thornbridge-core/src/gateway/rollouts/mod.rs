//! Roll-outs: moving a service to another version of its servers, ordered by the operator.
//!
//! One member conducts each roll-out. Nodes send to the version on trial with permits of the
//! conductor only ([`trials`]), so that its exposure stays within the operator's bound whatever
//! nodes forget. The conductor compares the outcomes of both versions and decides ([`conductor`]).
//! Which servers get requests follows from the orders known to a node
//! ([`VersionRoles`](super::servers::VersionRoles)).

pub(super) mod conductor;
mod evidence;
mod exposure;
mod pace;
mod reuse;
mod schedule;
mod stable_share;
#[cfg(test)]
mod tests;
mod totals;
pub(super) mod trials;
mod verdict;
