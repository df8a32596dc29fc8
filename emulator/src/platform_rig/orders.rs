//! Claims on the right to order engines, and the orders to change stage.

use std::time::Duration;

use sapphirewell::direct::{
    ClaimOutcome, DirectEvent, OrderFencingToken, OrderOutcome, StageOrder, TargetStage,
    fencing_token,
};

use super::{
    DriverDefect, EntryId, NETWORK_DELAY, PlatformRig, PlatformSite, PlatformStep, RigEvent,
    TargetIndex, target::TargetState,
};

/// Time that an engine takes to change its stage.
const ROLE_CHANGE_TIME: Duration = Duration::from_secs(3);

impl PlatformRig {
    /// Appends an entry's claim to the store, unless the store is unavailable.
    pub(super) fn append_claim(&mut self, entry: EntryId) {
        let outcome = if self.store_fails(entry) {
            ClaimOutcome::Failed
        } else {
            self.store.claims.push(entry);
            self.observe_generation(entry);
            self.newest_token(entry).map_or(ClaimOutcome::Failed, ClaimOutcome::Taken)
        };
        let event = self.machine_event(entry, DirectEvent::ClaimEnded(outcome));
        self.schedule_after(self.response_time(), event);
        self.record_step(PlatformStep::AuthorityClaimed, PlatformSite { entry, target: 0 });
    }

    /// Returns the fencing token of the newest claim, as an entry makes it.
    fn newest_token(&self, entry: EntryId) -> Option<OrderFencingToken> {
        fencing_token(self.entries[entry].generation, self.store.claims.len() as u64)
    }

    /// Checks the newest claim, and sends the order only if that claim is the entry's own.
    pub(super) fn send_order(&mut self, entry: EntryId, order: StageOrder) {
        let unchecked = self.settings.defect == Some(DriverDefect::ClaimsUnchecked);
        if !unchecked && self.store_fails(entry) {
            return self.order_ends(entry, &order, OrderOutcome::Refused);
        }
        self.observe_generation(entry);
        let holds = self.newest_token(entry) == Some(order.fence)
            && self.store.claims.last() == Some(&entry);
        if !unchecked && !holds {
            let superseded = DirectEvent::ClaimEnded(ClaimOutcome::Superseded);
            self.schedule_after(NETWORK_DELAY, self.machine_event(entry, superseded));
            return self.order_ends(entry, &order, OrderOutcome::Refused);
        }
        let target = self.target_at(order.target.address);
        self.record_step(PlatformStep::OrderSent, PlatformSite { entry, target });
        if self.is_cut(entry, target) {
            return self.order_ends(entry, &order, OrderOutcome::Unknown);
        }
        let delay = self.response_time() + NETWORK_DELAY;
        self.schedule_after(
            delay,
            RigEvent::OrderArrives { entry, target, order: Box::new(order) },
        );
    }

    /// Handles an order that has reached an engine's address.
    pub(super) fn order_arrives(&mut self, entry: EntryId, target: TargetIndex, order: StageOrder) {
        let sim = &mut self.targets[target];
        let is_intended = sim.listed.id == order.target.id;
        if sim.state != TargetState::Serving || !is_intended || sim.switching {
            return self.order_ends(entry, &order, OrderOutcome::Refused);
        }
        sim.switching = true;
        let start = sim.starts;
        self.check_order(entry, target, order.fence);
        self.order_ends(entry, &order, OrderOutcome::Accepted);
        let stage = order.stage;
        self.schedule_after(ROLE_CHANGE_TIME, RigEvent::StageChanges { target, start, stage });
        self.record_step(PlatformStep::OrderAccepted, PlatformSite { entry, target });
    }

    /// Returns the load of the engines as each entry estimates it.
    ///
    /// Each pair holds the prefill wait in seconds and the share of decode slots in use.
    pub fn stage_loads(&self) -> Vec<(f32, f32)> {
        self.entries.iter().map(|entry| entry.machine.stage_load()).collect()
    }

    fn order_ends(&mut self, entry: EntryId, order: &StageOrder, outcome: OrderOutcome) {
        let target = order.target.id.clone();
        self.schedule_after(
            NETWORK_DELAY,
            self.machine_event(entry, DirectEvent::OrderEnded { target, outcome }),
        );
    }

    /// Completes a change of stage and updates the engine's registration.
    pub(super) fn stage_changes(&mut self, target: TargetIndex, start: u64, stage: TargetStage) {
        let sim = &mut self.targets[target];
        if sim.starts != start || sim.state != TargetState::Serving {
            return;
        }
        sim.switching = false;
        sim.plan.stage = stage;
        sim.listed.stage = stage;
        sim.listed.sequence += 1;
        if sim.leaving.is_none() {
            let listed = sim.listed.clone();
            self.store.write_target(listed.id.clone(), Some(listed));
        }
    }
}
