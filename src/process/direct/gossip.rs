//! Load and crashes that entries tell each other, in datagrams.
//!
//! A lost datagram is replaced by the next one, so nothing is sent again.
//! Entries find each other through the platform's store.

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::{
    follow::{self, FollowedTopic, TopicFollower},
    shell::DirectShell,
};
use crate::{
    direct::{CrashReport, DirectEvent, LoadReport},
    error::{Error, ErrorCode, Result},
    platform::{
        settings::PlatformSettings,
        store::{KeyedRecord, StoreClient},
    },
};

/// Topic in which entries leave their addresses.
const PEER_TOPIC: &str = "keyed.entries";
/// Interval of the reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Datagrams that a process sends in a second at most; with many peers the
/// interval of its reports grows.
const DATAGRAMS_PER_SECOND: usize = 120;
/// Pause between reads of the peers' addresses. A new peer is known by its own
/// reports before that.
const PEER_PACE: Duration = Duration::from_secs(8);
/// How long the store may hold such a read.
const PEER_WAIT: Duration = Duration::from_secs(3);
/// Reports after which one is sent whole, so that a lost one does no lasting harm.
const WHOLE_EVERY: u64 = 8;
/// Pause before an address is written again after a failure.
const WRITE_PAUSE: Duration = Duration::from_secs(1);
/// How long a crash is told; thirty reports, so that a few lost ones do no harm.
const CRASH_TIME: Duration = Duration::from_secs(3);
/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 60 * 1024;

#[derive(Debug, Serialize, Deserialize)]
struct PeerDatagram {
    load: LoadReport,
    crashes: Vec<CrashReport>,
}

#[derive(Debug, Serialize, Deserialize)]
struct PeerEntry {
    address: SocketAddr,
}

type PeerAddresses = Rc<RefCell<HashMap<String, SocketAddr>>>;

/// Starts telling and listening.
///
/// # Errors
/// Returns [`ErrorCode::Network`] where the port cannot be bound.
pub(super) async fn spawn(
    settings: &PlatformSettings,
    instance: u64,
    shell: &Rc<DirectShell>,
) -> Result<()> {
    let address = SocketAddr::new(settings.ip, settings.peer_port);
    let failed = |e| Error::new(ErrorCode::Network, format!("{address} ({e})"));
    let socket = Rc::new(UdpSocket::bind(address).await.map_err(failed)?);
    let peers: PeerAddresses = Rc::default();
    // The store names all peers; until it answers, the settings name a few.
    for seed in settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), settings.peer_port)) {
        if seed != address {
            peers.borrow_mut().insert(seed.to_string(), seed);
        }
    }
    tokio::task::spawn_local(tell(shell.clone(), socket.clone(), peers.clone()));
    tokio::task::spawn_local(listen(shell.clone(), socket, peers.clone()));
    let follower = PeerFollower { own: address, peers };
    let (store, key) = (settings.store, settings.vm.to_string());
    let shell = shell.clone();
    tokio::task::spawn_local(async move {
        announce(store, &key, address).await;
        let topic = FollowedTopic { name: PEER_TOPIC, pace: PEER_PACE, wait: PEER_WAIT };
        follow::follow(&shell, StoreClient::new(store), topic, follower).await;
    });
    log::debug!(instance:% = instance, address:% = address; "telling peers");
    Ok(())
}

/// Leaves this process's address in the store.
async fn announce(store: SocketAddr, key: &str, address: SocketAddr) {
    let mut store = StoreClient::new(store);
    // An entry of one address always has a JSON form.
    let value = serde_json::to_vec(&PeerEntry { address }).unwrap_or_default();
    while let Err(error) = store.put(PEER_TOPIC, key, &value).await {
        log::warn!(error:% = error; "own address not written");
        tokio::time::sleep(WRITE_PAUSE).await;
    }
}

async fn tell(shell: Rc<DirectShell>, socket: Rc<UdpSocket>, peers: PeerAddresses) {
    for number in 0_u64.. {
        // A peer may stand under its name and as a seed.
        let addresses: BTreeSet<SocketAddr> = peers.borrow().values().copied().collect();
        let paced = Duration::from_secs(1) * addresses.len() as u32 / DATAGRAMS_PER_SECOND as u32;
        tokio::time::sleep(REPORT_INTERVAL.max(paced)).await;
        if addresses.is_empty() {
            continue;
        }
        let crashes = shell.recent_crashes(shell.now().saturating_sub(CRASH_TIME));
        let load = shell.load_report(number % WHOLE_EVERY == 0);
        let datagram = PeerDatagram { load, crashes };
        let mut bytes = Vec::new();
        if let Err(error) = ciborium::into_writer(&datagram, &mut bytes) {
            log::error!(error:% = error; "report not encoded");
            continue;
        }
        for address in addresses {
            // A peer that is down refuses datagrams until it is back.
            if let Err(error) = socket.send_to(&bytes, address).await {
                log::debug!(address:% = address, error:% = error; "report not sent");
            }
        }
    }
}

async fn listen(shell: Rc<DirectShell>, socket: Rc<UdpSocket>, peers: PeerAddresses) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "report not received");
                tokio::time::sleep(REPORT_INTERVAL).await;
                continue;
            }
        };
        match ciborium::from_reader::<PeerDatagram, _>(&buffer[..length]) {
            Ok(datagram) => {
                peers.borrow_mut().insert(datagram.load.peer.to_string(), sender);
                shell.step(DirectEvent::PeerLoad(datagram.load));
                for report in datagram.crashes {
                    shell.step(DirectEvent::Crashes(report));
                }
            }
            Err(error) => log::info!(error:% = error; "report ignored"),
        }
    }
}

struct PeerFollower {
    own: SocketAddr,
    peers: PeerAddresses,
}

impl PeerFollower {
    fn take(&mut self, record: KeyedRecord) {
        let Some(value) = record.value else {
            self.peers.borrow_mut().remove(&record.key);
            return;
        };
        match serde_json::from_slice::<PeerEntry>(&value) {
            Ok(entry) if entry.address == self.own => {}
            Ok(entry) => {
                self.peers.borrow_mut().insert(record.key, entry.address);
            }
            Err(error) => log::info!(key:% = record.key, error:% = error; "peer entry ignored"),
        }
    }
}

impl TopicFollower for PeerFollower {
    fn whole(&mut self, records: Vec<KeyedRecord>) {
        records.into_iter().for_each(|record| self.take(record));
    }

    fn changes(&mut self, records: Vec<KeyedRecord>) {
        records.into_iter().for_each(|record| self.take(record));
    }

    fn unavailable(&mut self) {}

    fn settle(&mut self) {}
}
