use super::*;
use crate::node::tests::world::Shape;
use thornbridge_config::bundle::CompletenessPolicy;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_epoch(Duration::from_millis(millis))
}

struct Fixture {
    active: Arc<ActiveConfiguration>,
    catalogue: SnapshotCatalogue,
}

impl Fixture {
    /// Two shards with two replicas each; snapshot `new` before `old`.
    fn new() -> Self {
        let mut shape = Shape::new(CompletenessPolicy::CoverageFirst);
        shape.shards = 2;
        shape.snapshots = vec!["new", "old"];
        Self {
            active: shape.active_configuration(),
            catalogue: SnapshotCatalogue::new(Duration::from_secs(1)),
        }
    }

    fn hold(&mut self, back_end: &str, snapshots: &[&str]) {
        let report = LoadReport {
            snapshots: Some(snapshots.iter().map(|id| SnapshotId::from(*id)).collect()),
            ..LoadReport::default()
        };
        self.catalogue.reported(&back_end.into(), &report);
    }

    fn plan(&mut self, now: Timestamp) -> Arc<ServicePlan> {
        let service = &self.active.bundle.services[0];
        self.catalogue.plan(now, &self.active, service).unwrap()
    }
}

#[test]
fn the_newest_snapshot_is_assumed_held_where_nothing_is_known() {
    let plan = Fixture::new().plan(at(0));
    assert_eq!(plan.snapshot.as_str(), "new");
    assert!(plan.holders.iter().all(|holders| holders.len() == 2));
}

#[test]
fn a_snapshot_is_used_once_each_shard_has_a_holder() {
    let mut fixture = Fixture::new();
    for back_end in ["s0r0", "s0r1", "s1r0", "s1r1"] {
        fixture.hold(back_end, &["old"]);
    }
    assert_eq!(fixture.plan(at(0)).snapshot.as_str(), "old");
    fixture.hold("s0r1", &["new", "old"]);
    assert_eq!(fixture.plan(at(0)).snapshot.as_str(), "old");
    fixture.hold("s1r0", &["new", "old"]);
    let plan = fixture.plan(at(0));
    assert_eq!(plan.snapshot.as_str(), "new");
    assert_eq!(plan.holders[0], vec![BackEndId::from("s0r1")]);
    assert_eq!(plan.holders[1], vec![BackEndId::from("s1r0")]);
}

#[test]
fn without_a_whole_snapshot_the_best_covered_is_used_and_of_equals_the_newest() {
    let mut fixture = Fixture::new();
    for back_end in ["s0r0", "s0r1"] {
        fixture.hold(back_end, &["new"]);
    }
    for back_end in ["s1r0", "s1r1"] {
        fixture.hold(back_end, &["old"]);
    }
    assert_eq!(fixture.plan(at(0)).snapshot.as_str(), "new");
    for back_end in ["s0r0", "s0r1"] {
        fixture.hold(back_end, &[]);
    }
    assert_eq!(fixture.plan(at(0)).snapshot.as_str(), "old");
}

#[test]
fn a_denial_holds_for_its_time_and_then_the_report_again() {
    let mut fixture = Fixture::new();
    fixture.hold("s0r0", &["new", "old"]);
    let denied = BackEndId::from("s0r0");
    fixture.catalogue.denied(at(0), &denied, &"new".into());
    fixture.hold("s0r0", &["new"]);
    assert_eq!(
        fixture.plan(at(999)).holders[0],
        vec![BackEndId::from("s0r1")]
    );
    assert_eq!(fixture.plan(at(1_000)).holders[0].len(), 2);
}

#[test]
fn a_plan_made_earlier_stays_as_it_is() {
    let mut fixture = Fixture::new();
    let earlier = fixture.plan(at(0));
    for back_end in ["s0r0", "s0r1", "s1r0", "s1r1"] {
        fixture.hold(back_end, &["old"]);
    }
    assert_eq!(earlier.snapshot.as_str(), "new");
    assert_eq!(earlier.holders[0].len(), 2);
    assert!(!Arc::ptr_eq(&earlier, &fixture.plan(at(0))));
}
