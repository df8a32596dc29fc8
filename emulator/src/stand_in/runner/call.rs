//! Handles the calls that reach a target.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::{
    Method, Request, Response, StatusCode, Version,
    body::Incoming,
    header::{HeaderMap, HeaderValue},
    http::request::Parts,
};
use tokio::time::{Instant, sleep};

use super::{
    ReceivedCall, RunRecord, RunnerFaults, RunnerKind, RunnerModel,
    response::{cut_body, header_text, paused_body, prompt_segments, trailing_number},
    state::locked,
    stream::RunGuard,
};
use crate::stand_in::{BrokenOff, StandInBody, endless::EndlessFault, whole};

/// Duration of a call to a plain service that crashes, which does not end before the crash.
const LONGEST_CALL_TIME: Duration = Duration::from_secs(10);

impl RunnerModel {
    fn report(&self, headers: &HeaderMap) -> Response<StandInBody> {
        let report = locked(&self.state).orders.report(self.profile.kind);
        self.response(StatusCode::OK, headers, report)
    }

    fn accept_order(&self, headers: &HeaderMap, body: &Bytes) -> Response<StandInBody> {
        let status = locked(&self.state).orders.accept(body);
        self.response(status, headers, "")
    }

    /// Builds a response without end, and records the run that it stands for.
    fn endless_response(&self, fault: EndlessFault, parts: &Parts) -> Response<StandInBody> {
        let id = header_text(&parts.headers, "request-id").unwrap_or_default();
        if fault.counts_as_run() {
            let path = parts.uri.path().to_owned();
            let record = RunRecord { request: id.clone(), path, at: Instant::now(), read: 0 };
            locked(&self.state).runs.push(record);
        }
        let mut response = Response::new(whole(""));
        response.extensions_mut().insert(fault.response(&id, &self.id, &self.endless));
        response
    }

    pub(super) async fn handle(
        self,
        request: Request<Incoming>,
    ) -> Result<Response<StandInBody>, BrokenOff> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| BrokenOff::Closed)?.to_bytes();
        let faults = locked(&self.state).faults.clone();
        if let Some(endless) = faults.endless.filter(|endless| endless.concerns(&parts)) {
            return Ok(self.endless_response(endless, &parts));
        }
        let cut_after =
            header_text(&parts.headers, "request-id").and_then(|id| trailing_number(&id));
        let is_run = !parts.headers.contains_key("serving-stage");
        let stated_limit = RunnerModel::stated_limit(&faults, &parts.headers);
        let mut response = self.respond(parts, body).await?;
        if let (Some(cut), Some(bytes), true) = (faults.cut, cut_after, is_run) {
            response = response.map(|body| cut_body(body, bytes, cut, faults.unframed));
        }
        if let Some(limit) = stated_limit {
            response.headers_mut().insert("server-limit", limit);
        }
        if faults.says_leaving {
            response.headers_mut().insert("server-leaving", HeaderValue::from_static("1"));
        }
        if faults.unframed {
            // The server ends a response of this version and unknown length with its connection.
            *response.version_mut() = Version::HTTP_10;
            response = response.map(|body| StreamBody::new(BodyStream::new(body)).boxed());
        }
        Ok(response)
    }

    async fn respond(self, parts: Parts, body: Bytes) -> Result<Response<StandInBody>, BrokenOff> {
        let path = parts.uri.path().to_owned();
        self.record_call(&parts);
        if header_text(&parts.headers, "expect-instance").is_some_and(|id| id != *self.instance()) {
            return Ok(self.response(StatusCode::MISDIRECTED_REQUEST, &parts.headers, ""));
        }
        match path.as_str() {
            "/report" => return Ok(self.report(&parts.headers)),
            "/order" => return Ok(self.accept_order(&parts.headers, &body)),
            _ => {}
        }
        if parts.method == Method::DELETE {
            let name = path.rsplit('/').next().unwrap_or("").to_owned();
            locked(&self.caches).remove(&name);
            return Ok(self.response(StatusCode::OK, &parts.headers, ""));
        }
        if let Some(id) = header_text(&parts.headers, "request-id") {
            locked(&self.state).arrivals.push(id);
        }
        let faults = locked(&self.state).faults.clone();
        let wants_prefill =
            header_text(&parts.headers, "serving-stage").as_deref() == Some("prefill");
        if self.kind() != RunnerKind::Plain && wants_prefill != (self.kind() == RunnerKind::Prefill)
        {
            return Ok(self.response(StatusCode::MISDIRECTED_REQUEST, &parts.headers, ""));
        }
        if faults.decline || header_text(&parts.headers, "request-id").is_none() {
            return Ok(self.decline_response(&parts.headers));
        }
        if header_text(&parts.headers, "serving-stage").as_deref() == Some("prefill") {
            return self.prefill(&parts.headers, &faults).await;
        }
        if let Some(source) = header_text(&parts.headers, "kv-source")
            && !self.import_cache(&source, &parts.headers)
        {
            return Ok(self.decline_response(&parts.headers));
        }
        let from_cache = parts.headers.contains_key("kv-source");
        let deadline = header_text(&parts.headers, "deadline-ms").and_then(|t| t.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(deadline.unwrap_or(60_000));
        let priority = header_text(&parts.headers, "request-priority").and_then(|t| t.parse().ok());
        let slots = locked(&self.state).slots.clone();
        let taken = tokio::time::timeout_at(deadline, slots.take(priority.unwrap_or(5))).await;
        let Ok(slot) = taken else { return Ok(self.decline_response(&parts.headers)) };
        let read = if from_cache { 0 } else { self.prefill_prompt(&parts.headers, 2).await };
        let id = header_text(&parts.headers, "request-id").unwrap_or_default();
        let record = RunRecord { request: id.clone(), path, at: Instant::now(), read };
        locked(&self.state).runs.push(record);
        if faults.poison.as_ref() == Some(&body) {
            sleep(self.profile.call_time).await;
            return Err(BrokenOff::Closed);
        }
        let cause = RunnerModel::crash_cause(&faults, &parts.headers);
        let crashes = cause.is_some();
        if let Some(cause) = cause {
            self.crash_soon(cause, &parts.headers);
        }
        let running = RunGuard { runner: self.clone(), id: Some(id.clone()) };
        match self.kind() {
            RunnerKind::Plain => {
                let call_time = match crashes {
                    true => LONGEST_CALL_TIME,
                    false => self.profile.call_time,
                };
                sleep(call_time).await;
                running.end();
                drop(slot);
                self.finish_call(&faults, &parts.headers, &id)
            }
            RunnerKind::Prefill | RunnerKind::Decode => {
                if faults.lose_answer {
                    return Err(BrokenOff::Closed);
                }
                if faults.fail {
                    running.end();
                    return Ok(self.response(
                        StatusCode::INTERNAL_SERVER_ERROR,
                        &parts.headers,
                        "failed",
                    ));
                }
                Ok(self.stream(&faults, &parts.headers, slot, running))
            }
        }
    }

    fn record_call(&self, parts: &Parts) {
        let Some(request) = header_text(&parts.headers, "request-id") else { return };
        let received = ReceivedCall {
            request,
            at: Instant::now(),
            is_prefill: parts.headers.contains_key("serving-stage"),
            segments: prompt_segments(&parts.headers),
            customer: header_text(&parts.headers, "tenant"),
            has_credentials: parts.headers.contains_key("authorization"),
        };
        locked(&self.state).received.push(received);
    }

    fn finish_call(
        &self,
        faults: &RunnerFaults,
        headers: &HeaderMap,
        id: &str,
    ) -> Result<Response<StandInBody>, BrokenOff> {
        if faults.lose_answer {
            return Err(BrokenOff::Closed);
        }
        let (status, body) = match faults.fail {
            true => (StatusCode::INTERNAL_SERVER_ERROR, "failed".to_owned()),
            false => (StatusCode::OK, format!("answer to {id}")),
        };
        let mut response = self.response(status, headers, body);
        if let Some(pause) = faults.pause(id) {
            response = response.map(|body| paused_body(body, pause));
        }
        self.inject_header_faults(faults, &mut response);
        Ok(response)
    }
}
