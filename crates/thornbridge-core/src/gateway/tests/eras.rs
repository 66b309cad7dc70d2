//! Tests of a store that is restored from a backup.
//!
//! A restored store reuses revisions: views compared by revision alone would ignore new servers and
//! send requests to servers that had drained.

use super::support::{Harness, configuration, instance, millis, route, service};
use crate::driver_action::CallerId;
use crate::gateway::parameters::ViewParameters;
use crate::gateway::views::evacuations::{EvacuationChange, Evacuations};
use crate::gateway::views::registry::Registry;
use crate::gateway::views::source::SourceReader;
use crate::gateway::{
    EraTracker, GatewayAction, GatewayEvent, ReportedEra, SourceRead, SourceReply, StaleEra,
    ViewKind, ViewObject,
};
use crate::time::Timestamp;
use assert_matches::assert_matches;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use thornbridge_config::routes::Repeatability;
use thornbridge_proto::peer::view::{Instance, InstanceState, StoreRevision};
use thornbridge_proto::{BackEndId, ZoneName};

fn at(era: u64, number: u64) -> StoreRevision {
    StoreRevision { era, number }
}

fn entry(revision: StoreRevision, id: &str, state: InstanceState) -> (StoreRevision, Instance) {
    (revision, instance(id, "s", state))
}

fn ready(revision: StoreRevision, id: &str) -> (StoreRevision, Instance) {
    entry(revision, id, InstanceState::Ready)
}

/// State of each entry, by instance.
fn states(registry: &Registry) -> BTreeMap<String, InstanceState> {
    let instances = registry.instances();
    instances
        .map(|instance| (instance.id.as_str().to_owned(), instance.state))
        .collect()
}

fn expected_states<const COUNT: usize>(
    states: [(&str, InstanceState); COUNT],
) -> BTreeMap<String, InstanceState> {
    let states = states.into_iter();
    states.map(|(id, state)| (id.to_owned(), state)).collect()
}

/// Registry at revision 100 of the first era: one ready, one draining and one removed instance. All
/// three were ready when the backup was made at revision 90.
fn registry() -> Registry {
    let mut registry = Registry::default();
    let listed = ["stays", "drains", "goes"].map(|id| ready(at(1, 50), id));
    registry.replace(Timestamp::ZERO, listed.to_vec(), at(1, 90));
    let (revision, draining) = entry(at(1, 95), "drains", InstanceState::Draining);
    registry.upsert(revision, draining);
    let removed_id = BackEndId::new("goes");
    registry.remove(Timestamp::ZERO, at(1, 96), at(1, 100), &removed_id);
    registry.advance_to(at(1, 100));
    registry
}

/// Entries that the store lists after the restore.
fn restored_entries() -> Vec<(StoreRevision, Instance)> {
    ["stays", "drains", "goes"]
        .map(|id| ready(at(2, 50), id))
        .to_vec()
}

#[test]
fn new_era_adds_instance_at_lower_revision() {
    let mut registry = registry();
    let mut listed = restored_entries();
    listed.push(ready(at(2, 91), "new"));
    registry.replace(Timestamp::ZERO, listed, at(2, 91));
    assert_eq!(registry.revision(), Some(at(2, 91)));
    assert_eq!(states(&registry)["new"], InstanceState::Ready);
    let (revision, later) = ready(at(2, 92), "later");
    assert!(registry.upsert(revision, later).is_some());
}

#[test]
fn restored_entries_do_not_undo_drain_or_removal() {
    let mut registry = registry();
    registry.replace(Timestamp::ZERO, restored_entries(), at(2, 90));
    let expected = expected_states([
        ("stays", InstanceState::Ready),
        ("drains", InstanceState::Draining),
        ("goes", InstanceState::Held),
    ]);
    assert_eq!(states(&registry), expected);
}

#[test]
fn held_instance_becomes_ready_on_write_or_release() {
    let mut registry = registry();
    registry.replace(Timestamp::ZERO, restored_entries(), at(2, 90));
    let mut rewritten = registry.clone();
    let (revision, again) = ready(at(2, 93), "goes");
    assert!(rewritten.upsert(revision, again).is_some());
    assert_eq!(states(&rewritten)["goes"], InstanceState::Ready);

    let seconds = |count| Timestamp::ZERO + Duration::from_secs(count);
    assert!(registry.release_held(seconds(1)).is_empty());
    assert!(registry.release_held(seconds(10)).is_empty());
    assert_eq!(registry.release_held(seconds(17)).len(), 1);
    assert_eq!(states(&registry)["goes"], InstanceState::Ready);
}

#[test]
fn restored_entry_of_earlier_run_is_ignored() {
    let mut registry = Registry::default();
    let run = |revision, born_ms| {
        let (revision, instance) = ready(revision, "s1");
        (
            revision,
            Instance {
                born_ms,
                ..instance
            },
        )
    };
    registry.replace(Timestamp::ZERO, vec![run(at(1, 95), 2_000)], at(1, 100));
    registry.replace(Timestamp::ZERO, vec![run(at(2, 50), 1_000)], at(2, 90));
    assert_eq!(registry.instances().next().unwrap().born_ms, 2_000);
}

#[test]
fn updates_of_earlier_era_are_ignored() {
    let mut registry = registry();
    registry.replace(Timestamp::ZERO, restored_entries(), at(2, 90));
    let known = states(&registry);
    let listed = vec![ready(at(1, 400), "ghost")];
    assert!(
        registry
            .replace(Timestamp::ZERO, listed, at(1, 400))
            .is_empty()
    );
    let (revision, ghost) = ready(at(1, 401), "ghost");
    assert!(registry.upsert(revision, ghost).is_none());
    let id = BackEndId::new("stays");
    assert!(
        registry
            .remove(Timestamp::ZERO, at(1, 402), at(1, 402), &id)
            .is_none()
    );
    assert_eq!(states(&registry), known);
    assert_eq!(registry.revision(), Some(at(2, 90)));
}

#[test]
fn partitioned_replica_adopts_new_era_from_peer() {
    let mut current = registry();
    let mut partitioned = registry();
    let (revision, unreplicated) = ready(at(1, 990), "seen-alone");
    partitioned.upsert(revision, unreplicated);
    partitioned.advance_to(at(1, 1_000));
    current.replace(Timestamp::ZERO, restored_entries(), at(2, 90));
    assert!(partitioned.delta(current.revision().unwrap()).is_none());
    let delta = current.delta(partitioned.revision().unwrap()).unwrap();
    assert_eq!(delta.since, None);
    partitioned.apply_delta(Timestamp::ZERO, delta);
    assert_eq!(partitioned.revision(), current.revision());
    assert_eq!(states(&partitioned), states(&current));
}

#[test]
fn watch_answered_in_new_era_triggers_list() {
    let mut reader = SourceReader::new(ViewKind::Registry, ViewParameters::default());
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut actions = VecDeque::new();
    let now = Timestamp::ZERO;
    reader.timer_due(now, &mut random, &mut actions);
    let next = |actions: &mut VecDeque<GatewayAction>| match actions.pop_front() {
        Some(GatewayAction::Read { read, what, .. }) => (read, what),
        other => panic!("{other:?}"),
    };
    let (read, _) = next(&mut actions);
    let page = SourceReply::Page {
        objects: Vec::new(),
        next: None,
        at: at(1, 100),
    };
    reader.replied(now, &mut random, &mut actions, read, Ok(page));
    let (read, what) = next(&mut actions);
    assert_matches!(what, SourceRead::Watch { from, .. } if from == at(1, 100));
    let changes = SourceReply::Changes {
        objects: vec![ViewObject::InstanceRemoved(
            at(2, 101),
            BackEndId::new("s1"),
        )],
        at: at(2, 101),
    };
    let update = reader.replied(now, &mut random, &mut actions, read, Ok(changes));
    assert_eq!(update, None);
    assert_matches!(next(&mut actions).1, SourceRead::List { after: None });
}

#[test]
fn era_tracker_rejects_stale_and_ignores_implausible_eras() {
    let mut tracker = EraTracker::default();
    assert_eq!(tracker.observe(&ReportedEra::Missing), Ok((0, true)));
    assert_eq!(tracker.observe(&ReportedEra::Era(7)), Ok((7, true)));
    let text = ReportedEra::Unreadable("seven".to_owned());
    assert_eq!(tracker.observe(&text), Ok((7, false)));
    assert_eq!(tracker.observe(&ReportedEra::Era(u64::MAX)), Ok((7, false)));
    assert_eq!(tracker.observe(&ReportedEra::Missing), Ok((7, true)));
    assert_eq!(tracker.observe(&ReportedEra::Era(8)), Ok((8, true)));
    let stale = StaleEra {
        reported: 7,
        current: 8,
    };
    assert_eq!(tracker.observe(&ReportedEra::Era(7)), Err(stale));
    let mut initial = EraTracker::default();
    assert_eq!(initial.observe(&ReportedEra::Era(u64::MAX)), Ok((0, false)));
}

#[test]
fn evacuation_missing_from_backup_is_carried_over_temporarily() {
    let zone = |name: &str| ZoneName::new(name);
    let only = |name: &str| BTreeSet::from([zone(name)]);
    let mut evacuations = Evacuations::default();
    evacuations.replace(only("a"), at(1, 100));
    assert!(evacuations.replace(BTreeSet::new(), at(2, 90)).is_empty());
    let ended_change = |name: &str| EvacuationChange {
        zone: zone(name),
        evacuated: false,
    };
    let started_change = EvacuationChange {
        zone: zone("a"),
        evacuated: true,
    };
    assert!(
        evacuations
            .apply([started_change].into_iter(), at(2, 91))
            .is_empty()
    );
    let ended = evacuations.apply([ended_change("a")].into_iter(), at(2, 92));
    assert_eq!(ended, [ended_change("a")]);

    evacuations.replace(only("b"), at(2, 93));
    evacuations.replace(BTreeSet::new(), at(3, 80));
    assert!(evacuations.expire_carried_over(Timestamp::ZERO).is_empty());
    let later = Timestamp::ZERO + Duration::from_secs(31);
    assert_eq!(evacuations.expire_carried_over(later), [ended_change("b")]);
}

/// A gateway with a ready and a draining server, as of the first era.
fn serving() -> Harness {
    let routes = || vec![route("/", service("s"), Repeatability::Repeatable)];
    let mut harness = Harness::unconfigured();
    let draining = instance("drains", "s", InstanceState::Draining);
    let ready_instance = instance("stays", "s", InstanceState::Ready);
    let objects = vec![
        ViewObject::Instance(at(1, 10), ready_instance),
        ViewObject::Instance(at(1, 40), draining),
    ];
    harness.reply_page(ViewKind::Registry, objects, at(1, 50));
    let object = ViewObject::Configuration(configuration(3, routes()));
    harness.reply_page(ViewKind::Configuration, vec![object], at(1, 50));
    harness.advance(millis(5_000));
    harness
}

impl Harness {
    fn reply_page(&mut self, kind: ViewKind, objects: Vec<ViewObject>, at: StoreRevision) {
        let read = self.reads.iter().rfind(|(read_kind, _)| *read_kind == kind);
        let read = read.expect("no read was issued").1;
        let next = None;
        let reply = SourceReply::Page { objects, next, at };
        let result = Ok(reply);
        self.event(GatewayEvent::SourceReplied { kind, read, result });
    }

    /// Answers the pending watch in a new era, and the list that follows.
    fn begin_era(&mut self, kind: ViewKind, objects: Vec<ViewObject>, at: StoreRevision) {
        let read = self.reads.iter().rfind(|(read_kind, _)| *read_kind == kind);
        let read = read.expect("no read was issued").1;
        let no_objects = Vec::new();
        let result = Ok(SourceReply::Changes {
            objects: no_objects,
            at,
        });
        self.event(GatewayEvent::SourceReplied { kind, read, result });
        self.reply_page(kind, objects, at);
    }
}

#[test]
fn gateway_uses_new_era_servers_and_keeps_newer_configuration() {
    let mut harness = serving();
    let objects = ["drains", "new"].map(|id| {
        let instance = instance(id, "s", InstanceState::Ready);
        ViewObject::Instance(at(2, 20), instance)
    });
    harness.begin_era(ViewKind::Registry, objects.to_vec(), at(2, 30));
    let routes = vec![route("/", service("gone"), Repeatability::Repeatable)];
    let older = ViewObject::Configuration(configuration(2, routes));
    harness.begin_era(ViewKind::Configuration, vec![older], at(2, 30));
    assert_eq!(harness.gateway.store_era(), 2);
    assert_eq!(harness.gateway.configuration_version(), 3);
    harness.advance(millis(500));
    let caller: CallerId = harness.send_request("/x");
    let sent = harness.sent_for(caller);
    assert_eq!(sent[0].instance, "new");
}

/// One step of the model.
#[derive(Clone, Debug)]
enum Step {
    /// A server starts under a new name.
    Start,
    /// A server drains.
    Drain(u8),
    /// A server's entry is removed.
    Remove(u8),
    /// The store is backed up.
    Backup,
    /// The store is restored from its backup; all running servers write their entries again.
    Restore,
    /// A replica lists the store.
    List(usize),
    /// The second replica pulls from the first.
    Pull(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let replica = 0..REPLICAS;
    prop_oneof![
        4 => Just(Step::Start),
        2 => any::<u8>().prop_map(Step::Drain),
        2 => any::<u8>().prop_map(Step::Remove),
        2 => Just(Step::Backup),
        1 => Just(Step::Restore),
        3 => replica.clone().prop_map(Step::List),
        4 => (replica.clone(), replica).prop_map(|(from, to)| Step::Pull(from, to)),
    ]
}

const REPLICAS: usize = 3;

/// Model of the store and of the actual servers.
#[derive(Default)]
struct Model {
    era: u64,
    revision: u64,
    entries: BTreeMap<String, (u64, InstanceState)>,
    backup: (u64, BTreeMap<String, (u64, InstanceState)>),
    /// Actual state of the running servers.
    running: BTreeMap<String, InstanceState>,
    started: u32,
}

impl Model {
    fn write(&mut self, id: &str, state: InstanceState) {
        if self
            .entries
            .get(id)
            .is_some_and(|(_, known)| *known == state)
        {
            return;
        }
        self.revision += 1;
        self.entries.insert(id.to_owned(), (self.revision, state));
    }

    fn start(&mut self) {
        self.started += 1;
        let id = format!("s{}", self.started);
        self.running.insert(id.clone(), InstanceState::Ready);
        self.write(&id, InstanceState::Ready);
    }

    fn pick_running(&self, index_seed: u8) -> Option<String> {
        let index = usize::from(index_seed) % self.running.len().max(1);
        self.running.keys().nth(index).cloned()
    }

    fn drain(&mut self, index_seed: u8) {
        if let Some(id) = self.pick_running(index_seed) {
            self.running.insert(id.clone(), InstanceState::Draining);
            self.write(&id, InstanceState::Draining);
        }
    }

    fn remove(&mut self, index_seed: u8) {
        if let Some(id) = self.pick_running(index_seed) {
            self.running.remove(&id);
            self.entries.remove(&id);
            self.revision += 1;
        }
    }

    fn restore(&mut self) {
        self.era += 1;
        (self.revision, self.entries) = self.backup.clone();
        for (id, state) in self.running.clone() {
            self.write(&id, state);
        }
    }

    fn list(&self) -> (Vec<(StoreRevision, Instance)>, StoreRevision) {
        let entries = self.entries.iter();
        let entries = entries.map(|(id, (number, state))| entry(at(self.era, *number), id, *state));
        (entries.collect(), at(self.era, self.revision))
    }
}

proptest! {
    #[test]
    fn replica_never_marks_draining_server_ready(steps in prop::collection::vec(step(), 1..80)) {
        let mut model = Model { era: 1, revision: 10, ..Model::default() };
        model.backup = (10, BTreeMap::new());
        let mut replicas: Vec<Registry> = (0..REPLICAS).map(|_| Registry::default()).collect();
        let mut seen_draining: Vec<BTreeSet<String>> = vec![BTreeSet::new(); REPLICAS];
        let now = Timestamp::ZERO;
        for step in steps {
            match step {
                Step::Start => model.start(),
                Step::Drain(index_seed) => model.drain(index_seed),
                Step::Remove(index_seed) => model.remove(index_seed),
                Step::Backup => model.backup = (model.revision, model.entries.clone()),
                Step::Restore => model.restore(),
                Step::List(replica) => {
                    let (entries, revision) = model.list();
                    replicas[replica].replace(now, entries, revision);
                }
                Step::Pull(from, to) => {
                    let since = replicas[to].revision().unwrap_or_default();
                    if from != to && let Some(delta) = replicas[from].delta(since) {
                        replicas[to].apply_delta(now, delta);
                    }
                }
            }
            for (replica, seen_draining) in replicas.iter().zip(&mut seen_draining) {
                let states = states(replica);
                let takes = |id: &String| states.get(id) == Some(&InstanceState::Ready);
                prop_assert!(!seen_draining.iter().any(takes), "{seen_draining:?} in {states:?}");
                let leaving = states.iter().filter(|(_, state)| **state == InstanceState::Draining);
                seen_draining.extend(leaving.map(|(id, _)| id.clone()));
            }
        }
        // After a final list, all replicas agree with the actual servers.
        let (entries, revision) = model.list();
        for replica in &mut replicas {
            replica.replace(now, entries.clone(), revision);
            let states = states(replica);
            for (id, state) in &model.running {
                let known = states.get(id);
                prop_assert!(known == Some(state) || known == Some(&InstanceState::Held), "{id}: {known:?}");
            }
        }
    }
}
