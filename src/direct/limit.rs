//! Limits on the requests that a target takes from all entries together.
//!
//! A target states its limit in its responses. The entries divide it: each has a share, which
//! depends on how many requests come to it and to the others, and spends it request by request.
//! What exceeds the shares goes to other targets or is refused at once. See
//! [docs/design/limits.md](../../docs/design/limits.md).

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

use super::{PeerName, PeerTable, ServiceName};
use crate::ids::{ClockTime, TargetId};

/// Requests per second.
pub type RequestRate = f32;

/// Smallest limit that is applied. A target that got nothing could not state that its limit
/// has ended.
const MIN_LIMIT: RequestRate = 0.2;
/// Part of a limit that is divided equally, so that an entry to which callers move can serve
/// some of them before its peers have heard of that. The rest is divided by demand.
const EQUAL_PART: f32 = 0.25;
/// Time of requests that an entry may save up beyond a single one.
const SAVED_TIME: Duration = Duration::from_millis(250);
/// Time without a statement after which a response without one ends a limit. A single response
/// may lack it.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(2);
/// Time constant of the average rate of requests.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Largest number of statements in a report; the newest come first.
const MAX_REPORTED: usize = 64;
/// Interval at which limits are divided again, that of the reports between few entries.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a refusal counts towards the return times of later ones.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// What one start of a target last stated of its limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// Name of the target.
    pub target: TargetId,
    /// Its start time, in milliseconds. A later start under the same name states its own.
    pub born_ms: u64,
    /// Requests that it takes from all entries.
    pub limit: RequestRate,
    /// Time since the statement.
    pub age: Duration,
}

/// Requests that come to one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Service that they are for.
    pub service: ServiceName,
    /// Average rate.
    pub rate: RequestRate,
}

/// Limit of one start of a target, and what this entry may still send of its share.
#[derive(Debug, Clone, Serialize)]
struct TargetLimit {
    born_ms: u64,
    service: ServiceName,
    limit: RequestRate,
    stated: ClockTime,
    /// When it last stated it to this entry itself.
    heard: Option<ClockTime>,
    /// Requests that may be sent now; negative after some that could not be held back.
    credit: f32,
    /// Time up to which credit was added.
    credited: ClockTime,
    /// This entry's part of the limit.
    share: RequestRate,
}

impl TargetLimit {
    fn add_credit(&mut self, now: ClockTime) {
        let passed = now.saturating_sub(self.credited).as_secs_f32();
        let most = 1.0 + self.share * SAVED_TIME.as_secs_f32();
        self.credit = (self.credit + passed * self.share).min(most);
        self.credited = now;
    }

    fn credit_at(&self, now: ClockTime) -> f32 {
        self.credit + now.saturating_sub(self.credited).as_secs_f32() * self.share
    }
}

/// Average rate of events, with exponential decay.
#[derive(Debug, Clone, Default, Serialize)]
struct DemandMeter {
    rate: RequestRate,
    updated: ClockTime,
}

impl DemandMeter {
    fn record(&mut self, now: ClockTime) {
        self.rate = self.rate_at(now) + 1.0 / DEMAND_TIME.as_secs_f32();
        self.updated = now;
    }

    fn rate_at(&self, now: ClockTime) -> RequestRate {
        let passed = now.saturating_sub(self.updated).as_secs_f32();
        self.rate * (-passed / DEMAND_TIME.as_secs_f32()).exp()
    }
}

/// Other entries, as far as shares depend on them.
pub(super) struct ShareContext<'a> {
    pub(super) own: &'a PeerName,
    pub(super) peers: &'a PeerTable,
    /// Largest number of entries known so far. Some may be cut off and still send.
    pub(super) max_entries: usize,
}

/// Limits of targets, and this entry's shares of them.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LimitTable {
    limits: HashMap<TargetId, TargetLimit>,
    demand: HashMap<ServiceName, DemandMeter>,
    /// When the shares were last computed.
    #[serde(skip)]
    shared: ClockTime,
    /// Times of the last requests that were refused for a limit.
    #[serde(skip)]
    refusals: HashMap<ServiceName, Vec<ClockTime>>,
}

impl LimitTable {
    /// Returns whether no target has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the number of targets that have a limit.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Returns the limit of a target.
    pub(super) fn limit(&self, target: &TargetId) -> Option<RequestRate> {
        self.limits.get(target).map(|known| known.limit)
    }

    /// Counts a request that came to this entry.
    pub(super) fn record_demand(&mut self, now: ClockTime, service: &ServiceName) {
        self.demand.entry(service.clone()).or_default().record(now);
    }

    /// Applies what a target stated, to this entry itself or to a peer, if it is of the latest
    /// start and newer than the known one.
    ///
    /// Returns whether the limit is new or another one.
    pub(super) fn apply(
        &mut self,
        now: ClockTime,
        statement: &LimitStatement,
        heard: bool,
        service: &ServiceName,
        context: &ShareContext<'_>,
    ) -> bool {
        let stated = now.saturating_sub(statement.age);
        let limit = statement.limit.max(MIN_LIMIT);
        let heard = heard.then_some(stated);
        match self.limits.get_mut(&statement.target) {
            Some(known) if known.born_ms > statement.born_ms => return false,
            Some(known) if known.born_ms == statement.born_ms => {
                known.heard = heard.max(known.heard);
                if stated <= known.stated {
                    return false;
                }
                known.stated = stated;
                if known.limit == limit {
                    return false;
                }
                known.add_credit(now);
                known.limit = limit;
            }
            _ => {
                let (born_ms, service) = (statement.born_ms, service.clone());
                // Begins without credit, as requests were sent until now.
                let (credit, credited, share) = (0.0, now, 0.0);
                let new =
                    TargetLimit { born_ms, service, limit, stated, heard, credit, credited, share };
                self.limits.insert(statement.target.clone(), new);
            }
        }
        self.update_shares(now, context);
        true
    }

    /// Records a response that stated no limit, to a call sent at `called`.
    ///
    /// Returns whether a limit ended.
    pub(super) fn response_without_limit(
        &mut self,
        target: &TargetId,
        born_ms: u64,
        called: ClockTime,
    ) -> bool {
        let known = self.limits.get(target);
        let ends = known.is_some_and(|known| {
            known.born_ms < born_ms
                || (known.born_ms == born_ms && called >= known.stated + STATEMENT_LIFETIME)
        });
        if ends {
            self.limits.remove(target);
        }
        ends
    }

    /// Drops the limits of targets that are gone.
    pub(super) fn retain(&mut self, is_known: impl Fn(&TargetId, u64) -> bool) {
        self.limits.retain(|target, limit| is_known(target, limit.born_ms));
    }

    /// Returns whether this entry's share allows another request to a target.
    pub(super) fn admits(&self, now: ClockTime, target: &TargetId) -> bool {
        self.limits.get(target).is_none_or(|limit| limit.credit_at(now) >= 1.0)
    }

    /// Gives a request back that was not sent after all.
    pub(super) fn refund(&mut self, target: &TargetId) {
        if let Some(limit) = self.limits.get_mut(target) {
            limit.credit += 1.0;
        }
    }

    /// Records a request that is sent to a target.
    pub(super) fn spend(&mut self, now: ClockTime, target: &TargetId) {
        if let Some(limit) = self.limits.get_mut(target) {
            limit.add_credit(now);
            limit.credit -= 1.0;
        }
    }

    /// Returns when a request that is refused for limits alone should come back: once this
    /// entry may have sent those that were refused before it. `None` if no target of the
    /// service has a limit.
    pub(super) fn return_time(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
    ) -> Option<Duration> {
        let limits = self.limits.values().filter(|limit| limit.service == *service);
        let (mut share, mut credit, mut count) = (0.0, 0.0, 0);
        for limit in limits {
            share += limit.share;
            credit += limit.credit_at(now).min(1.0);
            count += 1;
        }
        if count == 0 {
            return None;
        }
        let refusals = self.refusals.entry(service.clone()).or_default();
        refusals.retain(|at| *at + REFUSAL_TIME >= now);
        let ahead = refusals.len() as f32 + count as f32 - credit;
        refusals.push(now);
        let seconds = ahead / share.max(MIN_LIMIT);
        Some(Duration::from_secs_f32(seconds.min(60.0)))
    }

    /// Divides the limits among the entries again, if the last time is long enough ago.
    pub(super) fn refresh_shares(&mut self, now: ClockTime, context: &ShareContext<'_>) {
        if now >= self.shared + SHARE_INTERVAL {
            self.update_shares(now, context);
        }
    }

    /// Divides each limit among the entries, by their latest reports.
    fn update_shares(&mut self, now: ClockTime, context: &ShareContext<'_>) {
        self.shared = now;
        for (target, limit) in &mut self.limits {
            limit.add_credit(now);
            let own = self.demand.get(&limit.service).map_or(0.0, |demand| demand.rate_at(now));
            limit.share = share(target, limit, own, context);
        }
        self.refusals
            .retain(|_, refusals| refusals.last().is_some_and(|l| *l + REFUSAL_TIME >= now));
    }

    /// Returns the newest statements that this entry heard itself, for reports to peers. Those
    /// of peers would circulate without end, and old ones would restore a limit that has ended.
    pub(super) fn statements(&self, now: ClockTime) -> Vec<LimitStatement> {
        let statements = self.limits.iter().filter_map(|(target, known)| {
            let heard = known.heard.filter(|heard| *heard + STATEMENT_LIFETIME >= now)?;
            let age = now.saturating_sub(heard);
            let (target, born_ms) = (target.clone(), known.born_ms);
            Some(LimitStatement { target, born_ms, limit: known.limit, age })
        });
        let mut statements: Vec<LimitStatement> = statements.collect();
        statements.sort_by(|a, b| a.age.cmp(&b.age).then_with(|| a.target.cmp(&b.target)));
        statements.truncate(MAX_REPORTED);
        statements
    }

    /// Returns the demand for services with limited targets, for reports to peers.
    pub(super) fn demands(&self, now: ClockTime) -> Vec<ServiceDemand> {
        let limited: HashSet<&ServiceName> =
            self.limits.values().map(|limit| &limit.service).collect();
        let demands = limited.into_iter().map(|service| ServiceDemand {
            service: service.clone(),
            rate: self.demand.get(service).map_or(0.0, |demand| demand.rate_at(now)),
        });
        let mut demands: Vec<ServiceDemand> = demands.collect();
        demands.sort_by(|a, b| a.service.cmp(&b.service));
        demands
    }
}

/// Returns this entry's share of a limit.
///
/// One that is much smaller than the number of entries goes to a few of them, by rendezvous
/// hashing: all others would save up a request each, which may come at the same moment.
fn share(
    target: &TargetId,
    limit: &TargetLimit,
    own_demand: RequestRate,
    context: &ShareContext<'_>,
) -> RequestRate {
    let most = limit.limit as usize + 2;
    let weight = |name: &PeerName| {
        let mut hasher = SipHasher13::new();
        (&**target, &**name).hash(&mut hasher);
        hasher.finish()
    };
    let own_weight = weight(context.own);
    let mut weights: Vec<u64> = context.peers.names().map(weight).chain([own_weight]).collect();
    let entries = context.max_entries.max(weights.len()).min(most) as f32;
    let mut last_weight = 0;
    if weights.len() > most {
        weights.sort_unstable_by_key(|weight| Reverse(*weight));
        last_weight = weights[most - 1];
    }
    if own_weight < last_weight {
        return 0.0;
    }
    let with_share = |name: &PeerName| weight(name) >= last_weight;
    let total = own_demand + context.peers.demand(&limit.service, with_share);
    let by_demand = if total > 0.0 { own_demand / total } else { 1.0 / entries };
    limit.limit * (EQUAL_PART / entries + (1.0 - EQUAL_PART) * by_demand)
}
