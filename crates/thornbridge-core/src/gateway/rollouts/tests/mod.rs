//! Tests of roll-outs.

mod conductor;
mod decisions;
mod exposure;
mod reuse;
mod schedule;
mod simulation;
mod support;
mod timeouts;
mod trials;
mod verdict;
