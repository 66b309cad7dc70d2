//! Checks after each simulated event what must always hold, against the truth of the models.
//!
//! The oracle never asks a node what it believes. It knows which back end ran what, which reply
//! reached which node, which documents each shard of each snapshot holds, which versions were
//! approved and when who announced leaving; and it compares with what callers are told.

mod action;
mod answer;
mod configuration;
mod invariant;
mod leaving;

pub use action::ActionTruth;
pub use answer::{Asked, AskedKind, RequestTruth};
pub use configuration::{ConfigurationTruth, NodeReach};
pub use invariant::{CheckLog, Invariant, Violation};
pub use leaving::LEAVING_LIMIT;

use std::collections::HashMap;
use thornbridge_proto::RequestId;
use xxhash_rust::xxh3::Xxh3DefaultBuilder;

/// The oracle of one simulation.
#[derive(Debug, Default)]
pub struct Oracle {
    /// Counts and violations.
    pub log: CheckLog,
    requests: HashMap<RequestId, RequestTruth, Xxh3DefaultBuilder>,
    refused: HashMap<RequestId, (), Xxh3DefaultBuilder>,
    actions: ActionTruth,
    /// Approved versions and generations in force.
    pub configuration: ConfigurationTruth,
}
