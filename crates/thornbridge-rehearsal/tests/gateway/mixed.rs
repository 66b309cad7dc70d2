//! Faults mixed by seeds.

use crate::support::sound;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use thornbridge_rehearsal::gateway::{GatewayFault, TimedFault};

/// Runs of one verdict; `THORNBRIDGE_LONG=1` makes them more.
pub fn runs() -> u64 {
    match std::env::var_os("THORNBRIDGE_LONG") {
        Some(_) => 200,
        None => 12,
    }
}

/// A fault of a deployment with this many nodes and servers.
fn draw(random: &mut Pcg64Mcg, nodes: usize, servers: usize) -> GatewayFault {
    let lasts = Duration::from_secs_f64(random.random_range(1.0..6.0));
    let node = random.random_range(0..nodes);
    let server = random.random_range(0..servers);
    let coin = random.random_bool(0.5);
    let share = random.random_range(0.01..0.05);
    match random.random_range(0..15) {
        0 => GatewayFault::StoreDown {
            lasts,
            silent: coin,
            lapse: random.random_bool(0.5),
        },
        1 => GatewayFault::StoreRefuses { node, lasts },
        2 => GatewayFault::HistoryGone {
            mute: Duration::from_secs(1),
        },
        3 => GatewayFault::AnswersLost { share: 0.3, lasts },
        4 | 5 => GatewayFault::NewVersion,
        6 => GatewayFault::Repartition,
        7 => GatewayFault::Replace {
            server,
            silent: coin,
        },
        8 => GatewayFault::Crash {
            server,
            lasts,
            dark: coin,
        },
        9 => GatewayFault::Slow {
            every: random.random_range(4..9),
            factor: 9.0,
            lasts,
        },
        10 => GatewayFault::ServersLoseAnswers { share, lasts },
        11 => GatewayFault::SpoiltAnswers { share, lasts },
        12 => GatewayFault::KillNode { node, lasts },
        13 => GatewayFault::CutFromPeers { node, lasts },
        _ => GatewayFault::Freeze { node, lasts },
    }
}

#[test]
fn mixes_of_faults_break_no_rule() {
    for seed in 0..runs() {
        sound(seed, draw_faults(1_000 + seed, 8, 45));
    }
}

/// A few faults at drawn times, with one repartition at most.
pub fn draw_faults(seed: u64, nodes: usize, servers: usize) -> Vec<TimedFault> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let count = random.random_range(2..6);
    let mut repartitioned = false;
    let mut faults = Vec::new();
    while faults.len() < count {
        let fault = draw(&mut random, nodes, servers);
        let repartition = fault == GatewayFault::Repartition;
        if repartition && repartitioned {
            continue;
        }
        repartitioned |= repartition;
        faults.push(TimedFault::at(random.random_range(0.5..14.0), fault));
    }
    faults
}
