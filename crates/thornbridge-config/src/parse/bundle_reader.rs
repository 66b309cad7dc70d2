//! A bundle out of a TOML document.

use crate::bundle::{
    BackEnd, Bundle, Completeness, CompletenessPolicy, Layout, Service, ServiceKind, ServiceLimits,
    Snapshot,
};
use crate::document::{Entry, Reader, Table};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use thornbridge_proto::BackEndId;
use toml::de::DeTable;

const BUNDLE_KEYS: &[&str] = &[
    "format",
    "version",
    "deployment",
    "maximum_nodes",
    "services",
];
const SERVICE_KEYS: &[&str] = &[
    "name",
    "kind",
    "priority",
    "completeness",
    "limits",
    "back_ends",
    "layouts",
    "snapshots",
];
const COMPLETENESS_KEYS: &[&str] = &["policy", "target", "hard_deadline", "minimum_coverage"];
const LIMIT_KEYS: &[&str] = &["extra_load", "maximum_in_flight", "maximum_queued"];
const BACK_END_KEYS: &[&str] = &["id", "address", "zone", "slots", "connections"];
const LAYOUT_KEYS: &[&str] = &["id", "shards"];
const SNAPSHOT_KEYS: &[&str] = &["id", "layout"];

const NAME: &str = "a name";
const COUNT: &str = "a whole number of at least 1";
const FRACTION: &str = "a number from 0 to 1";

/// Stands for an address that could not be read; the problem noted keeps it from being used.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Reads a bundle. What cannot be read is noted and has a default in its place.
pub(super) fn read(reader: &mut Reader<'_>, document: &DeTable<'_>) -> Bundle {
    let table = reader.root(document, BUNDLE_KEYS);
    let services = list(reader, &table, "services", "an array of services");
    Bundle {
        format: whole(reader, &table, "format", "1, the only format"),
        version: name(reader, &table, "version").into(),
        deployment: name(reader, &table, "deployment"),
        maximum_nodes: whole(reader, &table, "maximum_nodes", COUNT),
        services: services
            .iter()
            .map(|entry| service(reader, entry))
            .collect(),
    }
}

fn service(reader: &mut Reader<'_>, entry: &Entry<'_>) -> Service {
    let table = reader.table(entry, SERVICE_KEYS);
    let back_ends = list(reader, &table, "back_ends", "an array of back ends");
    let layouts = list(reader, &table, "layouts", "an array of layouts");
    let snapshots = list(reader, &table, "snapshots", "an array of snapshots");
    Service {
        name: name(reader, &table, "name").into(),
        kind: kind(reader, &table),
        priority: priority(reader, &table),
        completeness: completeness(reader, &table),
        limits: limits(reader, &table),
        back_ends: back_ends
            .iter()
            .map(|entry| back_end(reader, entry))
            .collect(),
        layouts: layouts.iter().map(|entry| layout(reader, entry)).collect(),
        snapshots: snapshots
            .iter()
            .map(|entry| snapshot(reader, entry))
            .collect(),
    }
}

fn kind(reader: &mut Reader<'_>, table: &Table<'_>) -> ServiceKind {
    const EXPECTED: &str = "\"query\" or \"action\"";
    let entry = reader.required(table, "kind", EXPECTED);
    let kind = entry.and_then(|entry| reader.parsed(&entry, EXPECTED));
    kind.unwrap_or(ServiceKind::Query)
}

fn priority(reader: &mut Reader<'_>, table: &Table<'_>) -> u8 {
    let entry = reader.optional(table, "priority");
    let priority = entry.and_then(|entry| reader.whole(&entry, "a whole number from 0 to 9"));
    priority.unwrap_or_default()
}

fn completeness(reader: &mut Reader<'_>, table: &Table<'_>) -> Completeness {
    const POLICY: &str = "\"latency-first\" or \"coverage-first\"";
    let expected = format!("a table with the keys {}", COMPLETENESS_KEYS.join(", "));
    let entry = reader.required(table, "completeness", &expected);
    let Some(table) = entry.map(|entry| reader.table(&entry, COMPLETENESS_KEYS)) else {
        return Completeness {
            policy: CompletenessPolicy::LatencyFirst,
            target: Duration::ZERO,
            hard_deadline: Duration::ZERO,
            minimum_coverage: 0.0,
        };
    };
    let policy = reader.required(&table, "policy", POLICY);
    let policy = policy.and_then(|entry| reader.parsed(&entry, POLICY));
    let minimum_coverage = reader.required(&table, "minimum_coverage", FRACTION);
    let minimum_coverage = minimum_coverage.and_then(|entry| reader.number(&entry, FRACTION));
    Completeness {
        policy: policy.unwrap_or(CompletenessPolicy::LatencyFirst),
        target: duration(reader, &table, "target"),
        hard_deadline: duration(reader, &table, "hard_deadline"),
        minimum_coverage: minimum_coverage.unwrap_or_default(),
    }
}

fn limits(reader: &mut Reader<'_>, table: &Table<'_>) -> ServiceLimits {
    let mut limits = ServiceLimits::default();
    let Some(entry) = reader.optional(table, "limits") else {
        return limits;
    };
    let table = reader.table(&entry, LIMIT_KEYS);
    if let Some(entry) = reader.optional(&table, "extra_load") {
        limits.extra_load = reader.number(&entry, FRACTION).unwrap_or_default();
    }
    if let Some(entry) = reader.optional(&table, "maximum_in_flight") {
        limits.maximum_in_flight = reader.whole(&entry, COUNT).unwrap_or_default();
    }
    if let Some(entry) = reader.optional(&table, "maximum_queued") {
        let expected = "a whole number of at least 0";
        limits.maximum_queued = reader.whole(&entry, expected).unwrap_or_default();
    }
    limits
}

fn back_end(reader: &mut Reader<'_>, entry: &Entry<'_>) -> BackEnd {
    let table = reader.table(entry, BACK_END_KEYS);
    let address = reader.required(&table, "address", "an IP number and a port");
    let address = address.and_then(|entry| reader.address(&entry));
    BackEnd {
        id: name(reader, &table, "id").into(),
        address: address.unwrap_or(NO_ADDRESS),
        zone: name(reader, &table, "zone").into(),
        slots: whole(reader, &table, "slots", COUNT),
        connections: whole(reader, &table, "connections", COUNT),
    }
}

fn layout(reader: &mut Reader<'_>, entry: &Entry<'_>) -> Layout {
    let table = reader.table(entry, LAYOUT_KEYS);
    let shards = list(reader, &table, "shards", "an array of shards");
    Layout {
        id: name(reader, &table, "id").into(),
        shards: shards.iter().map(|entry| shard(reader, entry)).collect(),
    }
}

fn shard(reader: &mut Reader<'_>, entry: &Entry<'_>) -> Vec<BackEndId> {
    let replicas = reader.array(entry, "an array of ids of back ends");
    let replicas = replicas.iter();
    replicas
        .map(|entry| {
            let id = reader.text(entry, "the id of a back end");
            id.unwrap_or_default().into()
        })
        .collect()
}

fn snapshot(reader: &mut Reader<'_>, entry: &Entry<'_>) -> Snapshot {
    let table = reader.table(entry, SNAPSHOT_KEYS);
    Snapshot {
        id: name(reader, &table, "id").into(),
        layout: name(reader, &table, "layout").into(),
    }
}

fn list<'a>(
    reader: &mut Reader<'_>,
    table: &Table<'a>,
    key: &str,
    expected: &str,
) -> Vec<Entry<'a>> {
    let entry = reader.required(table, key, expected);
    let entries = entry.map(|entry| reader.array(&entry, expected));
    entries.unwrap_or_default()
}

fn name(reader: &mut Reader<'_>, table: &Table<'_>, key: &str) -> String {
    let entry = reader.required(table, key, NAME);
    let name = entry.and_then(|entry| reader.text(&entry, NAME));
    name.unwrap_or_default()
}

fn whole<T: TryFrom<i64> + Default>(
    reader: &mut Reader<'_>,
    table: &Table<'_>,
    key: &str,
    expected: &str,
) -> T {
    let entry = reader.required(table, key, expected);
    let number = entry.and_then(|entry| reader.whole(&entry, expected));
    number.unwrap_or_default()
}

fn duration(reader: &mut Reader<'_>, table: &Table<'_>, key: &str) -> Duration {
    let entry = reader.required(table, key, "a duration with its unit, e.g. \"40ms\"");
    let duration = entry.and_then(|entry| reader.duration(&entry));
    duration.unwrap_or_default()
}
