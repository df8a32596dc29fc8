//! Claims on idempotency keys, which make non-idempotent requests run at most once.
//!
//! A side runs such a request only after it has read its own claim back from
//! the log as the first one for the key. Every process applies the same
//! records, so all agree on the owner without further coordination. See
//! [docs/design/claims.md](../docs/design/claims.md).

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ids::{AttemptId, ContentFingerprint, CustomerId, FencingToken, LogTime, SideId};

/// Maximum length of an idempotency key.
pub const MAX_KEY_BYTES: usize = 128;
/// Maximum time by which a key may be issued ahead of the log's clock.
pub const MAX_KEY_AHEAD: Duration = Duration::from_secs(300);
/// Age after which a claim without a recorded outcome counts as unknown.
pub const OUTCOME_TIMEOUT: Duration = Duration::from_secs(120);

/// Idempotency key of a request, scoped to its customer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Customer that issued the key, so that keys of two customers never collide.
    pub customer: CustomerId,
    /// Key as the caller sent it, `<unix milliseconds>-<any non-empty text>`.
    pub key: Arc<str>,
}

impl ClaimKey {
    /// Returns the time at which the caller issued the key, or `None` if the key is malformed.
    pub fn issued(&self) -> Option<LogTime> {
        if self.key.len() > MAX_KEY_BYTES {
            return None;
        }
        let (millis, rest) = self.key.split_once('-')?;
        if rest.is_empty() || millis.len() > 15 {
            return None;
        }
        millis.parse().ok().map(Duration::from_millis)
    }
}

/// Change to a claim, as written to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimEvent {
    /// Requests ownership of a key. The first request in the log wins; the others have no
    /// effect.
    Take {
        /// Key to own.
        key: ClaimKey,
        /// Hash of the content, which detects a key that is reused with other content.
        fingerprint: ContentFingerprint,
        /// Attempt that will run if it becomes the owner.
        attempt: AttemptId,
        /// Time for which the contract accepts the key after its issue, in seconds.
        window_s: u64,
    },
    /// Records the answer of the attempt that owns a key.
    Outcome {
        /// Key of the request.
        key: ClaimKey,
        /// Attempt that ran.
        attempt: AttemptId,
        /// Answer that every repeat of the request gets.
        answer: ServiceAnswer,
    },
    /// Releases a key whose attempt sent no byte to its target and never will.
    Release {
        /// Key of the request.
        key: ClaimKey,
        /// Attempt that will not run.
        attempt: AttemptId,
    },
    /// Records an operator's decision about an unknown outcome.
    Settle {
        /// Key whose outcome is unknown.
        key: ClaimKey,
        /// Whether the request ran.
        ran: bool,
    },
}

/// Answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: String,
}

/// State of one key according to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// No attempt owns the key.
    Free,
    /// An attempt owns the key and has no outcome yet.
    Held {
        /// Attempt that owns the key.
        attempt: AttemptId,
        /// Side that runs the attempt.
        side: SideId,
        /// Fencing token of that side when it made the claim.
        fence: FencingToken,
        /// Log time of the claim.
        since: LogTime,
    },
    /// The owner's side was replaced before an outcome was recorded.
    Unknown {
        /// Attempt that may or may not have run.
        attempt: AttemptId,
    },
    /// The outcome is recorded.
    Done {
        /// Answer that every repeat gets.
        answer: ServiceAnswer,
    },
}

/// State and history of one key in a [`ClaimTable`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Hash of the content with which the key was first used.
    pub fingerprint: ContentFingerprint,
    /// Current state.
    pub state: ClaimState,
    /// Attempts that released the key; a duplicate of their claim has no effect.
    pub released: SmallVec<[AttemptId; 2]>,
    /// Log time after which the key is no longer accepted and the claim may be dropped.
    pub expires: LogTime,
    /// Log time of the newest record about this key.
    pub recorded: LogTime,
}

/// What an attempt may do, as returned by [`ClaimTable::decide`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The attempt owns the key and may run.
    Owned,
    /// Another attempt owns the key; its outcome may still come.
    Pending,
    /// The outcome is recorded.
    Done(ServiceAnswer),
    /// An earlier attempt's outcome is unknown.
    Unknown,
    /// The key was already used with other content.
    ContentMismatch,
    /// The key is malformed or too far ahead of the log's clock, so it was never accepted.
    BadKey,
    /// The key is older than its window, so it is no longer known whether the request ran.
    Expired,
    /// No attempt owns the key, and this one may request it.
    Free,
}

/// State of all keys that are still accepted, built from the log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimTable {
    #[serde(with = "crate::pairs")]
    entries: BTreeMap<ClaimKey, KeyClaim>,
}

impl ClaimTable {
    /// Applies one event of a record appended at `time` by `side` under `fence`.
    pub fn apply(&mut self, time: LogTime, side: &SideId, fence: FencingToken, event: &ClaimEvent) {
        match event {
            ClaimEvent::Take { key, fingerprint, attempt, window_s } => {
                let window = Duration::from_secs(*window_s);
                self.take(time, (side, fence), key, *fingerprint, *attempt, window);
            }
            ClaimEvent::Outcome { key, attempt, answer } => {
                self.resolve(time, key, *attempt, ClaimState::Done { answer: answer.clone() });
            }
            ClaimEvent::Release { key, attempt } => self.release(time, key, *attempt),
            ClaimEvent::Settle { key, ran } => self.settle(time, key, *ran),
        }
    }

    fn take(
        &mut self,
        time: LogTime,
        (side, fence): (&SideId, FencingToken),
        key: &ClaimKey,
        fingerprint: ContentFingerprint,
        attempt: AttemptId,
        window: Duration,
    ) {
        let Some(expires) = key_expiry(key, time, window) else { return };
        let claim = self.entries.entry(key.clone()).or_insert_with(|| KeyClaim {
            fingerprint,
            state: ClaimState::Free,
            released: SmallVec::new(),
            expires,
            recorded: time,
        });
        let free = claim.state == ClaimState::Free && !claim.released.contains(&attempt);
        if free && claim.fingerprint == fingerprint {
            claim.state = ClaimState::Held { attempt, side: side.clone(), fence, since: time };
            claim.recorded = time;
        }
    }

    fn resolve(&mut self, time: LogTime, key: &ClaimKey, by: AttemptId, state: ClaimState) {
        let Some(claim) = self.entries.get_mut(key) else { return };
        let owner = match &claim.state {
            ClaimState::Held { attempt, .. } | ClaimState::Unknown { attempt } => Some(*attempt),
            ClaimState::Free | ClaimState::Done { .. } => None,
        };
        if owner == Some(by) {
            claim.state = state;
            claim.recorded = time;
        }
    }

    fn release(&mut self, time: LogTime, key: &ClaimKey, attempt: AttemptId) {
        self.resolve(time, key, attempt, ClaimState::Free);
        if let Some(claim) = self.entries.get_mut(key)
            && !claim.released.contains(&attempt)
        {
            claim.released.push(attempt);
        }
    }

    fn settle(&mut self, time: LogTime, key: &ClaimKey, ran: bool) {
        let Some(claim) = self.entries.get_mut(key) else { return };
        let attempt = match claim.state {
            ClaimState::Unknown { attempt } => attempt,
            ClaimState::Held { attempt, since, .. }
                if time.saturating_sub(since) > OUTCOME_TIMEOUT =>
            {
                attempt
            }
            _ => return,
        };
        claim.recorded = time;
        claim.state = if ran {
            ClaimState::Done { answer: ServiceAnswer { status: 208, body: String::new() } }
        } else {
            ClaimState::Free
        };
        claim.released.push(attempt);
    }

    /// Marks the claims that `side` made under fencing tokens lower than `fence` as unknown.
    pub fn replace_side(&mut self, side: &SideId, fence: FencingToken) {
        for claim in self.entries.values_mut() {
            let ClaimState::Held { attempt, side: owner, fence: held, .. } = &claim.state else {
                continue;
            };
            if owner == side && *held < fence {
                claim.state = ClaimState::Unknown { attempt: *attempt };
            }
        }
    }

    /// Merges a claim that was re-appended before its own records expired.
    ///
    /// The state that is further advanced wins.
    pub fn merge_carried(&mut self, time: LogTime, key: &ClaimKey, carried: &KeyClaim) {
        let claim = self.entries.entry(key.clone()).or_insert_with(|| carried.clone());
        if state_rank(&carried.state) > state_rank(&claim.state) {
            claim.state = carried.state.clone();
        }
        claim.recorded = time;
    }

    /// Drops the claims whose keys expired at least [`MAX_KEY_AHEAD`] before `time`.
    pub fn expire(&mut self, time: LogTime) {
        self.entries.retain(|_, claim| claim.expires + MAX_KEY_AHEAD > time);
    }

    /// Returns what `attempt` may do with a key at `time`.
    pub fn decide(
        &self,
        time: LogTime,
        key: &ClaimKey,
        fingerprint: ContentFingerprint,
        attempt: AttemptId,
        window: Duration,
    ) -> ClaimDecision {
        let Some(issued) = key.issued() else { return ClaimDecision::BadKey };
        if issued > time + MAX_KEY_AHEAD {
            return ClaimDecision::BadKey;
        }
        if time > issued + window {
            return ClaimDecision::Expired;
        }
        let Some(claim) = self.entries.get(key) else { return ClaimDecision::Free };
        if claim.fingerprint != fingerprint {
            return ClaimDecision::ContentMismatch;
        }
        match &claim.state {
            ClaimState::Free => ClaimDecision::Free,
            ClaimState::Held { attempt: owner, .. } if *owner == attempt => ClaimDecision::Owned,
            ClaimState::Held { since, .. } if time.saturating_sub(*since) > OUTCOME_TIMEOUT => {
                ClaimDecision::Unknown
            }
            ClaimState::Held { .. } => ClaimDecision::Pending,
            ClaimState::Unknown { .. } => ClaimDecision::Unknown,
            ClaimState::Done { answer } => ClaimDecision::Done(answer.clone()),
        }
    }

    /// Returns whether an event needs no further append, because it has taken effect or
    /// another event came first.
    pub fn is_settled(&self, event: &ClaimEvent) -> bool {
        match event {
            ClaimEvent::Take { key, .. } => {
                self.entries.get(key).is_some_and(|claim| claim.state != ClaimState::Free)
            }
            ClaimEvent::Outcome { key, .. } | ClaimEvent::Settle { key, .. } => {
                let state = self.entries.get(key).map(|claim| &claim.state);
                matches!(state, Some(ClaimState::Done { .. }))
            }
            ClaimEvent::Release { key, attempt } => {
                self.entries.get(key).is_some_and(|claim| claim.released.contains(attempt))
            }
        }
    }

    /// Returns the keys whose outcome is unknown at `time` and needs an operator's decision.
    pub fn unknown_outcomes(&self, time: LogTime) -> impl Iterator<Item = (&ClaimKey, &KeyClaim)> {
        self.entries.iter().filter(move |(_, claim)| match &claim.state {
            ClaimState::Unknown { .. } => true,
            ClaimState::Held { since, .. } => time.saturating_sub(*since) > OUTCOME_TIMEOUT,
            ClaimState::Free | ClaimState::Done { .. } => false,
        })
    }

    /// Returns all claims, ordered by customer and key.
    pub fn iter(&self) -> impl Iterator<Item = (&ClaimKey, &KeyClaim)> {
        self.entries.iter()
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table holds no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn key_expiry(key: &ClaimKey, time: LogTime, window: Duration) -> Option<LogTime> {
    let issued = key.issued()?;
    let expires = issued + window;
    let is_accepted = time <= expires && issued <= time + MAX_KEY_AHEAD;
    is_accepted.then_some(expires)
}

fn state_rank(state: &ClaimState) -> u8 {
    match state {
        ClaimState::Free => 0,
        ClaimState::Held { .. } => 1,
        ClaimState::Unknown { .. } => 2,
        ClaimState::Done { .. } => 3,
    }
}
