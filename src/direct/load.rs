//! What other entries have in flight, so that each sees the fleet's whole load.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{OrderFencingToken, PeerName, PromptPart, SuspectReport};
use crate::ids::{ClockTime, TargetId};

/// Age at which a peer's report no longer counts; ten missed reports.
pub const PEER_LIFETIME: Duration = Duration::from_millis(1500);

/// Work in flight at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// Requests.
    pub running: u32,
    /// Prompt tokens still to be read for requests that can be in time.
    pub fresh: u32,
    /// Prompt tokens still to be read for requests that are late already, which
    /// targets read after the others.
    pub late: u32,
}

/// What one entry has in flight at one target, and has learned of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetCount {
    /// The target.
    pub target: TargetId,
    /// Its work in flight.
    pub in_flight: InFlight,
    /// Prompt tokens that it read in a second.
    pub read_rate: f32,
    /// Number of timings behind that rate.
    pub samples: u32,
}

/// Part of a prompt that a target has read lately.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeptReport {
    /// The target.
    pub target: TargetId,
    /// The part.
    pub part: PromptPart,
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
    pub whole: bool,
    /// Targets where it has anything in flight, or that it has timed.
    pub counts: Vec<TargetCount>,
    /// Long shared parts that targets have read for it lately.
    pub kept: Vec<KeptReport>,
    /// Requests that crashed targets; in whole reports, for entries that started since.
    pub suspects: Vec<SuspectReport>,
    /// Claim on ordering engines, if the entry has one.
    pub claim: Option<OrderFencingToken>,
    /// Engines that are about to change their part and take no new work.
    pub moving: Vec<TargetId>,
}

#[derive(Debug, Clone, Serialize)]
struct PeerLoad {
    instance: u64,
    sequence: u64,
    received: ClockTime,
    claim: Option<OrderFencingToken>,
    counts: HashMap<TargetId, TargetCount>,
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
            counts: HashMap::new(),
        });
        if report.whole || load.instance != report.instance {
            load.counts.clear();
        }
        load.instance = report.instance;
        load.sequence = report.sequence;
        load.received = now;
        load.claim = report.claim;
        let counts = report.counts.into_iter().map(|count| (count.target.clone(), count));
        load.counts.extend(counts);
    }

    /// Drops peers that went silent.
    pub fn expire(&mut self, now: ClockTime) {
        self.peers.retain(|_, peer| now <= peer.received + PEER_LIFETIME);
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
    pub fn at(&self, target: &TargetId) -> InFlight {
        self.counts(target).fold(InFlight::default(), |sum, count| sum + count.in_flight)
    }

    /// Returns the reading rate that peers have learned, and their number of timings.
    pub fn read_rate(&self, target: &TargetId) -> (f32, u32) {
        let timed = self.counts(target).map(|count| (count.read_rate, count.samples));
        let (sum, samples) = timed.fold((0.0, 0), |(sum, total), (rate, samples)| {
            (sum + rate * samples as f32, total + samples)
        });
        (if samples == 0 { 0.0 } else { sum / samples as f32 }, samples)
    }

    fn counts(&self, target: &TargetId) -> impl Iterator<Item = &TargetCount> {
        self.peers.values().filter_map(move |peer| peer.counts.get(target))
    }
}

impl std::ops::Add for InFlight {
    type Output = InFlight;

    fn add(self, other: InFlight) -> InFlight {
        InFlight {
            running: self.running + other.running,
            fresh: self.fresh + other.fresh,
            late: self.late + other.late,
        }
    }
}

impl InFlight {
    /// Adds prompt tokens.
    pub fn read_more(&mut self, late: bool, tokens: u32) {
        let count = if late { &mut self.late } else { &mut self.fresh };
        *count += tokens;
    }

    /// Takes prompt tokens out.
    pub fn read_done(&mut self, late: bool, tokens: u32) {
        let count = if late { &mut self.late } else { &mut self.fresh };
        *count = count.saturating_sub(tokens);
    }

    /// Returns the prompt tokens that are read before a new request's.
    pub fn ahead(&self, late: bool) -> u32 {
        if late { self.fresh + self.late } else { self.fresh }
    }

    /// Tells whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        *self == InFlight::default()
    }
}
