//! Role changes of engines: drain the engine, request the change, wait until it reports it.

use std::time::Duration;

use super::{
    SideAction, TargetReport,
    attempt::AttemptPhase,
    machine::SideMachine,
    target::{RoleChangeState, TargetHealth},
};
use crate::{
    fold::FleetState,
    ids::{AttemptId, ClockTime, LogOffset, TargetId},
    request::RefusalReason,
};

/// Time after which a role change that had no effect is requested again.
const ROLE_CHANGE_RETRY_DELAY: Duration = Duration::from_secs(2);

impl SideMachine {
    /// Compares the engines' roles with the current plan, and advances each role change.
    pub(super) fn apply_plan(
        &mut self,
        now: ClockTime,
        fleet: &FleetState,
        out: &mut Vec<SideAction>,
    ) {
        let Some(fence) = self.fence else { return };
        if self.superseded {
            return;
        }
        let plan = fleet.view().plan.clone();
        let names: Vec<TargetId> = self.targets.keys().cloned().collect();
        for name in names {
            let wanted = plan.roles.get(&name).copied();
            self.start_role_change(&name, wanted, plan.offset);
            self.advance_role_change(now, &name, fence, out);
        }
    }

    fn start_role_change(
        &mut self,
        name: &TargetId,
        wanted: Option<crate::record::EngineRole>,
        plan: LogOffset,
    ) {
        let Some(target) = self.targets.get_mut(name) else { return };
        let (Some(wanted), Some(role)) = (wanted, target.role) else { return };
        if target.health != TargetHealth::Up {
            return;
        }
        match target.role_change {
            RoleChangeState::Settled | RoleChangeState::Draining { .. } if role == wanted => {
                target.role_change = RoleChangeState::Settled;
            }
            RoleChangeState::Settled | RoleChangeState::Draining { .. } => {
                target.role_change = RoleChangeState::Draining { role: wanted, plan };
            }
            RoleChangeState::Requested { .. } => {}
        }
    }

    fn advance_role_change(
        &mut self,
        now: ClockTime,
        name: &TargetId,
        fence: u64,
        out: &mut Vec<SideAction>,
    ) {
        let Some(target) = self.targets.get(name) else { return };
        if let RoleChangeState::Draining { role, plan } = target.role_change {
            self.hand_back_queue(name, out);
            let busy = self.attempts.values().any(|a| a.target == *name && a.occupies_target());
            if !busy {
                out.push(SideAction::ChangeRole { target: name.clone(), fence, plan, role });
                self.set_role_change(name, RoleChangeState::Requested { role, plan, sent: now });
            }
            return;
        }
        if let RoleChangeState::Requested { role, plan, sent } = target.role_change
            && target.role.is_some()
            && now > sent + ROLE_CHANGE_RETRY_DELAY
        {
            out.push(SideAction::ChangeRole { target: name.clone(), fence, plan, role });
            self.set_role_change(name, RoleChangeState::Requested { role, plan, sent: now });
        }
    }

    fn set_role_change(&mut self, name: &TargetId, role_change: RoleChangeState) {
        if let Some(target) = self.targets.get_mut(name) {
            target.role_change = role_change;
        }
    }

    /// Hands queued attempts back to their entries, which place them elsewhere.
    pub(super) fn hand_back_queue(&mut self, name: &TargetId, out: &mut Vec<SideAction>) {
        let Some(target) = self.targets.get(name) else { return };
        for id in target.queue.attempts_where(|_| true) {
            self.end_unstarted(id, RefusalReason::NoTarget, out);
        }
    }

    pub(super) fn handle_role_change_answer(
        &mut self,
        name: &TargetId,
        plan: LogOffset,
        accepted: bool,
    ) {
        let Some(target) = self.targets.get_mut(name) else { return };
        match target.role_change {
            RoleChangeState::Requested { plan: sent, .. } if sent == plan && accepted => {
                target.role = None;
                target.clear_prefixes();
            }
            _ => {}
        }
    }

    /// Handles a target's own report.
    ///
    /// Only such a report ends a requested role change. One with a new boot id shows that the
    /// target crashed.
    pub(super) fn handle_report(
        &mut self,
        now: ClockTime,
        name: &TargetId,
        report: &TargetReport,
        out: &mut Vec<SideAction>,
    ) {
        let Some(target) = self.targets.get_mut(name) else { return };
        let restarted = target.boot != 0 && target.boot != report.boot;
        let previous_health = target.health;
        target.health = TargetHealth::Up;
        target.boot = report.boot;
        if restarted || previous_health == TargetHealth::Down {
            self.handle_target_crash(now, name, out);
        }
        let Some(target) = self.targets.get_mut(name) else { return };
        target.record_prefixes(report.cached.iter().copied());
        target.role = if report.changing { None } else { report.role };
        if let (RoleChangeState::Requested { role, .. }, Some(reported_role)) =
            (target.role_change, target.role)
            && (role == reported_role || restarted)
        {
            target.role_change = RoleChangeState::Settled;
        }
        self.end_probed_runs(name, out);
    }

    pub(super) fn handle_target_down(
        &mut self,
        now: ClockTime,
        name: &TargetId,
        out: &mut Vec<SideAction>,
    ) {
        let Some(target) = self.targets.get_mut(name) else { return };
        if target.health == TargetHealth::Down {
            return;
        }
        target.health = TargetHealth::Down;
        target.role = None;
        self.handle_target_crash(now, name, out);
        self.hand_back_queue(name, out);
    }

    /// Ends attempts with a broken stream at a target whose report shows that it did not crash.
    fn end_probed_runs(&mut self, name: &TargetId, out: &mut Vec<SideAction>) {
        let probed: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, a)| {
                a.target == *name && matches!(a.phase, AttemptPhase::AwaitingProbe { .. })
            })
            .map(|(id, _)| *id)
            .collect();
        for id in probed {
            out.push(SideAction::Cancel { target: name.clone(), attempt: id });
            self.end_interrupted(id, false, out);
        }
    }
}
