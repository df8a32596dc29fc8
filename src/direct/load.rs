//! What other entries have in flight, so that each sees the fleet's whole load.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::PeerName;
use crate::ids::{ClockTime, TargetId};

/// Age at which a peer's report no longer counts; ten missed reports.
pub const PEER_LIFETIME: Duration = Duration::from_millis(1500);

/// What one entry has in flight at one target.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetCount {
    /// The target.
    pub target: TargetId,
    /// Requests.
    pub running: u32,
    /// Prompt tokens that are not yet read.
    pub reading: u32,
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
    /// Targets where it has anything in flight.
    pub counts: Vec<TargetCount>,
}

#[derive(Debug, Clone, Serialize)]
struct PeerLoad {
    instance: u64,
    sequence: u64,
    received: ClockTime,
    counts: HashMap<TargetId, (u32, u32)>,
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
        let counts = report.counts.into_iter().map(|c| (c.target, (c.running, c.reading)));
        let load = PeerLoad {
            instance: report.instance,
            sequence: report.sequence,
            received: now,
            counts: counts.collect(),
        };
        self.peers.insert(report.peer, load);
    }

    /// Drops peers that went silent.
    pub fn expire(&mut self, now: ClockTime) {
        self.peers.retain(|_, peer| now <= peer.received + PEER_LIFETIME);
    }

    /// Returns the number of live peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Tells whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns requests and unread prompt tokens that peers have at a target.
    pub fn at(&self, target: &TargetId) -> (u32, u32) {
        let counts = self.peers.values().filter_map(|peer| peer.counts.get(target));
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    }
}
