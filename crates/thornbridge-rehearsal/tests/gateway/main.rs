//! Gateways in virtual time: calm runs, each fault alone, and faults mixed by seeds.

mod alone;
mod budgets;
mod crashing;
mod divided;
mod eras;
mod evacuations;
mod findings;
mod growth;
mod mixed;
mod overloads;
mod rejections;
mod reused_addresses;
mod silences;
mod support;
