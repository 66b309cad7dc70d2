//! Lines of the log stay short, whatever their values hold.

use super::{MAX_VALUE_BYTES, bounded, fields};

/// Guards against lines as long as the longest name in the store.
#[test]
fn long_value_is_cut_in_its_line() {
    let name = "\u{1f9b7}".repeat(225_000);
    let name = name.as_str();
    let fields = fields(&[("name", name), ("state", "ready")]);
    let line = serde_json::to_string(&fields).expect("a line");
    assert!(line.len() < 2 * MAX_VALUE_BYTES, "{} bytes", line.len());
    assert!(line.contains("(900000 bytes)"), "{line}");
}

#[test]
fn short_value_is_written_whole() {
    let text = "x".repeat(MAX_VALUE_BYTES);
    assert_eq!(bounded(text.clone()), text);
}
