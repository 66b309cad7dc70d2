//! Unit and property tests of roll-outs.

mod trials;
