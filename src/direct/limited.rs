//! Applies targets' limits on their requests to the decisions of an entry.

use std::time::Duration;

use super::{DirectMachine, FlowId, LimitStatement, RequestRate, TargetStart, limit::ShareContext};
use crate::ids::{ClockTime, TargetId};

impl DirectMachine {
    /// Returns the number of targets that have a limit.
    pub fn limited_targets(&self) -> usize {
        self.limits.len()
    }

    /// Returns the limit of a target, in requests a second, if it has one.
    pub fn target_limit(&self, target: &TargetId) -> Option<RequestRate> {
        self.limits.limit(target)
    }

    /// Records what a response to a call of this entry said of its target's limit.
    pub(super) fn limit_stated(
        &mut self,
        now: ClockTime,
        start: TargetStart,
        limit: Option<RequestRate>,
        called: Duration,
    ) {
        let (target, born_ms) = start;
        match limit {
            Some(limit) => {
                let age = Duration::ZERO;
                let statement = LimitStatement { target, born_ms, limit, age };
                self.state_limit(now, &statement, true);
            }
            None => {
                let called = now.saturating_sub(called);
                self.limits.response_without_limit(&target, born_ms, called);
            }
        }
    }

    /// Applies a target's statement that this entry or a peer heard.
    pub(super) fn state_limit(&mut self, now: ClockTime, statement: &LimitStatement, heard: bool) {
        let Some(state) = self.fleet.get(&statement.target) else { return };
        // A peer may have read the registration of a later start before this entry.
        if state.target.born_ms > statement.born_ms {
            return;
        }
        let service = state.target.service.clone();
        let context = ShareContext {
            own: &self.settings.name,
            peers: &self.peers,
            max_entries: self.max_entries,
        };
        self.limits.apply(now, statement, heard, &service, &context);
    }

    /// Divides the limits again, and drops those of targets that are gone.
    pub(super) fn update_limits(&mut self, now: ClockTime) {
        if self.limits.is_empty() {
            return;
        }
        let fleet = &self.fleet;
        self.limits.retain(|target, born_ms| {
            fleet.get(target).is_some_and(|state| state.target.born_ms <= born_ms)
        });
        let context = ShareContext {
            own: &self.settings.name,
            peers: &self.peers,
            max_entries: self.max_entries,
        };
        self.limits.refresh_shares(now, &context);
    }

    /// Gives back what was kept for a decode call.
    pub(super) fn release_reserved(&mut self, id: FlowId) {
        let reserved = self.flows.get_mut(&id).and_then(|flow| flow.reserved.take());
        if let Some(target) = reserved {
            self.limits.refund(&target);
        }
    }
}
