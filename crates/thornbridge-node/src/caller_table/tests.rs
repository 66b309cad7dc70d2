use super::{Account, CallerTable, Evicted, Growth, Phase, Pool, RequestBody, TableLimits};
use assert_matches::assert_matches;
use bytes::Bytes;
use futures_util::FutureExt;
use proptest::prelude::*;
use std::sync::Arc;

const LIMITS: TableLimits = TableLimits {
    request_bytes: 100_000,
    answer_bytes: 50_000,
    socket_buffer_bytes: 100_000,
};
/// More than any test opens.
const MANY: usize = 1_000;

fn open(table: &Arc<CallerTable>) -> Account {
    let admitted = table.admit(MANY).now_or_never();
    admitted.expect("a place")
}

fn is_evicted(account: &Account) -> bool {
    account.evicted().now_or_never().is_some()
}

fn requests(table: &CallerTable) -> usize {
    table.usage().request_bytes
}

#[tokio::test]
async fn bytes_are_held_until_nothing_refers_to_them() {
    let table = CallerTable::new("tests", LIMITS);
    let account = open(&table);
    let reservation = account.reserve(Pool::Requests, 10_000).await;
    let bytes = reservation.expect("room").hold(Bytes::from("body"));
    let part = bytes.slice(1..2);
    drop((account, bytes));
    assert_eq!(requests(&table), 10_000);
    assert_eq!(table.open(), 0);
    drop(part);
    assert_eq!(requests(&table), 0);
    assert!(table.lock().accounts.is_empty());
}

#[tokio::test]
async fn longest_holder_gives_way_and_its_room_is_waited_for() {
    let table = CallerTable::new("tests", LIMITS);
    let oldest = open(&table);
    let held = oldest.reserve(Pool::Requests, 60_000).await.expect("room");
    let newer = open(&table);
    let _newer = newer.reserve(Pool::Requests, 30_000).await.expect("room");
    let newest = open(&table);
    let mut growing = Box::pin(newest.reserve(Pool::Requests, 60_000));
    assert!(growing.as_mut().now_or_never().is_none());
    assert!(is_evicted(&oldest));
    assert!(!is_evicted(&newer));
    drop(held);
    let _grown = growing.await.expect("room");
    assert_eq!(requests(&table), 90_000);
}

#[tokio::test]
async fn evicted_account_gets_no_more() {
    let table = CallerTable::new("tests", LIMITS);
    let account = open(&table);
    let _held = account.reserve(Pool::Requests, 90_000).await.expect("room");
    let other = open(&table);
    let mut waiting = Box::pin(other.reserve(Pool::Requests, 20_000));
    assert!(waiting.as_mut().now_or_never().is_none());
    assert!(is_evicted(&account));
    assert_matches!(account.reserve(Pool::Requests, 1).await, Err(Evicted));
}

/// A request within its own limits is served, however small the process's memory is.
#[tokio::test]
async fn single_account_may_exceed_the_limit() {
    let table = CallerTable::new("tests", LIMITS);
    let account = open(&table);
    let mut held = account.reserve(Pool::Requests, 90_000).await.expect("room");
    assert!(held.grow(90_000).await.is_ok());
    assert!(!is_evicted(&account));
}

#[tokio::test]
async fn requests_that_wait_for_answers_go_last() {
    let table = CallerTable::new("tests", LIMITS);
    let waiting = open(&table);
    let _waiting_body = waiting.reserve(Pool::Requests, 40_000).await.expect("room");
    waiting.set_phase(Phase::AwaitingAnswer);
    let sending = open(&table);
    let _sending_body = sending.reserve(Pool::Requests, 50_000).await.expect("room");
    let newest = open(&table);
    let mut growing = Box::pin(newest.reserve(Pool::Requests, 40_000));
    assert!(growing.as_mut().now_or_never().is_none());
    assert!(is_evicted(&sending));
    assert!(!is_evicted(&waiting));
}

#[tokio::test]
async fn place_is_freed_for_a_newcomer() {
    let table = CallerTable::new("tests", LIMITS);
    let oldest = open(&table);
    let newer = open(&table);
    let mut admitting = Box::pin(table.admit(2));
    assert!(admitting.as_mut().now_or_never().is_none());
    assert!(is_evicted(&oldest));
    assert!(!is_evicted(&newer));
    assert_eq!(table.open(), 2);
    drop(oldest);
    let _newcomer = admitting.await;
    assert_eq!(table.open(), 2);
    assert_eq!(table.usage().evicted, 1);
}

/// Few connections have large buffers, and as many as may be open stay within the limit together.
#[tokio::test]
async fn socket_buffers_stay_within_the_limit() {
    let table = CallerTable::new(
        "tests",
        TableLimits {
            socket_buffer_bytes: 1_000_000,
            ..LIMITS
        },
    );
    let mut accounts = Vec::new();
    for _ in 0..100 {
        accounts.push(table.admit(100).now_or_never().expect("a place"));
    }
    let sizes: Vec<usize> = accounts.iter().map(Account::socket_buffer_bytes).collect();
    assert!(sizes[0] > 5 * sizes[99]);
    // Two buffers, of which the system makes up to twice the size.
    assert!(sizes.iter().sum::<usize>() * 4 <= 1_000_000);
    let first = sizes[0];
    accounts.clear();
    let account = table.admit(100).now_or_never().expect("a place");
    assert_eq!(account.socket_buffer_bytes(), first);
}

/// Guards against buffers of pieces that hold many times the body.
#[tokio::test]
async fn body_in_small_pieces_holds_about_its_length() {
    let table = CallerTable::new("tests", LIMITS);
    let account = open(&table);
    for announced in [None, Some(60_000)] {
        let mut body = RequestBody::new(&account, 60_000, announced);
        for _ in 0..60_000 {
            body.push(Bytes::from_static(b"x")).await.expect("room");
        }
        assert_eq!(requests(&table), 60_000);
        assert_eq!(body.finish(), vec![b'x'; 60_000]);
        assert_eq!(requests(&table), 0);
    }
}

/// A step of the stateful test.
#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Grow { account: usize, bytes: usize },
    Serve { account: usize },
    Close { account: usize },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Open),
        (0..8_usize, 1..60_000_usize).prop_map(|(account, bytes)| Step::Grow { account, bytes }),
        (0..8_usize).prop_map(|account| Step::Serve { account }),
        (0..8_usize).prop_map(|account| Step::Close { account }),
    ]
}

/// What the oracle knows of an account: the bytes granted to it.
struct Known {
    account: Account,
    key: u64,
    granted_bytes: usize,
}

proptest! {
    /// What is held equals what was granted, exceeds the limit only for one holder alone, and an account
    /// that has to wait finds room once all evicted ones are closed.
    #[test]
    fn held_bytes_stay_within_the_limit(steps in prop::collection::vec(any_step(), 1..80)) {
        let table = CallerTable::new("tests", LIMITS);
        let mut known: Vec<Known> = Vec::new();
        for step in steps {
            match step {
                Step::Open => {
                    let account = open(&table);
                    let key = table.lock().next_key - 1;
                    known.push(Known { account, key, granted_bytes: 0 });
                }
                Step::Grow { account, bytes } => {
                    let Some(index) = account.checked_rem(known.len()) else { continue };
                    let key = known[index].key;
                    let mut growth = table.try_grow(key, Pool::Requests, bytes);
                    if growth == Growth::Wait {
                        known.retain(|one| {
                            let stays = !is_evicted(&one.account);
                            if !stays {
                                table.release(one.key, Pool::Requests, one.granted_bytes);
                            }
                            stays
                        });
                        growth = table.try_grow(key, Pool::Requests, bytes);
                        prop_assert_eq!(growth, Growth::Granted);
                    }
                    let grown = known.iter_mut().find(|one| one.key == key);
                    match (growth, grown) {
                        (Growth::Granted, Some(one)) => one.granted_bytes += bytes,
                        (_, one) => prop_assert!(one.is_some_and(|one| is_evicted(&one.account))),
                    }
                }
                Step::Serve { account } => {
                    let Some(index) = account.checked_rem(known.len()) else { continue };
                    known[index].account.set_phase(Phase::AwaitingAnswer);
                }
                Step::Close { account } => {
                    let Some(index) = account.checked_rem(known.len()) else { continue };
                    let one = known.swap_remove(index);
                    table.release(one.key, Pool::Requests, one.granted_bytes);
                }
            }
            let granted: usize = known.iter().map(|one| one.granted_bytes).sum();
            prop_assert_eq!(requests(&table), granted);
            let holders = known.iter().filter(|one| one.granted_bytes > 0).count();
            prop_assert!(granted <= LIMITS.request_bytes || holders == 1);
            prop_assert_eq!(table.open(), known.len());
        }
    }
}
