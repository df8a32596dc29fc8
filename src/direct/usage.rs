//! What entries tell each other, the store and the platform about the requests of customers.
//!
//! See [docs/design/duties.md](../../docs/design/duties.md).

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{ClaimOutcome, CustomerName, OrderFencingToken, PeerName, StoreGeneration};

/// Number of a window of true time. Window k begins k window lengths after the start of 1970.
pub type UsageWindow = u64;
/// Requests that began to run, by customer.
pub type CustomerCounts = BTreeMap<CustomerName, u64>;
/// Time since the VM booted, including time in which it was suspended.
pub type BootTime = Duration;

/// When the usage of customers is reported.
#[derive(Debug, Clone, Serialize)]
pub struct UsageSettings {
    /// Length of a window; not zero.
    pub window: Duration,
    /// Time from a window's end until its report is too late.
    pub lateness: Duration,
    /// Shortest time between two calls to the platform.
    pub call_interval: Duration,
}

impl UsageSettings {
    /// Returns the window at a time since the start of 1970.
    pub fn window_at(&self, time: Duration) -> UsageWindow {
        let window = time.as_nanos() / self.window.as_nanos().max(1);
        UsageWindow::try_from(window).unwrap_or(UsageWindow::MAX)
    }

    /// Returns the end of a window, since the start of 1970.
    pub fn end(&self, window: UsageWindow) -> Duration {
        let seconds = self.window.as_secs_f64() * (window.saturating_add(1)) as f64;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// Requests that began to run in a window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WindowUsage {
    /// The window.
    pub window: UsageWindow,
    /// Requests by customer.
    pub counts: CustomerCounts,
}

/// Window whose counts are fixed, as it is recorded in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FixedRecord {
    /// The window.
    pub window: UsageWindow,
    /// Requests by customer.
    pub counts: CustomerCounts,
    /// Generation of the store in which it was written. One of an earlier generation came back
    /// with a copy, and says nothing of what was reported after the copy was made.
    #[serde(default)]
    pub generation: Option<StoreGeneration>,
}

impl FixedRecord {
    /// Creates the record of a window's counts.
    pub fn new(usage: WindowUsage, generation: Option<StoreGeneration>) -> FixedRecord {
        FixedRecord { window: usage.window, counts: usage.counts, generation }
    }

    /// Returns the window and its counts.
    pub fn into_usage(self) -> WindowUsage {
        WindowUsage { window: self.window, counts: self.counts }
    }
}

/// First window that may be reported in a generation of the store. Earlier ones may have been
/// reported before the store was restored, with counts that the copy lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportStart {
    /// Generation in which it was written.
    pub generation: StoreGeneration,
    /// The window.
    pub first: UsageWindow,
}

/// Counts that outlast a loss of power at all entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedUsage {
    /// Sums of windows that were not reported.
    pub windows: Vec<SavedWindow>,
}

/// Sum of a window over several process starts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedWindow {
    /// Window and counts.
    pub usage: WindowUsage,
    /// Process starts whose requests the counts include.
    pub instances: Vec<u64>,
}

/// Message from one entry to another about usage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageMessage {
    /// The sender.
    pub peer: PeerName,
    /// Random number of the sender's process start.
    pub instance: u64,
    /// What it says.
    pub content: UsageContent,
}

/// Content of a [`UsageMessage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UsageContent {
    /// Counts of the sender that changed since the receiver confirmed any.
    Counts(UsageUpdate),
    /// The sender holds counts of the receiver.
    Received(UsageReceipt),
}

/// Counts of an entry that changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageUpdate {
    /// Number of the last change that is included.
    pub sequence: u64,
    /// First window in which the sender may still count requests, if all changes are included.
    pub open: Option<UsageWindow>,
    /// Counts from the window's start on. Counts that did not change are left out.
    pub windows: Vec<WindowUsage>,
    /// Counts that the sender holds of process starts that no longer report. They are sent to the
    /// holder, which may not have been told.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<EndedCounts>,
}

/// Counts of a process start that no longer reports.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedCounts {
    /// Name of its entry.
    pub peer: PeerName,
    /// Random number of the process start.
    pub instance: u64,
    /// Its counts.
    pub windows: Vec<WindowUsage>,
}

/// Statement that counts were received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReceipt {
    /// Process start that counted.
    pub counter: u64,
    /// Number of the last change that was received; 0 for none.
    pub sequence: u64,
    /// Digest of the counts of ended process starts that were received; 0 for none.
    #[serde(default)]
    pub ended: u64,
    /// Last window whose counts are fixed, if the sender knows of one.
    pub fixed: Option<UsageWindow>,
}

/// End of the duty's topic, with the generation of the store, as the driver read it.
pub type RecordsEnd = (Option<StoreGeneration>, u64);

/// Records of the duty in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UsageRecords {
    /// Entry with the newest claim, and its fencing token.
    pub claim: Option<(PeerName, OrderFencingToken)>,
    /// Last window whose counts were fixed.
    pub fixed: Option<FixedRecord>,
    /// First window that may be reported, as the first holder of a generation wrote it.
    pub start: Option<ReportStart>,
    /// Whether `fixed` was written after `start`.
    pub is_fixed_after_start: bool,
    /// Counts that a holder saved, if they were asked for.
    pub saved: Option<SavedUsage>,
    /// End of the topic when they were read.
    pub end: RecordsEnd,
}

impl UsageRecords {
    /// Returns the first window that may be reported, if it was written in this generation.
    pub(super) fn current_start(&self) -> Option<ReportStart> {
        self.start.filter(|start| Some(start.generation) == self.end.0)
    }

    /// Returns whether a call of an earlier generation was carried out late, and has replaced the
    /// counts that were fixed since the first window of this one was written.
    pub(super) fn has_late_counts(&self) -> bool {
        let is_earlier = self.fixed.as_ref().is_some_and(|fixed| fixed.generation != self.end.0);
        is_earlier && self.is_fixed_after_start && self.current_start().is_some()
    }
}

/// Event of the usage duty.
#[derive(Debug, Clone)]
pub enum UsageEvent {
    /// The time since the start of 1970, by this VM.
    Clock(Duration),
    /// The store stated its generation to this process for the first time.
    StoreSeen(StoreGeneration),
    /// A peer sent a message.
    Message(UsageMessage),
    /// A claim on the duty ended.
    ClaimEnded(ClaimOutcome),
    /// The records were read, or the store did not respond.
    RecordsRead {
        /// Number of the attempt. Results of others are ignored.
        attempt: u64,
        /// The records; `None` without a response.
        records: Option<UsageRecords>,
    },
    /// The first window that may be reported was written to the store, or it did not confirm that.
    StartWritten {
        /// Number of the attempt.
        attempt: u64,
        /// Whether the store confirmed it.
        confirmed: bool,
    },
    /// Counts were written to the store, or it did not confirm that.
    Fixed {
        /// Number of the attempt.
        attempt: u64,
        /// Whether the store confirmed it.
        confirmed: bool,
    },
    /// A report to the platform ended.
    Posted {
        /// Number of the attempt.
        attempt: u64,
        /// How it ended.
        outcome: PostOutcome,
    },
}

/// How a call to the platform ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PostOutcome {
    /// The platform accepted it.
    Accepted,
    /// The platform refused it.
    Refused,
    /// The platform did not respond, and may have accepted it.
    NoAnswer,
    /// It was not sent, as too much time had passed since the claim was checked.
    CheckExpired,
    /// It was not sent, as the store did not respond.
    NoStore,
    /// It was not sent, as the store holds no such counts for the window.
    NotFixed,
    /// It was not sent, as the store holds a newer claim.
    Superseded,
}

impl PostOutcome {
    /// Returns whether the store named the sender as the holder.
    pub(super) fn has_checked_claim(self) -> bool {
        match self {
            PostOutcome::Accepted
            | PostOutcome::Refused
            | PostOutcome::NoAnswer
            | PostOutcome::CheckExpired
            | PostOutcome::NotFixed => true,
            PostOutcome::NoStore | PostOutcome::Superseded => false,
        }
    }
}

/// Action of the usage duty that the driver carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum UsageAction {
    /// Write a claim on the duty to the store.
    Claim,
    /// Send a message to a peer. One that is lost is sent again if needed.
    Send {
        /// The receiver.
        peer: PeerName,
        /// The message.
        message: UsageMessage,
    },
    /// Write counts to the store. A later write replaces them.
    Save(SavedUsage),
    /// Read the records of the duty.
    Read {
        /// Number of the attempt, which its event repeats.
        attempt: u64,
        /// What is needed besides the records.
        need: ReadNeed,
    },
    /// Write the first window that may be reported, if the topic still ends where it did when the
    /// claim was read.
    WriteStart {
        /// Number of the attempt, which its event repeats.
        attempt: u64,
        /// Generation and window.
        start: ReportStart,
        /// End of the topic when the claim was read.
        end: RecordsEnd,
    },
    /// Write the counts of a window to the store, if the topic still ends where it did when the claim
    /// was read. After that they do not change.
    Fix {
        /// Number of the attempt, which its event repeats.
        attempt: u64,
        /// Window and counts.
        usage: WindowUsage,
        /// End of the topic when the claim was read.
        end: RecordsEnd,
    },
    /// Report a window to the platform, if the store holds this claim and these counts.
    Post {
        /// Number of the attempt, which its event repeats.
        attempt: u64,
        /// Token of the claim.
        fence: OrderFencingToken,
        /// Window and counts.
        usage: WindowUsage,
    },
    /// Leave a message in the store, under the sender's name, for the holder that cannot be reached.
    LeaveMessage(UsageMessage),
    /// Remove the message of this entry.
    RemoveMessage,
    /// Read the messages that were left. Each is an event.
    ReadMessages,
    /// Log that windows are not reported.
    Missed {
        /// First of them.
        first: UsageWindow,
        /// Last of them.
        last: UsageWindow,
        /// Why they are not.
        cause: MissCause,
    },
}

/// What is read besides the duty's records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadNeed {
    /// The counts that a holder saved.
    pub saved: bool,
    /// The messages that entries left, of which each is an event before that of the records.
    pub messages: bool,
}

/// Why a window is not reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum MissCause {
    /// Its report would be too late.
    TooLate,
    /// It may have been reported before the store was restored, with other counts.
    MayBeReported,
}
