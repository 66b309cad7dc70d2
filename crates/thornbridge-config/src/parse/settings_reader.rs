//! A node's settings out of a TOML document.

use crate::approval::TrustedKey;
use crate::document::{Entry, Reader, Table};
use crate::settings::NodeSettings;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use toml::de::DeTable;

const SETTINGS_KEYS: &[&str] = &[
    "name",
    "zone",
    "region",
    "caller_address",
    "operator_address",
    "peer_address",
    "advertised_peer_address",
    "advertised_operator_address",
    "platform_address",
    "seeds",
    "caller_connections",
    "caller_memory_mb",
    "cluster_key_file",
    "trusted_keys",
];
const TRUSTED_KEY_KEYS: &[&str] = &["id", "public_key"];

const ADDRESS: &str = "an IP number and a port, e.g. \"10.0.0.1:8080\"";
const NAME: &str = "a name";

/// Stands for an address that could not be read; the problem noted keeps it from being used.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Reads settings. What cannot be read is noted and has a default in its place.
pub(super) fn read(reader: &mut Reader<'_>, document: &DeTable<'_>) -> NodeSettings {
    let table = reader.root(document, SETTINGS_KEYS);
    let advertised_peer = reader.optional(&table, "advertised_peer_address");
    let advertised_operator = reader.optional(&table, "advertised_operator_address");
    NodeSettings {
        name: text(reader, &table, "name", NAME).into(),
        zone: text(reader, &table, "zone", NAME).into(),
        region: text(reader, &table, "region", NAME).into(),
        caller_address: address(reader, &table, "caller_address"),
        operator_address: address(reader, &table, "operator_address"),
        peer_address: address(reader, &table, "peer_address"),
        advertised_peer_address: advertised_peer.and_then(|entry| reader.address(&entry)),
        advertised_operator_address: advertised_operator.and_then(|entry| reader.address(&entry)),
        platform_address: address(reader, &table, "platform_address"),
        seeds: seeds(reader, &table),
        caller_connections: count(reader, &table, "caller_connections"),
        caller_memory_mb: count(reader, &table, "caller_memory_mb"),
        cluster_key_file: text(reader, &table, "cluster_key_file", "a file").into(),
        trusted_keys: trusted_keys(reader, &table),
    }
}

fn seeds(reader: &mut Reader<'_>, table: &Table<'_>) -> Vec<SocketAddr> {
    let Some(entry) = reader.optional(table, "seeds") else {
        return Vec::new();
    };
    let entries = reader.array(&entry, "an array of addresses");
    let entries = entries.iter();
    entries
        .map(|entry| reader.address(entry).unwrap_or(NO_ADDRESS))
        .collect()
}

fn count(reader: &mut Reader<'_>, table: &Table<'_>, key: &str) -> Option<usize> {
    let entry = reader.optional(table, key)?;
    reader
        .whole::<u32>(&entry, "a whole number")
        .map(|count| count as usize)
}

fn trusted_keys(reader: &mut Reader<'_>, table: &Table<'_>) -> Vec<TrustedKey> {
    const EXPECTED: &str = "an array of tables with id and public_key";
    let Some(entry) = reader.required(table, "trusted_keys", EXPECTED) else {
        return Vec::new();
    };
    let entries = reader.array(&entry, EXPECTED);
    let entries = entries.iter();
    entries.map(|entry| trusted_key(reader, entry)).collect()
}

fn trusted_key(reader: &mut Reader<'_>, entry: &Entry<'_>) -> TrustedKey {
    let table = reader.table(entry, TRUSTED_KEY_KEYS);
    TrustedKey {
        id: text(reader, &table, "id", NAME),
        public_key: text(reader, &table, "public_key", "64 hexadecimal digits"),
    }
}

fn address(reader: &mut Reader<'_>, table: &Table<'_>, key: &str) -> SocketAddr {
    let entry = reader.required(table, key, ADDRESS);
    let address = entry.and_then(|entry| reader.address(&entry));
    address.unwrap_or(NO_ADDRESS)
}

fn text(reader: &mut Reader<'_>, table: &Table<'_>, key: &str, expected: &str) -> String {
    let entry = reader.required(table, key, expected);
    let text = entry.and_then(|entry| reader.text(&entry, expected));
    text.unwrap_or_default()
}
