//! Store reader: timeouts, backoff after failures, at most one read in flight.

use crate::gateway::action::{GatewayAction, SourceRead};
use crate::gateway::event::{SourceFailure, SourceReply, ViewKind};
use crate::gateway::parameters::ViewParameters;
use crate::gateway::views::source::SourceReader;
use crate::time::Timestamp;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::time::Duration;
use thornbridge_proto::peer::view::StoreRevision;

/// Reaction of the store to a read.
#[derive(Clone, Copy, Debug)]
enum StoreBehavior {
    Answers,
    Refuses,
    CompactsHistory,
    TimesOut,
}

fn store_behavior() -> impl Strategy<Value = StoreBehavior> {
    prop_oneof![
        Just(StoreBehavior::Answers),
        Just(StoreBehavior::Refuses),
        Just(StoreBehavior::CompactsHistory),
        Just(StoreBehavior::TimesOut)
    ]
}

#[test]
fn retries_of_simultaneously_started_readers_are_spread() {
    let mut read_times: Vec<Timestamp> = Vec::new();
    // Nine nodes that read two views each.
    for seed in 0..18 {
        let mut reader = SourceReader::new(ViewKind::Registry, ViewParameters::default());
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut actions = VecDeque::new();
        let mut now = Timestamp::ZERO;
        while now.since_epoch() < Duration::from_secs(3) {
            reader.timer_due(now, &mut random, &mut actions);
            if !actions.is_empty() && now.since_epoch() >= Duration::from_secs(1) {
                read_times.push(now);
            }
            actions.clear();
            now = reader.next_timeout();
        }
    }
    read_times.sort();
    let gaps = read_times.windows(2).map(|pair| pair[1].since(pair[0]));
    let longest = gaps.max().unwrap();
    assert!(
        longest <= Duration::from_millis(250),
        "no read for {longest:?}"
    );
}

#[test]
fn higher_ranks_back_off_longer() {
    let reads = |rank: usize| {
        let mut reader = SourceReader::new(ViewKind::Registry, ViewParameters::default());
        reader.set_rank(rank);
        let mut random = Pcg64Mcg::seed_from_u64(1);
        let mut actions = VecDeque::new();
        let mut now = Timestamp::ZERO;
        let mut reads = 0;
        while now.since_epoch() < Duration::from_secs(20) {
            reader.timer_due(now, &mut random, &mut actions);
            reads += actions.len();
            actions.clear();
            now = reader.next_timeout();
        }
        reads
    };
    assert!(
        reads(40) * 3 < reads(0) * 2,
        "{} of {}",
        reads(40),
        reads(0)
    );
}

proptest! {
    #[test]
    fn at_most_one_read_in_flight_with_bounded_timeout(behaviors in prop::collection::vec(store_behavior(), 1..60)) {
        let parameters = ViewParameters::default();
        let mut reader = SourceReader::new(ViewKind::Registry, parameters.clone());
        let mut random = Pcg64Mcg::seed_from_u64(3);
        let mut actions = VecDeque::new();
        let mut now = Timestamp::ZERO;
        let mut revision = 10;
        for behavior in behaviors {
            now = now.max(reader.next_timeout());
            reader.timer_due(now, &mut random, &mut actions);
            let reads: Vec<(u64, SourceRead, Duration)> = actions
                .drain(..)
                .filter_map(|action| match action {
                    GatewayAction::Read { read, what, timeout, .. } => Some((read, what, timeout)),
                    _ => None,
                })
                .collect();
            prop_assert!(reads.len() <= 1, "{reads:?}");
            let Some((read, what, timeout)) = reads.first().cloned() else {
                continue;
            };
            prop_assert!(timeout <= parameters.watch_wait + parameters.read_timeout);
            let result = match (behavior, what) {
                (StoreBehavior::TimesOut, _) => continue,
                (StoreBehavior::Refuses, _) => Err(SourceFailure::Refused),
                (StoreBehavior::CompactsHistory, _) => Err(SourceFailure::HistoryCompacted),
                (StoreBehavior::Answers, SourceRead::List { .. }) => Ok(SourceReply::Page {
                    objects: Vec::new(),
                    next: None,
                    at: StoreRevision::without_era(revision),
                }),
                (StoreBehavior::Answers, SourceRead::Watch { from, .. }) => {
                    prop_assert!(from.number <= revision);
                    revision += 1;
                    Ok(SourceReply::Changes { objects: Vec::new(), at: StoreRevision::without_era(revision) })
                }
            };
            reader.replied(now, &mut random, &mut actions, read, result);
            prop_assert!(reader.next_timeout() <= now + parameters.watch_wait + parameters.read_timeout);
        }
    }
}
