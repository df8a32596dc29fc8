//! Load reports of peer entries, from which each entry knows the load of the whole fleet.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    LeavingTarget, LimitStatement, OrderFencingToken, PeerName, PromptSegment, RequestRate,
    ServiceDemand, ServiceName,
};
use crate::ids::{ClockTime, TargetId};

/// Age after which a peer's load no longer counts; ten missed reports.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Work in flight at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// Requests that run or wait to run, without those that are only in prefill.
    pub running: u32,
    /// Prompt tokens that await prefill for requests that were not late on arrival.
    #[serde(rename = "fresh")]
    pub on_time_tokens: u32,
    /// Prompt tokens that await prefill for requests that were late on arrival. Targets
    /// prefill them after the others.
    #[serde(rename = "late")]
    pub late_tokens: u32,
}

/// One entry's work in flight at one target, and its estimate of the target's speed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetUsage {
    /// Target at which the work is in flight.
    pub target: TargetId,
    /// Work of the reporting entry that is in flight.
    pub in_flight: InFlight,
    /// Measured prefill rate, in tokens per second.
    #[serde(rename = "read_rate")]
    pub prefill_rate: f32,
    /// Number of samples behind that rate.
    pub samples: u32,
}

/// Prompt segment that a target has recently put into its cache.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CachedSegment {
    /// Target whose cache holds the segment.
    pub target: TargetId,
    /// Identifier and length of the segment.
    #[serde(rename = "part")]
    pub segment: PromptSegment,
}

/// Report of one entry to its peers: load, cached segments and claims.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the reporting entry.
    pub peer: PeerName,
    /// Random number of the entry's process start, which distinguishes it from earlier ones.
    pub instance: u64,
    /// Sequence number of the report within that process.
    pub sequence: u64,
    /// Whether `targets` lists all targets in use; otherwise it lists those that changed
    /// since the previous report.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Targets where the entry has work in flight or a measured prefill rate.
    #[serde(rename = "counts")]
    pub targets: Vec<TargetUsage>,
    /// Segments of long shared prefixes that targets have recently cached.
    #[serde(rename = "kept")]
    pub cached: Vec<CachedSegment>,
    /// Empty. Entries of earlier versions cannot read a report without it.
    #[serde(skip_deserializing)]
    pub suspects: Vec<()>,
    /// Fencing token of the entry's claim on ordering engines, if it holds one.
    pub claim: Option<OrderFencingToken>,
    /// Targets that stated lately that they leave.
    #[serde(default)]
    pub leaving: Vec<LeavingTarget>,
    /// Limits that targets stated to the entry lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitStatement>,
    /// Requests that come to the entry for services with limited targets.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<ServiceDemand>,
    /// Engines that are switching stages and take no new work.
    #[serde(rename = "moving")]
    pub switching: Vec<TargetId>,
}

#[derive(Debug, Clone, Serialize)]
struct PeerLoad {
    instance: u64,
    sequence: u64,
    received: ClockTime,
    claim: Option<OrderFencingToken>,
    #[serde(rename = "counts")]
    targets: HashMap<TargetId, TargetUsage>,
    demand: Vec<ServiceDemand>,
}

/// Current load of each peer, by its reports.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PeerTable {
    peers: HashMap<PeerName, PeerLoad>,
}

impl PeerTable {
    /// Applies a report, unless a later one of the same process was applied.
    pub fn apply(&mut self, now: ClockTime, report: LoadReport) {
        let stale = self.peers.get(&report.peer).is_some_and(|known| {
            known.instance == report.instance && known.sequence >= report.sequence
        });
        if stale {
            return;
        }
        let load = self.peers.entry(report.peer).or_insert_with(|| PeerLoad {
            instance: report.instance,
            sequence: report.sequence,
            received: now,
            claim: None,
            targets: HashMap::new(),
            demand: Vec::new(),
        });
        if report.full || load.instance != report.instance {
            load.targets.clear();
        }
        load.instance = report.instance;
        load.sequence = report.sequence;
        load.received = now;
        load.claim = report.claim;
        load.demand = report.demand;
        let targets = report.targets.into_iter().map(|usage| (usage.target.clone(), usage));
        load.targets.extend(targets);
    }

    /// Removes peers that have not reported within [`PEER_TIMEOUT`].
    pub fn expire(&mut self, now: ClockTime) {
        self.peers.retain(|_, peer| now <= peer.received + PEER_TIMEOUT);
    }

    /// Returns the newest claim on ordering engines among live peers.
    pub fn newest_claim(&self) -> Option<OrderFencingToken> {
        self.peers.values().filter_map(|peer| peer.claim).max()
    }

    /// Returns whether a name sorts before the names of all live peers.
    pub fn is_first(&self, name: &PeerName) -> bool {
        self.peers.keys().all(|peer| name < peer)
    }

    /// Returns the names of live peers.
    pub fn names(&self) -> impl Iterator<Item = &PeerName> {
        self.peers.keys()
    }

    /// Returns the number of live peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer is live.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the sum of all peers' work in flight at a target.
    pub fn in_flight_at(&self, target: &TargetId) -> InFlight {
        self.usage(target).fold(InFlight::default(), |sum, usage| sum + usage.in_flight)
    }

    /// Returns the rate of requests for a service that come to some of the peers.
    pub fn demand(
        &self,
        service: &ServiceName,
        is_counted: impl Fn(&PeerName) -> bool,
    ) -> RequestRate {
        let peers = self.peers.iter().filter(|(name, _)| is_counted(name));
        let demands = peers.flat_map(|(_, peer)| &peer.demand);
        demands.filter(|demand| demand.service == *service).map(|demand| demand.rate).sum()
    }

    /// Returns the mean prefill rate that peers have measured, in tokens per second, and
    /// their number of samples. Both are 0 if no peer has measured one.
    pub fn prefill_rate(&self, target: &TargetId) -> (f32, u32) {
        let timed = self.usage(target).map(|usage| (usage.prefill_rate, usage.samples));
        let (sum, samples) = timed.fold((0.0, 0), |(sum, total), (rate, samples)| {
            (sum + rate * samples as f32, total + samples)
        });
        (if samples == 0 { 0.0 } else { sum / samples as f32 }, samples)
    }

    fn usage(&self, target: &TargetId) -> impl Iterator<Item = &TargetUsage> {
        self.peers.values().filter_map(move |peer| peer.targets.get(target))
    }
}

impl std::ops::Add for InFlight {
    type Output = InFlight;

    fn add(self, other: InFlight) -> InFlight {
        InFlight {
            running: self.running + other.running,
            on_time_tokens: self.on_time_tokens + other.on_time_tokens,
            late_tokens: self.late_tokens + other.late_tokens,
        }
    }
}

impl InFlight {
    /// Adds prompt tokens that await prefill.
    pub fn add_prefill_tokens(&mut self, late: bool, tokens: u32) {
        let tokens_left = if late { &mut self.late_tokens } else { &mut self.on_time_tokens };
        *tokens_left += tokens;
    }

    /// Removes prompt tokens whose prefill is done or was abandoned.
    pub fn remove_prefill_tokens(&mut self, late: bool, tokens: u32) {
        let tokens_left = if late { &mut self.late_tokens } else { &mut self.on_time_tokens };
        *tokens_left = tokens_left.saturating_sub(tokens);
    }

    /// Returns how many prompt tokens are prefilled before those of a new request.
    pub fn tokens_ahead(&self, late: bool) -> u32 {
        if late { self.on_time_tokens + self.late_tokens } else { self.on_time_tokens }
    }

    /// Returns whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        *self == InFlight::default()
    }
}
