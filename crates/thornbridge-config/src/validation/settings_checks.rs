//! What holds for a node's settings.

use super::{Findings, Unique};
use crate::approval;
use crate::settings::NodeSettings;
use std::net::SocketAddr;

pub(super) fn check(settings: &NodeSettings, findings: &mut Findings) {
    findings.check_name("name".to_owned(), settings.name.as_str());
    findings.check_name("zone".to_owned(), settings.zone.as_str());
    findings.check_name("region".to_owned(), settings.region.as_str());
    check_own_addresses(settings, findings);
    check_foreign_addresses(settings, findings);
    if settings.cluster_key_file.as_os_str().is_empty() {
        findings.add("cluster_key_file".to_owned(), "\"\"", "the name of a file");
    }
    check_trusted_keys(settings, findings);
    let limits = [
        ("caller_connections", settings.caller_connections),
        ("caller_memory_mb", settings.caller_memory_mb),
    ];
    for (key, _) in limits.iter().filter(|(_, limit)| *limit == Some(0)) {
        findings.add((*key).to_owned(), 0, "1 or more");
    }
}

/// Listening addresses may be unspecified, but not the same. Port 0 is any free port.
fn check_own_addresses(settings: &NodeSettings, findings: &mut Findings) {
    let mut own = Unique::<SocketAddr>::new();
    let addresses = [
        ("caller_address", settings.caller_address),
        ("operator_address", settings.operator_address),
        ("peer_address", settings.peer_address),
    ];
    for (key, address) in addresses {
        if address.port() != 0 {
            own.check(findings, key.to_owned(), &address);
        }
        if address.ip().is_multicast() {
            findings.add(key.to_owned(), address, "an address of this machine");
        }
    }
}

fn check_foreign_addresses(settings: &NodeSettings, findings: &mut Findings) {
    findings.check_address("platform_address".to_owned(), settings.platform_address);
    let told = [
        (
            "peer_address",
            settings.peer_address,
            "advertised_peer_address",
            settings.advertised_peer_address,
        ),
        (
            "operator_address",
            settings.operator_address,
            "advertised_operator_address",
            settings.advertised_operator_address,
        ),
    ];
    for (key, listening, advertised_key, advertised) in told {
        if let Some(advertised) = advertised {
            findings.check_address(advertised_key.to_owned(), advertised);
        } else if listening.ip().is_unspecified() {
            let expected = format!(
                "one address, or {advertised_key} beside it: others are told where to come"
            );
            findings.add(key.to_owned(), listening, expected);
        }
    }
    for (index, seed) in settings.seeds.iter().enumerate() {
        findings.check_address(format!("seeds[{index}]"), *seed);
    }
}

fn check_trusted_keys(settings: &NodeSettings, findings: &mut Findings) {
    if settings.trusted_keys.is_empty() {
        let expected = "at least one key, or no bundle can ever be in force";
        findings.add("trusted_keys".to_owned(), "none", expected);
    }
    let mut ids = Unique::<String>::new();
    for (index, key) in settings.trusted_keys.iter().enumerate() {
        let path = format!("trusted_keys[{index}]");
        findings.check_name(format!("{path}.id"), &key.id);
        ids.check(findings, format!("{path}.id"), &key.id);
        if approval::verifying_key(key).is_err() {
            findings.add(
                format!("{path}.public_key"),
                format!("{:?}", key.public_key),
                "64 hexadecimal digits of an Ed25519 public key, as `thornbridge key generate` prints them",
            );
        }
    }
}
