//! Random faults over a cluster: generations never go back on any node (checked at each activation
//! by [`crate::cluster`]), and all nodes converge on the last generation after the faults.

use crate::cluster::{Cluster, Conditions, Host, roll_out, seconds};
use crate::sample;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const NODES: usize = 9;

#[derive(Clone, Debug)]
enum Fault {
    RollOut,
    Crash(Host),
    Pause(Host),
    ResumeAll,
    Leave(Host),
    DisconnectPlatform(Host),
    Split(bool),
    PlatformDown(bool),
    Compact,
    Loss(f64),
    ReplyLoss(f64),
    SilentWatches(bool),
    NewNode,
}

fn fault() -> impl Strategy<Value = Fault> {
    let host = 0..NODES;
    prop_oneof![
        6 => Just(Fault::RollOut),
        1 => host.clone().prop_map(Fault::Crash),
        2 => host.clone().prop_map(Fault::Pause),
        2 => Just(Fault::ResumeAll),
        1 => host.clone().prop_map(Fault::Leave),
        1 => host.prop_map(Fault::DisconnectPlatform),
        2 => any::<bool>().prop_map(Fault::Split),
        2 => any::<bool>().prop_map(Fault::PlatformDown),
        1 => Just(Fault::Compact),
        1 => (0.0..0.3).prop_map(Fault::Loss),
        1 => (0.0..0.5).prop_map(Fault::ReplyLoss),
        1 => any::<bool>().prop_map(Fault::SilentWatches),
        1 => Just(Fault::NewNode),
    ]
}

struct FaultHarness {
    cluster: Cluster,
    generation: u64,
}

impl FaultHarness {
    fn new(seed: u64) -> Self {
        let mut cluster = Cluster::new(seed, Conditions::default());
        roll_out(&mut cluster, sample::bundle("v1", &["search"]));
        cluster.start_many(NODES, 2, seconds(0.1));
        cluster.run(seconds(5.0));
        Self {
            cluster,
            generation: 1,
        }
    }

    /// Rolls out the next version. The store is always reachable for operators; the services vary.
    fn roll_out(&mut self) {
        self.generation += 1;
        let version = format!("v{}", self.generation);
        let services: &[&str] = match self.generation % 3 {
            0 => &["search"],
            1 => &["search", "cards"],
            _ => &["cards", "desk"],
        };
        roll_out(&mut self.cluster, sample::bundle(&version, services));
    }

    fn apply(&mut self, fault: &Fault) {
        let cluster = &mut self.cluster;
        match *fault {
            Fault::RollOut => self.roll_out(),
            Fault::Crash(host) => cluster.crash(host),
            Fault::Pause(host) => cluster.pause(host),
            Fault::ResumeAll => self.resume_all(),
            Fault::Leave(host) => cluster.leave(host),
            Fault::DisconnectPlatform(host) => cluster.processes[host].platform_unreachable = true,
            Fault::Split(split) => cluster.conditions.regions_split = split,
            Fault::PlatformDown(down) => cluster.set_platform_down(down),
            Fault::Compact => cluster.compact(),
            Fault::Loss(loss) => cluster.conditions.loss = loss,
            Fault::ReplyLoss(share) => cluster.conditions.reply_loss = share,
            Fault::SilentWatches(silent) => cluster.conditions.watches_silent = silent,
            Fault::NewNode => {
                let machine = cluster.processes.len();
                cluster.start(machine, machine % 2);
            }
        }
    }

    fn resume_all(&mut self) {
        for host in 0..self.cluster.processes.len() {
            if self.cluster.processes[host].paused {
                self.cluster.resume(host);
            }
        }
    }

    fn heal(&mut self) {
        self.cluster.conditions = Conditions::default();
        self.resume_all();
        for process in &mut self.cluster.processes {
            process.platform_unreachable = false;
        }
    }
}

fn config() -> Config {
    let long = std::env::var_os("THORNBRIDGE_LONG").is_some();
    Config {
        cases: if long { 2_000 } else { 24 },
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn generations_never_regress_and_converge_after_faults(
        seed in any::<u64>(),
        faults in prop::collection::vec((fault(), 0.0..6.0), 1..25),
    ) {
        let mut harness = FaultHarness::new(seed);
        for (fault, pause) in &faults {
            harness.apply(fault);
            harness.cluster.run(seconds(*pause));
        }
        harness.heal();
        // At least one running node is needed to read the platform.
        let machine = harness.cluster.processes.len();
        harness.cluster.start(machine, 0);
        let generation = harness.generation;
        let took = harness
            .cluster
            .run_until(seconds(120.0), |cluster| cluster.all_have(generation));
        prop_assert!(took.is_some(), "generation {} is not active on every node", generation);
    }
}
