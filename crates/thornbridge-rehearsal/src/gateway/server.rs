//! A model of a server: slots, a queue, pauses, speed, and connections from everybody.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use thornbridge_core::{ConnectionId, Timestamp};
use thornbridge_proto::peer::view::{Instance, InstanceState};
use thornbridge_proto::{BackEndId, ServerVersion, ServiceName, ZoneName};

/// Requests that wait at most.
const QUEUE: usize = 12;
/// Speeds of servers, as factors on the work.
const SPEEDS: [f64; 3] = [0.8, 1.0, 1.3];
/// Factor on the work of a cold server.
const COLD_FACTOR: f64 = 1.6;
/// Time for which connections of a machine without power are kept.
const GHOST_LIFETIME: Duration = Duration::from_secs(15);

/// Whose connection: a run of a node.
pub(super) type Owner = (usize, u32);

/// How a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Condition {
    Up,
    /// Nothing listens there.
    Down,
    /// Nothing answers there.
    Dark,
    Ended,
}

/// One run of a server.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) id: BackEndId,
    pub(super) service: ServiceName,
    pub(super) zone: usize,
    pub(super) address: SocketAddr,
    pub(super) slots: u32,
    pub(super) condition: Condition,
    /// Factor of a fault on its work.
    pub(super) slow: f64,
    /// Share of the requests that it rejects though it is not full.
    pub(super) rejected_share: f64,
    /// It is slow until then, since it had nothing to do for a while.
    pub(super) cold_until: Timestamp,
    pub(super) draining: bool,
    /// Whether its entry says that it leaves; it just goes otherwise.
    pub(super) tells_leaving: bool,
    /// When the store acknowledged that it leaves.
    pub(super) leaving_since: Option<Timestamp>,
    pub(super) connections: BTreeSet<(Owner, ConnectionId)>,
    ghosts: Vec<Timestamp>,
    limit: usize,
    speed: f64,
    pause: (Duration, Duration),
    pause_offset: Duration,
    /// When each slot is free.
    busy_until: Vec<Timestamp>,
    /// Ends of the work that waits.
    starts: Vec<Timestamp>,
}

impl Server {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn new(
        random: &mut Pcg64Mcg,
        number: u32,
        service: ServiceName,
        zone: usize,
        slots: u32,
        limit: u32,
        pause: (Duration, Duration),
        address: Option<SocketAddr>,
    ) -> Self {
        let offset = pause.1.mul_f64(random.random_range(0.0..1.0));
        let host = Ipv4Addr::from(0x0a80_0000 + number);
        Self {
            id: BackEndId::new(format!("i-{number}")),
            service,
            zone,
            address: address.unwrap_or_else(|| SocketAddr::from((host, 8_080))),
            slots,
            condition: Condition::Up,
            slow: 1.0,
            rejected_share: 0.0,
            cold_until: Timestamp::ZERO,
            draining: false,
            tells_leaving: false,
            leaving_since: None,
            connections: BTreeSet::new(),
            ghosts: Vec::new(),
            limit: limit as usize,
            speed: SPEEDS[random.random_range(0..SPEEDS.len())],
            pause,
            pause_offset: offset,
            busy_until: vec![Timestamp::ZERO; slots as usize],
            starts: Vec::new(),
        }
    }

    pub(super) fn instance(&self) -> Instance {
        Instance {
            born_ms: 0,
            id: self.id.clone(),
            service: self.service.clone(),
            address: self.address,
            zone: ZoneName::new(format!("zone-{}", self.zone)),
            slots: self.slots,
            state: match self.draining {
                true => InstanceState::Draining,
                false => InstanceState::Ready,
            },
            version: ServerVersion::default(),
            cold_milliseconds: 0,
        }
    }

    /// Takes a connection; `false` where it has too many.
    pub(super) fn connect(&mut self, now: Timestamp, owner: Owner, id: ConnectionId) -> bool {
        self.ghosts.retain(|until| *until > now);
        if self.connections.len() + self.ghosts.len() >= self.limit {
            return false;
        }
        self.connections.insert((owner, id));
        true
    }

    /// A node ended; `power`: without a word.
    pub(super) fn owner_ended(&mut self, now: Timestamp, owner: Owner, power: bool) {
        let before = self.connections.len();
        self.connections.retain(|(other, _)| *other != owner);
        if power {
            let lost = before - self.connections.len();
            let until = now + GHOST_LIFETIME;
            self.ghosts.extend(std::iter::repeat_n(until, lost));
        }
    }

    /// Takes work; gives when it ends, or `None` where it is rejected.
    pub(super) fn work(
        &mut self,
        random: &mut Pcg64Mcg,
        now: Timestamp,
        work: Duration,
    ) -> Option<Timestamp> {
        self.starts.retain(|start| *start > now);
        let rejects = self.rejected_share > 0.0 && random.random_bool(self.rejected_share);
        if rejects || self.starts.len() >= QUEUE {
            return None;
        }
        let slot = self.busy_until.iter_mut().min()?;
        let start = (*slot).max(now);
        let spread: f64 = random.random_range(0.6..1.5);
        let cold = match now < self.cold_until {
            true => COLD_FACTOR,
            false => 1.0,
        };
        let work = work.mul_f64(self.speed * self.slow * cold * spread);
        let end = end_with_pauses(start, work, self.pause, self.pause_offset);
        *slot = end;
        if start > now {
            self.starts.push(start);
        }
        Some(end)
    }
}

/// The end of work that begins at `start`, when the server stands still once in each period.
fn end_with_pauses(
    start: Timestamp,
    work: Duration,
    (length, period): (Duration, Duration),
    offset: Duration,
) -> Timestamp {
    if length.is_zero() {
        return start + work;
    }
    let since = (start + offset).since_epoch().as_micros() % period.as_micros();
    let since = Duration::from_micros(since as u64);
    if since < length {
        // It stands still now.
        return start + (length - since) + work;
    }
    if since + work > period {
        return start + work + length;
    }
    start + work
}
