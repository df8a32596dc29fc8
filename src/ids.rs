//! Identifiers that are shared by every role.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// Names a customer, as its contract does.
pub type CustomerId = Arc<str>;
/// Names a target: an engine or a plain service.
pub type TargetId = Arc<str>;
/// Names a VM of the platform.
pub type VmId = Arc<str>;
/// Names a side process; it stays the same over restarts.
pub type SideId = Arc<str>;
/// Names a data centre.
pub type DataCentreId = Arc<str>;
/// Names one proposed change, so that a repeated append is harmless.
pub type ChangeId = Arc<str>;
/// Position of a record in the platform's log.
pub type LogOffset = u64;
/// Revision of a contract: the offset of the record that set it, or 0 for none.
pub type ContractRevision = u64;
/// Fencing token of a side process: it grows with each new owner, so that a target can refuse
/// requests from a process that has been replaced.
pub type FencingToken = u64;
/// Time by the log service's clock, since the Unix epoch.
pub type LogTime = Duration;
/// Time by a process's own monotonic clock, since an arbitrary origin.
pub type ClockTime = Duration;
/// Hash of a request's content.
pub type ContentFingerprint = u64;
/// Hash of a prompt prefix that ends on a block boundary.
pub type PrefixHash = u64;

/// Identity that an entry gives to a request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId {
    /// Random number of the entry's process, drawn at its start.
    pub instance: u64,
    /// Count of requests within that process.
    pub sequence: u64,
}

/// Identity of one attempt at a request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Count of attempts at it, from 1.
    pub number: u32,
}
