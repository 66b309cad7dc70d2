//! What holds for one service.

use super::{Findings, MAXIMUM_DEADLINE, MAXIMUM_PRIORITY, MAXIMUM_SHARDS, Unique};
use crate::bundle::{BackEnd, Completeness, Layout, Service, ServiceLimits};
use humantime::format_duration;
use std::collections::BTreeSet;
use std::time::Duration;
use thornbridge_proto::{BackEndId, LayoutId, SnapshotId};

pub(super) fn check(service: &Service, path: &str, findings: &mut Findings) {
    findings.check_name(format!("{path}.name"), service.name.as_str());
    if service.priority > MAXIMUM_PRIORITY {
        let expected = format!("0 to {MAXIMUM_PRIORITY}");
        findings.add(format!("{path}.priority"), service.priority, expected);
    }
    check_completeness(
        &service.completeness,
        &format!("{path}.completeness"),
        findings,
    );
    check_limits(&service.limits, &format!("{path}.limits"), findings);
    check_back_ends(&service.back_ends, &format!("{path}.back_ends"), findings);
    check_layouts(service, path, findings);
    check_snapshots(service, path, findings);
}

fn check_completeness(completeness: &Completeness, path: &str, findings: &mut Findings) {
    let target_path = format!("{path}.target");
    let deadline_path = format!("{path}.hard_deadline");
    check_deadline(completeness.target, &target_path, findings);
    check_deadline(completeness.hard_deadline, &deadline_path, findings);
    if completeness.target > completeness.hard_deadline {
        let deadline = format_duration(completeness.hard_deadline);
        findings.add_resting_on(
            target_path,
            format_duration(completeness.target),
            format!("at most the hard deadline, {deadline}"),
            vec![deadline_path],
        );
    }
    findings.check_fraction(
        format!("{path}.minimum_coverage"),
        completeness.minimum_coverage,
    );
}

fn check_deadline(deadline: Duration, path: &str, findings: &mut Findings) {
    if deadline.is_zero() || deadline > MAXIMUM_DEADLINE {
        let maximum = format_duration(MAXIMUM_DEADLINE);
        findings.add(
            path.to_owned(),
            format_duration(deadline),
            format!("more than 0 and at most {maximum}"),
        );
    }
}

fn check_limits(limits: &ServiceLimits, path: &str, findings: &mut Findings) {
    findings.check_fraction(format!("{path}.extra_load"), limits.extra_load);
    if limits.maximum_in_flight == 0 {
        findings.add(format!("{path}.maximum_in_flight"), 0, "at least 1");
    }
}

fn check_back_ends(back_ends: &[BackEnd], path: &str, findings: &mut Findings) {
    if back_ends.is_empty() {
        findings.add(path.to_owned(), "none", "at least one back end");
    }
    for (index, back_end) in back_ends.iter().enumerate() {
        let path = format!("{path}[{index}]");
        findings.check_name(format!("{path}.id"), back_end.id.as_str());
        findings.check_name(format!("{path}.zone"), back_end.zone.as_str());
        findings.check_address(format!("{path}.address"), back_end.address);
        if back_end.slots == 0 {
            findings.add(format!("{path}.slots"), 0, "at least 1");
        }
        if back_end.connections == 0 {
            findings.add(format!("{path}.connections"), 0, "at least 1");
        }
    }
}

fn check_layouts(service: &Service, path: &str, findings: &mut Findings) {
    let layouts_path = format!("{path}.layouts");
    if service.layouts.is_empty() {
        findings.add(layouts_path.clone(), "none", "at least one layout");
    }
    let mut ids = Unique::<LayoutId>::new();
    for (index, layout) in service.layouts.iter().enumerate() {
        let layout_path = format!("{layouts_path}[{index}]");
        findings.check_name(format!("{layout_path}.id"), layout.id.as_str());
        ids.check(findings, format!("{layout_path}.id"), &layout.id);
        check_shards(service, layout, path, &layout_path, findings);
    }
}

fn check_shards(
    service: &Service,
    layout: &Layout,
    service_path: &str,
    layout_path: &str,
    findings: &mut Findings,
) {
    let shards_path = format!("{layout_path}.shards");
    let count = layout.shards.len();
    if count == 0 || count > MAXIMUM_SHARDS {
        let expected = format!("1 to {MAXIMUM_SHARDS} shards");
        findings.add(shards_path.clone(), count, expected);
    }
    let known: BTreeSet<&BackEndId> = service.back_ends.iter().map(|one| &one.id).collect();
    for (shard, replicas) in layout.shards.iter().enumerate() {
        let path = format!("{shards_path}[{shard}]");
        if replicas.is_empty() {
            findings.add(path.clone(), "no replica", "at least one back end");
        }
        let mut unique = Unique::<BackEndId>::new();
        for (index, replica) in replicas.iter().enumerate() {
            let path = format!("{path}[{index}]");
            unique.check(findings, path.clone(), replica);
            if !known.contains(replica) {
                findings.add_resting_on(
                    path,
                    replica,
                    "the id of one of the service's back ends",
                    element_paths(service_path, "back_ends", service.back_ends.len()),
                );
            }
        }
    }
}

fn check_snapshots(service: &Service, path: &str, findings: &mut Findings) {
    let snapshots_path = format!("{path}.snapshots");
    if service.snapshots.is_empty() {
        findings.add(snapshots_path.clone(), "none", "at least one snapshot");
    }
    let mut ids = Unique::<SnapshotId>::new();
    for (index, snapshot) in service.snapshots.iter().enumerate() {
        let path_of = |key: &str| format!("{snapshots_path}[{index}].{key}");
        findings.check_name(path_of("id"), snapshot.id.as_str());
        ids.check(findings, path_of("id"), &snapshot.id);
        if service.layout_of(snapshot).is_none() {
            let known: Vec<&str> = service.layouts.iter().map(|one| one.id.as_str()).collect();
            findings.add_resting_on(
                path_of("layout"),
                &snapshot.layout,
                format!(
                    "the id of one of the service's layouts: {}",
                    known.join(", ")
                ),
                element_paths(path, "layouts", service.layouts.len()),
            );
        }
    }
}

/// Paths of the ids that a reference may mean, and of their list.
fn element_paths(service_path: &str, list: &str, count: usize) -> Vec<String> {
    let ids = (0..count).map(|index| format!("{service_path}.{list}[{index}].id"));
    ids.chain([format!("{service_path}.{list}")]).collect()
}
