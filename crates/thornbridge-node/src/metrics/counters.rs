//! Export of every counter of the core and of the driver.
//!
//! The core's counters are defined beside the code that counts and are serialisable; their
//! module and field names are the metric's name, so that a new counter needs no change here.

use crate::input::Inspection;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use serde_json::Value;
use std::sync::{Mutex, PoisonError};

/// Members of the core's counters that are levels: they may fall, and are exported as gauges.
const LEVELS: [&str; 2] = [
    "routing_shards_short_of_replicas",
    "routing_shards_out_of_reach",
];

/// One counter as it is exported.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Exported {
    name: String,
    value: u64,
}

/// The counters as of the last scrape.
#[derive(Debug, Default)]
pub(super) struct CounterCollector {
    latest: Mutex<Vec<Exported>>,
}

impl CounterCollector {
    /// Takes the present values.
    pub(super) fn update(&self, inspection: &Inspection) {
        let mut exported = Vec::new();
        if let Ok(value) = serde_json::to_value(&inspection.counters) {
            flatten("", &value, &mut exported);
        }
        if let Ok(value) = serde_json::to_value(inspection.transport) {
            flatten("transport", &value, &mut exported);
        }
        *self.latest.lock().unwrap_or_else(PoisonError::into_inner) = exported;
    }
}

/// Appends every whole number under `value`, named by the path to it.
fn flatten(path: &str, value: &Value, exported: &mut Vec<Exported>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}_{name}")
                };
                flatten(&path, field, exported);
            }
        }
        Value::Number(number) => {
            if let Some(value) = number.as_u64() {
                let name = path.replace('-', "_");
                exported.push(Exported { name, value });
            }
        }
        _ => {}
    }
}

impl Collector for CounterCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), std::fmt::Error> {
        let latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        for exported in latest.iter() {
            if LEVELS.contains(&exported.name.as_str()) {
                let level = i64::try_from(exported.value).unwrap_or(i64::MAX);
                encode(&mut encoder, &exported.name, &ConstGauge::new(level))?;
            } else {
                encode(
                    &mut encoder,
                    &exported.name,
                    &ConstCounter::new(exported.value),
                )?;
            }
        }
        Ok(())
    }
}

fn encode<M: EncodeMetric>(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    metric: &M,
) -> Result<(), std::fmt::Error> {
    let help = "As documented beside the code that counts";
    let descriptor = encoder.encode_descriptor(name, help, None, metric.metric_type())?;
    metric.encode(descriptor)
}
