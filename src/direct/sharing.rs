//! Applies customers' shares to the decisions of an entry.

use std::time::Duration;

use super::{
    CustomerName, DirectMachine, FlowId, ShareReport, estimate::Placement, flow::DirectFlow,
};
use crate::ids::ClockTime;

impl DirectMachine {
    /// Returns what peers have to know of customers' work, if room is short.
    pub fn share_report(&mut self, now: ClockTime) -> Option<ShareReport> {
        self.shares.report(now, &self.settings.name, self.peers.timeout())
    }

    /// Returns the number of customers above their shares, counted for each service.
    pub fn limited_customers(&self) -> usize {
        self.shares.limited_count()
    }

    pub(super) fn peer_shares(&mut self, now: ClockTime, report: ShareReport) {
        if report.peer != self.settings.name && report.has_valid_numbers() {
            self.shares.apply(now, report);
        }
    }

    /// Counts a request towards its customer's share, and returns the queueing time with
    /// which it is admitted of the `allowed` one.
    pub(super) fn shared_wait(
        &mut self,
        now: ClockTime,
        id: FlowId,
        placement: &Placement,
        allowed: Duration,
    ) -> Duration {
        if !self.has_customers() {
            return allowed;
        }
        self.shares.refresh(now, self.peers.timeout());
        let Some(flow) = self.flows.get(&id).filter(|flow| has_share(flow)) else { return allowed };
        let customer = customer_name(flow);
        let load = (&flow.service, &customer);
        let waits = (placement.waiting(), allowed);
        self.shares.record_offer(now, load, placement.own_seconds, waits);
        self.shares.allowed_wait(&flow.service, &customer, allowed)
    }

    /// Counts a request as admitted that was counted before.
    pub(super) fn record_admission(&mut self, now: ClockTime, id: FlowId, placement: &Placement) {
        if !self.has_customers() {
            return;
        }
        let Some(flow) = self.flows.get_mut(&id).filter(|flow| has_share(flow)) else { return };
        flow.admitted_seconds = placement.own_seconds;
        let load = (&flow.service, &customer_name(flow));
        self.shares.record_admission(now, load, placement.own_seconds);
    }

    /// Takes the admission of a request back that no target ran.
    pub(super) fn take_back_admission(&mut self, id: FlowId) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let seconds = std::mem::take(&mut flow.admitted_seconds);
        if seconds > 0.0 {
            self.shares.take_back((&flow.service, &customer_name(flow)), seconds);
        }
    }

    fn has_customers(&self) -> bool {
        self.routes.as_ref().is_some_and(|routes| routes.customers.is_some())
    }
}

/// Returns whether a request is admitted by its customer's share. One that was admitted before is
/// not counted again, and one that goes on with a stream would lose what its caller has.
fn has_share(flow: &DirectFlow) -> bool {
    flow.calls == 0 && flow.version.is_none()
}

/// Returns the name of a request's customer; those without one share the empty name.
fn customer_name(flow: &DirectFlow) -> CustomerName {
    flow.request.customer.as_ref().map_or_else(|| "".into(), |customer| customer.name.clone())
}
