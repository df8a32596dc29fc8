//! Records that a starting process copies from a peer while the store is unavailable.
//!
//! The peers come from the settings, which name a few VMs of the initial deployment;
//! they may be stale or down. The store takes precedence: records that it returns later
//! replace copied ones. Requests that crash targets are not copied, since the peers'
//! reports name them.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header::HOST};
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

/// Asks peers for their records until this process knows a configuration and targets,
/// from a peer or from the store.
pub(super) async fn copy_from_peers(peers: Vec<SocketAddr>, driver: Rc<DirectDriver>) {
    tokio::time::sleep(STORE_GRACE).await;
    loop {
        for peer in &peers {
            if driver.has_initial_state() {
                return;
            }
            match fetch(*peer).await {
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
