//! Response body on its way to a caller, and the end of its request.

use std::{
    collections::VecDeque,
    future::poll_fn,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    body::{Body, Frame, SizeHint},
    header::HeaderMap,
};
use smallvec::SmallVec;
use snafu::Snafu;
use tokio::{
    sync::mpsc,
    time::{Instant, Sleep},
};

use super::{
    call::ResponseEvidence, caller_stream::ConnectionReset, fault::ResponseFault,
    metrics::EndLabels, pool::ConnectionLease, shell::DirectDriver,
};
use crate::{
    direct::{
        DirectAction, DirectEvent, DirectTarget, FlowId, HeldPart, ReceivedEvents, RequestTrace,
    },
    event_stream::{EventBoundary, StrayHeadScanner},
    platform::runner::{self, BodyFraming},
    process::read_limit::ReceivedBody,
};

/// Largest response that is held back, in bytes.
const MAX_HELD_BYTES: usize = 64 * 1024;

/// Error that ends a response body early; the caller's connection is closed with it.
#[derive(Debug, Snafu)]
pub(super) enum BodyError {
    /// The target's response broke off.
    #[snafu(display("the target's response broke off ({source})"))]
    Target {
        /// Error of the connection to the target.
        source: hyper::Error,
    },
    /// The target's event stream ended before its last event did.
    #[snafu(display("the target's event stream ended inside an event"))]
    InsideEvent,
    /// The head of another response came in the target's event stream.
    #[snafu(display("the head of another response came in the target's event stream"))]
    StrayHead,
    /// The route's timeout has passed.
    #[snafu(display("the route's timeout has passed"))]
    TimedOut,
    /// The process exits.
    #[snafu(display("the process exits"))]
    Stopping,
}

/// Ends a request in the state machine, the metrics and the log when it is dropped.
pub(super) struct FlowGuard {
    driver: Rc<DirectDriver>,
    pub(super) flow: FlowId,
    id: String,
    /// Whether the target's response was read to its end.
    complete: bool,
    /// HTTP status of the response, or 0 before it is known.
    status: u16,
    /// Longest time between two frames of the response.
    longest_pause: Duration,
    framing: Option<BodyFraming>,
    body_bytes: u64,
    boundary: EventBoundary,
    /// Number of events that the body had so far, where those that came together count as one.
    events: u32,
    /// Time from the stop signal to the arrival of the request, if it came after the signal.
    stopping_for: Option<Duration>,
    /// What the calls that ended were judged by, in order.
    responses: SmallVec<[ResponseEvidence; 2]>,
}

/// Formats a value for a log line; an absent one is empty.
fn display_option<T: std::fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(String::new, |value| value.to_string())
}

impl FlowGuard {
    pub(super) fn new(driver: Rc<DirectDriver>, flow: FlowId, id: String) -> FlowGuard {
        FlowGuard {
            stopping_for: driver.stopping_for(),
            driver,
            flow,
            id,
            complete: false,
            status: 0,
            longest_pause: Duration::ZERO,
            framing: None,
            body_bytes: 0,
            boundary: EventBoundary::default(),
            events: 0,
            responses: SmallVec::new(),
        }
    }

    pub(super) fn driver(&self) -> &Rc<DirectDriver> {
        &self.driver
    }

    /// Records what a call that ended was judged by.
    pub(super) fn record_response(&mut self, evidence: ResponseEvidence) {
        self.responses.push(evidence);
    }

    /// Formats what the calls that ended were judged by, for the log.
    fn describe_responses(&self) -> String {
        let responses: Vec<String> = self.responses.iter().map(ToString::to_string).collect();
        responses.join("; ")
    }

    pub(super) fn set_framing(&mut self, framing: BodyFraming) {
        self.framing = Some(framing);
    }

    pub(super) fn set_status(&mut self, status: u16) {
        self.status = status;
    }

    /// Records the end of the request in the metrics.
    fn record_end(&self, trace: &RequestTrace, reason: &str) {
        let metrics = &self.driver.metrics;
        let end = match (reason, self.complete) {
            ("", true) => "whole",
            ("", false) => "broken",
            (reason, _) => reason,
        };
        let framing = self.framing.map_or("none", <&str>::from);
        let labels = EndLabels { status: self.status, end: end.to_owned(), framing };
        metrics.ends.get_or_create(&labels).inc();
        metrics.calls.inc_by(trace.calls.len() as u64);
        metrics.waiting_seconds.observe(trace.waiting_ms as f64 / 1000.0);
        if let Some(first) = trace.first_ms {
            metrics.first_seconds.observe(first as f64 / 1000.0);
            metrics.pause_seconds.observe(self.longest_pause.as_secs_f64());
        }
    }
}

impl Drop for FlowGuard {
    fn drop(&mut self) {
        let trace = self.driver.trace(self.flow).unwrap_or_default();
        self.driver.close_flow(self.flow, self.complete);
        let reason = display_option(trace.reason);
        self.record_end(&trace, &reason);
        // A request that ended whole is no suspect, and most do.
        let (segments, content, resource, caller) = match self.complete {
            true => ("", "", "", ""),
            false => (&*trace.segments, &*trace.content, &*trace.resource, &*trace.caller),
        };
        // The whole response that was delivered needs no reason.
        let responses = match self.complete && self.responses.len() == 1 {
            true => String::new(),
            false => self.describe_responses(),
        };
        log::info!(
            request:% = self.id,
            route:% = trace.route,
            customer:% = display_option(trace.customer.as_ref()),
            version:% = trace.version,
            status:% = self.status,
            whole:% = self.complete,
            reason:% = reason,
            calls:% = trace.calls.join("; "),
            responses:% = responses,
            resumes:% = display_option(trace.resumes.as_ref().map(|stream| format!("{stream:?}"))),
            subject:% = trace.shared_segment,
            segments:% = segments,
            content:% = content,
            resource:% = resource,
            caller:% = caller,
            objective_ms:% = trace.objective_ms,
            estimate_ms:% = trace.estimate_ms,
            waiting_ms:% = trace.waiting_ms,
            first_ms:% = display_option(trace.first_ms),
            pause_ms:% = self.longest_pause.as_millis(),
            framing:% = self.framing.map_or("none", <&str>::from),
            body_bytes:% = self.body_bytes,
            inside_event:% = self.boundary.is_inside_event(),
            stopping_ms:% = display_option(self.stopping_for.map(|time| time.as_millis()));
            "request ended"
        );
    }
}

/// Response body for a caller.
pub(super) enum ResponseBody {
    /// Bytes that this system generated; `None` once they were sent.
    Local(Option<Bytes>),
    /// Bytes that a target streams.
    Target(Box<TargetBody>),
}

/// Target's response body, with its connection and the request that ends with it.
pub(super) struct TargetBody {
    pub(super) target: Arc<DirectTarget>,
    pub(super) upstream: ReceivedBody,
    pub(super) lease: Option<ConnectionLease>,
    /// Idle timeout that the target stated for its connection.
    pub(super) keep_alive: Option<Duration>,
    pub(super) reusable: bool,
    /// Scanner of a body that is a stream of events.
    pub(super) stray_heads: Option<StrayHeadScanner>,
    /// Whether the head of another response follows the bytes that were passed on.
    pub(super) found_stray_head: bool,
    /// Ends the caller's connection early where the response breaks off.
    pub(super) reset: Option<ConnectionReset>,
    pub(super) guard: FlowGuard,
    /// Actions that end the response early.
    pub(super) actions: mpsc::UnboundedReceiver<DirectAction>,
    /// Timer after which the response is broken off.
    pub(super) timeout: Pin<Box<Sleep>>,
    /// When the last frame arrived.
    pub(super) last_output: Option<Instant>,
    /// Frames that were read before any was passed on.
    pub(super) held: VecDeque<Frame<Bytes>>,
    /// Whether these are all.
    pub(super) is_read: bool,
}

impl ResponseBody {
    pub(super) fn local(bytes: Bytes) -> ResponseBody {
        ResponseBody::Local(Some(bytes))
    }
}

impl TargetBody {
    /// Returns whether the connection can be reused, and its idle timeout.
    pub(super) fn connection_reuse(
        headers: &HeaderMap,
        framing: BodyFraming,
    ) -> (bool, Option<Duration>) {
        let closes = runner::closes_connection(headers) || framing == BodyFraming::Connection;
        (!closes, runner::keep_alive_timeout(headers))
    }

    /// Ends a response without a body, which the HTTP library does not poll.
    pub(super) fn finish_without_data(&mut self) {
        if self.upstream.is_end_stream() {
            self.complete();
            self.is_read = true;
        }
    }

    /// Reads a part of the body before any of it is passed on, so that the request can still fail
    /// as a whole. A response that is larger than [`MAX_HELD_BYTES`] begins if it ends before the
    /// exit even with all the time left to its request.
    ///
    /// # Errors
    /// Returns why the response cannot be passed on.
    pub(super) async fn hold(&mut self, part: HeldPart) -> Result<(), BodyError> {
        let mut bytes = 0;
        let mut first: Option<Instant> = None;
        while part != HeldPart::None && !self.is_read {
            let Some(frame) = poll_fn(|context| self.poll_target(context)).await else {
                self.is_read = true;
                break;
            };
            let frame = frame?;
            bytes += frame.data_ref().map_or(0, Bytes::len);
            self.held.push_back(frame);
            self.is_read = self.guard.complete;
            let received = match (part, first) {
                (HeldPart::FirstEvents, None) => ReceivedEvents::First,
                (HeldPart::FirstEvents, Some(at)) => ReceivedEvents::Second { gap: at.elapsed() },
                (HeldPart::Whole | HeldPart::None, _) if bytes > MAX_HELD_BYTES => {
                    ReceivedEvents::None
                }
                (HeldPart::Whole | HeldPart::None, _) => continue,
            };
            if !self.is_read && !self.guard.driver.may_begin(self.guard.flow, received) {
                return Err(self.break_off(BodyError::Stopping));
            }
            if received != ReceivedEvents::First {
                return Ok(());
            }
            first = Some(Instant::now());
        }
        Ok(())
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.held.pop_front() {
            Some(frame) => Poll::Ready(Some(Ok(frame))),
            None if self.is_read => Poll::Ready(None),
            None => self.poll_target(context),
        }
    }

    /// Returns whether nothing is left to pass on.
    fn is_end(&self) -> bool {
        self.held.is_empty()
            && (self.is_read || !self.found_stray_head && self.upstream.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let held: usize =
            self.held.iter().filter_map(|frame| frame.data_ref().map(Bytes::len)).sum();
        let (held, rest) = (held as u64, self.upstream.size_hint());
        let mut hint = SizeHint::new();
        hint.set_lower(held + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(held + upper);
        }
        hint
    }

    fn poll_target(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let action = self.actions.poll_recv(context);
        if let Poll::Ready(Some(DirectAction::BreakOff { .. } | DirectAction::Fail { .. })) = action
        {
            return Poll::Ready(Some(Err(self.break_off(BodyError::Stopping))));
        }
        // Checked first, as a target that sends without end always has a frame ready.
        if self.timeout.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(self.break_off(BodyError::TimedOut))));
        }
        while !self.found_stray_head {
            let frame = match ready!(Pin::new(&mut self.upstream).poll_frame(context)) {
                Some(Ok(frame)) => self.take_frame(frame),
                Some(Err(source)) => {
                    let error = match ResponseFault::of(&source) {
                        Some(fault) => self.reject(fault, source),
                        None => self.interrupt(BodyError::Target { source }),
                    };
                    return Poll::Ready(Some(Err(error)));
                }
                None => return Poll::Ready(self.finish().err().map(Err)),
            };
            if !self.found_stray_head && self.upstream.is_end_stream() {
                // The last frame of a stream that breaks off is withheld: with it, a body
                // of known length would be complete.
                return Poll::Ready(Some(self.finish().map(|()| frame)));
            }
            // Nothing is left of a frame that is held back.
            if frame.data_ref().is_none_or(|data| !data.is_empty()) {
                return Poll::Ready(Some(Ok(frame)));
            }
        }
        Poll::Ready(Some(Err(self.reject_stray_head())))
    }

    /// Records a frame, and returns what is to be passed on of it.
    fn take_frame(&mut self, frame: Frame<Bytes>) -> Frame<Bytes> {
        self.record_output();
        let data = match frame.into_data() {
            Ok(data) => data,
            Err(frame) => return frame,
        };
        self.guard.body_bytes += data.len() as u64;
        self.guard.boundary.advance(&data);
        if !data.is_empty() && !self.guard.boundary.is_inside_event() {
            self.guard.events = self.guard.events.saturating_add(1);
        }
        let Some(scanner) = &mut self.stray_heads else { return Frame::data(data) };
        let scanned = scanner.scan(data);
        self.found_stray_head = scanned.found;
        Frame::data(scanned.clean)
    }

    fn record_output(&mut self) {
        let now = Instant::now();
        match self.last_output.replace(now) {
            Some(last) => {
                let pause = now - last;
                self.guard.longest_pause = self.guard.longest_pause.max(pause);
            }
            None => {
                let flow = self.guard.flow;
                self.guard.driver.step(DirectEvent::FirstOutput { flow });
            }
        }
    }

    /// Ends the response, or reports that its target broke it off.
    ///
    /// The end of a connection ends a body without other framing, also when the target
    /// failed. Whole events are then the only sign that nothing is missing.
    fn finish(&mut self) -> Result<(), BodyError> {
        let boundary = &self.guard.boundary;
        let is_missing = boundary.is_empty() && self.guard.framing == Some(BodyFraming::Connection);
        if self.stray_heads.is_some() && (boundary.is_inside_event() || is_missing) {
            return Err(self.interrupt(BodyError::InsideEvent));
        }
        self.complete();
        Ok(())
    }

    /// Records that nothing of the response is missing, and gives its connection back.
    fn complete(&mut self) {
        self.guard.complete = true;
        if self.stray_heads.is_some() {
            let (flow, events) = (self.guard.flow, self.guard.events);
            self.guard.driver.step(DirectEvent::StreamEnded { flow, events });
        }
        if let Some(reset) = &self.reset {
            reset.limit_writes(None);
        }
        if let Some(lease) = self.lease.take()
            && self.reusable
        {
            self.guard.driver.pools.return_idle(lease, self.keep_alive);
        }
    }

    fn interrupt(&mut self, error: BodyError) -> BodyError {
        let flow = self.guard.flow;
        self.guard.driver.step(DirectEvent::AnswerInterrupted { flow });
        self.break_off(error)
    }

    /// Gives up a response that cannot be read.
    fn reject(&mut self, fault: ResponseFault, source: hyper::Error) -> BodyError {
        let flow = self.guard.flow;
        self.guard.driver.record_fault(&self.target, fault, &source);
        self.guard.driver.step(DirectEvent::AnswerMalformed { flow });
        self.break_off(BodyError::Target { source })
    }

    /// Breaks off a stream that another response follows.
    fn reject_stray_head(&mut self) -> BodyError {
        let error = BodyError::StrayHead;
        self.guard.driver.record_fault(&self.target, ResponseFault::StrayHead, &error);
        self.interrupt(error)
    }

    fn break_off(&mut self, error: BodyError) -> BodyError {
        self.lease = None;
        if let Some(reset) = &self.reset {
            reset.break_off();
        }
        error
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            ResponseBody::Local(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Target(body) => body.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Local(bytes) => bytes.is_none(),
            ResponseBody::Target(body) => body.is_end(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Local(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Target(body) => body.size_hint(),
        }
    }
}
