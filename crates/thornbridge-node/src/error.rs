//! Errors of a node as a whole: each names the step and the address at which it arose.

use snafu::Snafu;
use std::net::SocketAddr;

/// A node could not start or run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen for {side} on {address}"))]
    Bind {
        /// Who was to be served: callers, operators or peers.
        side: &'static str,
        /// Address of the settings.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// A listener does not tell its own address.
    #[snafu(display("cannot read the address of the listener for {side}"))]
    LocalAddress {
        /// Who was to be served.
        side: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// The cluster key cannot be read.
    #[snafu(display("cannot read the cluster key: {source}"))]
    ClusterKey {
        /// Cause, with the file.
        source: thornbridge_config::keys::KeyError,
    },
    /// The process's signals cannot be taken.
    #[snafu(display("cannot take signal {signal}"))]
    Signal {
        /// Name of the signal.
        signal: &'static str,
        /// Cause.
        source: std::io::Error,
    },
}
