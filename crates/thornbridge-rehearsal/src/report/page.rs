//! The page: tables of the report, and the plots.

use crate::rehearse::RehearsalReport;
use std::fmt::Write as _;

/// File of the plot of back ends' load.
pub const LOAD_FILE: &str = "load.svg";

const STYLE: &str = "body{font-family:sans-serif;max-width:60em;margin:2em auto;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:.3em .6em;\
text-align:right}td:first-child,th:first-child{text-align:left}.violated{background:#fbb}\
img{max-width:100%;display:block;margin:1em 0}";

/// File of a service's latency plot.
pub fn latency_file(service: &str) -> String {
    format!("latency-{service}.svg")
}

/// File of a service's coverage plot.
pub fn coverage_file(service: &str) -> String {
    format!("coverage-{service}.svg")
}

/// The page of a report, with these plots in their order.
pub fn html(report: &RehearsalReport, plots: &[&str]) -> String {
    let title = format!(
        "{} under policy {}, seed {}",
        escape(&report.deployment),
        escape(&report.policy),
        report.seed,
    );
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style></head><body>\n<h1>{title}</h1>\n"
    );
    let _ = writeln!(
        page,
        "<p>{} queries and {} actions offered; trace digest <code>{}</code>.</p>",
        report.queries,
        report.actions,
        escape(&report.trace_digest),
    );
    page.push_str(&services(report));
    page.push_str(&control(report));
    page.push_str(&checks(report));
    for plot in plots {
        let name = escape(plot);
        let _ = writeln!(page, "<img src=\"{name}\" alt=\"{name}\">");
    }
    page.push_str("</body></html>\n");
    page
}

fn services(report: &RehearsalReport) -> String {
    let mut table = String::from(
        "<h2>Services</h2>\n<table><tr><th>service</th><th>p50, ms</th><th>p99, ms</th>\
         <th>p99.9, ms</th><th>lower bound p99, ms</th><th>mean coverage</th><th>least coverage</th>\
         <th>extra load</th><th>refused</th><th>failed</th></tr>\n",
    );
    for (name, service) in &report.services {
        let bound = report.oracle_lower_bound.get(name);
        let bound = bound.map_or(String::new(), |bound| format!("{:.1}", bound.p99_ms));
        let _ = writeln!(
            table,
            "<tr><td>{}</td><td>{:.1}</td><td>{:.1}</td><td>{:.1}</td><td>{bound}</td>\
             <td>{:.5}</td><td>{:.3}</td><td>{:.4}</td><td>{}</td><td>{}</td></tr>",
            escape(name),
            service.p50_ms,
            service.p99_ms,
            service.p999_ms,
            service.coverage_mean,
            service.coverage_min,
            service.extra_load,
            service.refused,
            service.failed,
        );
    }
    table + "</table>\n"
}

fn control(report: &RehearsalReport) -> String {
    let control = &report.control;
    format!(
        "<h2>Control</h2>\n<p>{} nodes; {:.0} bytes a second and {:.5} of a core a node; \
         {:.0} bytes of state a node; a configuration was in force everywhere within {:.2} s.</p>\n",
        control.nodes,
        control.bytes_per_second_per_node,
        control.cpu_fraction_per_node,
        control.memory_bytes_per_node,
        control.configuration_seconds_max,
    )
}

fn checks(report: &RehearsalReport) -> String {
    let mut table = String::from(
        "<h2>Invariants</h2>\n<table><tr><th>invariant</th><th>checks</th><th>violations</th></tr>\n",
    );
    for (name, checks) in &report.checks {
        let violations = report.violations.get(name).copied().unwrap_or(0);
        let class = if violations > 0 {
            " class=\"violated\""
        } else {
            ""
        };
        let _ = writeln!(
            table,
            "<tr{class}><td>{}</td><td>{checks}</td><td>{violations}</td></tr>",
            escape(name),
        );
    }
    table + "</table>\n"
}

/// Text that may stand in HTML, also in an attribute.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
