//! When each request is due and what it asks: fixed by the seed before anything is sent.

use super::options::LoadOptions;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// One request of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DueRequest {
    /// Count, from 0.
    pub number: u64,
    /// When it is due, after the start.
    pub due: Duration,
    /// Its service, by position in the options.
    pub service: usize,
    /// The node it goes to, by position in the options.
    pub node: usize,
}

/// All requests of a run in the order in which they are due. Arrivals are a Poisson process.
#[derive(Debug)]
pub struct Schedule {
    random: Pcg64Mcg,
    weights: Vec<f64>,
    nodes: u64,
    rate: f64,
    duration: Duration,
    due_seconds: f64,
    next_number: u64,
}

impl Schedule {
    /// The schedule of a run.
    pub fn new(options: &LoadOptions) -> Self {
        let weights = options.services.iter().map(|share| share.weight);
        Self {
            random: Pcg64Mcg::seed_from_u64(options.seed),
            weights: weights.collect(),
            nodes: options.nodes.len() as u64,
            rate: options.rate,
            duration: options.duration,
            due_seconds: 0.0,
            next_number: 0,
        }
    }

    fn draw_service(&mut self) -> usize {
        let total: f64 = self.weights.iter().sum();
        let mut left = self.random.random::<f64>() * total;
        let mut weights = self.weights.iter();
        let drawn = weights.position(|weight| {
            left -= weight;
            left < 0.0
        });
        drawn.unwrap_or(self.weights.len() - 1)
    }
}

impl Iterator for Schedule {
    type Item = DueRequest;

    fn next(&mut self) -> Option<DueRequest> {
        let uniform = 1.0 - self.random.random::<f64>();
        self.due_seconds -= uniform.ln() / self.rate;
        let due = Duration::from_secs_f64(self.due_seconds);
        if due >= self.duration {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        Some(DueRequest {
            number,
            due,
            service: self.draw_service(),
            node: (number % self.nodes) as usize,
        })
    }
}
