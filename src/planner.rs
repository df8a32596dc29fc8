//! Assigns roles to engines as the mix of prompt and output tokens moves.
//!
//! See [docs/POLICY.md](../docs/POLICY.md).

use crate::{entry::EntryMachine, fold::FleetView, ids::ClockTime, record::PlanProposal};

/// Settings of a planner.
#[derive(Debug, Clone, Default)]
pub struct PlannerSettings {
    /// Rank among the entries; a higher one waits longer before it proposes.
    pub rank: u32,
}

/// Proposes role plans.
#[derive(Debug)]
pub struct RolePlanner {
    _settings: PlannerSettings,
}

impl RolePlanner {
    /// Makes a planner that has seen no demand.
    pub fn new(settings: PlannerSettings) -> RolePlanner {
        RolePlanner { _settings: settings }
    }

    /// Returns a plan that improves on the one in force, if there is one.
    pub fn propose(
        &mut self,
        _now: ClockTime,
        _view: &FleetView,
        _entry: &EntryMachine,
    ) -> Option<PlanProposal> {
        None
    }
}
