//! The log: one line a change of state on standard error, with key-value pairs. A gateway writes
//! to standard output, through a bounded queue: a log that nobody reads holds nothing up.

#[cfg(test)]
mod tests;

use crate::output::Format;
use env_logger::{Builder, Env, Target};
use log::kv::{self, Key, Value, VisitSource};
use serde_json::{Map, json};
use std::io::Write;
use std::sync::mpsc::{SyncSender, sync_channel};

/// Starts the log; `RUST_LOG` takes the place of the default level.
pub fn start(format: Format, default_level: &str) {
    let mut builder = Builder::from_env(Env::default().default_filter_or(default_level));
    builder.target(Target::Stderr);
    if format == Format::Json {
        builder.format(write_json);
    }
    builder.init();
}

/// Starts the log of a gateway: JSON lines on standard output, never waiting for whoever reads.
pub fn start_on_standard_output(default_level: &str) {
    let mut builder = Builder::from_env(Env::default().default_filter_or(default_level));
    builder.target(Target::Pipe(Box::new(QueuedOutput::start())));
    builder.format(write_json);
    builder.init();
}

/// Longest text of a value in a line. Names and reasons come from the store and from callers, and may be
/// as long as their senders like.
const MAX_VALUE_BYTES: usize = 2_048;

fn write_json(
    output: &mut env_logger::fmt::Formatter,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    let line = json!({
        "time": output.timestamp_millis().to_string(),
        "level": record.level().as_str(),
        "target": record.target(),
        "message": bounded(record.args().to_string()),
        "fields": fields(record.key_values()),
    });
    writeln!(output, "{line}")
}

/// Lines that wait to be written. Beyond it lines are dropped, and the next one says how many.
const QUEUED_LINES: usize = 2_048;

/// Standard output behind a bounded queue and a thread that may block.
struct QueuedOutput {
    lines: SyncSender<Vec<u8>>,
    dropped: u64,
}

impl QueuedOutput {
    fn start() -> Self {
        let (lines, receiver) = sync_channel::<Vec<u8>>(QUEUED_LINES);
        std::thread::spawn(move || {
            let mut output = std::io::stdout();
            while let Ok(line) = receiver.recv() {
                // A reader that went away is no reason to stop.
                let _ = output.write_all(&line);
                let _ = output.flush();
            }
        });
        Self { lines, dropped: 0 }
    }
}

impl Write for QueuedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut line = Vec::new();
        if self.dropped > 0 {
            writeln!(
                line,
                "{}",
                json!({"message": "lines dropped", "count": self.dropped})
            )?;
        }
        line.extend_from_slice(bytes);
        match self.lines.try_send(line) {
            Ok(()) => self.dropped = 0,
            Err(_) => self.dropped += 1,
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A text, or its beginning and its length.
fn bounded(mut text: String) -> String {
    let len = text.len();
    if len > MAX_VALUE_BYTES {
        let end = (0..=MAX_VALUE_BYTES)
            .rev()
            .find(|end| text.is_char_boundary(*end));
        text.truncate(end.unwrap_or_default());
        text.push_str(&format!("... ({len} bytes)"));
    }
    text
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => json!(number),
            (None, Some(truth)) => json!(truth),
            (None, None) => json!(bounded(value.to_string())),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn fields(source: &dyn kv::Source) -> Map<String, serde_json::Value> {
    let mut fields = Fields(Map::new());
    // Collecting into a map cannot fail; a source that gives up midway still shows what it gave.
    let _ = source.visit(&mut fields);
    fields.0
}
