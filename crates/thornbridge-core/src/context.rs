//! Context of an event: time, random numbers, and queues of actions and signals.

use crate::driver_action::Action;
use crate::signal::Signal;
use crate::time::Timestamp;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// Time of the event, random number generator, and output queues.
pub struct Context<'a> {
    /// Time of the event.
    pub now: Timestamp,
    /// The node's only random number generator.
    pub random: &'a mut Pcg64Mcg,
    pub(crate) actions: &'a mut VecDeque<Action>,
    pub(crate) signals: &'a mut VecDeque<Signal>,
}

impl<'a> Context<'a> {
    /// Creates a context with the given output queues.
    pub fn new(
        now: Timestamp,
        random: &'a mut Pcg64Mcg,
        actions: &'a mut VecDeque<Action>,
        signals: &'a mut VecDeque<Signal>,
    ) -> Self {
        Self {
            now,
            random,
            actions,
            signals,
        }
    }

    /// Queues an action for the driver.
    pub fn act(&mut self, action: Action) {
        self.actions.push_back(action);
    }

    /// Queues a signal for other parts of the node.
    pub fn signal(&mut self, signal: Signal) {
        self.signals.push_back(signal);
    }
}
