//! Identifiers, times and hashes used by all roles.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// Name of a customer, as in its contract.
pub type CustomerId = Arc<str>;
/// Name of a target: an engine or a plain service.
pub type TargetId = Arc<str>;
/// Name of a VM of the platform.
pub type VmId = Arc<str>;
/// Name of a side process, which stays the same over restarts.
pub type SideId = Arc<str>;
/// Name of a data centre.
pub type DataCentreId = Arc<str>;
/// Identifies one proposed change, which makes a repeated append idempotent.
pub type ChangeId = Arc<str>;
/// Position of a record in the platform's log.
pub type LogOffset = u64;
/// Revision of a contract: the offset of the record that set it, or 0 if there is none.
pub type ContractRevision = u64;
/// Fencing token of a side process: it grows with each new owner, so that a target can refuse
/// requests from a process that has been replaced.
pub type FencingToken = u64;
/// Time of the log service's clock, since the Unix epoch.
pub type LogTime = Duration;
/// Time of a process's monotonic clock, since an arbitrary origin.
pub type ClockTime = Duration;
/// Hash of a request's content.
pub type ContentFingerprint = u64;
/// Hash of a prompt prefix that ends on a block boundary.
pub type PrefixHash = u64;

/// Unique identity that an entry assigns to a request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId {
    /// Random number that identifies a run of the entry process.
    pub instance: u64,
    /// Sequence number of the request within that run, from 1.
    pub sequence: u64,
}

/// Identity of one attempt to run a request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AttemptId {
    /// Request that is attempted.
    pub request: RequestId,
    /// Sequence number of the attempt within the request, from 1.
    pub number: u32,
}
