//! Unit and property tests of the gateway.

mod answers;
mod budgets;
mod dead_connections;
mod delays;
mod displaced;
mod divisions;
mod eras;
mod evacuations;
mod freshness;
mod grants;
mod hedges;
mod pending;
mod quarantine;
mod queues;
mod registries;
mod restarts;
mod retries;
mod routing;
mod scarcity;
mod slice_support;
mod slices;
mod slowdown;
mod sources;
mod subsets;
mod support;
mod zone_peers;
