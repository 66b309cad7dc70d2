//! Tests of a whole node: scripted scenarios and random interleavings.

pub(crate) mod harness;
mod interleaving;
mod queries;
