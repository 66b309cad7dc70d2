//! Unit and property tests of roll-outs.

mod conductor;
mod decisions;
mod exposure;
mod reuse;
mod schedule;
mod simulation;
mod support;
mod trials;
mod verdict;
