//! Reading the store: bounded in time, paused after failures, never two reads at once.

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

/// What the store does with a read.
#[derive(Clone, Copy, Debug)]
enum Store {
    Answers,
    Refuses,
    Forgets,
    IsSilent,
}

fn store() -> impl Strategy<Value = Store> {
    prop_oneof![
        Just(Store::Answers),
        Just(Store::Refuses),
        Just(Store::Forgets),
        Just(Store::IsSilent)
    ]
}

#[test]
fn readers_that_started_together_read_at_different_times_while_the_store_is_silent() {
    let mut starts: Vec<Timestamp> = Vec::new();
    // Two views of nine nodes.
    for seed in 0..18 {
        let mut reader = SourceReader::new(ViewKind::Registry, ViewParameters::default());
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut actions = VecDeque::new();
        let mut now = Timestamp::ZERO;
        while now.since_epoch() < Duration::from_secs(3) {
            reader.timer_due(now, &mut random, &mut actions);
            if !actions.is_empty() && now.since_epoch() >= Duration::from_secs(1) {
                starts.push(now);
            }
            actions.clear();
            now = reader.next_timeout();
        }
    }
    starts.sort();
    let gaps = starts.windows(2).map(|pair| pair[1].since(pair[0]));
    let longest = gaps.max().unwrap();
    assert!(
        longest <= Duration::from_millis(250),
        "none for {longest:?}"
    );
}

#[test]
fn the_last_of_many_readers_pause_longer_after_failures() {
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
    fn reads_are_bounded_whatever_the_store_does(behaviour in prop::collection::vec(store(), 1..60)) {
        let parameters = ViewParameters::default();
        let mut reader = SourceReader::new(ViewKind::Registry, parameters.clone());
        let mut random = Pcg64Mcg::seed_from_u64(3);
        let mut actions = VecDeque::new();
        let mut now = Timestamp::ZERO;
        let mut revision = 10;
        for step in behaviour {
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
            let result = match (step, what) {
                (Store::IsSilent, _) => continue,
                (Store::Refuses, _) => Err(SourceFailure::Refused),
                (Store::Forgets, _) => Err(SourceFailure::HistoryCompacted),
                (Store::Answers, SourceRead::List { .. }) => Ok(SourceReply::Page {
                    objects: Vec::new(),
                    next: None,
                    at: StoreRevision::without_era(revision),
                }),
                (Store::Answers, SourceRead::Watch { from, .. }) => {
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
