//! Which entry orders engines: at most one at a time, without an election.
//!
//! An entry claims the authority with a record in the store, whose offset is
//! its fencing number. It orders nothing before a lease has passed since, and it
//! looks before each order whether the store holds a newer claim. So two entries
//! never take turns within a lease, whatever they hear from each other.

use std::time::Duration;

use serde::Serialize;

use super::{OrderFencingToken, PeerName, PeerTable};
use crate::ids::ClockTime;

/// Time without word from a claimant after which another entry claims; more
/// than three times as long as a peer counts as live.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Time by which an order may arrive after the look at the store that allowed it.
const ORDER_DELIVERY_TIME: Duration = Duration::from_secs(2);

/// How a claim ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The store has it at this offset.
    Taken(OrderFencingToken),
    /// Another claim came first, or the store gave no answer.
    Failed,
    /// The store holds a newer claim.
    Superseded,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
enum AuthorityState {
    /// Another entry has it, or nobody.
    None,
    /// A claim is under way.
    Claiming,
    /// The claim is taken; orders may be given from this time on.
    Held { fence: OrderFencingToken, from: ClockTime },
}

/// This entry's part in the question who orders engines.
#[derive(Debug, Clone, Serialize)]
pub(super) struct StageAuthority {
    lease: Duration,
    state: AuthorityState,
    /// When this process started, or last knew of a claimant.
    heard: Option<ClockTime>,
}

impl StageAuthority {
    pub(super) fn new(lease: Duration) -> StageAuthority {
        StageAuthority { lease, state: AuthorityState::None, heard: None }
    }

    /// Returns the claim that peers are told of.
    pub(super) fn claim(&self) -> Option<OrderFencingToken> {
        match self.state {
            AuthorityState::Held { fence, .. } => Some(fence),
            AuthorityState::None | AuthorityState::Claiming => None,
        }
    }

    /// Returns the fencing number, if orders may be given now.
    pub(super) fn fence(&self, now: ClockTime) -> Option<OrderFencingToken> {
        match self.state {
            AuthorityState::Held { fence, from } if now >= from => Some(fence),
            _ => None,
        }
    }

    /// Tells whether this entry should claim now.
    pub(super) fn should_claim(
        &mut self,
        now: ClockTime,
        own: &PeerName,
        peers: &PeerTable,
    ) -> bool {
        let heard = *self.heard.get_or_insert(now);
        if let Some(newest) = peers.newest_claim() {
            self.heard = Some(now);
            if self.claim().is_some_and(|fence| fence < newest) {
                self.state = AuthorityState::None;
            }
            return false;
        }
        let silent = now >= heard + CLAIM_TIMEOUT;
        if self.state != AuthorityState::None || !silent || !peers.is_first(own) {
            return false;
        }
        self.state = AuthorityState::Claiming;
        true
    }

    pub(super) fn claim_ended(&mut self, now: ClockTime, outcome: ClaimOutcome) {
        self.heard = Some(now);
        self.state = match outcome {
            ClaimOutcome::Taken(fence) => {
                AuthorityState::Held { fence, from: now + self.lease + ORDER_DELIVERY_TIME }
            }
            ClaimOutcome::Failed | ClaimOutcome::Superseded => AuthorityState::None,
        };
    }
}
