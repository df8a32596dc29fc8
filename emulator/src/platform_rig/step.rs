//! Steps of requests and of the fleet at which the fault matrix injects its faults.

use sapphirewell::ids::ClockTime;
use strum::{Display, EnumIter, EnumString};

use super::PlatformFault;

/// Step of a request, or change in the fleet, that can trigger a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PlatformStep {
    /// An entry has read a complete request.
    RequestRead,
    /// An entry sends a call.
    CallSent,
    /// An entry sends a second call for a request.
    SecondCallSent,
    /// A call reaches a target.
    CallArrived,
    /// A target starts to run a request that must run at most once.
    #[strum(serialize = "once_run_begun")]
    OnceRunStarted,
    /// A target starts to run a request that may be retried.
    #[strum(serialize = "repeatable_run_begun")]
    RepeatableRunStarted,
    /// An engine has prefilled a prompt and holds its KV cache for another engine.
    #[strum(serialize = "prompt_read")]
    PrefillDone,
    /// Another engine fetches that KV cache.
    #[strum(serialize = "cache_taken")]
    CacheFetched,
    /// The first event of an answer leaves a target.
    FirstOutput,
    /// An event in the middle of an answer leaves a target.
    MiddleOutput,
    /// An answer is complete at its target.
    AnswerDone,
    /// A target declines a call.
    CallDeclined,
    /// An entry refuses a request.
    RequestRefused,
    /// A caller retries a request that was refused or interrupted.
    #[strum(serialize = "caller_returns")]
    CallerRetries,
    /// An entry reports that a target crashed while it ran a request.
    #[strum(serialize = "crash_seen")]
    CrashDetected,
    /// The store has accepted a target's announcement that it leaves.
    TargetLeaving,
    /// The registration of a target has expired or was removed without notice.
    #[strum(serialize = "target_lapsed")]
    TargetExpired,
    /// A target was registered after the start, or again after a restart.
    TargetListed,
    /// The store has accepted a configuration.
    ConfigurationWritten,
    /// An entry has read a configuration.
    ConfigurationRead,
    /// An entry claims the right to order engines.
    AuthorityClaimed,
    /// An entry sends an engine the order to change its stage.
    OrderSent,
    /// The engine has accepted the order.
    OrderAccepted,
    /// An entry claims the right to report usage.
    UsageClaimed,
    /// The entry that reports usage reads the duty's records.
    UsageRead,
    /// It writes from which window on it reports.
    UsageStarted,
    /// It saves counts in the store.
    UsageSaved,
    /// It fixes the counts of a window.
    UsageFixed,
    /// It checks its claim before a report.
    UsageChecked,
    /// It sends the report, or gives it up as the check is too old.
    UsageReported,
    /// The process of an entry starts.
    EntryStarted,
    /// An entry gets the stop signal and starts to drain.
    #[strum(serialize = "drain_begun")]
    DrainStarted,
}

impl PlatformStep {
    /// Returns whether the step is reached only where configurations have customers.
    pub fn needs_customers(self) -> bool {
        matches!(
            self,
            PlatformStep::UsageClaimed
                | PlatformStep::UsageRead
                | PlatformStep::UsageStarted
                | PlatformStep::UsageSaved
                | PlatformStep::UsageFixed
                | PlatformStep::UsageChecked
                | PlatformStep::UsageReported
        )
    }
}

/// Faults to inject when a step is reached.
#[derive(Debug, Clone)]
pub struct PlatformTrigger {
    /// The step that fires the trigger.
    pub step: PlatformStep,
    /// Time from which on the step fires the trigger.
    pub after: ClockTime,
    /// The faults, injected together at the site of the step.
    pub faults: Vec<PlatformFault>,
}
