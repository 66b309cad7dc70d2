//! What grows with the number of gateways: peer traffic, connections and calls to the store, from
//! the start of all nodes on, without callers, in virtual time.
//!
//! `cargo bench -p thornbridge-rehearsal --bench fleet [-- 60 120 240]`. Bytes are those of encoded
//! peer messages.

use thornbridge_rehearsal::gateway::{GatewayReport, GatewayScenario, PeerTopic, Span, run};

const DEFAULT_SIZES: [u32; 3] = [60, 120, 240];
const TOPICS: [PeerTopic; 6] = [
    PeerTopic::Members,
    PeerTopic::Digests,
    PeerTopic::Configuration,
    PeerTopic::Registry,
    PeerTopic::Slices,
    PeerTopic::Other,
];

fn main() {
    let arguments = std::env::args().filter_map(|argument| argument.parse().ok());
    let mut sizes: Vec<u32> = arguments.collect();
    if sizes.is_empty() {
        sizes = DEFAULT_SIZES.to_vec();
    }
    let mut before: Option<(u32, GatewayReport)> = None;
    for nodes in sizes {
        let report = run(GatewayScenario::whole_fleet(1, nodes));
        print_report(nodes, &report);
        if let Some((fewer, smaller)) = &before {
            print_powers(nodes, &report, *fewer, smaller);
        }
        before = Some((nodes, report));
    }
}

fn print_report(nodes: u32, report: &GatewayReport) {
    let GatewayReport {
        opened,
        over_limit,
        store_calls,
        peer_messages,
        longest_activation,
        longest_leaving_known,
        ..
    } = report;
    println!(
        "{nodes} nodes: {opened} connections opened, {over_limit} reset, {store_calls} calls to the store, {peer_messages} messages"
    );
    println!(
        "  a version in force everywhere after {longest_activation:?}, a leaving server known after {longest_leaving_known:?}"
    );
    for span in [Span::Zone, Span::Zones, Span::Regions] {
        let bytes = TOPICS.map(|topic| (topic, report.bytes_across(span, &[topic])));
        println!("  bytes across {span:?}: {bytes:?}");
    }
}

/// Powers of the number of nodes with which all nodes' sums grew: 1 where a node's share stayed.
fn print_powers(nodes: u32, report: &GatewayReport, fewer: u32, smaller: &GatewayReport) {
    let times = f64::from(nodes) / f64::from(fewer);
    let power = |now: u64, then: u64| (now.max(1) as f64 / then.max(1) as f64).log(times);
    let across = |report: &GatewayReport| report.bytes_across(Span::Regions, &TOPICS);
    println!(
        "  powers: connections {:.2}, calls {:.2}, messages {:.2}, bytes between regions {:.2}",
        power(report.opened, smaller.opened),
        power(report.store_calls, smaller.store_calls),
        power(report.peer_messages, smaller.peer_messages),
        power(across(report), across(smaller)),
    );
}
