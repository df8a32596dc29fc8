//! Claims: the record that lets a non-idempotent request run at most once.
//!
//! A side runs such a request only after it has read back its own claim as
//! the first one for the key. Every process folds the same records, so all
//! agree on the owner without a vote. See [docs/design/claims.md](../docs/design/claims.md).

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ids::{AttemptId, ContentFingerprint, CustomerId, FencingNumber, LogTime, SideId};

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// How far a key's issue time may lie ahead of the log's clock.
pub const MAX_KEY_AHEAD: Duration = Duration::from_secs(300);
/// Age at which a claim without an outcome counts as unknown.
pub const OUTCOME_TIMEOUT: Duration = Duration::from_secs(120);

/// Key of a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The customer, so that two customers' keys never meet.
    pub customer: CustomerId,
    /// The caller's key, `<unix milliseconds>-<anything>`.
    pub key: Arc<str>,
}

impl ClaimKey {
    /// Returns when the caller issued the key, or `None` where the key has no such part.
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

/// One event about a claim, as written to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimEvent {
    /// Asks to own a key.
    Take {
        /// The key.
        key: ClaimKey,
        /// Hash of the content, so that a reused key with other content is noticed.
        fingerprint: ContentFingerprint,
        /// The attempt that will run.
        attempt: AttemptId,
        /// Window of the contract in seconds.
        window_s: u64,
    },
    /// Records the answer of the attempt that owns a key.
    Outcome {
        /// The key.
        key: ClaimKey,
        /// The attempt that ran.
        attempt: AttemptId,
        /// The answer.
        answer: ServiceAnswer,
    },
    /// Gives up a key whose attempt sent no byte to its target and never will.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt that will not run.
        attempt: AttemptId,
    },
    /// Records what an operator found out about an unknown outcome.
    Settle {
        /// The key.
        key: ClaimKey,
        /// Whether the request ran.
        ran: bool,
    },
}

/// Answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

/// What the log says about one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Nobody owns the key.
    Free,
    /// An attempt owns the key and has no outcome yet.
    Held {
        /// The owner.
        attempt: AttemptId,
        /// The owner's side.
        side: SideId,
        /// The owner's fencing number.
        fence: FencingNumber,
        /// When the claim was recorded.
        since: LogTime,
    },
    /// The owner's side was replaced before an outcome was recorded.
    Unknown {
        /// The attempt whose outcome is unknown.
        attempt: AttemptId,
    },
    /// The outcome is recorded.
    Done {
        /// The answer that every repeat gets.
        answer: ServiceAnswer,
    },
}

/// One key in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// Hash of the content.
    pub fingerprint: ContentFingerprint,
    /// State by the log.
    pub state: ClaimState,
    /// Attempts that gave the key up; a delayed copy of their claim has no effect.
    pub released: SmallVec<[AttemptId; 2]>,
    /// When the key stops being accepted, and the entry can be dropped.
    pub expires: LogTime,
    /// When the newest record of this entry was appended.
    pub recorded: LogTime,
}

/// Answer to a side that asks for a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The attempt owns the key and may run.
    Won,
    /// Another attempt owns the key; its outcome may still come.
    Pending,
    /// The outcome is recorded.
    Done(ServiceAnswer),
    /// An earlier attempt's outcome is unknown.
    Unknown,
    /// The key was used with other content.
    Mismatch,
    /// The key is malformed or too far ahead of the log's clock, so it never was accepted.
    BadKey,
    /// The key is older than its window, so nothing is known about it any more.
    Expired,
    /// Nobody owns the key, and the attempt may ask for it.
    Free,
}

/// All claims that are inside their window.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimTable {
    #[serde(with = "crate::pairs")]
    entries: BTreeMap<ClaimKey, ClaimEntry>,
}

impl ClaimTable {
    /// Applies one event of a record appended at `time` by `side` under `fence`.
    pub fn apply(
        &mut self,
        time: LogTime,
        side: &SideId,
        fence: FencingNumber,
        event: &ClaimEvent,
    ) {
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
        (side, fence): (&SideId, FencingNumber),
        key: &ClaimKey,
        fingerprint: ContentFingerprint,
        attempt: AttemptId,
        window: Duration,
    ) {
        let Some(expires) = key_expiry(key, time, window) else { return };
        let entry = self.entries.entry(key.clone()).or_insert_with(|| ClaimEntry {
            fingerprint,
            state: ClaimState::Free,
            released: SmallVec::new(),
            expires,
            recorded: time,
        });
        let free = entry.state == ClaimState::Free && !entry.released.contains(&attempt);
        if free && entry.fingerprint == fingerprint {
            entry.state = ClaimState::Held { attempt, side: side.clone(), fence, since: time };
            entry.recorded = time;
        }
    }

    fn resolve(&mut self, time: LogTime, key: &ClaimKey, by: AttemptId, state: ClaimState) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let owner = match &entry.state {
            ClaimState::Held { attempt, .. } | ClaimState::Unknown { attempt } => Some(*attempt),
            ClaimState::Free | ClaimState::Done { .. } => None,
        };
        if owner == Some(by) {
            entry.state = state;
            entry.recorded = time;
        }
    }

    fn release(&mut self, time: LogTime, key: &ClaimKey, attempt: AttemptId) {
        self.resolve(time, key, attempt, ClaimState::Free);
        if let Some(entry) = self.entries.get_mut(key)
            && !entry.released.contains(&attempt)
        {
            entry.released.push(attempt);
        }
    }

    fn settle(&mut self, time: LogTime, key: &ClaimKey, ran: bool) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let attempt = match entry.state {
            ClaimState::Unknown { attempt } => attempt,
            ClaimState::Held { attempt, since, .. }
                if time.saturating_sub(since) > OUTCOME_TIMEOUT =>
            {
                attempt
            }
            _ => return,
        };
        entry.recorded = time;
        entry.state = if ran {
            ClaimState::Done { answer: ServiceAnswer { status: 208, body: String::new() } }
        } else {
            ClaimState::Free
        };
        entry.released.push(attempt);
    }

    /// Marks the claims of a replaced side process as unknown.
    pub fn replace_side(&mut self, side: &SideId, fence: FencingNumber) {
        for entry in self.entries.values_mut() {
            let ClaimState::Held { attempt, side: owner, fence: held, .. } = &entry.state else {
                continue;
            };
            if owner == side && *held < fence {
                entry.state = ClaimState::Unknown { attempt: *attempt };
            }
        }
    }

    /// Takes over an entry that another process re-appended before its record expired.
    pub fn merge_carried(&mut self, time: LogTime, key: &ClaimKey, carried: &ClaimEntry) {
        let entry = self.entries.entry(key.clone()).or_insert_with(|| carried.clone());
        if state_rank(&carried.state) > state_rank(&entry.state) {
            entry.state = carried.state.clone();
        }
        entry.recorded = time;
    }

    /// Drops the entries whose keys are no longer accepted at `time`.
    pub fn expire(&mut self, time: LogTime) {
        self.entries.retain(|_, entry| entry.expires + MAX_KEY_AHEAD > time);
    }

    /// Tells what an attempt may do with a key at `time`.
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
        let Some(entry) = self.entries.get(key) else { return ClaimDecision::Free };
        if entry.fingerprint != fingerprint {
            return ClaimDecision::Mismatch;
        }
        match &entry.state {
            ClaimState::Free => ClaimDecision::Free,
            ClaimState::Held { attempt: owner, .. } if *owner == attempt => ClaimDecision::Won,
            ClaimState::Held { since, .. } if time.saturating_sub(*since) > OUTCOME_TIMEOUT => {
                ClaimDecision::Unknown
            }
            ClaimState::Held { .. } => ClaimDecision::Pending,
            ClaimState::Unknown { .. } => ClaimDecision::Unknown,
            ClaimState::Done { answer } => ClaimDecision::Done(answer.clone()),
        }
    }

    /// Tells whether an event needs no further append: it has taken effect, or another
    /// one came first.
    pub fn is_settled(&self, event: &ClaimEvent) -> bool {
        match event {
            ClaimEvent::Take { key, .. } => {
                self.entries.get(key).is_some_and(|entry| entry.state != ClaimState::Free)
            }
            ClaimEvent::Outcome { key, .. } | ClaimEvent::Settle { key, .. } => {
                let state = self.entries.get(key).map(|entry| &entry.state);
                matches!(state, Some(ClaimState::Done { .. }))
            }
            ClaimEvent::Release { key, attempt } => {
                self.entries.get(key).is_some_and(|entry| entry.released.contains(attempt))
            }
        }
    }

    /// Returns the keys whose outcome is unknown at `time`, for operators.
    pub fn unknown_outcomes(
        &self,
        time: LogTime,
    ) -> impl Iterator<Item = (&ClaimKey, &ClaimEntry)> {
        self.entries.iter().filter(move |(_, entry)| match &entry.state {
            ClaimState::Unknown { .. } => true,
            ClaimState::Held { since, .. } => time.saturating_sub(*since) > OUTCOME_TIMEOUT,
            ClaimState::Free | ClaimState::Done { .. } => false,
        })
    }

    /// Returns all entries, oldest key first.
    pub fn iter(&self) -> impl Iterator<Item = (&ClaimKey, &ClaimEntry)> {
        self.entries.iter()
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn key_expiry(key: &ClaimKey, time: LogTime, window: Duration) -> Option<LogTime> {
    let issued = key.issued()?;
    let expires = issued + window;
    let in_window = time <= expires && issued <= time + MAX_KEY_AHEAD;
    in_window.then_some(expires)
}

fn state_rank(state: &ClaimState) -> u8 {
    match state {
        ClaimState::Free => 0,
        ClaimState::Held { .. } => 1,
        ClaimState::Unknown { .. } => 2,
        ClaimState::Done { .. } => 3,
    }
}
