//! Records that a starting process copies from a peer while the store is unavailable.
//!
//! The peers come from the settings, which name a few VMs of the initial deployment;
//! they may be stale or down. The store takes precedence: records that it returns later
//! replace copied ones. Requests that crash targets are not copied, since the peers'
//! reports name them.
//!
//! After a loss of power at all VMs, all processes start at the same time, and the few that the
//! settings name serve callers beside the copies. So a process asks only while the store does not
//! answer it, and one that is asked holds a bounded number of bytes for them.

use std::{
    cell::Cell,
    collections::HashMap,
    convert::Infallible,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    body::{Body, Frame, SizeHint},
    header::HOST,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{inspect::RECORDS_PATH, record_bytes::RecordBytes, shell::DirectDriver};
use crate::{
    direct::{DirectEvent, TargetChange},
    error::{Error, ErrorCode, Result},
    platform::{configuration, discovery},
    process::{
        dial,
        paced_body::{BodyLimits, PacedBody},
    },
};

/// Time that a starting process waits for the store, which usually answers within
/// milliseconds, before it asks peers.
const STORE_GRACE: Duration = Duration::from_millis(300);
/// Pause between rounds over the peers.
const ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Longest time to the head of a peer's response, connecting included, and longest silence within
/// its body. A large copy over a slow link takes longer.
const COPY_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval at which a process that copies records looks whether the store has provided them.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Limit on the bytes of copies that connections have not taken yet. One copy is always allowed.
/// What the kernel holds for a connection does not count.
const MAX_OUTGOING_BYTES: usize = 1024 * 1024;
/// Bytes of a copy that are handed to the connection at once.
const CHUNK_BYTES: usize = 64 * 1024;
/// Largest copy that is accepted.
const MAX_COPY_BYTES: usize = 8 * 1024 * 1024;

/// Newest records of the store that this process knows.
#[derive(Debug, Default)]
pub(super) struct KnownRecords {
    configuration: Option<Bytes>,
    targets: HashMap<String, Bytes>,
}

/// Response that holds the records for a starting peer.
#[derive(Debug, Serialize, Deserialize)]
struct RecordCopy {
    configuration: Option<RecordBytes>,
    targets: Vec<(String, RecordBytes)>,
    ages: RecordAges,
}

/// Times since each topic was last read from the store.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct RecordAges {
    pub(super) configuration: Duration,
    pub(super) targets: Duration,
}

impl KnownRecords {
    pub(super) fn set_configuration(&mut self, value: Bytes) {
        self.configuration = Some(value);
    }

    pub(super) fn set_target(&mut self, id: &str, value: Option<Bytes>) {
        match value {
            Some(value) => self.targets.insert(id.to_owned(), value),
            None => self.targets.remove(id),
        };
    }

    pub(super) fn retain_targets(&mut self, keep: impl Fn(&str) -> bool) {
        self.targets.retain(|id, _| keep(id));
    }

    /// Encodes the records for a peer as CBOR.
    pub(super) fn encode(
        &self,
        ages: RecordAges,
    ) -> std::result::Result<Vec<u8>, ciborium::ser::Error<std::io::Error>> {
        let targets = self.targets.iter();
        let targets = targets.map(|(id, value)| (id.clone(), RecordBytes(value.clone())));
        let copy = RecordCopy {
            configuration: self.configuration.clone().map(RecordBytes),
            targets: targets.collect(),
            ages,
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&copy, &mut bytes).map(|()| bytes)
    }
}

/// Bytes of copies that wait to be sent.
#[derive(Debug, Clone, Default)]
pub(super) struct OutgoingCopies {
    bytes: Rc<Cell<usize>>,
}

impl OutgoingCopies {
    /// Returns whether another copy may be sent now.
    pub(super) fn admits(&self) -> bool {
        self.bytes.get() < MAX_OUTGOING_BYTES
    }

    /// Returns the body of a copy, which counts until it was sent or given up.
    pub(super) fn body(&self, copy: Bytes) -> CopyBody {
        self.bytes.set(self.bytes.get() + copy.len());
        CopyBody { rest: copy, outgoing: self.clone() }
    }
}

/// Body of a copy.
#[derive(Debug)]
pub(super) struct CopyBody {
    rest: Bytes,
    outgoing: OutgoingCopies,
}

impl CopyBody {
    fn sent(&self, bytes: usize) {
        self.outgoing.bytes.set(self.outgoing.bytes.get().saturating_sub(bytes));
    }
}

impl Body for CopyBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(CHUNK_BYTES);
        let chunk = self.rest.split_to(length);
        self.sent(length);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

impl Drop for CopyBody {
    fn drop(&mut self) {
        self.sent(self.rest.len());
    }
}

/// Asks peers for their records until this process knows a configuration and targets,
/// from a peer or from the store. While the store answers, nobody is asked.
pub(super) async fn copy_from_peers(peers: Vec<SocketAddr>, driver: Rc<DirectDriver>) {
    tokio::time::sleep(STORE_GRACE).await;
    loop {
        for peer in &peers {
            if driver.has_initial_state() {
                return;
            }
            if driver.is_store_answering() {
                break;
            }
            let copy = tokio::select! {
                copy = fetch(*peer) => copy,
                () = store_answers(&driver) => continue,
            };
            match copy {
                Ok(copy) => apply(&driver, *peer, copy),
                Err(error) => log::info!(peer:% = peer, error:% = error; "failed to copy records"),
            }
        }
        tokio::time::sleep(ROUND_PAUSE).await;
        if driver.has_initial_state() || peers.is_empty() {
            return;
        }
    }
}

/// Waits until the store has answered a read, or has provided all that a copy would.
async fn store_answers(driver: &DirectDriver) {
    while !driver.has_initial_state() && !driver.is_store_answering() {
        tokio::time::sleep(STORE_POLL_INTERVAL).await;
    }
}

async fn fetch(peer: SocketAddr) -> Result<RecordCopy> {
    let failed =
        |e: &dyn std::fmt::Display| Error::new(ErrorCode::Network, format!("{peer} ({e})"));
    let first_by = Instant::now() + COPY_TIMEOUT;
    let exchange = async {
        let mut connection = dial::connect(peer, COPY_TIMEOUT).await?;
        let request = Request::get(RECORDS_PATH)
            .header(HOST, peer.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|e| failed(&e))?;
        let response = connection.sender.send_request(request).await.map_err(|e| failed(&e))?;
        // The connection stays open until its body was read.
        Ok((connection, response))
    };
    let timed_out = |_| Error::new(ErrorCode::Timeout, peer.to_string());
    let head = tokio::time::timeout_at(first_by, exchange).await.map_err(timed_out)?;
    let (_connection, response) = head?;
    if !response.status().is_success() {
        return Err(failed(&response.status()));
    }
    let limits = BodyLimits { first_by, silence: COPY_TIMEOUT, bytes: MAX_COPY_BYTES };
    let body = PacedBody::new(response.into_body(), limits);
    let bytes = body.read_to_end().await.map_err(|e| failed(&e))?;
    ciborium::from_reader(&bytes[..])
        .map_err(|e| Error::new(ErrorCode::Malformed, format!("records of {peer} ({e})")))
}

/// Applies a copy, unless the store has answered in the meantime.
fn apply(driver: &Rc<DirectDriver>, peer: SocketAddr, copy: RecordCopy) {
    if driver.has_initial_state() {
        return;
    }
    log::info!(
        peer:% = peer, targets:% = copy.targets.len(),
        configuration_age_ms:% = copy.ages.configuration.as_millis(),
        targets_age_ms:% = copy.ages.targets.as_millis();
        "records copied"
    );
    driver.record_copied_ages(copy.ages);
    if let Some(RecordBytes(value)) = copy.configuration {
        match configuration::decode(&value) {
            Ok(routes) => {
                driver.records.borrow_mut().set_configuration(value);
                driver.step(DirectEvent::Routes(Arc::new(routes)));
            }
            Err(error) => log::warn!(error:% = error; "malformed configuration in copy ignored"),
        }
    }
    for (id, RecordBytes(value)) in copy.targets {
        match discovery::decode(&id, &value) {
            Ok(target) => {
                driver.records.borrow_mut().set_target(&id, Some(value));
                driver.step(DirectEvent::Target(TargetChange::Listed(target)));
            }
            Err(error) => {
                log::info!(error:% = error; "malformed target registration in copy ignored")
            }
        }
    }
}
