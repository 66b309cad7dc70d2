//! Membership of a gateway's cluster: reader order, members that share budgets and connections.

use super::Gateway;
use super::action::GatewayAction;
use super::servers::MemberLocation;
use super::telemetry::GatewayChange;
use crate::context::Context;
use crate::driver_action::Action;
use crate::membership::{MemberView, Membership};
use crate::signal::Signal;
use thornbridge_proto::peer::membership::MemberRecord;

impl Gateway {
    /// Runs a call on the membership; forwards the actions and signals that the call emitted.
    pub(super) fn with_membership(&mut self, call: impl FnOnce(&mut Membership, &mut Context<'_>)) {
        let mut context = Context::new(
            self.now,
            &mut self.random,
            &mut self.member_actions,
            &mut self.member_signals,
        );
        call(&mut self.membership, &mut context);
        while let Some(action) = self.member_actions.pop_front() {
            self.member_action(action);
        }
        while let Some(signal) = self.member_signals.pop_front() {
            if let Signal::MembersChanged(view) = signal {
                self.members_changed(&view);
            }
        }
    }

    pub(super) fn member_action(&mut self, action: Action) {
        // `members_changed` reports state changes of members.
        if let Action::SendPeer { to, message } = action {
            self.actions
                .push_back(GatewayAction::SendPeer { to, message });
        }
    }

    /// Sets the number of members that share the budgets; reports a change of the member bound.
    fn update_budget_members(&mut self, members: usize) {
        let before = self.budget.member_bound();
        self.budget.set_members(members);
        let members = self.budget.member_bound();
        if members != before {
            let change = GatewayChange::BudgetMembers { members };
            self.actions.push_back(GatewayAction::Changed(change));
        }
    }

    /// Reports how this node uses the budgets, once per window.
    pub(super) fn report_budget_usage(&mut self) {
        for (service, usage) in self.budget.report_usage(self.now) {
            let Some(service) = self.servers.service_name(service) else {
                continue;
            };
            let change = GatewayChange::BudgetUsage {
                service: service.clone(),
                requests: usage.requests,
                previous_requests: usage.previous_requests,
                extra: usage.extra,
                denied: usage.denied,
                misdirected: usage.misdirected,
                members: self.budget.member_bound(),
            };
            self.actions.push_back(GatewayAction::Changed(change));
        }
    }

    pub(super) fn members_changed(&mut self, view: &MemberView) {
        let own = view.own().endpoint.address;
        let own_location = member_location(view.own());
        let members = view.members().iter().map(member_location);
        self.view_gossip.set_peers(&own_location, members);
        let endpoints = view.members().iter().map(|member| member.endpoint);
        self.quarantine
            .set_members(self.now, &mut self.actions, own, endpoints.collect());
        let accepting_members: Vec<MemberLocation> =
            view.accepting_work().map(member_location).collect();
        let position = accepting_members
            .iter()
            .position(|member| member.address == own);
        let rank = position.unwrap_or(accepting_members.len());
        self.freshness.set_rank(rank);
        for source in self.sources_mut() {
            source.set_rank(rank);
        }
        let accepting = accepting_members.iter().map(|member| member.address);
        self.set_rollout_members(view, accepting.collect());
        self.rollout_source.set_rank(rank);
        self.view_gossip
            .set_readers(&own_location, &accepting_members, rank);
        let members = accepting_members.len().max(1);
        self.update_budget_members(members);
        self.slices.set_members(accepting_members.clone());
        self.slices_outdated = true;
        self.servers.set_members(self.now, accepting_members);
        let addresses = view.members().iter().map(|member| member.endpoint.address);
        self.servers.meet_members(self.now, addresses);
        if members != self.members {
            self.members = members;
            let change = GatewayChange::Members { members };
            self.actions.push_back(GatewayAction::Changed(change));
        }
    }
}

fn member_location(member: &MemberRecord) -> MemberLocation {
    MemberLocation {
        address: member.endpoint.address,
        zone: member.zone.clone(),
    }
}
