//! Authority to order engines: at most one entry holds it, without an election.
//!
//! An entry claims the authority with a record in the store, whose offset gives the fencing
//! token. It sends no order before a lease has passed since the claim, and checks before
//! each order that the store holds no newer claim. So no two entries alternate within a
//! lease, even if their load reports are lost.

use std::time::Duration;

use serde::Serialize;

use super::{OrderFencingToken, PeerName, PeerTable};
use crate::ids::ClockTime;

/// Time without a report from the claim's holder after which another entry claims. It is
/// more than three times the timeout of a peer.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time between the check of the store and the arrival of the order that it allowed.
const ORDER_DELIVERY_TIME: Duration = Duration::from_secs(2);

/// Result of a claim, or of a later check of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The store recorded the claim, which has this fencing token.
    Taken(OrderFencingToken),
    /// Another claim came first, or the store did not respond.
    Failed,
    /// The store holds a newer claim.
    Superseded,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
enum AuthorityState {
    /// This entry has no claim.
    None,
    /// A claim is being written.
    Claiming,
    /// The claim is recorded, and orders may be sent from the given time on.
    Held { fence: OrderFencingToken, from: ClockTime },
}

/// This entry's claim on ordering engines.
#[derive(Debug, Clone, Serialize)]
pub(super) struct StageAuthority {
    lease: Duration,
    state: AuthorityState,
    /// Last time a claim was known or ended, or when this process started.
    heard: Option<ClockTime>,
}

impl StageAuthority {
    pub(super) fn new(lease: Duration) -> StageAuthority {
        StageAuthority { lease, state: AuthorityState::None, heard: None }
    }

    /// Returns the fencing token of the recorded claim, for load reports.
    pub(super) fn claim(&self) -> Option<OrderFencingToken> {
        match self.state {
            AuthorityState::Held { fence, .. } => Some(fence),
            AuthorityState::None | AuthorityState::Claiming => None,
        }
    }

    /// Returns the fencing token if orders may be sent now.
    pub(super) fn fence(&self, now: ClockTime) -> Option<OrderFencingToken> {
        match self.state {
            AuthorityState::Held { fence, from } if now >= from => Some(fence),
            _ => None,
        }
    }

    /// Returns whether this entry should claim now, and drops a claim that a peer superseded.
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
        let timed_out = now >= heard + CLAIM_TIMEOUT;
        if self.state != AuthorityState::None || !timed_out || !peers.is_first(own) {
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
