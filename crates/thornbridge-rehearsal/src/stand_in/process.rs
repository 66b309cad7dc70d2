//! What the stand-ins share when they run as processes.

use serde::Serialize;
use std::io::Write;

/// First word of the line that a process prints once it listens; JSON follows.
pub const READY_WORD: &str = "ready";

/// Prints `ready {json}` to standard output, for whoever started the process.
pub fn print_ready<T: Serialize>(ready: &T) -> std::io::Result<()> {
    let json = serde_json::to_string(ready)?;
    let mut output = std::io::stdout().lock();
    writeln!(output, "{READY_WORD} {json}")?;
    output.flush()
}
