//! Faults at work.

use super::crashing::Crashing;
use super::{Occurrence, World};
use crate::gateway::fault::GatewayFault;
use crate::gateway::network::PeerLag;
use crate::gateway::server::Condition;
use crate::gateway::store::StoreCondition;
use std::time::Duration;
use thornbridge_core::Timestamp;
use thornbridge_core::gateway::{ExchangeFailure, GatewayEvent, SourceFailure};
use thornbridge_proto::{ServiceName, ZoneName};

/// Time from the start of new shards to the version that names them.
const REPARTITION_AFTER: Duration = Duration::from_millis(3_200);
/// Time that a leaving server still serves beyond its time to drain.
const STAYS_LONGER: Duration = Duration::from_millis(500);
/// Time after which the operator gives an order again that the store did not take.
const ORDER_AGAIN: Duration = Duration::from_millis(200);
/// Time for which the entry of a server stays that does not write: three heartbeats.
pub(super) const ENTRY_KEPT: Duration = Duration::from_millis(3_600);
/// Time for which the servers of a zone are slow after its evacuation.
const COLD_AFTER_EVACUATION: Duration = Duration::from_secs(3);

/// A later step of a fault.
#[derive(Clone, Debug)]
pub(super) enum FaultStep {
    StoreUp { lapse: bool },
    StoreRestored { made_by: Timestamp },
    WriteAgain,
    UnwrittenLapse,
    StoreMuteEnds,
    AnswersKept,
    NameShards,
    OldShardsLeave,
    Leave { server: usize, silent: bool },
    EndServer(usize),
    CrashedReturns(usize),
    TakeAddress { server: usize, service: ServiceName },
    NotSlow(Vec<usize>),
    NoneReject,
    AnswersArrive,
    AnswersSound,
    StartAgain(usize),
    RemoveEntry(usize),
    AskCrashing(Crashing),
    CrashUnder { server: usize, request: u64 },
    Evacuate(usize),
    EvacuationOver(usize),
}

impl World {
    pub(super) fn begin_fault(&mut self, index: usize) {
        let fault = self.scenario.faults[index].fault.clone();
        self.last_fault = self.last_fault.max(self.now);
        match fault {
            GatewayFault::StoreDown {
                lasts,
                silent,
                lapse,
            } => self.store_down(lasts, silent, lapse),
            GatewayFault::StoreRestored {
                lasts,
                copy_age,
                written_after,
            } => self.store_restored(lasts, copy_age, written_after),
            GatewayFault::StoreRefuses { node, lasts } => {
                self.machines[node].refused_until = self.now + lasts;
            }
            GatewayFault::HistoryGone { mute } => {
                self.store.mute(self.now, mute);
                self.store_disturbed(mute);
                self.later(mute, FaultStep::StoreMuteEnds);
            }
            GatewayFault::AnswersLost { share, lasts } => {
                self.store.lost_share = share;
                self.store_disturbed(lasts);
                self.later(lasts, FaultStep::AnswersKept);
            }
            GatewayFault::NewVersion => self.put_version(self.generation),
            GatewayFault::Repartition => {
                self.start_shards(self.generation + 1);
                self.later(REPARTITION_AFTER, FaultStep::NameShards);
            }
            GatewayFault::Replace { server, silent } => self.replace(server, silent),
            GatewayFault::Crash {
                server,
                lasts,
                dark,
            } => self.crash(server, lasts, dark),
            GatewayFault::ReuseAddresses {
                servers,
                service,
                after,
            } => self.reuse_addresses(&servers, &service, after),
            GatewayFault::Slow {
                every,
                factor,
                lasts,
            } => self.slow(every, factor, lasts),
            GatewayFault::Reject {
                spared_each,
                share,
                lasts,
            } => self.reject(spared_each, share, lasts),
            GatewayFault::ServersLoseAnswers { share, lasts } => {
                self.answers_lost_share = share;
                self.later(lasts, FaultStep::AnswersArrive);
            }
            GatewayFault::SpoiltAnswers { share, lasts } => {
                self.spoilt_share = share;
                self.later(lasts, FaultStep::AnswersSound);
            }
            GatewayFault::KillNode { node, lasts } => {
                self.end_node(node, false);
                self.later(lasts, FaultStep::StartAgain(node));
            }
            GatewayFault::PowerOff { lasts } => self.power_off(lasts),
            GatewayFault::CutFromPeers { node, lasts } => {
                self.machines[node].cut_from_peers_until = self.now + lasts;
            }
            GatewayFault::PeerLag { most, lasts } => self.lag_peers(most, lasts),
            GatewayFault::ServerConnectionsSilent => self.silence_server_connections(),
            GatewayFault::CrashingRequest {
                load,
                every,
                lasts,
                away,
            } => self.crashing_request_comes(load, every, lasts, away),
            GatewayFault::CallersMove { first_zone_share } => {
                self.scenario.first_zone_share = Some(first_zone_share);
            }
            GatewayFault::Freeze { node, lasts } => self.freeze(node, lasts),
            GatewayFault::Evacuate { zone, lasts } => {
                self.set_evacuated(zone, true);
                self.later(lasts, FaultStep::EvacuationOver(zone));
            }
        }
    }

    pub(super) fn store_down(&mut self, lasts: Duration, silent: bool, lapse: bool) {
        self.store.condition = match silent {
            true => StoreCondition::Silent,
            false => StoreCondition::Refusing,
        };
        self.store_disturbed(lasts);
        if !silent {
            self.cut_watches();
        }
        self.later(lasts, FaultStep::StoreUp { lapse });
    }

    /// Orders that a zone is evacuated, or takes that back, once the store can take it.
    fn set_evacuated(&mut self, zone: usize, evacuated: bool) {
        let step = match evacuated {
            true => FaultStep::Evacuate(zone),
            false => FaultStep::EvacuationOver(zone),
        };
        if self.store.condition != StoreCondition::Up {
            self.later(ORDER_AGAIN, step);
            return;
        }
        let name = ZoneName::new(format!("zone-{zone}"));
        self.store.set_evacuated(name, evacuated);
        match evacuated {
            true => self.evacuated_since.insert(zone, self.now),
            false => self.evacuated_since.remove(&zone),
        };
        self.tell_watches();
        if evacuated {
            return;
        }
        let servers = self.servers.iter_mut();
        for server in servers.filter(|server| server.zone == zone) {
            server.cold_until = self.now + COLD_AFTER_EVACUATION;
        }
    }

    fn power_off(&mut self, lasts: Duration) {
        for node in 0..self.machines.len() {
            self.end_node(node, true);
            let jitter = Duration::from_millis(30 * node as u64);
            self.later(lasts + jitter, FaultStep::StartAgain(node));
        }
    }

    fn lag_peers(&mut self, most: Duration, lasts: Duration) {
        let until = self.now + lasts;
        self.peer_lag = PeerLag { until, most };
        // Links that are harmed excuse bounds on time, and nothing else.
        for machine in &mut self.machines {
            machine.disturbed = machine.disturbed.max(until);
        }
    }

    fn freeze(&mut self, node: usize, lasts: Duration) {
        let until = self.now + lasts;
        let machine = &mut self.machines[node];
        machine.frozen_until = until;
        machine.disturbed = machine.disturbed.max(until);
        let life = machine.life;
        let paused = Box::new(GatewayEvent::Paused { duration: lasts });
        self.schedule(lasts, Occurrence::ToNode(node, life, paused));
    }

    pub(super) fn later(&mut self, after: Duration, step: FaultStep) {
        self.last_fault = self.last_fault.max(self.now + after);
        self.schedule(after, Occurrence::FaultStep(step));
    }

    fn store_disturbed(&mut self, lasts: Duration) {
        self.store_disturbed = self.store_disturbed.max(self.now + lasts);
    }

    pub(super) fn fault_step(&mut self, step: FaultStep) {
        match step {
            FaultStep::StoreUp { lapse } => {
                self.store.condition = StoreCondition::Up;
                if lapse {
                    self.store.lapse();
                }
                self.tell_watches();
            }
            FaultStep::StoreRestored { made_by } => self.store.restore(made_by),
            FaultStep::WriteAgain => self.write_again(),
            FaultStep::UnwrittenLapse => self.unwritten_lapse(),
            FaultStep::StoreMuteEnds => {
                self.store.forget_history();
                self.cut_watches();
            }
            FaultStep::AnswersKept => self.store.lost_share = 0.0,
            FaultStep::NameShards => {
                let old = self.generation;
                self.put_version(old + 1);
                let after = self.scenario.apply;
                self.later(after, FaultStep::OldShardsLeave);
            }
            FaultStep::OldShardsLeave => self.old_shards_leave(),
            FaultStep::Leave { server, silent } => self.leave(server, silent),
            FaultStep::EndServer(server) => self.end_server(server),
            FaultStep::CrashedReturns(server) => self.crashed_returns(server),
            FaultStep::TakeAddress { server, service } => self.take_address(server, service),
            FaultStep::NotSlow(servers) => {
                for server in servers {
                    self.servers[server].slow = 1.0;
                }
            }
            FaultStep::NoneReject => self.set_rejected_share(1, 0.0),
            FaultStep::AnswersArrive => self.answers_lost_share = 0.0,
            FaultStep::AnswersSound => self.spoilt_share = 0.0,
            FaultStep::AskCrashing(crashing) => self.ask_crashing(crashing),
            FaultStep::CrashUnder { server, request } => self.crash_under(server, request),
            FaultStep::StartAgain(node) => self.start_node(node),
            FaultStep::Evacuate(zone) => self.set_evacuated(zone, true),
            FaultStep::EvacuationOver(zone) => self.set_evacuated(zone, false),
            FaultStep::RemoveEntry(server) => {
                let id = self.servers[server].id.clone();
                self.store.remove_server(&id);
                self.tell_watches();
            }
        }
    }

    /// Waiting watches are cut off.
    fn cut_watches(&mut self) {
        for (node, life, kind, read, _) in std::mem::take(&mut self.watches) {
            let event = GatewayEvent::SourceReplied {
                kind,
                read,
                result: Err(SourceFailure::Unreachable),
            };
            let arrival = Occurrence::ToNode(node, life, Box::new(event));
            self.schedule(Duration::from_millis(1), arrival);
        }
    }

    fn silence_server_connections(&mut self) {
        for (node, machine) in self.machines.iter_mut().enumerate() {
            let connections = machine.connections.keys();
            let silent = connections.map(|connection| (node, machine.life, *connection));
            self.silent.extend(silent);
            // As a reset of its connections.
            machine.disturbed = machine.disturbed.max(self.now);
        }
    }

    fn replace(&mut self, server: usize, silent: bool) {
        let service = self.servers[server].service.clone();
        let zone = self.servers[server].zone;
        self.start_server(service, zone, None);
        let after = Duration::from_millis(1_000);
        self.later(after, FaultStep::Leave { server, silent });
    }

    fn leave(&mut self, server: usize, silent: bool) {
        let leaving = &mut self.servers[server];
        if leaving.condition == Condition::Ended {
            return;
        }
        leaving.leaving_since = Some(self.now);
        leaving.draining = true;
        leaving.tells_leaving = !silent;
        let instance = leaving.instance();
        match silent {
            true => self.store.remove_server(&instance.id),
            false => self.store.put_server(instance),
        }
        self.tell_watches();
        let stays = self.scenario.drain + STAYS_LONGER;
        self.later(stays, FaultStep::EndServer(server));
    }

    fn end_server(&mut self, server: usize) {
        let id = self.servers[server].id.clone();
        self.servers[server].condition = Condition::Ended;
        self.store.remove_server(&id);
        self.tell_watches();
        self.lose_connections(server);
    }

    fn old_shards_leave(&mut self) {
        let prefix = format!("shard-{}-", self.generation - 1);
        let old: Vec<usize> = (0..self.servers.len())
            .filter(|server| self.servers[*server].service.as_str().starts_with(&prefix))
            .collect();
        for server in old {
            self.leave(server, false);
        }
    }

    pub(super) fn crash(&mut self, server: usize, lasts: Duration, dark: bool) {
        self.servers[server].condition = match dark {
            true => Condition::Dark,
            false => Condition::Down,
        };
        if !dark {
            self.lose_connections(server);
        }
        self.later(ENTRY_KEPT.min(lasts), FaultStep::RemoveEntry(server));
        self.later(lasts, FaultStep::CrashedReturns(server));
    }

    fn crashed_returns(&mut self, server: usize) {
        self.lose_connections(server);
        let old = &mut self.servers[server];
        old.condition = Condition::Ended;
        let (service, zone, address) = (old.service.clone(), old.zone, old.address);
        self.start_server(service, zone, Some(address));
    }

    fn slow(&mut self, every: usize, factor: f64, lasts: Duration) {
        let slowed: Vec<usize> = (0..self.servers.len()).step_by(every.max(1)).collect();
        for server in &slowed {
            self.servers[*server].slow = factor;
        }
        self.later(lasts, FaultStep::NotSlow(slowed));
    }

    fn reject(&mut self, spared_each: usize, share: f64, lasts: Duration) {
        self.set_rejected_share(spared_each, share);
        self.later(lasts, FaultStep::NoneReject);
    }

    /// For all servers but every n-th; for all of them where that is each.
    fn set_rejected_share(&mut self, spared_each: usize, share: f64) {
        let spared = |index: usize| spared_each > 1 && index.is_multiple_of(spared_each);
        for (index, server) in self.servers.iter_mut().enumerate() {
            if !spared(index) {
                server.rejected_share = share;
            }
        }
    }

    /// Every connection of a server breaks.
    pub(super) fn lose_connections(&mut self, server: usize) {
        let lost = std::mem::take(&mut self.servers[server].connections);
        for ((node, life), connection) in lost {
            self.machines[node].connections.remove(&connection);
            let event = match self.in_flight.remove(&(node, life, connection)) {
                Some(attempt) => GatewayEvent::Failed {
                    attempt,
                    failure: ExchangeFailure::MayHaveRun,
                },
                None => GatewayEvent::ConnectionLost { connection },
            };
            let arrival = Occurrence::ToNode(node, life, Box::new(event));
            self.schedule(Duration::from_millis(1), arrival);
        }
    }
}
