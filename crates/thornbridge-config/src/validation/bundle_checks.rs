//! What holds for a bundle as a whole.

use super::{Findings, Unique, connection_budget, service_checks};
use crate::bundle::{BUNDLE_FORMAT, Bundle};
use thornbridge_proto::{BackEndId, ServiceName};

pub(super) fn check(bundle: &Bundle, findings: &mut Findings) {
    check_header(bundle, findings);
    check_service_names(bundle, findings);
    check_back_ends_across_services(bundle, findings);
    for (index, service) in bundle.services.iter().enumerate() {
        let path = format!("services[{index}]");
        service_checks::check(service, &path, findings);
        connection_budget::check(service, &path, bundle.maximum_nodes, findings);
    }
}

fn check_header(bundle: &Bundle, findings: &mut Findings) {
    if bundle.format != BUNDLE_FORMAT {
        let expected = format!("{BUNDLE_FORMAT}, the only format");
        findings.add("format".to_owned(), bundle.format, expected);
    }
    findings.check_name("version".to_owned(), bundle.version.as_str());
    findings.check_name("deployment".to_owned(), &bundle.deployment);
    if bundle.maximum_nodes == 0 {
        findings.add("maximum_nodes".to_owned(), 0, "at least 1");
    }
    if bundle.services.is_empty() {
        findings.add("services".to_owned(), "none", "at least one service");
    }
}

fn check_service_names(bundle: &Bundle, findings: &mut Findings) {
    let mut names = Unique::<ServiceName>::new();
    for (index, service) in bundle.services.iter().enumerate() {
        let path = format!("services[{index}].name");
        names.check(findings, path, &service.name);
    }
}

fn check_back_ends_across_services(bundle: &Bundle, findings: &mut Findings) {
    let mut ids = Unique::<BackEndId>::new();
    let mut addresses = Unique::new();
    for (service_index, service) in bundle.services.iter().enumerate() {
        for (index, back_end) in service.back_ends.iter().enumerate() {
            let path = format!("services[{service_index}].back_ends[{index}]");
            ids.check(findings, format!("{path}.id"), &back_end.id);
            addresses.check(findings, format!("{path}.address"), &back_end.address);
        }
    }
}
