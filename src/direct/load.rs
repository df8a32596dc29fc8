//! What other entries have in flight, so that each sees the fleet's whole load.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{OrderFencingToken, PeerName, PromptSegment, SuspectReport};
use crate::ids::{ClockTime, TargetId};

/// Age at which a peer's report no longer counts; ten missed reports.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Work in flight at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// Requests.
    pub running: u32,
    /// Prompt tokens still to be read for requests that can be in time.
    #[serde(rename = "fresh")]
    pub on_time_tokens: u32,
    /// Prompt tokens still to be read for requests that are late already, which
    /// targets read after the others.
    #[serde(rename = "late")]
    pub late_tokens: u32,
}

/// What one entry has in flight at one target, and has learned of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetUsage {
    /// The target.
    pub target: TargetId,
    /// Its work in flight.
    pub in_flight: InFlight,
    /// Prompt tokens that it read in a second.
    #[serde(rename = "read_rate")]
    pub prefill_rate: f32,
    /// Number of timings behind that rate.
    pub samples: u32,
}

/// Part of a prompt that a target has read lately.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CachedSegment {
    /// The target.
    pub target: TargetId,
    /// The part.
    #[serde(rename = "part")]
    pub segment: PromptSegment,
}

/// What one entry has in flight at all targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The entry.
    pub peer: PeerName,
    /// Start of its process, so that an old report is not taken for a new one.
    pub instance: u64,
    /// Number of the report within that process.
    pub sequence: u64,
    /// Whether the counts are all that it has; otherwise those that changed
    /// since its report before.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Targets where it has anything in flight, or that it has timed.
    #[serde(rename = "counts")]
    pub targets: Vec<TargetUsage>,
    /// Long shared parts that targets have read for it lately.
    #[serde(rename = "kept")]
    pub cached: Vec<CachedSegment>,
    /// Requests that crashed targets; in whole reports, for entries that started since.
    pub suspects: Vec<SuspectReport>,
    /// Claim on ordering engines, if the entry has one.
    pub claim: Option<OrderFencingToken>,
    /// Engines that are about to change their part and take no new work.
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
}

/// The newest report of each peer.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PeerTable {
    peers: HashMap<PeerName, PeerLoad>,
}

impl PeerTable {
    /// Takes in a report; one that is older than the known one is ignored.
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
        });
        if report.full || load.instance != report.instance {
            load.targets.clear();
        }
        load.instance = report.instance;
        load.sequence = report.sequence;
        load.received = now;
        load.claim = report.claim;
        let targets = report.targets.into_iter().map(|usage| (usage.target.clone(), usage));
        load.targets.extend(targets);
    }

    /// Drops peers that went silent.
    pub fn expire(&mut self, now: ClockTime) {
        self.peers.retain(|_, peer| now <= peer.received + PEER_TIMEOUT);
    }

    /// Returns the newest claim of a live peer on ordering engines.
    pub fn newest_claim(&self) -> Option<OrderFencingToken> {
        self.peers.values().filter_map(|peer| peer.claim).max()
    }

    /// Tells whether a name comes before those of all live peers.
    pub fn is_first(&self, name: &PeerName) -> bool {
        self.peers.keys().all(|peer| name < peer)
    }

    /// Returns the number of live peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Tells whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns what peers have in flight at a target.
    pub fn in_flight_at(&self, target: &TargetId) -> InFlight {
        self.usage(target).fold(InFlight::default(), |sum, usage| sum + usage.in_flight)
    }

    /// Returns the reading rate that peers have learned, and their number of timings.
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
    /// Adds prompt tokens.
    pub fn add_prefill_tokens(&mut self, late: bool, tokens: u32) {
        let tokens_left = if late { &mut self.late_tokens } else { &mut self.on_time_tokens };
        *tokens_left += tokens;
    }

    /// Takes prompt tokens out.
    pub fn remove_prefill_tokens(&mut self, late: bool, tokens: u32) {
        let tokens_left = if late { &mut self.late_tokens } else { &mut self.on_time_tokens };
        *tokens_left = tokens_left.saturating_sub(tokens);
    }

    /// Returns the prompt tokens that are read before a new request's.
    pub fn tokens_ahead(&self, late: bool) -> u32 {
        if late { self.on_time_tokens + self.late_tokens } else { self.on_time_tokens }
    }

    /// Tells whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        *self == InFlight::default()
    }
}
