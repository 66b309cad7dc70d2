use super::parse_load;
use crate::gateway::headers::HeaderNames;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use thornbridge_core::gateway::ServerLoad;

fn names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("x-request"),
        caller_timeout: HeaderName::from_static("x-timeout"),
        expected_instance: HeaderName::from_static("x-instance"),
        signature: HeaderName::from_static("x-signature"),
        load: HeaderName::from_static("x-load"),
        not_run: HeaderName::from_static("x-not-run"),
        part_signatures: HeaderName::from_static("x-parts"),
        parts_missing: HeaderName::from_static("x-missing"),
    }
}

fn load(value: &'static str) -> Option<ServerLoad> {
    let names = names();
    let value = HeaderValue::from_static(value);
    let headers = HeaderMap::from_iter([(names.load.clone(), value)]);
    parse_load(&names, &headers)
}

fn reported(work_time_percent: Option<u32>) -> Option<ServerLoad> {
    Some(ServerLoad {
        running: 3,
        waiting: 0,
        slots: 8,
        work_time_percent,
    })
}

#[test]
fn a_load_of_three_figures_is_read() {
    assert_eq!(load("3,0,8"), reported(None));
}

#[test]
fn the_time_that_work_takes_is_the_fourth_figure() {
    assert_eq!(load("3, 0, 8, 140"), reported(Some(140)));
}

#[test]
fn an_unreadable_fourth_figure_leaves_the_others() {
    assert_eq!(load("3,0,8,much"), reported(None));
}

#[test]
fn figures_of_later_servers_are_ignored() {
    assert_eq!(load("3,0,8,100,7"), reported(Some(100)));
}

#[test]
fn a_load_that_lacks_a_figure_is_none() {
    assert_eq!(load("3,0"), None);
}
