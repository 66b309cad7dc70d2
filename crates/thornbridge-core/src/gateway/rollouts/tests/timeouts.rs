//! Times at which a roll-out is due.

use super::support::{at_ms, node, order};
use crate::gateway::budget::ServiceKey;
use crate::gateway::rollouts::orders::Orders;
use crate::gateway::rollouts::rollout::Rollout;
use thornbridge_proto::peer::rollout::{RolloutOrder, RolloutState};
use thornbridge_proto::peer::view::StoreRevision;

/// Guards against a decision that waits for the next report because another event came just after it was
/// due.
#[test]
fn what_is_due_stays_due_after_other_events() {
    let mut orders = Orders::default();
    let ordered = RolloutOrder {
        id: order(),
        period_ms: 12_000,
        revision: StoreRevision::without_era(7),
        state: Some(RolloutState::Serving),
        elapsed_ms: 0,
    };
    orders.upsert(at_ms(0), &ordered);
    let known = orders.get(&ordered.id.service).unwrap();
    let mut rollout = Rollout::new(order(), ServiceKey(0));
    rollout.set_members(node(0), &[node(0)]);
    rollout.advanced_at = at_ms(11_900);
    assert_eq!(rollout.next_timeout(known), Some(at_ms(12_000)));
    rollout.advanced_at = at_ms(12_010);
    assert_eq!(rollout.next_timeout(known), None);
}
