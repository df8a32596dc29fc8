//! Compares what callers saw with what targets ran.

use std::collections::HashMap;

use super::{
    caller::{CallerKind, CallerOutcome, CallerRecord},
    orders::OrderRecord,
    runner::RunnerModel,
};

/// Promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BrokenPromise {
    /// Work that may not be repeated ran more than once.
    RanTwice(String),
    /// A request was answered as not run, and ran.
    FalseRefusal(String),
    /// A caller got an answer that is not its own, or not whole.
    WrongAnswer(String, String),
    /// A target ran what no caller sent.
    Unasked(String),
    /// A request went on from another request's KV cache.
    ForeignCache,
    /// Orders to a target whose numbers fall, or that two entries gave with one number.
    ConflictingOrders(String),
    /// A refusal does not say when to come back.
    NoReturnTime(String),
}

/// Returns all broken promises of a run.
pub fn judge(records: &[CallerRecord], runners: &[RunnerModel]) -> Vec<BrokenPromise> {
    let mut broken = Vec::new();
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
            broken.push(BrokenPromise::ConflictingOrders(runner.id.to_string()));
        }
        broken.extend((0..runner.foreign_caches()).map(|_| BrokenPromise::ForeignCache));
    }
    for record in records {
        let id = &record.request.id;
        let count = runs.remove(id).unwrap_or(0);
        let once = matches!(record.request.kind, CallerKind::Note | CallerKind::Ticket);
        if once && count > 1 {
            broken.push(BrokenPromise::RanTwice(id.clone()));
        }
        match &record.outcome {
            CallerOutcome::Wrong(what) => {
                broken.push(BrokenPromise::WrongAnswer(id.clone(), what.clone()));
            }
            CallerOutcome::Own { status: 408 | 421 | 429 | 503, retry_after } => {
                if once && count > 0 {
                    broken.push(BrokenPromise::FalseRefusal(id.clone()));
                }
                if !retry_after {
                    broken.push(BrokenPromise::NoReturnTime(id.clone()));
                }
            }
            _ => {}
        }
    }
    broken.extend(runs.into_keys().map(BrokenPromise::Unasked));
    broken
}

/// Returns how many requests were answered whole.
pub fn whole(records: &[CallerRecord]) -> usize {
    records.iter().filter(|record| record.outcome == CallerOutcome::Whole).count()
}
