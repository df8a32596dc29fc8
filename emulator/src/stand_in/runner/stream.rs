//! Streams of events that an engine responds with.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, StatusCode, body::Frame, header::HeaderMap};
use tokio::time::sleep;

use super::{RunnerFaults, RunnerModel, response::header_text, state::locked};
use crate::stand_in::{BrokenOff, StandInBody, slots::TakenSlot};

impl RunnerModel {
    pub(super) fn stream(
        &self,
        faults: &RunnerFaults,
        headers: &HeaderMap,
        slot: TakenSlot,
        running: RunGuard,
    ) -> Response<StandInBody> {
        let id = header_text(headers, "request-id").unwrap_or_default();
        let count = header_text(headers, "token-count").unwrap_or_default();
        let output: u64 = count.split_once(',').and_then(|(_, o)| o.parse().ok()).unwrap_or(1);
        let first =
            header_text(headers, "last-event-id").and_then(|t| t.parse().ok()).unwrap_or(0) + 1;
        let plan = StreamPlan {
            next: first,
            last: output.max(1),
            gap: faults.pause(&id).or(faults.event_gap).unwrap_or(self.profile.event_gap),
            break_after: faults.break_after,
            // An engine that is about to crash writes no more than one event.
            stall_after: RunnerModel::crash_cause(faults, headers).map(|_| first),
            id,
            padding: faults.event_padding,
        };
        let events = unfold((plan, Some((slot, running))), |(mut plan, mut held)| async move {
            if plan.next > plan.last {
                if let Some((slot, running)) = held.take() {
                    running.end();
                    drop(slot);
                }
                return None;
            }
            if plan.stall_after.is_some_and(|after| plan.next > after) {
                std::future::pending::<()>().await;
            }
            sleep(plan.gap).await;
            if plan.break_after.is_some_and(|after| plan.next > after) {
                return Some((Err(BrokenOff::Closed), (plan, held)));
            }
            let padding = ".".repeat(plan.padding);
            let event = format!("id: {}\ndata: {} {}{padding}\n\n", plan.next, plan.id, plan.next);
            plan.next += 1;
            Some((Ok(Frame::data(Bytes::from(event))), (plan, held)))
        });
        let mut response = self.response(StatusCode::OK, headers, "");
        *response.body_mut() = StreamBody::new(events).boxed();
        let kind = hyper::header::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
        self.inject_header_faults(faults, &mut response);
        response
    }
}

struct StreamPlan {
    next: u64,
    last: u64,
    gap: Duration,
    break_after: Option<u64>,
    stall_after: Option<u64>,
    id: String,
    padding: usize,
}

/// Records a run as cancelled if dropped before [`end`](Self::end).
pub(super) struct RunGuard {
    pub(super) runner: RunnerModel,
    pub(super) id: Option<String>,
}

impl RunGuard {
    pub(super) fn end(mut self) {
        self.id = None;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            locked(&self.runner.state).cancelled.push(id);
        }
    }
}
