//! Tests of several engines with different member lists over a lossy network; executions are
//! counted for each key.

mod cluster;
mod group_choice;
mod scenarios;
mod state_machine;
