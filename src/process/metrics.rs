//! Metrics of a process in the Prometheus text format.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Labels of a final answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    /// Customer of the request, or `unknown` for one without a contract.
    pub customer: String,
    /// `completed`, `answered` or the reason of a refusal.
    pub end: String,
}

/// Metrics of an entry or a side.
#[derive(Debug)]
pub struct ProcessMetrics {
    registry: Registry,
    /// Number of final answers by customer and end.
    pub requests: Family<EndLabels, Counter>,
    /// Time from a request's arrival to its final answer, in seconds.
    pub request_seconds: Histogram,
    /// Time from a request's arrival to its first output, in seconds.
    pub first_output_seconds: Histogram,
    /// Number of frames received over links.
    pub frames: Counter,
    /// Number of bytes received over links.
    pub frame_bytes: Counter,
    /// Number of links that are up.
    pub links: Gauge,
    /// Number of records appended to the log.
    pub appends: Counter,
    /// Number of appends that failed or whose response was lost.
    pub append_failures: Counter,
    /// Offset of the next record to read.
    pub log_next: Gauge<i64>,
    /// Whether the log service answers (1) or not (0).
    pub log_reachable: Gauge,
    /// Number of idempotency keys whose outcome is unknown.
    pub unknown_outcomes: Gauge,
    /// Time spent in the role's state machine, in seconds.
    pub decision_seconds: Counter<f64, AtomicU64>,
    /// Number of events that the role's state machine has handled.
    pub decisions: Counter,
}

impl Default for ProcessMetrics {
    fn default() -> ProcessMetrics {
        let bounds = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.48, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0];
        let mut metrics = ProcessMetrics {
            registry: Registry::with_prefix("sapphirewell"),
            requests: Family::default(),
            request_seconds: Histogram::new(bounds),
            first_output_seconds: Histogram::new(bounds),
            frames: Counter::default(),
            frame_bytes: Counter::default(),
            links: Gauge::default(),
            appends: Counter::default(),
            append_failures: Counter::default(),
            log_next: Gauge::default(),
            log_reachable: Gauge::default(),
            unknown_outcomes: Gauge::default(),
            decision_seconds: Counter::default(),
            decisions: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl ProcessMetrics {
    /// Returns the metrics in the text format; empty if the encoder fails.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(_) => String::new(),
        }
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Final answers", self.requests.clone());
        registry.register(
            "request_seconds",
            "Arrival to final answer",
            self.request_seconds.clone(),
        );
        registry.register(
            "first_output_seconds",
            "Arrival to first output",
            self.first_output_seconds.clone(),
        );
        registry.register("link_frames", "Frames received", self.frames.clone());
        registry.register("link_bytes", "Bytes received", self.frame_bytes.clone());
        registry.register("links", "Working links", self.links.clone());
        registry.register("log_appends", "Records appended", self.appends.clone());
        registry.register(
            "log_append_failures",
            "Appends without an answer",
            self.append_failures.clone(),
        );
        registry.register("log_next_offset", "Next record to read", self.log_next.clone());
        registry.register(
            "log_reachable",
            "Whether the log service answers",
            self.log_reachable.clone(),
        );
        registry.register(
            "unknown_outcomes",
            "Keys with an unknown outcome",
            self.unknown_outcomes.clone(),
        );
        registry.register(
            "decision_seconds",
            "Time spent in decisions",
            self.decision_seconds.clone(),
        );
        registry.register("decisions", "Decisions taken", self.decisions.clone());
    }
}
