use crate::limits::queue::{QueuedRequest, RequestQueue};
use crate::limits::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use thornbridge_proto::NodeId;

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    }
}

fn request(sequence: u64) -> RequestId {
    RequestId {
        node: NodeId(1),
        sequence,
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_epoch(Duration::from_millis(millis))
}

fn queued_request(sequence: u64, deadline: u64, predicted: u64) -> QueuedRequest {
    QueuedRequest {
        request: request(sequence),
        latest_start: at(deadline),
        deadline: at(deadline),
        predicted_run_time: Duration::from_millis(predicted),
        arrival: sequence,
    }
}

fn drain(queue: &mut RequestQueue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop())
        .map(|queued| queued.request.sequence)
        .collect()
}

proptest! {
    #![proptest_config(config())]

    /// Extra attempts never exceed the initial tokens plus the share of first attempts; a share of
    /// zero allows none.
    #[test]
    fn extra_attempts_stay_within_budget(
        share in prop_oneof![Just(0.0), 0.0..0.3f64],
        initial_tokens in 0..4u32,
        steps in prop::collection::vec(0..4u8, 1..400),
    ) {
        let parameters = ExtraLoadParameters {
            initial_tokens,
            ..ExtraLoadParameters::default()
        };
        let mut budget = ExtraLoadBudget::new(parameters, share);
        let initial = if share > 0.0 { f64::from(initial_tokens) } else { 0.0 };
        let mut first_attempts = 0u32;
        let mut extra_attempts = 0u32;
        for step in steps {
            match step {
                0 | 1 => { budget.record_first_attempt(); first_attempts += 1; }
                2 => extra_attempts += u32::from(budget.try_take(ExtraAttempt::Hedge)),
                _ => extra_attempts += u32::from(budget.try_take(ExtraAttempt::Retry)),
            }
            prop_assert!(
                f64::from(extra_attempts) <= initial + share * f64::from(first_attempts) + 1e-9
            );
        }
    }

    /// Guards the queue's order and its indexes against removals.
    #[test]
    fn queue_order_matches_a_sort(
        entries in prop::collection::vec((1..100u64, 1..100u64, any::<bool>()), 0..50),
        order in prop::sample::select(vec![
            QueueOrder::FirstCome, QueueOrder::EarliestDeadline, QueueOrder::ShortestPredictedTime,
        ]),
    ) {
        let mut queue = RequestQueue::new(order);
        let mut expected = Vec::new();
        for (index, (deadline, predicted, removed)) in entries.into_iter().enumerate() {
            let sequence = index as u64;
            queue.push(queued_request(sequence, deadline, predicted));
            if removed {
                prop_assert!(queue.remove(request(sequence)));
                continue;
            }
            let key = match order {
                QueueOrder::FirstCome => 0,
                QueueOrder::EarliestDeadline => deadline,
                QueueOrder::ShortestPredictedTime => predicted,
            };
            expected.push((key, sequence));
        }
        expected.sort_unstable();
        let expected: Vec<u64> = expected.into_iter().map(|(_, sequence)| sequence).collect();
        prop_assert_eq!(drain(&mut queue), expected);
        prop_assert_eq!(queue.next_expiry(), None);
    }
}

#[test]
fn shed_replies_deny_extra_attempts() {
    let mut budget = ExtraLoadBudget::new(ExtraLoadParameters::default(), 1.0);
    (0..100).for_each(|_| budget.record_first_attempt());
    assert!(budget.try_take(ExtraAttempt::Retry));
    (0..20).for_each(|_| budget.record_reply(true));
    assert!(!budget.try_take(ExtraAttempt::Retry));
    assert!(!budget.try_take(ExtraAttempt::Hedge));
    assert_eq!(budget.counters().denied_shedding, 2);
    (0..200).for_each(|_| budget.record_reply(false));
    assert!(budget.try_take(ExtraAttempt::Hedge));
}
