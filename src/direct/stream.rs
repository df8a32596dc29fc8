//! Streams that callers take up again after they broke off.

use std::sync::Arc;

use serde::Serialize;

/// Names a stream by the id of the request that brought its first event.
pub type StreamId = Arc<str>;
/// Version of a target's software. Versions have no order.
pub type SoftwareVersion = Arc<str>;

/// Part of a request that goes on with an earlier stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StreamResume {
    /// The stream; `None` if the caller does not name it.
    pub stream: Option<StreamId>,
}
