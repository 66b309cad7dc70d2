//! Stand-ins over real sockets for what surrounds a node: the platform and the back ends.
//!
//! Each can be embedded (`start` gives a handle to its faults and to what it saw) or run as a
//! process of its own (`run`), whose faults are set over `POST /stand-in/faults`. Paths under
//! `/stand-in/` are never subject to faults, so that a test can always heal what it broke.

pub mod back_end;
pub mod platform;
pub mod process;
pub mod server;
