//! Authority over a duty: at most one entry holds it, without an election.
//!
//! An entry claims the authority with a record in the store, whose position gives the fencing
//! token. It makes no call before a lease has passed since the claim, and checks before
//! each call that the store holds its claim and no newer one. So no two entries alternate
//! within a lease, even if their load reports are lost. See
//! [docs/design/duties.md](../../docs/design/duties.md).
//!
//! A store that was restored from an older copy may have lost claims, and gives out their offsets
//! again. Claims from before do not hold any more, and tokens of later generations are higher.

use std::time::Duration;

use serde::Serialize;

use super::{OrderFencingToken, StoreGeneration, load::repeat_time};
use crate::ids::ClockTime;

/// Maximum time between the check of the store and the arrival of the call that it allowed.
const ORDER_DELIVERY_TIME: Duration = Duration::from_secs(2);

/// Bits of a fencing token that hold the end of the topic; the generation is above them.
const OFFSET_BITS: u32 = 32;
/// Bits of a fencing token. Engines read it as a JSON number, which may have the precision of a
/// double.
const TOKEN_BITS: u32 = 53;

/// Returns the fencing token of the claim with which its topic ends at `end`.
///
/// Tokens of a later generation of the store are higher than all of an earlier one. Returns
/// `None` if a number is too large for a token.
///
/// ```
/// # use sapphirewell::direct::fencing_token;
/// let last_before = fencing_token(Some(1), 40).unwrap();
/// let first_after = fencing_token(Some(2), 1).unwrap();
/// assert!(first_after > last_before);
/// ```
pub fn fencing_token(generation: Option<StoreGeneration>, end: u64) -> Option<OrderFencingToken> {
    let generation = generation.unwrap_or(0);
    let fits = end >> OFFSET_BITS == 0 && generation >> (TOKEN_BITS - OFFSET_BITS) == 0;
    fits.then_some(generation << OFFSET_BITS | end)
}

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

/// Duty of one entry at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(super) enum Duty {
    /// Orders to engines.
    Engines,
    /// Reports of customers' usage.
    Usage,
    /// Orders for the number of targets.
    Scale,
}

impl Duty {
    /// Returns the time without a report from the claim's holder after which an entry claims that
    /// so many others precede by name, or `None` if it leaves that to them.
    fn claim_timeout(self, preceding: usize, peers: usize) -> Option<Duration> {
        match self {
            // More than three times the timeout of a peer.
            Duty::Engines => (preceding == 0).then_some(Duration::from_secs(5)),
            // A report is due soon, and the first by name may be cut off from the store.
            Duty::Usage | Duty::Scale => {
                let step = Duration::from_secs(1);
                let turn = step.saturating_mul(u32::try_from(preceding).unwrap_or(u32::MAX));
                Some(repeat_time(peers, Duration::from_millis(2500)).saturating_add(turn))
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
enum AuthorityState {
    /// This entry has no claim.
    None,
    /// A claim is being written.
    Claiming,
    /// The claim is recorded, and calls may be made from the given time on.
    Held { fence: OrderFencingToken, from: ClockTime },
}

/// What an entry knows of its peers' claims on a duty.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerClaims {
    /// Newest claim that a live peer reports.
    pub(super) newest: Option<OrderFencingToken>,
    /// Number of live peers whose names sort before this entry's.
    pub(super) preceding: usize,
    /// Number of live peers.
    pub(super) peers: usize,
}

/// This entry's claim on a duty.
#[derive(Debug, Clone, Serialize)]
pub(super) struct DutyAuthority {
    duty: Duty,
    lease: Duration,
    state: AuthorityState,
    /// Lowest token of the store's generation. Claims with lower ones do not hold.
    lowest: OrderFencingToken,
    /// Last time a claim was known or ended, or when this process started.
    heard: Option<ClockTime>,
    /// Whether this entry claims without waiting, as it was the holder until a restore.
    reclaims: bool,
}

impl DutyAuthority {
    pub(super) fn new(duty: Duty, lease: Duration) -> DutyAuthority {
        let state = AuthorityState::None;
        DutyAuthority { duty, lease, state, lowest: 0, heard: None, reclaims: false }
    }

    /// Returns the time from a claim until its holder may make calls.
    pub(super) fn takeover_time(&self) -> Duration {
        self.lease + ORDER_DELIVERY_TIME
    }

    /// Claims again at once, unless a peer does so first. For a holder whose claim a restore took,
    /// and that alone knows what it has done.
    pub(super) fn reclaim(&mut self) {
        self.reclaims = true;
    }

    /// Returns the fencing token of the recorded claim, for load reports.
    pub(super) fn claim(&self) -> Option<OrderFencingToken> {
        match self.state {
            AuthorityState::Held { fence, .. } => Some(fence),
            AuthorityState::None | AuthorityState::Claiming => None,
        }
    }

    /// Returns the fencing token if calls may be made now.
    pub(super) fn fence(&self, now: ClockTime) -> Option<OrderFencingToken> {
        match self.state {
            AuthorityState::Held { fence, from } if now >= from => Some(fence),
            _ => None,
        }
    }

    /// Returns whether this entry should claim now, and drops a claim that a peer superseded.
    pub(super) fn should_claim(&mut self, now: ClockTime, claims: PeerClaims) -> bool {
        let heard = *self.heard.get_or_insert(now);
        // A peer that has not noticed a restore of the store reports a claim that does not hold.
        if let Some(newest) = claims.newest.filter(|newest| *newest >= self.lowest) {
            self.heard = Some(now);
            self.reclaims = false;
            if self.claim().is_some_and(|fence| fence < newest) {
                self.state = AuthorityState::None;
            }
            return false;
        }
        let timeout = self.duty.claim_timeout(claims.preceding, claims.peers);
        let timed_out = timeout.is_some_and(|timeout| now >= heard + timeout);
        if self.state != AuthorityState::None || !(timed_out || self.reclaims) {
            return false;
        }
        self.reclaims = false;
        self.state = AuthorityState::Claiming;
        true
    }

    /// Notes that this entry cannot hear of claims now.
    pub(super) fn hears_nothing(&mut self, now: ClockTime) {
        self.heard = Some(now);
    }

    pub(super) fn claim_ended(&mut self, now: ClockTime, outcome: ClaimOutcome) {
        self.heard = Some(now);
        self.state = match outcome {
            ClaimOutcome::Taken(fence) if fence >= self.lowest => {
                AuthorityState::Held { fence, from: now + self.takeover_time() }
            }
            ClaimOutcome::Taken(_) | ClaimOutcome::Failed | ClaimOutcome::Superseded => {
                AuthorityState::None
            }
        };
    }

    /// Drops a claim from before the store was restored, and returns whether there was one.
    pub(super) fn store_restored(&mut self, now: ClockTime, generation: StoreGeneration) -> bool {
        // Claims of a generation that is too large for a token fail.
        let lowest = fencing_token(Some(generation), 0).unwrap_or(OrderFencingToken::MAX);
        self.lowest = self.lowest.max(lowest);
        let is_lost = self.claim().is_some_and(|fence| fence < self.lowest);
        if is_lost {
            self.state = AuthorityState::None;
            self.heard = Some(now);
        }
        is_lost
    }
}
