//! Body of an answer on its way from a target to a caller.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    header::HeaderMap,
};
use snafu::Snafu;
use tokio::time::{Instant, Sleep};

use super::{metrics::EndLabels, pool::ConnectionLease, shell::DirectShell};
use crate::{
    direct::{DirectEvent, FlowId, RequestTrace},
    platform::runner,
};

/// Why an answer was broken off; the caller's connection is closed with it.
#[derive(Debug, Snafu)]
pub(super) enum AnswerBreak {
    /// The target's answer broke off.
    #[snafu(display("the target's answer broke off ({source})"))]
    Target {
        /// The failure.
        source: hyper::Error,
    },
    /// The route's time limit has passed.
    #[snafu(display("the route's time limit has passed"))]
    TimedOut,
}

/// Ends a request when it is dropped, whatever became of it.
pub(super) struct FlowGuard {
    shell: Rc<DirectShell>,
    pub(super) flow: FlowId,
    id: String,
    whole: bool,
    status: u16,
    longest_pause: Duration,
}

impl FlowGuard {
    pub(super) fn new(shell: Rc<DirectShell>, flow: FlowId, id: String) -> FlowGuard {
        FlowGuard { shell, flow, id, whole: false, status: 0, longest_pause: Duration::ZERO }
    }

    pub(super) fn set_status(&mut self, status: u16) {
        self.status = status;
    }

    /// Counts the end in the metrics.
    fn count(&self, trace: &RequestTrace, reason: &str) {
        let metrics = &self.shell.metrics;
        let end = match (reason, self.whole) {
            ("", true) => "whole",
            ("", false) => "broken",
            (reason, _) => reason,
        };
        let labels = EndLabels { status: self.status, end: end.to_owned() };
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
        let trace = self.shell.trace(self.flow).unwrap_or_default();
        self.shell.close_flow(self.flow, self.whole);
        let reason = trace.reason.map_or_else(String::new, |reason| reason.to_string());
        self.count(&trace, &reason);
        log::info!(
            request:% = self.id,
            route:% = trace.route,
            version:% = trace.version,
            status:% = self.status,
            whole:% = self.whole,
            reason:% = reason,
            calls:% = trace.calls.join("; "),
            subject:% = trace.shared_segment,
            estimate_ms:% = trace.estimate_ms,
            waiting_ms:% = trace.waiting_ms,
            first_ms:? = trace.first_ms,
            pause_ms:% = self.longest_pause.as_millis();
            "request ended"
        );
    }
}

/// Answer's body: the target's, the system's own, or nothing.
pub(super) enum AnswerBody {
    /// Bytes of the system's own answer.
    Own(Option<Bytes>),
    /// Bytes of the target's answer.
    Target(Box<TargetBody>),
}

/// The target's body with all that ends together with it.
pub(super) struct TargetBody {
    pub(super) upstream: Incoming,
    pub(super) lease: Option<ConnectionLease>,
    pub(super) idle_limit: Option<Duration>,
    pub(super) reusable: bool,
    pub(super) guard: FlowGuard,
    pub(super) cut: Pin<Box<Sleep>>,
    pub(super) last_output: Option<Instant>,
}

impl AnswerBody {
    pub(super) fn own(bytes: Bytes) -> AnswerBody {
        AnswerBody::Own(Some(bytes))
    }
}

impl TargetBody {
    pub(super) fn reuse(headers: &HeaderMap) -> (bool, Option<Duration>) {
        (!runner::closes_connection(headers), runner::keep_alive_timeout(headers))
    }

    fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBreak>>> {
        match Pin::new(&mut self.upstream).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                self.note_output();
                if self.upstream.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(source))) => {
                self.lease = None;
                let flow = self.guard.flow;
                self.guard.shell.step(DirectEvent::AnswerInterrupted { flow });
                Poll::Ready(Some(Err(AnswerBreak::Target { source })))
            }
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending => match self.cut.as_mut().poll(context) {
                Poll::Ready(()) => {
                    self.lease = None;
                    Poll::Ready(Some(Err(AnswerBreak::TimedOut)))
                }
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn note_output(&mut self) {
        let now = Instant::now();
        match self.last_output.replace(now) {
            Some(last) => {
                let pause = now - last;
                self.guard.longest_pause = self.guard.longest_pause.max(pause);
            }
            None => {
                let flow = self.guard.flow;
                self.guard.shell.step(DirectEvent::FirstOutput { flow });
            }
        }
    }

    fn finish(&mut self) {
        self.guard.whole = true;
        if let Some(lease) = self.lease.take()
            && self.reusable
        {
            self.guard.shell.pools.give_back(lease, self.idle_limit);
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerBreak;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBreak>>> {
        match self.get_mut() {
            AnswerBody::Own(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            AnswerBody::Target(body) => body.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Own(bytes) => bytes.is_none(),
            AnswerBody::Target(body) => body.upstream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Own(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Target(body) => body.upstream.size_hint(),
        }
    }
}
