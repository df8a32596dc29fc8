//! Load reports in few bytes.
//!
//! It serves fleets of hundreds of entries, where the names of a report's fields, which each peer
//! gets again and again, are most of what an entry sends. Entries of earlier versions do not read
//! it, so that it goes to those that state that they do.

use serde::{Deserialize, Serialize};

use super::{
    CachedSegment, InFlight, LeavingTarget, LimitStatement, LoadReport, OrderFencingToken,
    PeerName, PrefillBacklog, PromptSegment, ServiceDemand, TargetUsage,
};
use crate::ids::TargetId;

/// Target, requests that run there, backlog, prefill rate and its samples.
type UsageRecord = (TargetId, u32, PrefillBacklog, f32, u32);
/// Target, and identifier and length of a segment that it has cached.
type SegmentRecord = (TargetId, u64, u32);

/// Encoded form of a [`LoadReport`]. What is empty is left out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompactReport {
    #[serde(rename = "p")]
    peer: PeerName,
    #[serde(rename = "i")]
    instance: u64,
    #[serde(rename = "s")]
    sequence: u64,
    #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
    full: bool,
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    targets: Vec<UsageRecord>,
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    cached: Vec<SegmentRecord>,
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    claim: Option<OrderFencingToken>,
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    usage_claim: Option<OrderFencingToken>,
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    scale_claim: Option<OrderFencingToken>,
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    leaving: Vec<LeavingTarget>,
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    limits: Vec<LimitStatement>,
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    demand: Vec<ServiceDemand>,
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    switching: Vec<TargetId>,
}

impl From<LoadReport> for CompactReport {
    fn from(report: LoadReport) -> CompactReport {
        let usage = |usage: TargetUsage| {
            let TargetUsage { target, in_flight, prefill_rate, samples } = usage;
            (target, in_flight.running, in_flight.backlog, prefill_rate, samples)
        };
        let segment =
            |cached: CachedSegment| (cached.target, cached.segment.id, cached.segment.tokens);
        CompactReport {
            peer: report.peer,
            instance: report.instance,
            sequence: report.sequence,
            full: report.full,
            targets: report.targets.into_iter().map(usage).collect(),
            cached: report.cached.into_iter().map(segment).collect(),
            claim: report.claim,
            usage_claim: report.usage_claim,
            scale_claim: report.scale_claim,
            leaving: report.leaving,
            limits: report.limits,
            demand: report.demand,
            switching: report.switching,
        }
    }
}

impl From<CompactReport> for LoadReport {
    fn from(report: CompactReport) -> LoadReport {
        let usage = |(target, running, backlog, prefill_rate, samples): UsageRecord| TargetUsage {
            target,
            in_flight: InFlight { running, backlog },
            prefill_rate,
            samples,
        };
        let segment = |(target, id, tokens): SegmentRecord| CachedSegment {
            target,
            segment: PromptSegment { id, tokens },
        };
        LoadReport {
            peer: report.peer,
            instance: report.instance,
            sequence: report.sequence,
            full: report.full,
            targets: report.targets.into_iter().map(usage).collect(),
            cached: report.cached.into_iter().map(segment).collect(),
            suspects: Vec::new(),
            claim: report.claim,
            usage_claim: report.usage_claim,
            scale_claim: report.scale_claim,
            leaving: report.leaving,
            limits: report.limits,
            demand: report.demand,
            switching: report.switching,
        }
    }
}
