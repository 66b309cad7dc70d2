use super::*;
use crate::node::tests::harness::BundleSpec;
use thornbridge_config::bundle::CompletenessPolicy;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_epoch(Duration::from_millis(millis))
}

struct Fixture {
    active: Arc<ActiveConfiguration>,
    catalogue: SnapshotCatalogue,
}

impl Fixture {
    /// Two shards with two replicas each; snapshot `new` is preferred to `old`.
    fn new() -> Self {
        let mut spec = BundleSpec::new(CompletenessPolicy::CoverageFirst);
        spec.shards = 2;
        spec.snapshots = vec!["new", "old"];
        Self {
            active: spec.active_configuration(),
            catalogue: SnapshotCatalogue::new(Duration::from_secs(1)),
        }
    }

    fn report_snapshots(&mut self, back_end: &str, snapshots: &[&str]) {
        let report = LoadReport {
            snapshots: Some(snapshots.iter().map(|id| SnapshotId::from(*id)).collect()),
            ..LoadReport::default()
        };
        self.catalogue.apply_load_report(&back_end.into(), &report);
    }

    fn plan(&mut self, now: Timestamp) -> Arc<ServicePlan> {
        let service = &self.active.bundle.services[0];
        self.catalogue.plan(now, &self.active, service).unwrap()
    }
}

#[test]
fn newest_snapshot_is_assumed_held_without_reports() {
    let plan = Fixture::new().plan(at(0));
    assert_eq!(plan.snapshot.as_str(), "new");
    assert!(plan.holders.iter().all(|holders| holders.len() == 2));
}

#[test]
fn snapshot_is_used_once_each_shard_has_holder() {
    let mut fixture = Fixture::new();
    for back_end in ["s0r0", "s0r1", "s1r0", "s1r1"] {
        fixture.report_snapshots(back_end, &["old"]);
    }
    assert_eq!(fixture.plan(at(0)).snapshot.as_str(), "old");
    fixture.report_snapshots("s0r1", &["new", "old"]);
    assert_eq!(fixture.plan(at(0)).snapshot.as_str(), "old");
    fixture.report_snapshots("s1r0", &["new", "old"]);
    let plan = fixture.plan(at(0));
    assert_eq!(plan.snapshot.as_str(), "new");
    assert_eq!(plan.holders[0], vec![BackEndId::from("s0r1")]);
    assert_eq!(plan.holders[1], vec![BackEndId::from("s1r0")]);
}

#[test]
fn snapshot_with_best_coverage_is_used_newest_first() {
    let mut fixture = Fixture::new();
    for back_end in ["s0r0", "s0r1"] {
        fixture.report_snapshots(back_end, &["new"]);
    }
    for back_end in ["s1r0", "s1r1"] {
        fixture.report_snapshots(back_end, &["old"]);
    }
    assert_eq!(fixture.plan(at(0)).snapshot.as_str(), "new");
    for back_end in ["s0r0", "s0r1"] {
        fixture.report_snapshots(back_end, &[]);
    }
    assert_eq!(fixture.plan(at(0)).snapshot.as_str(), "old");
}

#[test]
fn not_held_reply_overrides_report_until_expiry() {
    let mut fixture = Fixture::new();
    fixture.report_snapshots("s0r0", &["new", "old"]);
    let back_end = BackEndId::from("s0r0");
    fixture
        .catalogue
        .record_not_held(at(0), &back_end, &"new".into());
    fixture.report_snapshots("s0r0", &["new"]);
    assert_eq!(
        fixture.plan(at(999)).holders[0],
        vec![BackEndId::from("s0r1")]
    );
    assert_eq!(fixture.plan(at(1_000)).holders[0].len(), 2);
}

#[test]
fn existing_plan_is_not_changed_by_reports() {
    let mut fixture = Fixture::new();
    let earlier = fixture.plan(at(0));
    for back_end in ["s0r0", "s0r1", "s1r0", "s1r1"] {
        fixture.report_snapshots(back_end, &["old"]);
    }
    assert_eq!(earlier.snapshot.as_str(), "new");
    assert_eq!(earlier.holders[0].len(), 2);
    assert!(!Arc::ptr_eq(&earlier, &fixture.plan(at(0))));
}
