//! Properties of divided gathers: owner assignment, and answers under any order of events.

use super::support::{Harness, answer, gather, millis, peer, route};
use crate::driver_action::CallerId;
use crate::gateway::slices::assign_owners;
use crate::gateway::{GatewayAnswer, GatewayEvent};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thornbridge_config::routes::{Repeatability, RouteTarget};
use thornbridge_proto::byte_string::SharedBytes;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::slice::{ShardFailure, SliceMessage, SliceReport, SliceTask};

const SHARDS: usize = 30;
const PEERS: u8 = 12;
const RECORD_BYTES: usize = 16;

fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    }
}

fn addresses(count: usize) -> Vec<SocketAddr> {
    let hosts = 0..count;
    hosts
        .map(|host| SocketAddr::from(([10, 2, (host / 250) as u8, (host % 250) as u8], 7)))
        .collect()
}

proptest! {
    #![proptest_config(config(64))]

    #[test]
    fn groups_have_equally_many_owners(members in 1..300_usize, groups in 1..20_u64) {
        let members = addresses(members);
        let groups: Vec<u64> = (0..groups).map(|group| group * 7_919).collect();
        let owners = assign_owners(&members, &groups);
        let counts: Vec<usize> = owners.iter().map(Vec::len).collect();
        prop_assert_eq!(counts.iter().sum::<usize>(), members.len());
        let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
        prop_assert!(most - least <= 1, "{counts:?}");
    }

    #[test]
    fn assignment_is_independent_of_member_order(members in 1..100_usize, rotation in 0..100_usize) {
        let members = addresses(members);
        let mut rotated = members.clone();
        rotated.rotate_left(rotation % members.len());
        let groups: Vec<u64> = (0..13).map(|group| group * 104_729).collect();
        let owner_sets = |members: &[SocketAddr]| -> Vec<BTreeSet<SocketAddr>> {
            let owners = assign_owners(members, &groups);
            let sets = owners.iter().map(|group| group.iter().map(|owner| members[*owner]));
            sets.map(Iterator::collect).collect()
        };
        prop_assert_eq!(owner_sets(&members), owner_sets(&rotated));
    }
}

/// Event of a divided gather.
#[derive(Clone, Debug)]
enum Step {
    /// An owner reports `count` shards starting at index `from`.
    Report {
        task: usize,
        from: usize,
        count: usize,
    },
    /// An owner reports a shard as unsent.
    Unsent { task: usize, shard: usize },
    /// An owner refuses its task.
    Refuse { task: usize },
    /// The link to an owner breaks.
    LinkDown { task: usize },
    /// A server answers an attempt of this node.
    Reply { attempt: usize },
    /// Time passes.
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..12_usize, 0..8_usize, 1..9_usize)
            .prop_map(|(task, from, count)| Step::Report { task, from, count }),
        2 => (0..12_usize, 0..8_usize).prop_map(|(task, shard)| Step::Unsent { task, shard }),
        1 => (0..12_usize).prop_map(|task| Step::Refuse { task }),
        3 => (0..12_usize).prop_map(|task| Step::LinkDown { task }),
        4 => (0..60_usize).prop_map(|attempt| Step::Reply { attempt }),
        2 => (1..60_u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// The only record of a shard.
fn record_of(shard: &str) -> Vec<u8> {
    format!("{shard:>RECORD_BYTES$}").into_bytes()
}

struct DividedGather {
    harness: Harness,
    caller: CallerId,
    /// Shard indices already reported per task; an owner reports none twice.
    reported: Vec<BTreeSet<usize>>,
}

impl DividedGather {
    fn started() -> Self {
        let names: Vec<String> = (0..SHARDS).map(|shard| format!("shard-{shard}")).collect();
        let shards: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut target = gather(&shards, 0.3);
        if let RouteTarget::Gather(gather) = &mut target {
            gather.records = SHARDS;
        }
        let search = route("/search/", target, Repeatability::Repeatable);
        let servers: Vec<(&str, &str)> = shards.iter().map(|shard| (*shard, *shard)).collect();
        let mut harness = Harness::serving(vec![search], &servers);
        harness.join_peers_with_processor_share(0.02, PEERS);
        let caller = harness.send_request("/search/1");
        assert!(harness.tasks.len() > 1);
        Self {
            harness,
            caller,
            reported: vec![BTreeSet::new(); 64],
        }
    }

    fn task(&self, index: usize) -> (usize, SocketAddr, SliceTask) {
        let index = index % self.harness.tasks.len();
        let (owner, task) = self.harness.tasks[index].clone();
        (index, owner, task)
    }

    fn report(&mut self, owner: SocketAddr, task: &SliceTask, report: SliceReport) {
        let peers = (1..=PEERS).map(peer);
        let from: Option<PeerEndpoint> = peers.clone().find(|peer| peer.address == owner);
        let slice = task.slice;
        let message = SliceMessage::Report { slice, report };
        self.harness
            .slice_message(from.expect("a peer with this address"), message);
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Report { task, from, count } => {
                let (index, owner, task) = self.task(task);
                let indices = from..(from + count).min(task.shards.len());
                let unreported: Vec<usize> = indices
                    .filter(|shard| self.reported[index].insert(*shard))
                    .collect();
                let names = unreported.iter().map(|shard| task.shards[*shard].as_str());
                let mut records: Vec<Vec<u8>> = names.clone().map(record_of).collect();
                records.sort_by(|left, right| right.cmp(left));
                let signatures = names.map(|name| SharedBytes::from(name.as_bytes().to_vec()));
                let indices = unreported.iter().map(|shard| *shard as u16);
                let report = SliceReport {
                    answered: indices.zip(signatures).collect(),
                    records: records.concat().into(),
                    finished: self.reported[index].len() == task.shards.len(),
                    ..SliceReport::default()
                };
                self.report(owner, &task, report);
            }
            Step::Unsent { task, shard } => {
                let (index, owner, task) = self.task(task);
                // An unsent shard may still be reported as answered later.
                if shard < task.shards.len() && !self.reported[index].contains(&shard) {
                    let failed = vec![(shard as u16, ShardFailure::Unsent)];
                    let report = SliceReport {
                        failed,
                        ..SliceReport::default()
                    };
                    self.report(owner, &task, report);
                }
            }
            Step::Refuse { task } => {
                let (index, owner, task) = self.task(task);
                if self.reported[index].is_empty() {
                    let report = SliceReport {
                        refused: true,
                        finished: true,
                        ..SliceReport::default()
                    };
                    self.report(owner, &task, report);
                }
            }
            Step::LinkDown { task } => {
                let (_, address, _) = self.task(task);
                self.harness.event(GatewayEvent::PeerLinkDown { address });
            }
            Step::Reply { attempt } => {
                let sent = &self.harness.sent;
                if let Some(sent) = sent.get(attempt % sent.len().max(1)).cloned() {
                    let shard = sent.instance.clone();
                    let mut reply = answer(b"");
                    reply.signature = Some(shard.clone().into());
                    reply.body = record_of(&shard).into();
                    self.harness.reply(sent.attempt, reply);
                }
            }
            Step::Wait { millis: time } => self.harness.advance(millis(time)),
        }
    }

    /// Checks that the answer signs each part at most once, counts the missing parts, and holds
    /// exactly the records of the signed parts, greatest first.
    fn check(&self) -> Result<(), TestCaseError> {
        let Some(GatewayAnswer::Gathered {
            signatures,
            missing,
            records,
        }) = self.harness.answers.get(&self.caller)
        else {
            return Ok(());
        };
        let signed: BTreeSet<&[u8]> = signatures.iter().map(AsRef::as_ref).collect();
        prop_assert_eq!(signed.len(), signatures.len());
        prop_assert_eq!(signed.len() + missing, SHARDS);
        let names = signed.iter().map(|name| String::from_utf8_lossy(name));
        let mut expected: Vec<Vec<u8>> = names.map(|name| record_of(&name)).collect();
        expected.sort_by(|left, right| right.cmp(left));
        prop_assert_eq!(records.to_vec(), expected.concat());
        Ok(())
    }
}

proptest! {
    #![proptest_config(config(300))]

    #[test]
    fn answers_hold_exactly_the_records_of_signed_parts(
        steps in proptest::collection::vec(step(), 1..60)
    ) {
        let mut gather_run = DividedGather::started();
        for step in &steps {
            gather_run.apply(step);
            gather_run.check()?;
        }
        gather_run.harness.advance(millis(2_000));
        gather_run.check()?;
        prop_assert!(gather_run.harness.answers.contains_key(&gather_run.caller));
    }
}
