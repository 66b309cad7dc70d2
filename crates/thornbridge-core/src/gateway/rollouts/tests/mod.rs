//! Tests of roll-outs.

mod conductor;
mod decisions;
mod exposure;
mod schedule;
mod simulation;
mod support;
mod verdict;
