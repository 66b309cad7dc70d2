//! The interface towards back ends: attempts out, replies and failures in.
//!
//! One task a connection, which runs one attempt at a time; cancellations and probes travel on a
//! control connection of their own ([`control`]), since a data connection is busy with the very
//! attempt that is to be stopped.

mod connection;
pub(crate) mod control;
pub(crate) mod reply;
mod request;
mod table;

pub(crate) use connection::ConnectionLimits;
pub(crate) use table::BackEndConnections;
