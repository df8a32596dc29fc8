//! Steps of a request and of the fleet, at which the matrix injects its faults.

use sapphirewell::ids::ClockTime;
use strum::{Display, EnumIter, EnumString};

use super::PlatformFault;

/// A step on the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PlatformStep {
    /// An entry has read a whole request.
    RequestRead,
    /// An entry sends a call.
    CallSent,
    /// An entry sends a second call for a request.
    SecondCallSent,
    /// A call reaches a target.
    CallArrived,
    /// A target begins to run a request that may run once.
    #[strum(serialize = "once_run_begun")]
    OnceRunStarted,
    /// A target begins to run a request that may be repeated.
    #[strum(serialize = "repeatable_run_begun")]
    RepeatableRunStarted,
    /// An engine has read a prompt whose KV cache now waits.
    #[strum(serialize = "prompt_read")]
    PrefillDone,
    /// Another engine takes that KV cache.
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
    /// A caller sends a refused request again.
    #[strum(serialize = "caller_returns")]
    CallerRetries,
    /// A target's connection broke while it ran a request.
    #[strum(serialize = "crash_seen")]
    CrashDetected,
    /// The store has taken a target's leaving.
    TargetLeaving,
    /// A target's entry has lapsed.
    #[strum(serialize = "target_lapsed")]
    TargetExpired,
    /// A target is listed under a name that the store had not before.
    TargetListed,
    /// The store has taken a configuration.
    ConfigurationWritten,
    /// An entry has read a configuration.
    ConfigurationRead,
    /// An entry claims to order engines.
    AuthorityClaimed,
    /// An entry orders an engine.
    OrderSent,
    /// The engine has taken the order.
    OrderAccepted,
    /// An entry starts.
    EntryStarted,
    /// An entry is told to stop.
    #[strum(serialize = "drain_begun")]
    DrainStarted,
}

/// Faults that wait for a step.
#[derive(Debug, Clone)]
pub struct PlatformTrigger {
    /// The step.
    pub step: PlatformStep,
    /// The step counts from this time on.
    pub after: ClockTime,
    /// The faults.
    pub faults: Vec<PlatformFault>,
}
