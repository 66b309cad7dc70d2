//! Schedule of attempts to join the cluster.
//!
//! A node joins through its seeds, else through addresses from the platform's list of machines. A
//! joined node keeps contacting seeds that are not members, to merge clusters that formed
//! separately.

#[cfg(test)]
mod tests;

use super::MembershipParameters;
use crate::time::Timestamp;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// When and where to send the next
/// [`Join`](thornbridge_proto::peer::membership::MembershipMessage::Join).
#[derive(Debug)]
pub struct JoinSchedule {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    /// Addresses from the platform's list of machines.
    discovered: Vec<SocketAddr>,
    joined: bool,
    interval: Duration,
    next_attempt: Timestamp,
    list_interval: Duration,
    next_list_request: Timestamp,
}

impl JoinSchedule {
    /// Creates a schedule over the seeds, without the node's own address.
    pub fn new(parameters: &MembershipParameters, own: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        let mut seeds = seeds;
        seeds.retain(|address| *address != own);
        Self {
            own,
            seeds,
            discovered: Vec::new(),
            joined: false,
            interval: parameters.join_interval,
            next_attempt: Timestamp::ZERO,
            list_interval: parameters.machine_list_interval,
            next_list_request: Timestamp::MAX,
        }
    }

    /// Restarts joining, at the node's start or after the loss of all other members. The list of
    /// machines is requested only after a delay.
    pub fn restart(
        &mut self,
        parameters: &MembershipParameters,
        now: Timestamp,
        random: &mut impl Rng,
    ) {
        self.joined = false;
        self.interval = parameters.join_interval;
        self.next_attempt = now;
        self.list_interval = parameters.machine_list_interval;
        self.next_list_request = now + jittered(parameters.machine_list_delay, random);
    }

    /// Records that a peer sent its member list. Seeds that are not members are still contacted,
    /// with growing intervals, since nodes that joined through each other may have found no others.
    pub fn mark_joined(&mut self, parameters: &MembershipParameters, now: Timestamp) {
        if self.joined {
            return;
        }
        self.joined = true;
        self.discovered.clear();
        self.next_list_request = Timestamp::MAX;
        self.interval = parameters.join_interval;
        self.next_attempt = now + self.interval;
    }

    /// Whether this node joined long ago, so that the interval has reached its maximum. Seeds that
    /// are not members are then sent a digest instead of a join, since after a region split all
    /// nodes contact the same few seeds.
    pub fn is_at_maximum_interval(&self, parameters: &MembershipParameters) -> bool {
        self.joined && self.interval >= parameters.join_interval_maximum
    }

    /// Sets the addresses from the platform's list of machines, to try besides the seeds.
    pub fn set_discovered(&mut self, now: Timestamp, addresses: impl Iterator<Item = SocketAddr>) {
        if !self.joined {
            let own = self.own;
            self.discovered = addresses.filter(|address| *address != own).collect();
            self.next_attempt = now;
        }
    }

    /// Returns the address to contact now, if an attempt is due, and plans the next attempt. After
    /// joining, only seeds that are not members are contacted.
    pub fn next_address_due(
        &mut self,
        parameters: &MembershipParameters,
        now: Timestamp,
        random: &mut impl Rng,
        is_member: impl Fn(SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        if !self.has_addresses() || now < self.next_attempt {
            return None;
        }
        self.next_attempt = now + jittered(self.interval, random);
        self.interval = (self.interval * 2).min(parameters.join_interval_maximum);
        if self.joined {
            let non_member_seeds: Vec<SocketAddr> = self.non_member_seeds(is_member).collect();
            return non_member_seeds.choose(random).copied();
        }
        let use_discovered =
            !self.discovered.is_empty() && (self.seeds.is_empty() || random.random());
        let addresses = if use_discovered {
            &self.discovered
        } else {
            &self.seeds
        };
        addresses.choose(random).copied()
    }

    /// Whether to request the platform's list of machines now; plans the next request. Requests
    /// back off with jitter, since the platform serves only few readers.
    pub fn machine_list_due(
        &mut self,
        parameters: &MembershipParameters,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> bool {
        if self.joined || now < self.next_list_request {
            return false;
        }
        self.next_list_request = now + jittered(self.list_interval, random);
        self.list_interval = (self.list_interval * 2).min(parameters.machine_list_interval_maximum);
        true
    }

    /// When [`Self::next_address_due`] or [`Self::machine_list_due`] is to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let attempt = self.has_addresses().then_some(self.next_attempt);
        let list = (!self.joined).then_some(self.next_list_request);
        attempt.into_iter().chain(list).min()
    }

    fn non_member_seeds(
        &self,
        is_member: impl Fn(SocketAddr) -> bool,
    ) -> impl Iterator<Item = SocketAddr> {
        let seeds = self.seeds.iter().copied();
        seeds.filter(move |address| !is_member(*address))
    }

    fn has_addresses(&self) -> bool {
        !(self.seeds.is_empty() && self.discovered.is_empty())
    }
}

fn jittered(interval: Duration, random: &mut impl Rng) -> Duration {
    interval.mul_f64(random.random_range(0.75..1.25))
}
