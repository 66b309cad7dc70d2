//! Roll-outs: moving a service to another version of its servers, ordered by the operator.
//!
//! One member conducts each roll-out. Nodes send to the version on trial with permits of the
//! conductor only ([`trials`]), so that its exposure stays within the operator's bound whatever
//! nodes forget. The conductor compares the outcomes of both versions and decides ([`conductor`]).
//! Which servers get requests follows from the orders known to a node
//! ([`VersionRoles`](super::servers::VersionRoles)).
//!
//! | module | concern |
//! | --- | --- |
//! | `control` | orders and the schedule of all roll-outs |
//! | `roles` | which servers get requests |
//! | `orders` | orders known to this node |
//! | `established` | versions that serve |
//! | `messages` | orders, reports and grants exchanged with peers |
//! | `peers` | peers that understand the messages |
//! | `rollout` | state of one roll-out |
//! | `reporter` | which member to report to |
//! | `conducting` | reports to this node, decisions and their writes |
//! | `writer` | writing a state until it stands |
//! | `telemetry` | steps for logs and metrics |
//! | [`conductor`] | permits and the comparison of the versions |
//! | `exposure`, `reuse`, `pace`, `schedule` | how many permits there are, and when |
//! | `division`, `companion_nodes` | permits by route, and which nodes send companions |
//! | `totals`, `evidence`, `stable_share`, `verdict` | the comparison |
//! | [`trials`] | permits and counts at this node |

mod companion_nodes;
mod conducting;
pub(super) mod conductor;
pub(super) mod control;
mod division;
mod established;
mod evidence;
mod exposure;
mod messages;
pub(super) mod orders;
mod pace;
mod peers;
mod reporter;
mod reuse;
mod roles;
mod rollout;
mod schedule;
mod stable_share;
pub(super) mod telemetry;
#[cfg(test)]
mod tests;
mod totals;
pub(super) mod trials;
mod verdict;
mod writer;

pub(super) use control::{Context, Rollouts};
pub(super) use schedule::READING_TIME;
