//! What operators' commands came to, as text.

use crate::output::Table;
use std::time::{Duration, UNIX_EPOCH};
use thornbridge_config::objects::{Rollout, RolloutHistory, RolloutOrigin};
use thornbridge_core::operator::OperatorOutcome;

/// An outcome as text.
pub fn as_text(outcome: &OperatorOutcome) -> String {
    match outcome {
        OperatorOutcome::Published { version, digest } => {
            format!("version {version} is published, digest {digest}")
        }
        OperatorOutcome::Approved(approval) => {
            let (version, key_id) = (&approval.version, &approval.key_id);
            let digest = &approval.digest;
            format!("version {version} is approved with key {key_id:?}, digest {digest}")
        }
        OperatorOutcome::RolledOut { record, .. } => format!(
            "version {} is in force as generation {}, change {}",
            record.version, record.generation, record.change
        ),
        OperatorOutcome::Held(hold) => {
            format!("automation is kept out by {}: {}", hold.holder, hold.reason)
        }
        OperatorOutcome::Released => "automation is let in".to_owned(),
        OperatorOutcome::History(entries) => history(entries),
        OperatorOutcome::Current(None) => "nothing was ever rolled out".to_owned(),
        OperatorOutcome::Current(Some(rollout)) => current(rollout),
    }
}

fn current(rollout: &Rollout) -> String {
    let mut text = history(&[rollout.history()]);
    if let Some(hold) = &rollout.hold {
        text += &format!("automation is kept out by {}: {}", hold.holder, hold.reason);
    }
    text
}

fn history(entries: &[RolloutHistory]) -> String {
    let mut table = Table::new(&[
        "GENERATION",
        "VERSION",
        "WHEN",
        "WHO",
        "APPROVED WITH",
        "CHANGE",
        "DIGEST",
    ]);
    for entry in entries {
        let record = &entry.record;
        table.row(vec![
            record.generation.to_string(),
            record.version.to_string(),
            when(&entry.origin),
            who(&entry.origin),
            record.key_id.clone(),
            record.change.to_string(),
            record.digest.to_string(),
        ]);
    }
    table.to_string()
}

fn who(origin: &RolloutOrigin) -> String {
    if origin.automation {
        format!("{} (automation)", origin.author)
    } else {
        origin.author.clone()
    }
}

fn when(origin: &RolloutOrigin) -> String {
    let time = origin
        .at_unix_ms
        .and_then(|milliseconds| UNIX_EPOCH.checked_add(Duration::from_millis(milliseconds)));
    time.map_or_else(
        || "-".to_owned(),
        |time| humantime::format_rfc3339_seconds(time).to_string(),
    )
}
