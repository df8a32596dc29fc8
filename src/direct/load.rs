//! Load reports of peer entries, from which each entry knows the load of the whole fleet.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    LeavingTarget, LimitStatement, OrderFencingToken, PeerName, PrefillBacklog, PromptSegment,
    RequestRate, ServiceDemand, ServiceName,
    authority::{Duty, PeerClaims},
    backlog::{FIRST_LATE_PRIORITY, PRIORITY_COUNT},
    peer_usage::PeerUsage,
};
use crate::ids::{ClockTime, TargetId};

/// Shortest age after which a peer's load no longer counts, as several of its reports are missing.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of reports in which news is repeated, and after which a peer without one counts as gone.
const REPEATED_REPORTS: u32 = 3;

/// Shortest interval between reports. What peers place in it is unknown to an entry.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(30);
/// Limit on the datagrams that an entry sends per second. With many peers the interval
/// between reports grows to stay within it.
const MAX_DATAGRAMS_PER_SECOND: u32 = 120;

/// Returns the interval at which an entry reports to each of its peers.
pub fn report_interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    MIN_REPORT_INTERVAL.max(Duration::from_secs(1).saturating_mul(peers) / MAX_DATAGRAMS_PER_SECOND)
}

/// Returns the time for which news is repeated in reports to this many peers, `shortest` at
/// least, so that a lost report does no harm.
pub(super) fn repeat_time(peers: usize, shortest: Duration) -> Duration {
    shortest.max(report_interval(peers) * REPEATED_REPORTS)
}

/// Work in flight at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "InFlightRecord", into = "InFlightRecord")]
pub struct InFlight {
    /// Requests that run or wait to run, without those that are only in prefill.
    pub running: u32,
    /// Prompts that await prefill.
    pub backlog: PrefillBacklog,
}

/// Encoded form of [`InFlight`]. Entries of earlier versions know two sums in place of the backlog.
#[derive(Serialize, Deserialize)]
struct InFlightRecord {
    running: u32,
    /// Tokens of requests that were not late on arrival.
    fresh: u32,
    /// Tokens of requests that were late on arrival.
    late: u32,
    /// Left out if it is empty.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    backlog: Option<PrefillBacklog>,
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
    /// Fencing token of the entry's claim on reporting usage, if it holds one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage_claim: Option<OrderFencingToken>,
    /// Fencing token of the entry's claim on ordering targets, if it holds one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scale_claim: Option<OrderFencingToken>,
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

impl LoadReport {
    /// Returns whether estimates can be made with its numbers. Others come from a faulty process
    /// or a damaged datagram.
    pub fn has_valid_numbers(&self) -> bool {
        let is_rate = |rate: f32| rate.is_finite() && rate >= 0.0;
        let is_measured = |usage: &TargetUsage| {
            is_rate(usage.prefill_rate) && (usage.samples == 0 || usage.prefill_rate > 0.0)
        };
        self.targets.iter().all(is_measured)
            && self.demand.iter().all(|demand| is_rate(demand.rate))
            && self.limits.iter().all(|statement| is_rate(statement.limit))
    }
}

#[derive(Debug, Clone, Serialize)]
struct PeerLoad {
    instance: u64,
    sequence: u64,
    received: ClockTime,
    claim: Option<OrderFencingToken>,
    usage_claim: Option<OrderFencingToken>,
    scale_claim: Option<OrderFencingToken>,
    #[serde(rename = "counts")]
    targets: HashMap<TargetId, TargetUsage>,
    demand: Vec<ServiceDemand>,
}

impl PeerLoad {
    /// Replaces what the peer reports of a target, in the sums as well.
    fn set_usage(&mut self, sums: &mut PeerUsage, usage: TargetUsage) {
        if let Some(known) = self.targets.remove(&usage.target) {
            sums.remove(&known);
        }
        if !usage.in_flight.is_idle() || usage.samples > 0 {
            sums.add(&usage);
            self.targets.insert(usage.target.clone(), usage);
        }
    }

    fn clear_usage(&mut self, sums: &mut PeerUsage) {
        self.targets.drain().for_each(|(_, usage)| sums.remove(&usage));
    }

    fn claim_on(&self, duty: Duty) -> Option<OrderFencingToken> {
        match duty {
            Duty::Engines => self.claim,
            Duty::Usage => self.usage_claim,
            Duty::Scale => self.scale_claim,
        }
    }
}

/// Current load of each peer, by its reports.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PeerTable {
    peers: HashMap<PeerName, PeerLoad>,
    /// Sums over all of them. A decision looks at many targets, and each would be looked up at
    /// every peer.
    #[serde(skip)]
    usage: PeerUsage,
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
            usage_claim: None,
            scale_claim: None,
            targets: HashMap::new(),
            demand: Vec::new(),
        });
        if report.full || load.instance != report.instance {
            load.clear_usage(&mut self.usage);
        }
        load.instance = report.instance;
        load.sequence = report.sequence;
        load.received = now;
        load.claim = report.claim;
        load.usage_claim = report.usage_claim;
        load.scale_claim = report.scale_claim;
        load.demand = report.demand;
        report.targets.into_iter().for_each(|usage| load.set_usage(&mut self.usage, usage));
    }

    /// Returns the time after which a peer without a report counts as gone. It grows with their
    /// number, as the interval between reports does.
    pub fn timeout(&self) -> Duration {
        repeat_time(self.peers.len(), PEER_TIMEOUT)
    }

    /// Removes peers that have not reported within [`PeerTable::timeout`].
    pub fn expire(&mut self, now: ClockTime) {
        let timeout = self.timeout();
        let usage = &mut self.usage;
        self.peers.retain(|_, peer| {
            let is_live = now <= peer.received + timeout;
            if !is_live {
                peer.clear_usage(usage);
            }
            is_live
        });
    }

    /// Returns the newest claim on a duty among live peers, and this entry's place among them.
    pub(super) fn claims(&self, duty: Duty, own: &PeerName) -> PeerClaims {
        let newest = self.peers.values().filter_map(|peer| peer.claim_on(duty)).max();
        // The place matters only where nobody holds the duty.
        let precedes = |peer: &&PeerName| newest.is_none() && *peer < own;
        let preceding = self.peers.keys().filter(precedes).count();
        PeerClaims { newest, preceding, peers: self.peers.len() }
    }

    /// Returns the live peer with the newest claim on a duty.
    pub(super) fn holder(&self, duty: Duty) -> Option<&PeerName> {
        let claims =
            self.peers.iter().filter_map(|(name, peer)| Some((peer.claim_on(duty)?, name)));
        claims.max().map(|(_, name)| name)
    }

    /// Returns the process start that a live peer reports.
    pub(super) fn instance(&self, peer: &PeerName) -> Option<u64> {
        self.peers.get(peer).map(|load| load.instance)
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
        self.usage.in_flight_at(target)
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
        self.usage.prefill_rate(target)
    }
}

impl std::ops::Add for InFlight {
    type Output = InFlight;

    fn add(self, other: InFlight) -> InFlight {
        InFlight {
            running: self.running.saturating_add(other.running),
            backlog: self.backlog + other.backlog,
        }
    }
}

impl InFlight {
    /// Returns whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        *self == InFlight::default()
    }
}

impl From<InFlightRecord> for InFlight {
    fn from(record: InFlightRecord) -> InFlight {
        let backlog = record.backlog.unwrap_or_else(|| {
            let mut backlog = PrefillBacklog::default();
            backlog.add(0, record.fresh);
            backlog.add(FIRST_LATE_PRIORITY, record.late);
            backlog
        });
        InFlight { running: record.running, backlog }
    }
}

impl From<InFlight> for InFlightRecord {
    fn from(in_flight: InFlight) -> InFlightRecord {
        let InFlight { running, backlog } = in_flight;
        let fresh = backlog.tokens(0..FIRST_LATE_PRIORITY);
        let late = backlog.tokens(FIRST_LATE_PRIORITY..PRIORITY_COUNT);
        let backlog = (backlog != PrefillBacklog::default()).then_some(backlog);
        InFlightRecord { running, fresh, late, backlog }
    }
}
