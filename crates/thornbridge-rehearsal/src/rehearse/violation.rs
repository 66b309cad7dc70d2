//! A violation explained: the smallest run that still shows it, its last events, its command.

use super::options::RehearsalOptions;
use super::replay;
use crate::oracle::{Invariant, Violation};
use crate::simulator::{SimulationOutcome, SimulationSetup};
use std::fmt;
use std::time::Duration;

/// Most simulations that shrinking makes.
const MOST_TRIES: u32 = 24;
/// Loads that are tried, as a share of the given one.
const LOAD_STEPS: [f64; 3] = [0.1, 0.25, 0.5];
/// Shortest duration that is tried.
const LEAST_DURATION: Duration = Duration::from_secs(2);

/// The first violation of a rehearsal, shrunk.
#[derive(Clone, Debug, PartialEq)]
pub struct ViolationReport {
    /// The violation as first seen.
    pub first: Violation,
    /// Seed.
    pub seed: u64,
    /// The violation of the smallest run that shows the same invariant broken.
    pub smallest: Violation,
    /// The last events before it, in words.
    pub events: Vec<String>,
    /// The command that replays the smallest run.
    pub command: String,
}

impl fmt::Display for ViolationReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = |violation: &Violation| violation.at.since_epoch().as_secs_f64();
        writeln!(formatter, "violation of {}", self.first.invariant)?;
        writeln!(formatter, "  seed:     {}", self.seed)?;
        writeln!(formatter, "  time:     {:.6} s", seconds(&self.first))?;
        writeln!(formatter, "  event:    {}", self.first.event)?;
        writeln!(formatter, "  replay:   {}", self.command)?;
        writeln!(
            formatter,
            "  smallest: at {:.6} s: {}",
            seconds(&self.smallest),
            self.smallest.event
        )?;
        writeln!(formatter, "  last events:")?;
        for event in &self.events {
            writeln!(formatter, "    {event}")?;
        }
        Ok(())
    }
}

/// Explains the first violation of an outcome, where there is one.
pub(super) fn explain(
    options: &RehearsalOptions,
    setup: &SimulationSetup,
    outcome: &SimulationOutcome,
) -> Option<ViolationReport> {
    let first = outcome.log.details().first()?.clone();
    let mut search = Search {
        invariant: first.invariant,
        options: options.clone(),
        setup: setup.clone(),
        best: None,
        tries: 0,
    };
    search.shrink();
    let shown = search.best.unwrap_or_else(|| replay(setup));
    let smallest = shown.log.details().first()?.clone();
    Some(ViolationReport {
        seed: options.seed,
        first,
        smallest,
        events: shown.recent_events,
        command: search.options.command(),
    })
}

/// A greedy search for a smaller run that breaks the same invariant.
struct Search {
    invariant: Invariant,
    options: RehearsalOptions,
    setup: SimulationSetup,
    best: Option<SimulationOutcome>,
    tries: u32,
}

impl Search {
    fn shrink(&mut self) {
        self.drop_faults();
        self.drop_routine();
        self.drop_services();
        self.lower_load();
        self.shorten();
    }

    fn drop_faults(&mut self) {
        let mut position = 0;
        while position < self.options.faults.len() {
            let mut smaller = self.options.clone();
            smaller.faults.remove(position);
            if !self.attempt(smaller) {
                position += 1;
            }
        }
    }

    fn drop_routine(&mut self) {
        if self.options.routine {
            let mut smaller = self.options.clone();
            smaller.routine = false;
            self.attempt(smaller);
        }
    }

    fn drop_services(&mut self) {
        let services = self.setup.deployment.services.iter();
        let names: Vec<_> = services
            .map(|service| service.scenario.name.clone())
            .collect();
        for name in names {
            if self.options.services.len() == 1 {
                return;
            }
            let mut smaller = self.options.clone();
            smaller.services = vec![name];
            if self.attempt(smaller) {
                return;
            }
        }
    }

    fn lower_load(&mut self) {
        let load = self.options.load;
        for share in LOAD_STEPS {
            let mut smaller = self.options.clone();
            smaller.load = load * share;
            if self.attempt(smaller) {
                return;
            }
        }
    }

    fn shorten(&mut self) {
        while self.options.duration / 2 >= LEAST_DURATION {
            let mut smaller = self.options.clone();
            smaller.duration /= 2;
            if !self.attempt(smaller) {
                return;
            }
        }
    }

    /// Takes smaller options where they break the same invariant.
    fn attempt(&mut self, smaller: RehearsalOptions) -> bool {
        if self.tries >= MOST_TRIES {
            return false;
        }
        self.tries += 1;
        let Ok(mut setup) = super::prepare(&smaller) else {
            return false;
        };
        setup.sabotage = self.setup.sabotage;
        let outcome = replay(&setup);
        let first = outcome.log.details().first();
        if first.is_none_or(|violation| violation.invariant != self.invariant) {
            return false;
        }
        self.options = smaller;
        self.setup = setup;
        self.best = Some(outcome);
        true
    }
}
