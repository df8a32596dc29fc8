//! State that a starting process copies from a peer while the store is away.
//!
//! Peers are found through the settings, which name a few VMs of the first
//! start; they may be stale or down. The store goes before a copy: what it
//! answers later replaces what was copied. Requests that crash targets are not
//! copied, since the peers' own reports name them.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, header::HOST};
use serde::{Deserialize, Serialize};

use super::{inspect::RECORDS_PATH, shell::DirectShell};
use crate::{
    direct::{DirectEvent, TargetChange},
    error::{Error, ErrorCode, Result},
    platform::{configuration, discovery},
    process::dial,
};

/// Time that the store gets to answer a starting process; it needs some milliseconds.
const STORE_TIME: Duration = Duration::from_millis(300);
/// Pause between rounds over the peers.
const ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Time for one peer's answer, connecting included.
const COPY_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest copy that is read.
const MAX_COPY_BYTES: usize = 8 * 1024 * 1024;

/// Newest records of the store, as this process has read them.
#[derive(Debug, Default)]
pub(super) struct KnownRecords {
    configuration: Option<Bytes>,
    targets: HashMap<String, Bytes>,
}

/// Records on the way to a starting peer.
#[derive(Debug, Serialize, Deserialize)]
struct RecordCopy {
    configuration: Option<Vec<u8>>,
    targets: Vec<(String, Vec<u8>)>,
    ages: RecordAges,
}

/// Times since the store was last read.
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

    /// Encodes the records for a peer.
    pub(super) fn encode(
        &self,
        ages: RecordAges,
    ) -> std::result::Result<Vec<u8>, ciborium::ser::Error<std::io::Error>> {
        let copy = RecordCopy {
            configuration: self.configuration.as_ref().map(|value| value.to_vec()),
            targets: self.targets.iter().map(|(id, value)| (id.clone(), value.to_vec())).collect(),
            ages,
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&copy, &mut bytes).map(|()| bytes)
    }
}

/// Asks peers for their records until this process knows a configuration and targets.
pub(super) async fn copy(peers: Vec<SocketAddr>, shell: Rc<DirectShell>) {
    tokio::time::sleep(STORE_TIME).await;
    loop {
        for peer in &peers {
            if shell.knows_enough() {
                return;
            }
            match fetch(*peer).await {
                Ok(copy) => apply(&shell, *peer, copy),
                Err(error) => log::info!(peer:% = peer, error:% = error; "records not copied"),
            }
        }
        tokio::time::sleep(ROUND_PAUSE).await;
        if shell.knows_enough() || peers.is_empty() {
            return;
        }
    }
}

async fn fetch(peer: SocketAddr) -> Result<RecordCopy> {
    let failed =
        |e: &dyn std::fmt::Display| Error::new(ErrorCode::Network, format!("{peer} ({e})"));
    let exchange = async {
        let mut connection = dial::connect(peer, COPY_TIMEOUT).await?;
        let request = Request::get(RECORDS_PATH)
            .header(HOST, peer.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|e| failed(&e))?;
        let answer = connection.sender.send_request(request).await.map_err(|e| failed(&e))?;
        let body = Limited::new(answer.into_body(), MAX_COPY_BYTES);
        let bytes = body.collect().await.map_err(|e| failed(&e))?.to_bytes();
        let malformed = |e| Error::new(ErrorCode::Malformed, format!("records of {peer} ({e})"));
        ciborium::from_reader(&bytes[..]).map_err(malformed)
    };
    let late = |_| Error::new(ErrorCode::Timeout, peer.to_string());
    tokio::time::timeout(COPY_TIMEOUT, exchange).await.map_err(late)?
}

/// Takes over a copy, unless the store has answered meanwhile.
fn apply(shell: &Rc<DirectShell>, peer: SocketAddr, copy: RecordCopy) {
    if shell.knows_enough() {
        return;
    }
    log::info!(
        peer:% = peer, targets:% = copy.targets.len(),
        configuration_age_ms:% = copy.ages.configuration.as_millis(),
        targets_age_ms:% = copy.ages.targets.as_millis();
        "records copied"
    );
    shell.note_copy(copy.ages);
    if let Some(value) = copy.configuration {
        match configuration::decode(&value) {
            Ok(routes) => {
                shell.records.borrow_mut().set_configuration(value.into());
                shell.step(DirectEvent::Routes(Arc::new(routes)));
            }
            Err(error) => log::warn!(error:% = error; "copied configuration ignored"),
        }
    }
    for (id, value) in copy.targets {
        match discovery::decode(&id, &value) {
            Ok(target) => {
                shell.records.borrow_mut().set_target(&id, Some(value.into()));
                shell.step(DirectEvent::Target(TargetChange::Listed(target)));
            }
            Err(error) => log::info!(error:% = error; "copied entry ignored"),
        }
    }
}
