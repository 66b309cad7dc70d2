//! A store that comes back from a copy.
//!
//! What users would have seen: after a drill in which the store came back from a copy some seconds
//! old, new servers got nothing, and servers that had said they leave got requests again. Cause: the
//! store gives revisions out again, and views went by the revision alone.

use super::support::{Harness, configuration, instance, millis, route, service};
use crate::driver_action::CallerId;
use crate::gateway::parameters::ViewParameters;
use crate::gateway::views::evacuations::{EvacuationChange, Evacuations};
use crate::gateway::views::registry::Registry;
use crate::gateway::views::source::SourceReader;
use crate::gateway::{
    EndedEra, EraTracker, GatewayAction, GatewayEvent, SourceRead, SourceReply, ToldEra, ViewKind,
    ViewObject,
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

/// States of a registry's entries.
fn states(registry: &Registry) -> BTreeMap<String, InstanceState> {
    let instances = registry.instances();
    instances
        .map(|instance| (instance.id.as_str().to_owned(), instance.state))
        .collect()
}

fn named<const COUNT: usize>(
    states: [(&str, InstanceState); COUNT],
) -> BTreeMap<String, InstanceState> {
    let states = states.into_iter();
    states.map(|(id, state)| (id.to_owned(), state)).collect()
}

/// Knows the store of its first era up to revision 100: one server that stays, one that drains, and one
/// that went; a copy that was made at 90 has all three.
fn registry() -> Registry {
    let mut registry = Registry::default();
    let listed = ["stays", "drains", "goes"].map(|id| ready(at(1, 50), id));
    registry.replace(Timestamp::ZERO, listed.to_vec(), at(1, 90));
    let (revision, drains) = entry(at(1, 95), "drains", InstanceState::Draining);
    registry.upsert(revision, drains);
    let gone = BackEndId::new("goes");
    registry.remove(Timestamp::ZERO, at(1, 96), at(1, 100), &gone);
    registry.advance_to(at(1, 100));
    registry
}

/// What the store lists once it is back.
fn copy() -> Vec<(StoreRevision, Instance)> {
    ["stays", "drains", "goes"]
        .map(|id| ready(at(2, 50), id))
        .to_vec()
}

#[test]
fn a_server_that_is_new_in_a_new_era_is_taken_at_a_lower_revision() {
    let mut registry = registry();
    let mut listed = copy();
    listed.push(ready(at(2, 91), "new"));
    registry.replace(Timestamp::ZERO, listed, at(2, 91));
    assert_eq!(registry.upto(), Some(at(2, 91)));
    assert_eq!(states(&registry)["new"], InstanceState::Ready);
    let (revision, later) = ready(at(2, 92), "later");
    assert!(registry.upsert(revision, later).is_some());
}

#[test]
fn servers_that_left_since_the_copy_are_not_back_with_it() {
    let mut registry = registry();
    registry.replace(Timestamp::ZERO, copy(), at(2, 90));
    let expected = named([
        ("stays", InstanceState::Ready),
        ("drains", InstanceState::Draining),
        ("goes", InstanceState::Held),
    ]);
    assert_eq!(states(&registry), expected);
}

#[test]
fn a_server_that_is_held_takes_requests_once_it_writes_or_its_entry_stays() {
    let mut registry = registry();
    registry.replace(Timestamp::ZERO, copy(), at(2, 90));
    let mut writes = registry.clone();
    let (revision, again) = ready(at(2, 93), "goes");
    assert!(writes.upsert(revision, again).is_some());
    assert_eq!(states(&writes)["goes"], InstanceState::Ready);

    let seconds = |count| Timestamp::ZERO + Duration::from_secs(count);
    assert!(registry.release_held(seconds(1)).is_empty());
    assert!(registry.release_held(seconds(10)).is_empty());
    assert_eq!(registry.release_held(seconds(17)).len(), 1);
    assert_eq!(states(&registry)["goes"], InstanceState::Ready);
}

#[test]
fn an_entry_of_an_earlier_run_does_not_replace_a_later_one() {
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
fn what_is_told_of_an_ended_era_changes_nothing() {
    let mut registry = registry();
    registry.replace(Timestamp::ZERO, copy(), at(2, 90));
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
    assert_eq!(registry.upto(), Some(at(2, 90)));
}

#[test]
fn a_node_that_was_cut_off_learns_the_new_era_and_does_not_bring_the_old_one_back() {
    let mut current = registry();
    let mut cut_off = registry();
    let (revision, seen_alone) = ready(at(1, 990), "seen-alone");
    cut_off.upsert(revision, seen_alone);
    cut_off.advance_to(at(1, 1_000));
    current.replace(Timestamp::ZERO, copy(), at(2, 90));
    assert!(cut_off.delta(current.upto().unwrap()).is_none());
    let delta = current.delta(cut_off.upto().unwrap()).unwrap();
    assert_eq!(delta.since, None);
    cut_off.apply_delta(Timestamp::ZERO, delta);
    assert_eq!(cut_off.upto(), current.upto());
    assert_eq!(states(&cut_off), states(&current));
}

#[test]
fn a_watch_that_is_answered_in_a_new_era_is_followed_by_a_list() {
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
    let news = reader.replied(now, &mut random, &mut actions, read, Ok(changes));
    assert_eq!(news, None);
    assert_matches!(next(&mut actions).1, SourceRead::List { after: None });
}

#[test]
fn eras_only_rise_and_what_cannot_be_one_is_no_news() {
    let mut tracker = EraTracker::default();
    assert_eq!(tracker.take(&ToldEra::Missing), Ok((0, true)));
    assert_eq!(tracker.take(&ToldEra::Told(7)), Ok((7, true)));
    let text = ToldEra::Unreadable("seven".to_owned());
    assert_eq!(tracker.take(&text), Ok((7, false)));
    assert_eq!(tracker.take(&ToldEra::Told(u64::MAX)), Ok((7, false)));
    assert_eq!(tracker.take(&ToldEra::Missing), Ok((7, true)));
    assert_eq!(tracker.take(&ToldEra::Told(8)), Ok((8, true)));
    let ended = EndedEra {
        reported: 7,
        current: 8,
    };
    assert_eq!(tracker.take(&ToldEra::Told(7)), Err(ended));
    let mut fresh = EraTracker::default();
    assert_eq!(fresh.take(&ToldEra::Told(u64::MAX)), Ok((0, false)));
}

#[test]
fn an_evacuation_that_the_copy_lacks_binds_until_it_is_written_again_or_for_a_while() {
    let zone = |name: &str| ZoneName::new(name);
    let only = |name: &str| BTreeSet::from([zone(name)]);
    let mut evacuations = Evacuations::default();
    evacuations.replace(only("a"), at(1, 100));
    assert!(evacuations.replace(BTreeSet::new(), at(2, 90)).is_empty());
    let over = |name: &str| EvacuationChange {
        zone: zone(name),
        evacuated: false,
    };
    let ordered = EvacuationChange {
        zone: zone("a"),
        evacuated: true,
    };
    assert!(
        evacuations
            .take([ordered].into_iter(), at(2, 91))
            .is_empty()
    );
    let ended = evacuations.take([over("a")].into_iter(), at(2, 92));
    assert_eq!(ended, [over("a")]);

    evacuations.replace(only("b"), at(2, 93));
    evacuations.replace(BTreeSet::new(), at(3, 80));
    assert!(evacuations.forget_carried(Timestamp::ZERO).is_empty());
    let later = Timestamp::ZERO + Duration::from_secs(31);
    assert_eq!(evacuations.forget_carried(later), [over("b")]);
}

/// A gateway that knows a server that drains, as of the first era.
fn serving() -> Harness {
    let routes = || vec![route("/", service("s"), Repeatability::Repeatable)];
    let mut harness = Harness::started();
    let drains = instance("drains", "s", InstanceState::Draining);
    let stays = instance("stays", "s", InstanceState::Ready);
    let objects = vec![
        ViewObject::Instance(at(1, 10), stays),
        ViewObject::Instance(at(1, 40), drains),
    ];
    harness.page(ViewKind::Registry, objects, at(1, 50));
    let object = ViewObject::Configuration(configuration(3, routes()));
    harness.page(ViewKind::Configuration, vec![object], at(1, 50));
    harness.wait(millis(5_000));
    harness
}

impl Harness {
    fn page(&mut self, kind: ViewKind, objects: Vec<ViewObject>, at: StoreRevision) {
        let read = self.reads.iter().rfind(|(read_kind, _)| *read_kind == kind);
        let read = read.expect("a read").1;
        let next = None;
        let reply = SourceReply::Page { objects, next, at };
        let result = Ok(reply);
        self.event(GatewayEvent::SourceReplied { kind, read, result });
    }

    /// The store answers a watch in a new era, and the list after it.
    fn new_era(&mut self, kind: ViewKind, objects: Vec<ViewObject>, at: StoreRevision) {
        let read = self.reads.iter().rfind(|(read_kind, _)| *read_kind == kind);
        let read = read.expect("a read").1;
        let nothing = Vec::new();
        let result = Ok(SourceReply::Changes {
            objects: nothing,
            at,
        });
        self.event(GatewayEvent::SourceReplied { kind, read, result });
        self.page(kind, objects, at);
    }
}

#[test]
fn a_gateway_uses_the_servers_of_the_new_era_and_keeps_its_configuration() {
    let mut harness = serving();
    let objects = ["drains", "new"].map(|id| {
        let instance = instance(id, "s", InstanceState::Ready);
        ViewObject::Instance(at(2, 20), instance)
    });
    harness.new_era(ViewKind::Registry, objects.to_vec(), at(2, 30));
    let routes = vec![route("/", service("gone"), Repeatability::Repeatable)];
    let older = ViewObject::Configuration(configuration(2, routes));
    harness.new_era(ViewKind::Configuration, vec![older], at(2, 30));
    assert_eq!(harness.gateway.store_era(), 2);
    assert_eq!(harness.gateway.version(), 3);
    harness.wait(millis(500));
    let caller: CallerId = harness.ask("/x");
    let sent = harness.sent_for(caller);
    assert_eq!(sent[0].instance, "new");
}

/// What happens next to a store with copies.
#[derive(Clone, Debug)]
enum Step {
    /// A server starts under a name that it never had.
    Start,
    /// A server says that it leaves.
    Drain(u8),
    /// A server's entry goes.
    Remove(u8),
    /// The store is copied.
    Copy,
    /// The store comes back from its copy; all that live write again.
    Restore,
    /// A replica reads the store.
    List(usize),
    /// The second replica gets what it lacks from the first.
    Pull(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let replica = 0..REPLICAS;
    prop_oneof![
        4 => Just(Step::Start),
        2 => any::<u8>().prop_map(Step::Drain),
        2 => any::<u8>().prop_map(Step::Remove),
        2 => Just(Step::Copy),
        1 => Just(Step::Restore),
        3 => replica.clone().prop_map(Step::List),
        4 => (replica.clone(), replica).prop_map(|(from, to)| Step::Pull(from, to)),
    ]
}

const REPLICAS: usize = 3;

/// A store, and the servers as they really are.
#[derive(Default)]
struct Model {
    era: u64,
    revision: u64,
    entries: BTreeMap<String, (u64, InstanceState)>,
    copy: (u64, BTreeMap<String, (u64, InstanceState)>),
    /// Servers that live, and whether they drain.
    living: BTreeMap<String, InstanceState>,
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
        self.living.insert(id.clone(), InstanceState::Ready);
        self.write(&id, InstanceState::Ready);
    }

    fn some_living(&self, draw: u8) -> Option<String> {
        let index = usize::from(draw) % self.living.len().max(1);
        self.living.keys().nth(index).cloned()
    }

    fn drain(&mut self, draw: u8) {
        if let Some(id) = self.some_living(draw) {
            self.living.insert(id.clone(), InstanceState::Draining);
            self.write(&id, InstanceState::Draining);
        }
    }

    fn remove(&mut self, draw: u8) {
        if let Some(id) = self.some_living(draw) {
            self.living.remove(&id);
            self.entries.remove(&id);
            self.revision += 1;
        }
    }

    fn restore(&mut self) {
        self.era += 1;
        (self.revision, self.entries) = self.copy.clone();
        for (id, state) in self.living.clone() {
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
    fn no_replica_uses_a_server_whose_leaving_it_knew(steps in prop::collection::vec(step(), 1..80)) {
        let mut model = Model { era: 1, revision: 10, ..Model::default() };
        model.copy = (10, BTreeMap::new());
        let mut replicas: Vec<Registry> = (0..REPLICAS).map(|_| Registry::default()).collect();
        let mut left: Vec<BTreeSet<String>> = vec![BTreeSet::new(); REPLICAS];
        let now = Timestamp::ZERO;
        for step in steps {
            match step {
                Step::Start => model.start(),
                Step::Drain(draw) => model.drain(draw),
                Step::Remove(draw) => model.remove(draw),
                Step::Copy => model.copy = (model.revision, model.entries.clone()),
                Step::Restore => model.restore(),
                Step::List(replica) => {
                    let (entries, upto) = model.list();
                    replicas[replica].replace(now, entries, upto);
                }
                Step::Pull(from, to) => {
                    let since = replicas[to].upto().unwrap_or_default();
                    if from != to && let Some(delta) = replicas[from].delta(since) {
                        replicas[to].apply_delta(now, delta);
                    }
                }
            }
            for (replica, left) in replicas.iter().zip(&mut left) {
                let states = states(replica);
                let takes = |id: &String| states.get(id) == Some(&InstanceState::Ready);
                prop_assert!(!left.iter().any(takes), "{left:?} in {states:?}");
                let leaving = states.iter().filter(|(_, state)| **state == InstanceState::Draining);
                left.extend(leaving.map(|(id, _)| id.clone()));
            }
        }
        // All read the store at last, and agree with the servers as they are.
        let (entries, upto) = model.list();
        for replica in &mut replicas {
            replica.replace(now, entries.clone(), upto);
            let states = states(replica);
            for (id, state) in &model.living {
                let known = states.get(id);
                prop_assert!(known == Some(state) || known == Some(&InstanceState::Held), "{id}: {known:?}");
            }
        }
    }
}
