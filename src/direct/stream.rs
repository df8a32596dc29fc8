//! Streams that callers take up again after they broke off, and the versions they began at.
//!
//! What two software versions generate does not fit together, so a stream goes on only at
//! the version that began it. The entry that delivers the first event of a stream tells a
//! few peers which version that was, before the caller gets the event. The entry at which
//! the stream is taken up asks the same peers if it was not told. See
//! [docs/design/streams.md](../../docs/design/streams.md).

use std::{
    collections::{BTreeSet, HashMap},
    hash::{Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;

use super::{PeerName, ServiceName};
use crate::ids::ClockTime;

/// Names a stream by the id of the request that brought its first event.
pub type StreamId = Arc<str>;
/// Version of a target's software. Versions have no order.
pub type SoftwareVersion = Arc<str>;

/// Number of entries that are told the origin of a stream.
const HOLDER_COUNT: usize = 4;
/// Longest time for which an origin is kept, whatever its caller's deadline is.
const MAX_ORIGIN_LIFETIME: Duration = Duration::from_secs(120);
/// Largest number of origins that are kept; those that expire first are dropped.
const MAX_ORIGINS: usize = 65_536;
/// Time within which peers answer where a stream began.
pub(super) const ORIGIN_QUERY_TIMEOUT: Duration = Duration::from_millis(100);
/// The same while a starting process has yet to hear of its peers, which report several times
/// a second.
pub(super) const STARTING_QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a request waits for the list of targets to be read.
pub(super) const LIST_READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Part of a request that goes on with an earlier stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StreamResume {
    /// The stream; `None` if the caller does not name it.
    pub stream: Option<StreamId>,
}

/// Service and version at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// Service of the target that began it.
    pub service: ServiceName,
    /// Software version of that target.
    pub version: SoftwareVersion,
    /// Time for which its caller may still take it up.
    pub time_left: Duration,
}

/// Message from one entry to another about the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamMessage {
    /// A stream began here.
    Began(StreamOrigin),
    /// Asks where a stream began.
    Query(StreamId),
    /// The sender does not know where the stream began.
    Unknown(StreamId),
}

pub(super) type PeerNames = SmallVec<[PeerName; HOLDER_COUNT]>;

/// Query for the origin of a stream that a request goes on with.
#[derive(Debug, Clone)]
pub(super) struct OriginQuery {
    /// The stream; `None` if the caller does not name it.
    pub(super) stream: Option<StreamId>,
    /// Peers that were asked.
    pub(super) asked: PeerNames,
    /// Those of them that have not answered.
    pub(super) unanswered: PeerNames,
    pub(super) stage: QueryStage,
    pub(super) until: ClockTime,
}

/// What a request waits for whose stream's origin is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryStage {
    /// The answers of the peers that hold the origin.
    Peers,
    /// A read of the targets, which shows whether there are several versions.
    TargetList,
}

/// Known origins of streams that may still be taken up.
#[derive(Debug, Clone, Default)]
pub(super) struct OriginTable {
    origins: HashMap<StreamId, (ClockTime, StreamOrigin)>,
    expiry: BTreeSet<(ClockTime, StreamId)>,
}

impl OriginTable {
    /// Adds an origin. The first one that is known of a stream stays.
    pub(super) fn insert(&mut self, now: ClockTime, origin: StreamOrigin) {
        if self.origins.contains_key(&origin.stream) {
            return;
        }
        let expires = now + origin.time_left.min(MAX_ORIGIN_LIFETIME);
        self.expiry.insert((expires, origin.stream.clone()));
        self.origins.insert(origin.stream.clone(), (expires, origin));
        if self.origins.len() > MAX_ORIGINS {
            self.drop_first();
        }
    }

    /// Returns the origin of a stream, with the time that is left now.
    pub(super) fn get(&self, now: ClockTime, stream: &StreamId) -> Option<StreamOrigin> {
        let (expires, origin) = self.origins.get(stream)?;
        let time_left = expires.saturating_sub(now);
        Some(StreamOrigin { time_left, ..origin.clone() })
    }

    pub(super) fn expire(&mut self, now: ClockTime) {
        while self.expiry.first().is_some_and(|(expires, _)| *expires <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, stream)) = self.expiry.pop_first() {
            self.origins.remove(&stream);
        }
    }
}

/// Returns the peers among the entries that hold the origin of a stream.
///
/// Every entry chooses the same holders by rendezvous hashing, also while some come and go.
pub(super) fn origin_holders<'a>(
    stream: &StreamId,
    own: &'a PeerName,
    peers: impl Iterator<Item = &'a PeerName>,
) -> PeerNames {
    let weight = |name: &PeerName| {
        let mut hasher = SipHasher13::new();
        (stream, name).hash(&mut hasher);
        hasher.finish()
    };
    let mut entries: Vec<&PeerName> = peers.chain([own]).collect();
    entries.sort_unstable_by_key(|name| std::cmp::Reverse(weight(name)));
    // With few peers, being told costs little and spares a query.
    let holders = if entries.len() <= HOLDER_COUNT + 1 { entries.len() } else { HOLDER_COUNT };
    entries.into_iter().take(holders).filter(|name| *name != own).cloned().collect()
}
