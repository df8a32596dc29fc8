//! Responses of a target and the faults in them.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response, StatusCode,
    body::Frame,
    header::{HeaderMap, HeaderValue},
};
use tokio::time::{Instant, sleep};

use super::{RunnerFaults, RunnerModel, state::locked};
use crate::stand_in::{BrokenOff, StandInBody, whole};

/// Time before a response breaks off in which its earlier bytes are written.
const FLUSH_TIME: Duration = Duration::from_millis(5);

impl RunnerModel {
    pub(super) fn inject_header_faults(
        &self,
        faults: &RunnerFaults,
        response: &mut Response<StandInBody>,
    ) {
        if faults.cross_answers {
            response
                .headers_mut()
                .insert("request-id", hyper::header::HeaderValue::from_static("other"));
        }
        if faults.unsigned {
            response.headers_mut().remove("server-signature");
        }
    }

    /// Returns the limit on requests that a response states.
    pub(super) fn stated_limit(faults: &RunnerFaults, headers: &HeaderMap) -> Option<HeaderValue> {
        let id = header_text(headers, "request-id").unwrap_or_default();
        let number = trailing_number(&id).unwrap_or(0) as u64;
        if faults.limit_gap > 0 && number.is_multiple_of(faults.limit_gap) {
            return None;
        }
        HeaderValue::try_from(faults.limit.as_deref()?).ok()
    }

    pub(super) fn decline_response(&self, headers: &HeaderMap) -> Response<StandInBody> {
        let retry_after = {
            let mut state = locked(&self.state);
            state.declined.push(Instant::now());
            state.faults.retry_after.clone()
        };
        let mut response = self.response(StatusCode::SERVICE_UNAVAILABLE, headers, "");
        response.headers_mut().insert("not-executed", hyper::header::HeaderValue::from_static("1"));
        if let Some(Ok(value)) = retry_after.map(HeaderValue::try_from) {
            response.headers_mut().insert("retry-after", value);
        }
        response
    }

    pub(super) fn response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: impl Into<Bytes>,
    ) -> Response<StandInBody> {
        let mut response = Response::new(whole(body));
        *response.status_mut() = status;
        if let Some(id) = headers.get("request-id") {
            response.headers_mut().insert("request-id", id.clone());
        }
        if let Ok(signature) = hyper::header::HeaderValue::from_str(&format!("{}.1", self.id)) {
            response.headers_mut().insert("server-signature", signature);
        }
        response
    }
}

/// Pauses in the middle of a body.
pub(super) fn paused_body(body: StandInBody, pause: Duration) -> StandInBody {
    let frames = unfold((Some(body), None::<Bytes>), move |(body, rest)| async move {
        if let Some(rest) = rest {
            sleep(pause).await;
            return Some((Ok(Frame::data(rest)), (body, None)));
        }
        let mut data = body?.collect().await.ok()?.to_bytes();
        let rest = data.split_off(data.len() / 2);
        Some((Ok(Frame::data(data)), (None, Some(rest))))
    });
    StreamBody::new(frames).boxed()
}

/// Breaks a body off after `limit` bytes, unless it ends before.
pub(super) fn cut_body(
    body: StandInBody,
    limit: usize,
    cut: BrokenOff,
    unframed: bool,
) -> StandInBody {
    let frames = unfold((body, Some(limit)), move |(mut body, left)| async move {
        let Some(left) = left else {
            // Lets the server write the bytes before the error discards them.
            sleep(FLUSH_TIME).await;
            return match (cut, unframed) {
                (BrokenOff::Closed, true) => None,
                (cut, _) => Some((Err(cut), (body, None))),
            };
        };
        let data = body.frame().await?.ok()?.into_data().ok()?;
        let left = left.checked_sub(data.len()).ok_or(left);
        let (data, left) = match left {
            Ok(left) => (data, Some(left)),
            Err(last) => (data.slice(..last), None),
        };
        Some((Ok(Frame::data(data)), (body, left)))
    });
    StreamBody::new(frames).boxed()
}

/// Returns the ids of the segments that the `prompt-prefix` header lists.
pub(super) fn prompt_segments(headers: &HeaderMap) -> Vec<u64> {
    let prefix = header_text(headers, "prompt-prefix").unwrap_or_default();
    let ids = prefix.split(',').filter_map(|segment| segment.split_once(':'));
    ids.filter_map(|(id, _)| u64::from_str_radix(id, 16).ok()).collect()
}

pub(super) fn trailing_number(id: &str) -> Option<usize> {
    id.rsplit_once('-')?.1.parse().ok()
}

pub(super) fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
