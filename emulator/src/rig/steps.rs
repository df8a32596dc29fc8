//! Protocol steps at which the fault matrix injects faults.

use sapphirewell::{
    claim::ClaimEvent,
    frame::{AttemptEnd, AttemptWork, EntryFrame, PlaceFrame, SideFrame},
    ids::ClockTime,
    record::LogRecord,
};
use strum::{Display, EnumIter, EnumString};

use super::{Rig, RigEvent, RigFault, nodes::NodeId};

/// A step of one of the protocols between processes, targets and the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum ProtocolStep {
    /// A side sends its attachment to the log.
    AttachSent,
    /// The attachment is in the log.
    AttachRecorded,
    /// An entry places an attempt.
    PlaceSent,
    /// A side accepts an attempt.
    #[strum(serialize = "taken")]
    PlaceAccepted,
    /// A side sends a claim for an idempotency key to the log.
    ClaimSent,
    /// The claim is in the log.
    ClaimRecorded,
    /// A non-idempotent call starts.
    CallStarted,
    /// A service has answered a call; any effect has happened.
    CallAnswered,
    /// A side sends an outcome to the log.
    OutcomeSent,
    /// The outcome is in the log.
    OutcomeRecorded,
    /// An engine run starts.
    RunStarted,
    /// An engine has finished the prefill of a prompt.
    #[strum(serialize = "prompt_read")]
    PrefillDone,
    /// The first chunk of a stream leaves a side.
    FirstChunk,
    /// A chunk in the middle of the stream leaves a side.
    MiddleChunk,
    /// A KV cache is ready at the engine that ran the prefill.
    CacheReady,
    /// A decode run starts from another engine's KV cache.
    #[strum(serialize = "cache_moved")]
    DecodeStarted,
    /// An engine has generated its last token.
    StreamDone,
    /// A side reports an attempt as completed.
    EndSent,
    /// A contract change is in the log.
    ContractAppended,
    /// A role plan is in the log.
    PlanAppended,
    /// A side orders an engine to change its role.
    OrderSent,
    /// The engine has accepted the order and starts to change its role.
    OrderAccepted,
    /// A suspect report is in the log.
    SuspectsRecorded,
    /// A carry record, which repeats state before its records expire, is in the log.
    CarryAppended,
    /// A process starts to drain.
    DrainBegun,
}

/// The processes at which a step was reached; 0 stands in for one that the step doesn't involve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultSite {
    /// Index of the entry.
    pub entry: usize,
    /// Index of the side.
    pub side: usize,
}

/// Faults to inject once, when a step is reached.
pub struct StepTrigger {
    /// The step to wait for.
    pub step: ProtocolStep,
    /// Time before which the step is ignored.
    pub after: ClockTime,
    /// Returns the faults, each with its delay, for the processes at which the step was reached.
    pub faults: Box<dyn Fn(FaultSite) -> Vec<(ClockTime, RigFault)>>,
}

impl Rig {
    /// Records that a step is reached, and schedules the faults that wait for it.
    pub(super) fn mark_step(&mut self, step: ProtocolStep, site: FaultSite) {
        self.reached_steps.insert(step);
        let is_due = self.trigger.as_ref().is_some_and(|t| t.step == step && self.now >= t.after);
        if !is_due {
            return;
        }
        let Some(trigger) = self.trigger.take() else { return };
        for (delay, fault) in (trigger.faults)(site) {
            self.schedule_after(delay, RigEvent::Fault(fault));
        }
    }

    pub(super) fn mark_node_step(&mut self, step: ProtocolStep, node: NodeId) {
        let site = match node {
            NodeId::Entry(entry) => FaultSite { entry, side: 0 },
            NodeId::Side(side) => FaultSite { entry: 0, side },
        };
        self.mark_step(step, site);
    }

    pub(super) fn mark_entry_frame_step(&mut self, entry: usize, side: usize, frame: &EntryFrame) {
        if matches!(frame, EntryFrame::Place(_)) {
            self.mark_step(ProtocolStep::PlaceSent, FaultSite { entry, side });
        }
    }

    pub(super) fn mark_side_frame_step(
        &mut self,
        side: usize,
        link: sapphirewell::side::LinkId,
        frame: &SideFrame,
    ) {
        let step = match frame {
            SideFrame::Accepted { .. } => ProtocolStep::PlaceAccepted,
            SideFrame::Chunk { index: 0, .. } => ProtocolStep::FirstChunk,
            SideFrame::Chunk { index: 2, .. } => ProtocolStep::MiddleChunk,
            SideFrame::End { end: AttemptEnd::Prefilled { .. }, .. } => ProtocolStep::CacheReady,
            SideFrame::End {
                end: AttemptEnd::Completed { .. } | AttemptEnd::Answered(_), ..
            } => ProtocolStep::EndSent,
            _ => return,
        };
        let entry = self.links.find_entry(side, link).unwrap_or(0);
        self.mark_step(step, FaultSite { entry, side });
    }

    pub(super) fn mark_start_step(&mut self, side: usize, place: &PlaceFrame) {
        let step = match (&place.work, place.idempotent) {
            (AttemptWork::Call, false) => ProtocolStep::CallStarted,
            (AttemptWork::Call, true) => return,
            (AttemptWork::Decode { .. }, _) => ProtocolStep::DecodeStarted,
            (AttemptWork::Complete | AttemptWork::Prefill, _) => ProtocolStep::RunStarted,
        };
        self.mark_step(step, FaultSite { entry: 0, side });
    }

    pub(super) fn mark_append_step(&mut self, node: NodeId, record: &LogRecord, recorded: bool) {
        let step = match (record, recorded) {
            (LogRecord::Attach(_), false) => ProtocolStep::AttachSent,
            (LogRecord::Attach(_), true) => ProtocolStep::AttachRecorded,
            (LogRecord::Claims(batch), _) => match (batch.events.first(), recorded) {
                (Some(ClaimEvent::Take { .. }), false) => ProtocolStep::ClaimSent,
                (Some(ClaimEvent::Take { .. }), true) => ProtocolStep::ClaimRecorded,
                (Some(ClaimEvent::Outcome { .. }), false) => ProtocolStep::OutcomeSent,
                (Some(ClaimEvent::Outcome { .. }), true) => ProtocolStep::OutcomeRecorded,
                _ => return,
            },
            (LogRecord::Plan(_), true) => ProtocolStep::PlanAppended,
            (LogRecord::Suspects(_), true) => ProtocolStep::SuspectsRecorded,
            (LogRecord::Carry(_), true) => ProtocolStep::CarryAppended,
            _ => return,
        };
        self.mark_node_step(step, node);
    }
}
