//! Steps of the protocols, at which the fault matrix injects its faults.

use sapphirewell::{
    claim::ClaimEvent,
    frame::{AttemptEnd, AttemptWork, EntryFrame, PlaceFrame, SideFrame},
    ids::ClockTime,
    record::LogRecord,
};
use strum::{Display, EnumIter, EnumString};

use super::{Rig, RigEvent, RigFault, nodes::NodeId};

/// A step of one of the protocols.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum ProtocolStep {
    /// A side sends its attachment.
    AttachSent,
    /// The attachment is in the log.
    AttachRecorded,
    /// An entry places an attempt.
    PlaceSent,
    /// A side takes it.
    #[strum(serialize = "taken")]
    PlaceAccepted,
    /// A side asks for a key.
    ClaimSent,
    /// The claim is in the log.
    ClaimRecorded,
    /// A non-idempotent call starts.
    CallStarted,
    /// The service has answered; its effect has happened.
    CallAnswered,
    /// A side sends an outcome to the log.
    OutcomeSent,
    /// The outcome is in the log.
    OutcomeRecorded,
    /// An engine run starts.
    RunStarted,
    /// An engine has read a prompt.
    #[strum(serialize = "prompt_read")]
    PrefillDone,
    /// The first chunk leaves a side.
    FirstChunk,
    /// A chunk in the middle leaves a side.
    MiddleChunk,
    /// A KV cache is ready at the engine that read the prompt.
    CacheReady,
    /// A decode run starts from another engine's KV cache.
    #[strum(serialize = "cache_moved")]
    DecodeStarted,
    /// An engine has generated everything.
    StreamDone,
    /// A side says that an attempt has ended whole.
    EndSent,
    /// A contract change is in the log.
    ContractAppended,
    /// A role plan is in the log.
    PlanAppended,
    /// A side orders an engine.
    OrderSent,
    /// The engine has accepted and starts to change.
    OrderAccepted,
    /// A suspect report is in the log.
    SuspectsRecorded,
    /// State is carried.
    CarryAppended,
    /// A process begins to drain.
    DrainBegun,
}

/// Processes that a step concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultSite {
    /// The entry.
    pub entry: usize,
    /// The side.
    pub side: usize,
}

/// Faults that wait for a step.
pub struct StepTrigger {
    /// The step.
    pub step: ProtocolStep,
    /// The step counts from this time on.
    pub after: ClockTime,
    /// Makes the faults, each with its delay, from the processes that the step concerns.
    pub faults: Box<dyn Fn(FaultSite) -> Vec<(ClockTime, RigFault)>>,
}

impl Rig {
    /// Notes that a step is reached, and injects the faults that wait for it.
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
