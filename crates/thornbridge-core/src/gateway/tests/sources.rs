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
                (Store::Forgets, _) => Err(SourceFailure::HistoryGone),
                (Store::Answers, SourceRead::List { .. }) => Ok(SourceReply::Page {
                    objects: Vec::new(),
                    next: None,
                    at: StoreRevision(revision),
                }),
                (Store::Answers, SourceRead::Watch { from, .. }) => {
                    prop_assert!(from.0 <= revision);
                    revision += 1;
                    Ok(SourceReply::Changes { objects: Vec::new(), at: StoreRevision(revision) })
                }
            };
            reader.replied(now, &mut random, &mut actions, read, result);
            prop_assert!(reader.next_timeout() <= now + parameters.watch_wait + parameters.read_timeout);
        }
    }
}
