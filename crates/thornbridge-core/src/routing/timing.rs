//! Timers of the router.

use super::Router;
use crate::context::Context;
use crate::time::Timestamp;

impl Router {
    /// Time at which [`Self::timer_due`] is to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let timeouts = [
            self.attempts.next_timeout(),
            self.reconnects.first().map(|(time, _)| *time),
            self.warm_up_due,
            self.housekeeping_due,
            self.subset_state.due,
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Runs due timers. Waiting attempts whose deadline has passed are returned by
    /// [`Self::poll_finished`].
    pub fn timer_due(&mut self, context: &mut Context<'_>) {
        while let Some(attempt) = self.attempts.next_expired(context.now) {
            self.expire(context, attempt);
        }
        while let Some(attempt) = self.attempts.next_unanswered_cancellation(context.now) {
            self.abandon(context, attempt);
        }
        self.reconnect(context);
        self.warm_up(context);
        if is_due(self.subset_state.due, context.now) {
            self.subset_state.due = None;
            self.advance_subset(context);
        }
        if is_due(self.housekeeping_due, context.now) {
            self.housekeeping_due = Some(context.now + self.parameters.housekeeping_interval);
            self.run_housekeeping(context);
        }
    }

    fn reconnect(&mut self, context: &mut Context<'_>) {
        while let Some((time, index)) = self.reconnects.first().copied() {
            if time > context.now {
                return;
            }
            self.reconnects.pop_first();
            self.open_warm_connections(context, index);
            self.open_for_waiting(context, index);
        }
    }

    fn warm_up(&mut self, context: &mut Context<'_>) {
        if !is_due(self.warm_up_due, context.now) {
            return;
        }
        for _ in 0..self.parameters.connections.warm_up_batch {
            let Some(index) = self.warm_up.pop_front() else {
                break;
            };
            self.open_warm_connections(context, index);
        }
        let interval = self.parameters.connections.warm_up_interval;
        self.warm_up_due = (!self.warm_up.is_empty()).then_some(context.now + interval);
    }
}

fn is_due(due: Option<Timestamp>, now: Timestamp) -> bool {
    due.is_some_and(|due| due <= now)
}
