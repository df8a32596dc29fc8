//! Reports of load and crashes, and messages about streams, in UDP datagrams between entries.
//!
//! Each report replaces the one before, so a lost datagram is not sent again. Entries
//! discover each other through the platform's store.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::{
    follow::{self, FollowedTopic, TopicFollower},
    metrics::{DirectMetrics, PeerContent},
    shell::DirectDriver,
};
use crate::{
    direct::{
        CompactReport, DirectEvent, LoadReport, PeerName, ReadSchedule, ShareReport, StreamMessage,
        SuspectReport, UsageEvent, UsageMessage, report_interval,
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
    /// The same as `load`, for entries that read it.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    compact: Option<CompactReport>,
    /// Whether the sender of `load` reads compact reports.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    reads_compact: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    stream: Option<PeerStreamMessage>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    suspects: Option<SuspectReport>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    usage: Option<UsageMessage>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    shares: Option<ShareReport>,
}

impl PeerDatagram {
    fn content(&self) -> PeerContent {
        match self {
            PeerDatagram { stream: Some(_), .. } => PeerContent::Stream,
            PeerDatagram { usage: Some(_), .. } => PeerContent::Usage,
            _ => PeerContent::Report,
        }
    }
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

/// Where a peer is reached.
#[derive(Debug, Clone, Copy)]
struct PeerAddress {
    address: SocketAddr,
    /// Whether its last report stated that it reads compact ones.
    reads_compact: bool,
}

/// Addresses of peers, by name or, as the settings name them, by address.
#[derive(Debug, Clone, Default)]
struct PeerAddresses(Rc<RefCell<HashMap<String, PeerAddress>>>);

impl PeerAddresses {
    /// Returns the address of a peer.
    fn find(&self, peer: &str) -> Option<SocketAddr> {
        self.0.borrow().get(peer).map(|known| known.address)
    }

    /// Records an address. What the peer reads is kept as long as it has the same one.
    fn insert(&self, peer: &str, address: SocketAddr) {
        let mut peers = self.0.borrow_mut();
        if peers.get(peer).is_none_or(|known| known.address != address) {
            peers.insert(peer.to_owned(), PeerAddress { address, reads_compact: false });
        }
    }

    /// Records which reports a peer reads.
    fn set_reading(&self, peer: &str, reads_compact: bool) {
        if let Some(known) = self.0.borrow_mut().get_mut(peer) {
            known.reads_compact = reads_compact;
        }
    }

    fn remove(&self, peer: &str) {
        self.0.borrow_mut().remove(peer);
    }

    /// Returns all addresses, each with whether compact reports are read there. The same one may
    /// be known under a peer's name and from the settings.
    fn all(&self) -> BTreeMap<SocketAddr, bool> {
        let mut all = BTreeMap::new();
        for known in self.0.borrow().values() {
            *all.entry(known.address).or_insert(false) |= known.reads_compact;
        }
        all
    }
}

/// Sends single messages to peers, beside the reports.
#[derive(Debug)]
pub(super) struct PeerLink {
    socket: Rc<UdpSocket>,
    peers: PeerAddresses,
}

impl PeerLink {
    /// Sends a message to peers at once. One that is lost is not sent again.
    pub(super) fn send(&self, driver: &DirectDriver, peers: &[PeerName], message: StreamMessage) {
        let stream = PeerStreamMessage { peer: driver.name().into(), message };
        let datagram = PeerDatagram { stream: Some(stream), ..PeerDatagram::default() };
        let bytes = self.send_datagram(peers, &datagram);
        driver.metrics.record_sent(PeerContent::Stream, peers.len(), bytes);
    }

    /// Sends a message about usage to a peer at once.
    pub(super) fn send_usage(&self, driver: &DirectDriver, peer: &PeerName, message: UsageMessage) {
        let datagram = PeerDatagram { usage: Some(message), ..PeerDatagram::default() };
        let bytes = self.send_datagram(std::slice::from_ref(peer), &datagram);
        driver.metrics.record_sent(PeerContent::Usage, 1, bytes);
    }

    /// Sends a datagram to each peer whose address is known, and returns its size in bytes.
    fn send_datagram(&self, peers: &[PeerName], datagram: &PeerDatagram) -> usize {
        let mut bytes = Vec::new();
        if let Err(error) = ciborium::into_writer(datagram, &mut bytes) {
            log::error!(error:% = error; "failed to encode message");
            return 0;
        }
        for peer in peers {
            let Some(address) = self.peers.find(peer) else { continue };
            if let Err(error) = self.socket.try_send_to(&bytes, address) {
                log::debug!(peer:% = peer, error:% = error; "failed to send message");
            }
        }
        bytes.len()
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
    let peers = PeerAddresses::default();
    // The settings name a few peers to start with; the store names all of them.
    for seed in settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), settings.peer_port)) {
        if seed != address {
            peers.insert(&seed.to_string(), seed);
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
        let addresses = peers.all();
        tokio::time::sleep(report_interval(addresses.len())).await;
        if addresses.is_empty() {
            continue;
        }
        let report = Report {
            load: driver.load_report(number % FULL_REPORT_PERIOD == 0),
            suspects: Some(driver.suspect_report()).filter(|report| !report.is_empty()),
            shares: driver.share_report(),
        };
        for reads_compact in [false, true] {
            let readers = addresses.iter().filter(|(_, compact)| **compact == reads_compact);
            let readers: Vec<SocketAddr> = readers.map(|(address, _)| *address).collect();
            if !readers.is_empty() {
                send_report(&driver, &socket, &report.datagram(reads_compact), &readers).await;
            }
        }
    }
}

/// What peers get to know regularly.
struct Report {
    load: LoadReport,
    suspects: Option<SuspectReport>,
    shares: Option<ShareReport>,
}

impl Report {
    fn datagram(&self, is_compact: bool) -> PeerDatagram {
        let load = Some(self.load.clone());
        let (load, compact) =
            if is_compact { (None, load.map(CompactReport::from)) } else { (load, None) };
        let (suspects, shares) = (self.suspects.clone(), self.shares.clone());
        let reads_compact = !is_compact;
        PeerDatagram { load, compact, reads_compact, suspects, shares, ..PeerDatagram::default() }
    }
}

async fn send_report(
    driver: &DirectDriver,
    socket: &UdpSocket,
    datagram: &PeerDatagram,
    addresses: &[SocketAddr],
) {
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(datagram, &mut bytes) {
        log::error!(error:% = error; "failed to encode report");
        return;
    }
    record_report(&driver.metrics, datagram, addresses.len(), bytes.len());
    for address in addresses {
        // Sends to a peer that is down are refused until it is back.
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!(address:% = address, error:% = error; "failed to send report");
        }
    }
}

/// Counts a report of some bytes to some peers, by its parts.
fn record_report(metrics: &DirectMetrics, datagram: &PeerDatagram, peers: usize, bytes: usize) {
    let parts = [
        (PeerContent::Suspects, datagram.suspects.as_ref().map(encoded_size)),
        (PeerContent::Shares, datagram.shares.as_ref().map(encoded_size)),
    ];
    let mut rest = bytes;
    for (content, size) in parts {
        let Some(size) = size else { continue };
        metrics.record_sent(content, peers, size);
        rest = rest.saturating_sub(size);
    }
    metrics.record_sent(PeerContent::Load, peers, rest);
}

fn encoded_size(part: &impl Serialize) -> usize {
    let mut bytes = Vec::new();
    // The whole was encoded before.
    drop(ciborium::into_writer(part, &mut bytes));
    bytes.len()
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
                driver.metrics.record_received(datagram.content(), length);
                let reads_compact = datagram.reads_compact || datagram.compact.is_some();
                if let Some(load) = datagram.load.or(datagram.compact.map(LoadReport::from)) {
                    if !load.has_valid_numbers() {
                        log::info!(peer:% = load.peer; "report with invalid numbers ignored");
                        continue;
                    }
                    peers.insert(&load.peer, sender);
                    peers.set_reading(&load.peer, reads_compact);
                    driver.step(DirectEvent::PeerLoad(load));
                }
                if let Some(PeerStreamMessage { peer, message }) = datagram.stream {
                    peers.insert(&peer, sender);
                    driver.step(DirectEvent::StreamMessage { peer, message });
                }
                if let Some(report) = datagram.shares.filter(ShareReport::has_valid_numbers) {
                    driver.step(DirectEvent::PeerShares(report));
                }
                if let Some(report) = datagram.suspects {
                    driver.step(DirectEvent::Suspects(report));
                }
                if let Some(message) = datagram.usage {
                    peers.insert(&message.peer, sender);
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
            self.peers.remove(&record.key);
            return;
        };
        match serde_json::from_slice::<PublishedAddress>(&value) {
            Ok(peer) if peer.address == self.own => {}
            Ok(peer) => {
                self.peers.insert(&record.key, peer.address);
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
