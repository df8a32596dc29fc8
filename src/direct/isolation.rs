//! Whether an entry is cut off from its peers, rather than each of them from it.

use std::{collections::HashMap, time::Duration};

use serde::Serialize;

use super::{PeerName, PeerTable};
use crate::ids::ClockTime;

/// Times at which peers were last live.
#[derive(Debug, Clone, Serialize)]
pub(super) struct HeardPeers {
    /// Time for which a silent peer counts among those that this entry may be cut off from.
    memory: Duration,
    heard: HashMap<PeerName, ClockTime>,
}

impl HeardPeers {
    pub(super) fn new(memory: Duration) -> HeardPeers {
        HeardPeers { memory, heard: HashMap::new() }
    }

    /// Records which peers are live.
    pub(super) fn note(&mut self, now: ClockTime, peers: &PeerTable) {
        let memory = self.memory;
        self.heard.retain(|_, heard| now <= *heard + memory);
        for name in peers.names() {
            self.heard.insert(name.clone(), now);
        }
    }

    /// Records that a peer was live.
    pub(super) fn note_peer(&mut self, now: ClockTime, peer: &PeerName) {
        self.heard.insert(peer.clone(), now);
    }

    /// Returns whether over half of the peers that were heard lately are silent.
    pub(super) fn is_isolated(&self, now: ClockTime, peers: &PeerTable) -> bool {
        2 * peers.len() < self.lately(now).count()
    }

    /// Returns the peers that were heard lately and are not live, and when each was last live.
    pub(super) fn silent<'a>(
        &'a self,
        now: ClockTime,
        peers: &'a PeerTable,
    ) -> impl Iterator<Item = (&'a PeerName, ClockTime)> {
        self.lately(now).filter(|(name, _)| peers.instance(name).is_none())
    }

    /// Returns the number of peers that were heard lately.
    pub(super) fn count(&self, now: ClockTime) -> usize {
        self.lately(now).count()
    }

    fn lately(&self, now: ClockTime) -> impl Iterator<Item = (&PeerName, ClockTime)> {
        let is_late = move |heard: &ClockTime| now <= *heard + self.memory;
        self.heard.iter().map(|(name, heard)| (name, *heard)).filter(move |(_, at)| is_late(at))
    }
}
