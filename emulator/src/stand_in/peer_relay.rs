//! Relays the datagrams between entries, so that single entries can be cut off from the others.
//!
//! Each entry has a public address, which the others see as its own. What they send there is passed
//! on to the entry from the public address of the sender.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::net::UdpSocket;

/// Largest datagram that is passed on.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Relay of all entries; clones share it.
#[derive(Debug, Clone, Default)]
pub struct PeerRelay {
    /// Public addresses by those that the entries bind.
    public: Arc<BTreeMap<SocketAddr, SocketAddr>>,
    /// Entries' addresses that nothing reaches or leaves.
    cut: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

impl PeerRelay {
    /// Starts to relay between entries that bind these addresses.
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound.
    pub async fn spawn(entries: &[SocketAddr]) -> std::io::Result<PeerRelay> {
        let mut sockets: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
        let mut public = BTreeMap::new();
        for entry in entries {
            let socket = UdpSocket::bind(("127.0.0.1", 0)).await?;
            public.insert(*entry, socket.local_addr()?);
            sockets.insert(*entry, Arc::new(socket));
        }
        let relay = PeerRelay { public: Arc::new(public), cut: Arc::default() };
        for (entry, socket) in &sockets {
            tokio::spawn(relay.clone().pass_on(*entry, socket.clone(), sockets.clone()));
        }
        Ok(relay)
    }

    /// Cuts these entries off from all others, and no other ones.
    pub fn cut(&self, entries: &[SocketAddr]) {
        let mut cut = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        *cut = entries.iter().copied().collect();
    }

    /// Returns a record with the addresses of all entries but one replaced by public ones.
    pub fn seen_by(&self, reader: SocketAddr, record: &[u8]) -> Vec<u8> {
        let mut text = String::from_utf8_lossy(record).into_owned();
        for (entry, public) in self.public.iter().filter(|(entry, _)| **entry != reader) {
            text = text.replace(&entry.to_string(), &public.to_string());
        }
        text.into_bytes()
    }

    async fn pass_on(
        self,
        to: SocketAddr,
        socket: Arc<UdpSocket>,
        sockets: BTreeMap<SocketAddr, Arc<UdpSocket>>,
    ) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // Fails where an earlier datagram reached an entry that is down.
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
            let Some(sender) = sockets.get(&from) else { continue };
            if !self.is_cut(from) && !self.is_cut(to) {
                sender.send_to(&buffer[..length], to).await.ok();
            }
        }
    }

    fn is_cut(&self, entry: SocketAddr) -> bool {
        self.cut.lock().unwrap_or_else(PoisonError::into_inner).contains(&entry)
    }
}
