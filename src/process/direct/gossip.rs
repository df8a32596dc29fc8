//! Reports of load and crashes, and messages about streams, in UDP datagrams between entries.
//!
//! Each report replaces the one before, so a lost datagram is not sent again. Entries
//! discover each other through the platform's store.

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
    shell::DirectDriver,
};
use crate::{
    direct::{
        DirectEvent, LoadReport, PeerName, ReadSchedule, ShareReport, StreamMessage, SuspectReport,
        UsageEvent, UsageMessage, report_interval,
    },
    error::{Error, ErrorCode, Result},
    platform::{
        settings::PlatformSettings,
        store::{KeyedRecord, TopicNeed},
    },
};

/// Topic in which entries publish their addresses.
const PEER_TOPIC: &str = "keyed.entries";
/// Delay before datagrams are received again after an error.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How the peers' addresses are read. The pause may be long, as a new peer becomes known by its
/// own reports before the next read.
const PEER_SCHEDULE: ReadSchedule =
    ReadSchedule { pause: Duration::from_secs(8), poll_wait: Duration::from_secs(3) };
/// Number of reports after which one holds all counts instead of the changed ones, so
/// that a lost datagram has no lasting effect.
const FULL_REPORT_PERIOD: u64 = 8;
/// Delay before a failed write of this process's address is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Largest datagram that is received.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

#[derive(Debug, Default, Serialize, Deserialize)]
struct PeerDatagram {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    load: Option<LoadReport>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    stream: Option<PeerStreamMessage>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    suspects: Option<SuspectReport>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    usage: Option<UsageMessage>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    shares: Option<ShareReport>,
}

#[derive(Debug, Serialize, Deserialize)]
struct PeerStreamMessage {
    peer: PeerName,
    message: StreamMessage,
}

#[derive(Debug, Serialize, Deserialize)]
struct PublishedAddress {
    address: SocketAddr,
}

type PeerAddresses = Rc<RefCell<HashMap<String, SocketAddr>>>;

/// Sends single messages to peers, beside the reports.
#[derive(Debug)]
pub(super) struct PeerLink {
    socket: Rc<UdpSocket>,
    peers: PeerAddresses,
}

impl PeerLink {
    /// Sends a message to peers at once. One that is lost is not sent again.
    pub(super) fn send(&self, own: &str, peers: &[PeerName], message: StreamMessage) {
        let stream = PeerStreamMessage { peer: own.into(), message };
        self.send_datagram(
            peers,
            &PeerDatagram { stream: Some(stream), ..PeerDatagram::default() },
        );
    }

    /// Sends a message about usage to a peer at once.
    pub(super) fn send_usage(&self, peer: &PeerName, message: UsageMessage) {
        let datagram = PeerDatagram { usage: Some(message), ..PeerDatagram::default() };
        self.send_datagram(std::slice::from_ref(peer), &datagram);
    }

    fn send_datagram(&self, peers: &[PeerName], datagram: &PeerDatagram) {
        let mut bytes = Vec::new();
        if let Err(error) = ciborium::into_writer(datagram, &mut bytes) {
            log::error!(error:% = error; "failed to encode message");
            return;
        }
        for peer in peers {
            let Some(address) = self.peers.borrow().get(&**peer).copied() else { continue };
            if let Err(error) = self.socket.try_send_to(&bytes, address) {
                log::debug!(peer:% = peer, error:% = error; "failed to send message");
            }
        }
    }
}

/// Starts to exchange reports with peers, and publishes this process's address.
///
/// # Errors
/// Returns [`ErrorCode::Network`] if the port cannot be bound.
pub(super) async fn spawn(
    settings: &PlatformSettings,
    instance: u64,
    driver: &Rc<DirectDriver>,
) -> Result<()> {
    let address = SocketAddr::new(settings.ip, settings.peer_port);
    let failed = |e| Error::new(ErrorCode::Network, format!("{address} ({e})"));
    let socket = Rc::new(UdpSocket::bind(address).await.map_err(failed)?);
    let peers: PeerAddresses = Rc::default();
    // The settings name a few peers to start with; the store names all of them.
    for seed in settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), settings.peer_port)) {
        if seed != address {
            peers.borrow_mut().insert(seed.to_string(), seed);
        }
    }
    let link = PeerLink { socket: socket.clone(), peers: peers.clone() };
    driver.peer_link.replace(Some(link));
    tokio::task::spawn_local(send_reports(driver.clone(), socket.clone(), peers.clone()));
    tokio::task::spawn_local(receive_reports(driver.clone(), socket, peers.clone()));
    let follower = PeerFollower { driver: driver.clone(), own: address, peers };
    let driver = driver.clone();
    tokio::task::spawn_local(async move {
        publish_address(driver.clone(), address).await;
        let topic =
            FollowedTopic { name: PEER_TOPIC, need: TopicNeed::All, schedule: PEER_SCHEDULE };
        follow::follow(&driver, topic, follower).await;
    });
    log::debug!(instance:% = instance, address:% = address; "exchanging reports with peers");
    Ok(())
}

/// Writes this process's address to the store, with retries until it succeeds.
async fn publish_address(driver: Rc<DirectDriver>, address: SocketAddr) {
    let mut store = driver.store_client();
    // Serializing an address cannot fail.
    let value = serde_json::to_vec(&PublishedAddress { address }).unwrap_or_default();
    while let Err(error) = store.put(PEER_TOPIC, driver.name(), &value).await {
        log::warn!(error:% = error; "failed to publish own address");
        tokio::time::sleep(WRITE_RETRY_DELAY).await;
    }
}

async fn send_reports(driver: Rc<DirectDriver>, socket: Rc<UdpSocket>, peers: PeerAddresses) {
    for number in 0_u64.. {
        // The same address may be present under a peer's name and as a seed.
        let addresses: BTreeSet<SocketAddr> = peers.borrow().values().copied().collect();
        tokio::time::sleep(report_interval(addresses.len())).await;
        if addresses.is_empty() {
            continue;
        }
        let load = driver.load_report(number % FULL_REPORT_PERIOD == 0);
        let suspects = Some(driver.suspect_report()).filter(|report| !report.is_empty());
        let shares = driver.share_report();
        let datagram =
            PeerDatagram { load: Some(load), suspects, shares, ..PeerDatagram::default() };
        let mut bytes = Vec::new();
        if let Err(error) = ciborium::into_writer(&datagram, &mut bytes) {
            log::error!(error:% = error; "failed to encode report");
            continue;
        }
        for address in addresses {
            // Sends to a peer that is down are refused until it is back.
            if let Err(error) = socket.send_to(&bytes, address).await {
                log::debug!(address:% = address, error:% = error; "failed to send report");
            }
        }
    }
}

async fn receive_reports(driver: Rc<DirectDriver>, socket: Rc<UdpSocket>, peers: PeerAddresses) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "failed to receive report");
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match ciborium::from_reader::<PeerDatagram, _>(&buffer[..length]) {
            Ok(datagram) => {
                if let Some(load) = datagram.load {
                    if !load.has_valid_numbers() {
                        log::info!(peer:% = load.peer; "report with invalid numbers ignored");
                        continue;
                    }
                    peers.borrow_mut().insert(load.peer.to_string(), sender);
                    driver.step(DirectEvent::PeerLoad(load));
                }
                if let Some(PeerStreamMessage { peer, message }) = datagram.stream {
                    peers.borrow_mut().insert(peer.to_string(), sender);
                    driver.step(DirectEvent::StreamMessage { peer, message });
                }
                if let Some(report) = datagram.shares.filter(ShareReport::has_valid_numbers) {
                    driver.step(DirectEvent::PeerShares(report));
                }
                if let Some(report) = datagram.suspects {
                    driver.step(DirectEvent::Suspects(report));
                }
                if let Some(message) = datagram.usage {
                    peers.borrow_mut().insert(message.peer.to_string(), sender);
                    driver.step(DirectEvent::Usage(UsageEvent::Message(message)));
                }
            }
            Err(error) => log::info!(error:% = error; "malformed report ignored"),
        }
    }
}

/// Keeps the peers' addresses in step with the store, and this process's own address there.
struct PeerFollower {
    driver: Rc<DirectDriver>,
    own: SocketAddr,
    peers: PeerAddresses,
}

impl PeerFollower {
    fn apply_record(&mut self, record: KeyedRecord) {
        let Some(value) = record.value else {
            self.peers.borrow_mut().remove(&record.key);
            return;
        };
        match serde_json::from_slice::<PublishedAddress>(&value) {
            Ok(peer) if peer.address == self.own => {}
            Ok(peer) => {
                self.peers.borrow_mut().insert(record.key, peer.address);
            }
            Err(error) => {
                log::info!(key:% = record.key, error:% = error; "malformed peer address ignored")
            }
        }
    }
}

impl TopicFollower for PeerFollower {
    fn apply_snapshot(&mut self, records: Vec<KeyedRecord>) {
        let is_own = |record: &KeyedRecord| {
            let published = record.value.as_deref().map(serde_json::from_slice::<PublishedAddress>);
            let address = published.and_then(std::result::Result::ok).map(|peer| peer.address);
            record.key == self.driver.name() && address == Some(self.own)
        };
        if !records.iter().any(is_own) {
            log::info!(address:% = self.own; "own address is missing in the store; publishing it");
            tokio::task::spawn_local(publish_address(self.driver.clone(), self.own));
        }
        self.apply_changes(records);
    }

    fn apply_changes(&mut self, records: Vec<KeyedRecord>) {
        records.into_iter().for_each(|record| self.apply_record(record));
    }

    fn restore_delay(&self) -> Duration {
        self.driver.restore_delay()
    }

    fn store_unavailable(&mut self) {}

    fn after_read(&mut self) {}
}
