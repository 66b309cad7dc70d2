//! Registry replicas that sync with the store and each other, checked against a model.

use super::support::instance;
use crate::gateway::views::registry::Registry;
use crate::time::Timestamp;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use thornbridge_proto::BackEndId;
use thornbridge_proto::peer::view::{InstanceState, StoreRevision};

const REPLICAS: usize = 3;

/// One step of the store or a replica.
#[derive(Clone, Debug)]
enum Step {
    /// The store adds or changes an entry.
    Put(u8, bool),
    /// The store removes an entry.
    Remove(u8),
    /// A replica applies all changes since its revision.
    Watch(usize),
    /// A replica applies a list.
    List(usize),
    /// The second replica pulls from the first.
    Pull(usize, usize),
    /// A replica drops old tombstones.
    ExpireTombstones(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let replica = 0..REPLICAS;
    prop_oneof![
        3 => (0..6_u8, any::<bool>()).prop_map(|(id, ready)| Step::Put(id, ready)),
        2 => (0..6_u8).prop_map(Step::Remove),
        2 => replica.clone().prop_map(Step::Watch),
        1 => replica.clone().prop_map(Step::List),
        3 => (replica.clone(), 0..REPLICAS).prop_map(|(from, to)| Step::Pull(from, to)),
        1 => replica.prop_map(Step::ExpireTombstones),
    ]
}

/// Model of the store: current entries and complete history.
#[derive(Default)]
struct Store {
    revision: u64,
    entries: BTreeMap<u8, (u64, bool)>,
    history: Vec<(u64, u8, Option<bool>)>,
    /// Entries at each revision.
    states: Vec<(u64, BTreeSet<(u8, bool)>)>,
}

impl Store {
    fn change(&mut self, id: u8, entry: Option<bool>) {
        self.revision += 1;
        match entry {
            Some(ready) => self.entries.insert(id, (self.revision, ready)),
            None => self.entries.remove(&id),
        };
        self.history.push((self.revision, id, entry));
        let state = self.entries.iter().map(|(id, (_, ready))| (*id, *ready));
        self.states.push((self.revision, state.collect()));
    }

    fn state_at(&self, revision: u64) -> BTreeSet<(u8, bool)> {
        let states = self.states.iter().rev();
        let found = states.clone().find(|(at, _)| *at <= revision);
        found.map(|(_, state)| state.clone()).unwrap_or_default()
    }
}

fn entry(id: u8, ready: bool) -> thornbridge_proto::peer::view::Instance {
    let state = match ready {
        true => InstanceState::Ready,
        false => InstanceState::Draining,
    };
    instance(&format!("i-{id}"), "s", state)
}

proptest! {
    #[test]
    fn replica_equals_store_at_its_revision(steps in prop::collection::vec(step(), 1..80)) {
        let mut store = Store::default();
        let mut replicas: Vec<Registry> = (0..REPLICAS).map(|_| Registry::default()).collect();
        let mut now = Timestamp::ZERO;
        for step in steps {
            now = now + std::time::Duration::from_secs(1);
            match step {
                Step::Put(id, ready) => {
                    let is_unchanged = store.entries.get(&id).is_some_and(|(_, known)| *known == ready);
                    if !is_unchanged {
                        store.change(id, Some(ready));
                    }
                }
                Step::Remove(id) => {
                    if store.entries.contains_key(&id) {
                        store.change(id, None);
                    }
                }
                Step::Watch(replica) => watch(&store, &mut replicas[replica], now),
                Step::List(replica) => {
                    let entries = store.entries.iter().map(|(id, (revision, ready))| {
                        (StoreRevision::without_era(*revision), entry(*id, *ready))
                    });
                    let at = StoreRevision::without_era(store.revision);
                    replicas[replica].replace(now, entries.collect(), at);
                }
                Step::Pull(from, to) => {
                    let since = replicas[to].revision().unwrap_or_default();
                    if from != to && let Some(delta) = replicas[from].delta(since) {
                        replicas[to].apply_delta(now, delta);
                    }
                }
                Step::ExpireTombstones(replica) => replicas[replica].expire_tombstones(now, std::time::Duration::from_secs(5)),
            }
            for replica in &replicas {
                let Some(revision) = replica.revision() else { continue };
                prop_assert_eq!(replica.entries(), store.state_at(revision.number));
            }
        }
    }
}

fn watch(store: &Store, replica: &mut Registry, now: Timestamp) {
    let Some(from) = replica.revision() else {
        return;
    };
    let at = StoreRevision::without_era(store.revision);
    for (revision, id, change) in &store.history {
        if *revision <= from.number {
            continue;
        }
        let revision = StoreRevision::without_era(*revision);
        match change {
            Some(ready) => replica.upsert(revision, entry(*id, *ready)),
            None => replica.remove(now, revision, at, &BackEndId::new(format!("i-{id}"))),
        };
    }
    replica.advance_to(at);
}

impl Registry {
    /// Number and readiness of each entry, in the form of the model.
    fn entries(&self) -> BTreeSet<(u8, bool)> {
        let instances = self.instances();
        let numbered = instances.map(|instance| {
            let number = instance.id.as_str().trim_start_matches("i-").parse();
            let ready = instance.state == InstanceState::Ready;
            (number.expect("instance id without a number"), ready)
        });
        numbered.collect()
    }
}
