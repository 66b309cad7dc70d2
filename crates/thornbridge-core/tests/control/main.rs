//! Fault tests of the control plane: operator commands, leases and configuration dissemination.

mod cluster;
mod dissemination;
mod exploration;
mod forgeries;
mod interleavings;
mod lease_model;
mod leases;
mod model_store;
mod operators;
mod sample;
mod scale;
