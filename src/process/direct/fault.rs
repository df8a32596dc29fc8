//! Faults of targets' responses other than a lost connection.

use std::{error::Error, io};

use http_body_util::LengthLimitError;
use strum::IntoStaticStr;

use crate::process::read_limit::ReadLimitError;

/// Fault of a response, for the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum ResponseFault {
    /// It is no HTTP response, or its head or framing is too long.
    Malformed,
    /// Bytes came that belong to neither a head nor a body.
    NoProgress,
    /// The head did not end in time.
    SlowHead,
    /// Informational responses came instead of a final one.
    Informational,
    /// The body of a response that is not passed on is too long.
    LongBody,
    /// Such a body did not end in time.
    SlowBody,
    /// The head of another response came in a stream of events.
    StrayHead,
}

impl ResponseFault {
    /// Returns the fault behind an error, or `None` if the connection was lost.
    pub(super) fn of(error: &(dyn Error + 'static)) -> Option<ResponseFault> {
        if error.is::<LengthLimitError>() {
            return Some(ResponseFault::LongBody);
        }
        if let Some(limit) = ReadLimitError::of(error) {
            return Some(match limit {
                ReadLimitError::Bytes => ResponseFault::NoProgress,
                ReadLimitError::HeadTime => ResponseFault::SlowHead,
                ReadLimitError::Informational => ResponseFault::Informational,
            });
        }
        let error = error.downcast_ref::<hyper::Error>()?;
        let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>());
        // The HTTP library reports chunks that it cannot read as input errors.
        let is_bad_chunk = cause.is_some_and(|cause| {
            matches!(cause.kind(), io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData)
        });
        (error.is_parse() || is_bad_chunk).then_some(ResponseFault::Malformed)
    }
}
