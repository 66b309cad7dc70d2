//! Nodes as processes, and crowds of callers that do not behave. The tests have a program of their
//! own and run one at a time: what a process holds is judged apart from other load.

mod node;
#[allow(dead_code)]
#[path = "../process/support/mod.rs"]
mod support;
