mod versions;

use super::health::{BackEndKey, HealthBatch, HealthChange, HealthFact, PackedFact};
use super::membership::{MemberBatch, MemberRecord, MemberState};
use super::quarantine::{CrashRecord, QuarantineMessage};
use super::slice::{SliceId, SliceTask};
use super::view::{RegistryDelta, StoreRevision, ViewMessage};
use super::{PeerEndpoint, PeerMessage};
use crate::back_end::Readiness;
use crate::fingerprint::Fingerprint;
use crate::{BackEndId, Incarnation, NodeId, RegionName, ServiceName, frame};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    }
}

fn member() -> impl Strategy<Value = MemberRecord> {
    let state = proptest::sample::select(MemberState::ALL.to_vec());
    let numbers = (any::<u64>(), any::<u32>(), any::<u32>(), any::<u16>());
    (numbers, 0..4_u8, 0..3_u8, state).prop_map(|(numbers, zone, region, state)| MemberRecord {
        endpoint: PeerEndpoint {
            node: NodeId(numbers.0),
            address: (std::net::Ipv4Addr::from(numbers.1), numbers.3).into(),
        },
        operator_address: (std::net::Ipv4Addr::from(numbers.2), numbers.3).into(),
        name: format!("node-{}", numbers.2).into(),
        zone: format!("zone-{zone}").into(),
        region: format!("region-{region}").into(),
        incarnation: Incarnation(numbers.2),
        state,
    })
}

fn fact() -> impl Strategy<Value = HealthFact> {
    let readiness = vec![Readiness::Ready, Readiness::Cold, Readiness::Leaving];
    let snapshots = proptest::collection::vec((0..5_u8).prop_map(|n| n.to_string().into()), 0..3);
    prop_oneof![
        proptest::sample::select(readiness).prop_map(HealthFact::Readiness),
        snapshots.prop_map(HealthFact::Snapshots),
        any::<bool>().prop_map(HealthFact::Unreachable),
    ]
}

fn change() -> impl Strategy<Value = HealthChange> {
    let numbers = (any::<u64>(), any::<u64>(), 0..4_u64);
    (numbers, fact()).prop_map(|((key, version, observer), fact)| HealthChange {
        back_end: BackEndKey(key),
        version,
        observer: NodeId(observer),
        fact,
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn members_come_out_of_a_frame_as_they_went_in(
        members in proptest::collection::vec(member(), 0..40)
    ) {
        let encoded = frame::encode(&MemberBatch::pack(&members)).unwrap();
        let batch: MemberBatch = frame::decode(&encoded).unwrap();
        prop_assert_eq!(batch.unpack(), members);
    }

    #[test]
    fn changes_come_out_of_a_frame_as_they_went_in(
        changes in proptest::collection::vec(change(), 0..40)
    ) {
        let encoded = frame::encode(&HealthBatch::pack(&changes)).unwrap();
        let batch: HealthBatch = frame::decode(&encoded).unwrap();
        prop_assert_eq!(batch.unpack(), changes);
    }

    #[test]
    fn indexes_that_point_nowhere_are_left_out(
        changes in proptest::collection::vec(change(), 1..10), by in 1..60_000_u16
    ) {
        let mut batch = HealthBatch::pack(&changes);
        let observers = batch.observers.len() as u16;
        let lists = batch.snapshot_lists.len() as u16;
        for packed in &mut batch.changes {
            match &mut packed.fact {
                PackedFact::Snapshots(index) => *index = lists.saturating_add(by),
                _ => packed.observer = observers.saturating_add(by),
            }
        }
        prop_assert_eq!(batch.unpack(), Vec::new());
    }
}

#[test]
fn states_are_numbers_in_frames_and_names_for_operators() {
    for state in MemberState::ALL {
        let encoded = frame::encode(&state).unwrap();
        assert_eq!(encoded.len(), 1);
        assert_eq!(frame::decode::<MemberState>(&encoded).unwrap(), state);
        let json = serde_json::to_string(&state).unwrap();
        assert_eq!(json, format!("\"{}\"", state.as_str()));
        assert_eq!(serde_json::from_str::<MemberState>(&json).unwrap(), state);
    }
    assert!(frame::decode::<MemberState>(&[4]).is_err());
}

fn crash_record() -> impl Strategy<Value = CrashRecord> {
    let instances =
        proptest::collection::vec((0..9_u8).prop_map(|n| format!("i-{n}").into()), 0..4);
    let rest = (any::<u128>(), any::<u32>(), any::<bool>());
    (instances, rest).prop_map(|(instances, (fingerprint, age_ms, cleared))| CrashRecord {
        fingerprint: Fingerprint(fingerprint),
        instances,
        age_ms,
        cleared,
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn crash_records_come_out_of_a_frame_as_they_went_in(
        records in proptest::collection::vec(crash_record(), 0..20)
    ) {
        let message = PeerMessage::Quarantine(QuarantineMessage { records });
        let bytes = frame::encode(&message).expect("encodes");
        let decoded: PeerMessage = frame::decode(&bytes).expect("decodes");
        prop_assert_eq!(decoded, message);
    }
}

#[test]
fn displaced_servers_are_told_from_changes_of_the_store() {
    let entries = [3, 7].map(|number| {
        let revision = StoreRevision::without_era(number);
        (revision, BackEndId::new(format!("i-{number}")))
    });
    let displaced = RegistryDelta::of_displaced(entries.to_vec()).expect("entries");
    let message = PeerMessage::View(ViewMessage::Registry(displaced));
    let frame = frame::encode(&message).expect("encodable");
    let decoded: PeerMessage = frame::decode(&frame).expect("decodable");
    let PeerMessage::View(ViewMessage::Registry(delta)) = decoded else {
        panic!("another message: {decoded:?}");
    };
    assert_eq!(delta.as_displaced(), Some(&entries[..]));
    let of_the_store = RegistryDelta {
        since: Some(StoreRevision::without_era(6)),
        ..delta
    };
    assert_eq!(of_the_store.as_displaced(), None);
    assert_eq!(RegistryDelta::of_displaced(Vec::new()), None);
}

/// A slice task as earlier builds have it.
#[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct EarlierTask {
    slice: SliceId,
    request_id: String,
    fingerprint: Fingerprint,
    host: String,
    prefix: String,
    version: u64,
    shards: Vec<ServiceName>,
    records: u32,
    attempts: u32,
    prior_attempts: u32,
    objective_us: u64,
    report_in_us: u64,
    second_after_us: u64,
    ends_in_us: u64,
}

fn task_with_homes(home_regions: Vec<RegionName>) -> SliceTask {
    SliceTask {
        slice: SliceId(7),
        request_id: "request".to_owned(),
        fingerprint: Fingerprint::default(),
        host: "host".to_owned(),
        prefix: "/search/".to_owned(),
        version: 1,
        shards: vec![ServiceName::new("s")],
        records: 2,
        attempts: 2,
        prior_attempts: 0,
        objective_us: 200_000,
        report_in_us: 100_000,
        second_after_us: 50_000,
        ends_in_us: 900_000,
        home_regions,
    }
}

#[test]
fn task_without_homes_has_the_bytes_of_earlier_builds() {
    let task = task_with_homes(Vec::new());
    let encoded = frame::encode(&task).unwrap();
    let earlier: EarlierTask = frame::decode(&encoded).unwrap();
    assert_eq!(frame::encode(&earlier).unwrap(), encoded);
    assert_eq!(frame::decode::<SliceTask>(&encoded).unwrap(), task);
}

#[test]
fn homes_of_a_task_come_out_of_a_frame_as_they_went_in() {
    let task = task_with_homes(vec![RegionName::new("south")]);
    let encoded = frame::encode(&task).unwrap();
    assert_eq!(frame::decode::<SliceTask>(&encoded).unwrap(), task);
}
