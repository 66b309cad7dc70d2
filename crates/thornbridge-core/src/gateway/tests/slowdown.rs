//! Estimate of a server's slowdown.

use super::support::{instance, millis};
use crate::gateway::ServerParameters;
use crate::gateway::servers::{Placement, Selection, ServerKey, Servers};
use crate::gateway::telemetry::ViewOrigin;
use crate::time::Timestamp;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::peer::view::{InstanceState, StoreRevision};
use thornbridge_proto::{RegionName, ServiceName, ZoneName};

const WORK: Duration = Duration::from_millis(20);

/// One server and its observed processing times.
struct Observed {
    servers: Servers,
    key: ServerKey,
    now: Timestamp,
}

impl Observed {
    fn new() -> Self {
        let zone = ZoneName::new("zone");
        let region = RegionName::new("region");
        let placement = Placement {
            zone: zone.clone(),
            region: region.clone(),
            regions: BTreeMap::from([(zone, region)]),
        };
        let own = SocketAddr::from(([10, 0, 0, 9], 1));
        let mut servers = Servers::new(ServerParameters::default(), placement, own);
        let instance = instance("s1", "s", InstanceState::Ready);
        let mut actions = VecDeque::new();
        let now = Timestamp::ZERO;
        let origin = ViewOrigin::Store;
        servers.upsert_instance(
            now,
            &mut actions,
            &instance,
            StoreRevision::without_era(1),
            origin,
        );
        let service = servers.service_key(&ServiceName::new("s"));
        let mut random = Pcg64Mcg::seed_from_u64(1);
        let selection = Selection {
            service,
            work: WORK,
            excluded: &[],
            homes: &[],
        };
        let choice = servers.choose(now, &mut random, &selection);
        let key = choice.unwrap().server;
        Self { servers, key, now }
    }

    fn observe(&mut self, after: Duration, processing_time: Duration) {
        self.now = self.now + after;
        let parameters = self.servers.parameters.clone();
        let server = self.servers.get_mut(self.key).unwrap();
        server.observe_slowdown(&parameters, self.now, processing_time, WORK);
    }

    fn slowdown(&self) -> f64 {
        let server = self.servers.get(self.key).unwrap();
        server.slowdown(&self.servers.parameters, self.now)
    }
}

#[test]
fn two_consecutive_slow_answers_raise_slowdown_at_low_rate() {
    let mut observed = Observed::new();
    for _ in 0..10 {
        observed.observe(millis(800), WORK);
    }
    observed.observe(millis(800), WORK * 8);
    observed.observe(millis(800), WORK * 8);
    assert!(observed.slowdown() > 2.5, "{}", observed.slowdown());
}

#[test]
fn single_slow_answer_has_limited_effect() {
    let mut observed = Observed::new();
    observed.observe(millis(800), WORK);
    observed.observe(millis(800), WORK * 12);
    assert!(observed.slowdown() < 2.1, "{}", observed.slowdown());
    observed.observe(millis(800), WORK);
    assert!(observed.slowdown() < 1.3, "{}", observed.slowdown());
}

#[test]
fn single_slow_answer_has_little_weight_at_high_rate() {
    let mut observed = Observed::new();
    for _ in 0..50 {
        observed.observe(millis(50), WORK);
    }
    observed.observe(millis(50), WORK * 4);
    assert!(observed.slowdown() < 1.4, "{}", observed.slowdown());
}
