//! Versions of registry entries, beside builds that do not know them.

use crate::peer::view::{Instance, InstanceState, RegistryDelta, StoreRevision};
use crate::{BackEndId, ServerVersion, ServiceName, ZoneName, frame};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// Registry entries as builds without versions encode and decode them.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierRegistry {
    since: Option<StoreRevision>,
    upto: StoreRevision,
    services: Vec<ServiceName>,
    zones: Vec<ZoneName>,
    present: Vec<EarlierInstance>,
    departed: Vec<(StoreRevision, BackEndId)>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierInstance {
    revision: StoreRevision,
    id: BackEndId,
    born_ms: u64,
    service: u32,
    address: SocketAddr,
    zone: u32,
    slots: u32,
    state: InstanceState,
    cold_milliseconds: u32,
}

fn instance(id: u32, service: &str, version: &str) -> Instance {
    Instance {
        id: BackEndId::new(format!("i-{id}")),
        born_ms: 7,
        service: ServiceName::new(service),
        address: (Ipv4Addr::from(id), 80).into(),
        zone: ZoneName::new("zone-a"),
        version: ServerVersion::new(version),
        slots: 2,
        state: InstanceState::Ready,
        cold_milliseconds: 900,
    }
}

fn delta(instances: Vec<Instance>) -> RegistryDelta {
    let present = (1..).map(StoreRevision::without_era).zip(instances);
    RegistryDelta {
        since: None,
        upto: StoreRevision::without_era(9),
        present: present.collect(),
        departed: vec![(StoreRevision::without_era(4), BackEndId::new("i-0"))],
    }
}

/// Two entries of one service and one of another, all without a version.
fn without_versions() -> RegistryDelta {
    let services = ["roster", "reminder", "roster"];
    let instances = (1..).zip(services);
    delta(
        instances
            .map(|(id, service)| instance(id, service, ""))
            .collect(),
    )
}

/// The same entries as an earlier build packs them.
fn packed_by_an_earlier_build() -> EarlierRegistry {
    let entry = |number: u32, service: u32| EarlierInstance {
        revision: StoreRevision::without_era(u64::from(number)),
        id: BackEndId::new(format!("i-{number}")),
        born_ms: 7,
        service,
        address: (Ipv4Addr::from(number), 80).into(),
        zone: 0,
        slots: 2,
        state: InstanceState::Ready,
        cold_milliseconds: 900,
    };
    EarlierRegistry {
        since: None,
        upto: StoreRevision::without_era(9),
        services: vec!["roster".into(), "reminder".into()],
        zones: vec!["zone-a".into()],
        present: vec![entry(1, 0), entry(2, 1), entry(3, 0)],
        departed: vec![(StoreRevision::without_era(4), BackEndId::new("i-0"))],
    }
}

fn encoded<T: Serialize>(value: &T) -> Vec<u8> {
    frame::encode(value).expect("encodable")
}

fn versions_of(delta: &RegistryDelta) -> Vec<&str> {
    let present = delta.present.iter();
    present
        .map(|(_, instance)| instance.version.as_str())
        .collect()
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn versions_come_out_of_a_frame_as_they_went_in(
        entries in proptest::collection::vec((0..4_u8, "(v[0-9]|\u{0}versions|1:2 0:1)?"), 0..40)
    ) {
        let entries = (1..).zip(entries);
        let instances = entries.map(|(id, (service, version))| {
            let service = match service {
                0 => "\0versions".to_owned(),
                _ => format!("service-{service}"),
            };
            instance(id, &service, &version)
        });
        let sent = delta(instances.collect());
        let received: RegistryDelta = frame::decode(&encoded(&sent)).unwrap();
        prop_assert_eq!(received, sent);
    }
}

#[test]
fn entries_of_an_earlier_build_have_no_version() {
    let bytes = encoded(&packed_by_an_earlier_build());
    let received: RegistryDelta = frame::decode(&bytes).expect("decodable");
    assert_eq!(received, without_versions());
}

#[test]
fn entries_without_a_version_are_encoded_as_earlier_builds_do() {
    let earlier = encoded(&packed_by_an_earlier_build());
    assert_eq!(encoded(&without_versions()), earlier);
}

#[test]
fn an_earlier_build_decodes_entries_with_versions() {
    let mut sent = without_versions();
    for (_, instance) in &mut sent.present {
        instance.version = ServerVersion::new("v2");
    }
    let mut received: EarlierRegistry = frame::decode(&encoded(&sent)).expect("decodable");
    let own = packed_by_an_earlier_build();
    received.services.truncate(own.services.len());
    assert_eq!(received, own);
}

#[test]
fn versions_take_a_few_bytes_in_all() {
    let entries = |version: &'static str| {
        let instances = (0..600).map(|id| instance(id, "roster", version));
        encoded(&delta(instances.collect())).len()
    };
    assert!(entries("v1") - entries("") < 32);
}

fn with_appended(names: &[&str]) -> Result<RegistryDelta, String> {
    let mut packed = packed_by_an_earlier_build();
    let names = names.iter().copied();
    packed.services.extend(names.map(ServiceName::new));
    frame::decode(&encoded(&packed)).map_err(|error| format!("{error:?}"))
}

#[test]
fn names_that_a_later_build_appends_are_ignored() {
    let received = with_appended(&["\0something", "v2", "0:3"]).expect("decodable");
    assert_eq!(versions_of(&received), ["", "", ""]);
}

#[test]
fn appended_versions_are_those_of_the_entries_in_their_order() {
    let received = with_appended(&["\0versions", "v1", "v2", "1:2 0:1"]).expect("decodable");
    assert_eq!(versions_of(&received), ["v2", "v2", "v1"]);
}

#[test]
fn malformed_versions_are_refused_with_the_cause() {
    let cause = |names: &[&str]| with_appended(names).expect_err("not decodable");
    assert!(cause(&["\0versions"]).contains("are missing"));
    assert!(cause(&["\0versions", "v1", "0:2"]).contains("do not add up to 3"));
    assert!(cause(&["\0versions", "v1", "0:99999999999"]).contains("do not add up to 3"));
    assert!(cause(&["\0versions", "v1", "1:3"]).contains("one of 1 versions"));
    assert!(cause(&["\0versions", "v1", "0=3"]).contains("malformed run"));
}
