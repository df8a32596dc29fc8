//! Steps of entries with the usage duty, and the faults that strike at them.

use std::time::Duration;

use sapphirewell::direct::{
    BootTime, OrderFencingToken, ReadNeed, RecordsEnd, ReportStart, SavedUsage, UsageEvent,
    UsageMessage, WindowUsage,
};

/// Step of a holder at which a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyStep {
    Claim,
    Read,
    WriteStart,
    Fix,
    Save,
    Check,
    Post,
}

/// What happens to the entry at that step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepFault {
    KilledBefore,
    KilledAfter,
    FrozenBefore(Duration),
    FrozenAfter(Duration),
    /// The step takes effect, but its answer is lost.
    AnswerLost,
    /// The step gets no answer, and takes effect so much later.
    CarriedOutLate(Duration),
}

/// Step that is under way.
#[derive(Debug, Clone)]
pub enum Pending {
    Event(UsageEvent),
    Claim,
    Read(u64, ReadNeed),
    WriteStart(u64, ReportStart, RecordsEnd),
    Fix(u64, WindowUsage, RecordsEnd),
    Save(SavedUsage),
    Leave(UsageMessage),
    Remove,
    ReadMessages,
    Check(u64, OrderFencingToken, WindowUsage),
    Post(u64, OrderFencingToken, WindowUsage, BootTime),
}

/// Returns a step with counts as those of a holder that knew other requests than the next one.
pub fn with_other_counts(pending: Pending) -> Pending {
    let Pending::Fix(attempt, mut usage, end) = pending else { return pending };
    usage.counts.values_mut().for_each(|requests| *requests += 1);
    Pending::Fix(attempt, usage, end)
}

pub fn step_of(pending: &Pending) -> Option<DutyStep> {
    Some(match pending {
        Pending::Event(_) | Pending::Leave(_) | Pending::Remove | Pending::ReadMessages => {
            return None;
        }
        Pending::Claim => DutyStep::Claim,
        Pending::Read(..) => DutyStep::Read,
        Pending::WriteStart(..) => DutyStep::WriteStart,
        Pending::Fix(..) => DutyStep::Fix,
        Pending::Save(_) => DutyStep::Save,
        Pending::Check(..) => DutyStep::Check,
        Pending::Post(..) => DutyStep::Post,
    })
}
