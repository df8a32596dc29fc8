//! Compares what callers received with what targets ran.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{
    caller::{CallerKind, CallerOutcome, CallerRecord},
    orders::OrderRecord,
    runner::RunnerModel,
};

/// Violation of a guarantee of the system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BrokenPromise {
    /// A request that must run at most once ran more than once; holds its id.
    RanTwice(String),
    /// A request was refused as not run although it ran; holds its id.
    FalseRefusal(String),
    /// A caller received another request's response or an incomplete one; holds
    /// the request's id and the reason.
    WrongAnswer(String, String),
    /// A target ran a request that no caller sent; holds its id.
    Unasked(String),
    /// A request was decoded from another request's KV cache.
    ForeignCache,
    /// A target accepted a decreasing fencing token, or the same one from two entries;
    /// holds the target's id.
    ConflictingOrders(String),
    /// A stream holds events from targets of two software versions, in one answer or over its
    /// caller's attempts; holds the stream's id and the versions.
    JoinedVersions(String, Vec<String>),
    /// A refusal has no `retry-after` header; holds the request's id.
    NoReturnTime(String),
}

/// Returns all violations in the records of a run.
pub fn judge(records: &[CallerRecord], runners: &[RunnerModel]) -> Vec<BrokenPromise> {
    let mut violations = Vec::new();
    let mut runs: HashMap<String, u64> = HashMap::new();
    for runner in runners {
        for run in runner.runs() {
            *runs.entry(run.request).or_default() += 1;
        }
        let orders = runner.orders();
        let conflict = |pair: &[OrderRecord]| {
            pair[1].fence < pair[0].fence
                || (pair[1].fence == pair[0].fence && pair[1].holder != pair[0].holder)
        };
        if orders.windows(2).any(conflict) {
            violations.push(BrokenPromise::ConflictingOrders(runner.id.to_string()));
        }
        violations.extend((0..runner.foreign_caches()).map(|_| BrokenPromise::ForeignCache));
    }
    for record in records {
        let id = &record.request.id;
        let count = runs.remove(id).unwrap_or(0);
        let at_most_once = matches!(record.request.kind, CallerKind::Note | CallerKind::Ticket);
        if at_most_once && count > 1 {
            violations.push(BrokenPromise::RanTwice(id.clone()));
        }
        match &record.outcome {
            CallerOutcome::Wrong(reason) => {
                violations.push(BrokenPromise::WrongAnswer(id.clone(), reason.clone()));
            }
            CallerOutcome::Own { status: 408 | 421 | 429 | 503, retry_after } => {
                if at_most_once && count > 0 {
                    violations.push(BrokenPromise::FalseRefusal(id.clone()));
                }
                if !retry_after {
                    violations.push(BrokenPromise::NoReturnTime(id.clone()));
                }
            }
            _ => {}
        }
    }
    violations.extend(runs.into_keys().map(BrokenPromise::Unasked));
    violations.extend(joined_versions(records, runners));
    violations
}

fn joined_versions(records: &[CallerRecord], runners: &[RunnerModel]) -> Vec<BrokenPromise> {
    let mut versions: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
    for record in records.iter().filter(|record| !record.events.is_empty()) {
        let Some(signed_by) = &record.signed_by else { continue };
        let Some(runner) = runners.iter().find(|runner| *runner.id == **signed_by) else {
            continue;
        };
        let resumed = record.request.resumed.as_ref();
        let stream = resumed.map_or(&record.request.id, |resumed| &resumed.first_request);
        versions.entry(stream).or_default().insert(runner.version());
    }
    let joined = versions.into_iter().filter(|(_, versions)| versions.len() > 1);
    let joined = joined.map(|(stream, versions)| {
        BrokenPromise::JoinedVersions(stream.to_owned(), versions.into_iter().collect())
    });
    joined.collect()
}

/// Returns the number of requests that received a complete, correct response.
pub fn whole(records: &[CallerRecord]) -> usize {
    records.iter().filter(|record| record.outcome == CallerOutcome::Whole).count()
}
