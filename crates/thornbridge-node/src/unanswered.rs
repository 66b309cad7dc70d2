//! Requests that were handed to a driver which ended without answering them.
//!
//! Guards against a refusal as not run of a request that a server has run: when a process ends, the
//! driver's end and the last answers race. Only a request that the driver's queue did not take is
//! known not to have run.

use snafu::Snafu;

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unanswered {
    /// The driver had ended before: it did not run and will not.
    NotAccepted,
    /// The driver ended after it was handed over: it may have run.
    OutcomeUnknown(OutcomeUnknown),
}

/// Nothing is known of a request. Given to hyper as an error, it breaks the caller's connection, which
/// promises nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the driver ended before it answered"))]
pub(crate) struct OutcomeUnknown;
