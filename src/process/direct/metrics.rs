//! Metrics of a direct entry, in the Prometheus text format.

use std::{sync::atomic::AtomicU64, time::Duration};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use strum::IntoStaticStr;

use crate::{
    direct::{CallerIdentity, CrashSuspect, UsageState},
    platform::{caller::RequestRejection, store::PageTransfer},
};

/// Labels of an ended request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct EndLabels {
    /// HTTP status of the response, or 0 if the caller disconnected before it.
    pub(super) status: u16,
    /// Reason of a failure that this system reported, `whole` for a complete response of a
    /// target, or `broken` for any other end.
    pub(super) end: String,
    /// How the target's response states where its body ends, or `none` without a response.
    pub(super) framing: &'static str,
}

/// Labels of a store read.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct StoreLabels {
    /// Topic that was read.
    pub(super) topic: &'static str,
    /// `read` for a success, else a [`StoreError`](crate::platform::store::StoreError) label.
    pub(super) end: &'static str,
}

/// Label of a topic of the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct TopicLabels {
    /// The topic.
    topic: &'static str,
}

/// What datagrams between entries hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum PeerContent {
    /// Received report, with all of its parts.
    Report,
    /// Load, cached segments and what concerns all entries, in a report that is sent.
    Load,
    /// Customers' work in a report that is sent.
    Shares,
    /// Crashes and suspects in a report that is sent.
    Suspects,
    /// Message about the origin of a stream.
    Stream,
    /// Message about customers' usage.
    Usage,
}

/// Labels of datagrams between entries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PeerLabels {
    /// [`PeerContent`].
    content: &'static str,
    /// `sent` or `received`.
    direction: &'static str,
}

/// Labels of a faulty response.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct FaultLabels {
    /// [`ResponseFault`](super::fault::ResponseFault) of a target's response.
    pub(super) fault: &'static str,
}

/// Labels of a check of a caller's identity.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct IdentityLabels {
    /// `customer` or `anonymous` for a request that is served, else a
    /// [`CredentialFault`](crate::platform::credential::CredentialFault).
    pub(super) result: &'static str,
}

/// Numbers of suspects with which requests are not sent, by kind.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BlockedCounts {
    segments: i64,
    requests: i64,
}

impl BlockedCounts {
    /// Counts suspects with which requests are not sent, by kind.
    pub(super) fn of<'a>(blocked: impl Iterator<Item = &'a CrashSuspect>) -> BlockedCounts {
        let mut counts = BlockedCounts::default();
        for suspect in blocked {
            match suspect {
                CrashSuspect::Segment(_) => counts.segments += 1,
                CrashSuspect::Path(_)
                | CrashSuspect::Content(_)
                | CrashSuspect::Resource(_)
                | CrashSuspect::Caller(_) => counts.requests += 1,
            }
        }
        counts
    }
}

/// Values that are taken from the state when the metrics are scraped.
#[derive(Debug, Clone, Copy)]
pub(super) struct StateGauges {
    pub(super) in_flight: usize,
    pub(super) targets: usize,
    pub(super) blocked: BlockedCounts,
    /// Number of targets that state a limit on requests.
    pub(super) limited_targets: usize,
    /// Number of customers above their shares.
    pub(super) limited_customers: usize,
    pub(super) peers: usize,
    pub(super) version: u64,
    pub(super) configuration_age: Duration,
    pub(super) targets_age: Duration,
    pub(super) log_lines_dropped: u64,
    /// State of the usage duty, if there is one.
    pub(super) usage: Option<UsageState>,
    /// Whether this entry holds the duty to order the number of targets.
    pub(super) holds_scale_duty: bool,
}

/// Bucket bounds of the duration histograms, in seconds.
const DURATION_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Gauge of a time in seconds.
type SecondsGauge = Gauge<f64, AtomicU64>;

/// Metrics of one direct entry.
#[derive(Debug)]
pub(super) struct DirectMetrics {
    registry: Registry,
    pub(super) ends: Family<EndLabels, Counter>,
    pub(super) waiting_seconds: Histogram,
    pub(super) first_seconds: Histogram,
    pub(super) pause_seconds: Histogram,
    pub(super) calls: Counter,
    pub(super) faults: Family<FaultLabels, Counter>,
    identities: Family<IdentityLabels, Counter>,
    pub(super) store_calls: Family<StoreLabels, Counter>,
    pub(super) store_seconds: Histogram,
    store_bytes: Family<TopicLabels, Counter>,
    copied_bytes: Counter,
    peer_bytes: Family<PeerLabels, Counter>,
    peer_datagrams: Family<PeerLabels, Counter>,
    read_bytes: Family<TopicLabels, Gauge>,
    read_seconds: Family<TopicLabels, SecondsGauge>,
    in_flight: Gauge,
    targets: Gauge,
    limited_targets: Gauge,
    limited_customers: Gauge,
    blocked_segments: Gauge,
    blocked_requests: Gauge,
    peers: Gauge,
    version: Gauge,
    configuration_age: SecondsGauge,
    targets_age: SecondsGauge,
    log_lines_dropped: Gauge,
    usage_holder: Gauge,
    usage_report_age: SecondsGauge,
    usage_unreported: Gauge,
    scale_holder: Gauge,
}

impl Default for DirectMetrics {
    fn default() -> DirectMetrics {
        let mut metrics = DirectMetrics {
            registry: Registry::with_prefix("sapphirewell"),
            ends: Family::default(),
            waiting_seconds: Histogram::new(DURATION_BUCKETS),
            first_seconds: Histogram::new(DURATION_BUCKETS),
            pause_seconds: Histogram::new(DURATION_BUCKETS),
            calls: Counter::default(),
            faults: Family::default(),
            identities: Family::default(),
            store_calls: Family::default(),
            store_seconds: Histogram::new(DURATION_BUCKETS),
            store_bytes: Family::default(),
            copied_bytes: Counter::default(),
            peer_bytes: Family::default(),
            peer_datagrams: Family::default(),
            read_bytes: Family::default(),
            read_seconds: Family::default(),
            in_flight: Gauge::default(),
            targets: Gauge::default(),
            limited_targets: Gauge::default(),
            limited_customers: Gauge::default(),
            blocked_segments: Gauge::default(),
            blocked_requests: Gauge::default(),
            peers: Gauge::default(),
            version: Gauge::default(),
            configuration_age: Gauge::default(),
            targets_age: Gauge::default(),
            log_lines_dropped: Gauge::default(),
            usage_holder: Gauge::default(),
            usage_report_age: Gauge::default(),
            usage_unreported: Gauge::default(),
            scale_holder: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl DirectMetrics {
    /// Updates the gauges and returns all metrics in the Prometheus text format.
    pub(super) fn text(&self, state: StateGauges) -> String {
        self.in_flight.set(state.in_flight as i64);
        self.targets.set(state.targets as i64);
        self.limited_targets.set(state.limited_targets as i64);
        self.limited_customers.set(state.limited_customers as i64);
        self.blocked_segments.set(state.blocked.segments);
        self.blocked_requests.set(state.blocked.requests);
        self.peers.set(state.peers as i64);
        self.version.set(state.version as i64);
        self.configuration_age.set(state.configuration_age.as_secs_f64());
        self.targets_age.set(state.targets_age.as_secs_f64());
        self.log_lines_dropped.set(state.log_lines_dropped as i64);
        let usage = state.usage.unwrap_or_default();
        self.usage_holder.set(i64::from(usage.is_holder));
        self.scale_holder.set(i64::from(state.holds_scale_duty));
        self.usage_report_age.set(usage.report_age.as_secs_f64());
        self.usage_unreported.set(usage.unreported as i64);
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!(error:% = error; "failed to encode metrics");
        }
        text
    }

    /// Counts a request by the identity that was found. Without customers, none is looked for.
    pub(super) fn record_identity(&self, identity: &CallerIdentity) {
        match identity {
            CallerIdentity::Unchecked => {}
            CallerIdentity::Anonymous => self.count_identity("anonymous"),
            CallerIdentity::Customer(_) => self.count_identity("customer"),
        }
    }

    /// Counts a request that was rejected for its credentials.
    pub(super) fn record_rejection(&self, rejection: RequestRejection) {
        if let RequestRejection::Unauthorized { fault } = rejection {
            self.count_identity(fault.into());
        }
    }

    fn count_identity(&self, result: &'static str) {
        self.identities.get_or_create(&IdentityLabels { result }).inc();
    }

    /// Records the size and time of the last read of a topic that returned records.
    pub(super) fn record_transfer(&self, topic: &'static str, transfer: PageTransfer) {
        let labels = TopicLabels { topic };
        self.store_bytes.get_or_create(&labels).inc_by(transfer.bytes as u64);
        self.read_bytes.get_or_create(&labels).set(transfer.bytes as i64);
        self.read_seconds.get_or_create(&labels).set(transfer.time.as_secs_f64());
    }

    /// Counts datagrams that were sent with some content, and its bytes in each.
    pub(super) fn record_sent(&self, content: PeerContent, datagrams: usize, bytes: usize) {
        self.record_datagrams(content, "sent", datagrams, bytes);
    }

    /// Counts a datagram that was received.
    pub(super) fn record_received(&self, content: PeerContent, bytes: usize) {
        self.record_datagrams(content, "received", 1, bytes);
    }

    fn record_datagrams(
        &self,
        content: PeerContent,
        direction: &'static str,
        datagrams: usize,
        bytes: usize,
    ) {
        let labels = PeerLabels { content: content.into(), direction };
        self.peer_datagrams.get_or_create(&labels).inc_by(datagrams as u64);
        self.peer_bytes.get_or_create(&labels).inc_by((datagrams * bytes) as u64);
    }

    /// Counts the bytes of a copy of the records for a starting peer.
    pub(super) fn record_copy(&self, bytes: usize) {
        self.copied_bytes.inc_by(bytes as u64);
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "ends",
            "Requests by status, reason and framing of the target's response",
            self.ends.clone(),
        );
        registry.register(
            "waiting_seconds",
            "Expected wait for others when a request was placed",
            self.waiting_seconds.clone(),
        );
        registry.register("first_seconds", "Arrival to first output", self.first_seconds.clone());
        registry.register(
            "pause_seconds",
            "Longest pause of an answer",
            self.pause_seconds.clone(),
        );
        registry.register("calls", "Calls to targets", self.calls.clone());
        registry.register(
            "response_faults",
            "Responses of targets that were given up, by fault",
            self.faults.clone(),
        );
        registry.register(
            "identities",
            "Requests by what their credentials showed",
            self.identities.clone(),
        );
        registry.register("store_calls", "Reads of the store", self.store_calls.clone());
        registry.register(
            "store_seconds",
            "Time of reads of the store, held ones included",
            self.store_seconds.clone(),
        );
        registry.register(
            "store_read_bytes",
            "Size of the last read of a topic that returned records",
            self.read_bytes.clone(),
        );
        registry.register(
            "store_read_seconds",
            "Time of the last read of a topic that returned records, from head to end",
            self.read_seconds.clone(),
        );
        registry.register("in_flight", "Requests without an end", self.in_flight.clone());
        registry.register("targets", "Known targets", self.targets.clone());
        registry.register(
            "limited_targets",
            "Targets that state how many requests a second they take",
            self.limited_targets.clone(),
        );
        registry.register(
            "limited_customers",
            "Customers that have more than their share of too little room",
            self.limited_customers.clone(),
        );
        registry.register(
            "blocked_segments",
            "Prompt segments with which requests are rejected, as they crash targets",
            self.blocked_segments.clone(),
        );
        registry.register(
            "blocked_requests",
            "Requests that are rejected, as they crash targets",
            self.blocked_requests.clone(),
        );
        registry.register("peers", "Entries heard from lately", self.peers.clone());
        registry.register("configuration_version", "Version in force", self.version.clone());
        registry.register(
            "configuration_age_seconds",
            "Time since the configuration was last read to the newest version",
            self.configuration_age.clone(),
        );
        registry.register(
            "targets_age_seconds",
            "Time since the targets were last read",
            self.targets_age.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines that a summary stands for",
            self.log_lines_dropped.clone(),
        );
        self.register_duties();
        self.register_traffic();
    }

    fn register_traffic(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "store_bytes",
            "Bytes of records read from the store, by topic",
            self.store_bytes.clone(),
        );
        registry.register(
            "copied_bytes",
            "Bytes of copies of the records for starting peers",
            self.copied_bytes.clone(),
        );
        registry.register(
            "peer_bytes",
            "Bytes of datagrams between entries, by content and direction",
            self.peer_bytes.clone(),
        );
        registry.register(
            "peer_datagrams",
            "Datagrams between entries, by content and direction",
            self.peer_datagrams.clone(),
        );
    }

    fn register_duties(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "usage_holder",
            "1 if this entry holds the duty to report usage",
            self.usage_holder.clone(),
        );
        registry.register(
            "usage_report_age_seconds",
            "Time since the platform accepted a usage report of this process, or since its start",
            self.usage_report_age.clone(),
        );
        registry.register(
            "usage_unreported_windows",
            "Ended windows of usage of which no fixed counts are known here",
            self.usage_unreported.clone(),
        );
        registry.register(
            "scale_holder",
            "1 if this entry holds the duty to order the number of targets",
            self.scale_holder.clone(),
        );
    }
}
