//! Stand-in targets: engines and plain services.

mod call;
mod prefill;
mod profile;
mod response;
mod state;
mod stream;

pub use profile::{RunnerFaults, RunnerKind, RunnerProfile};
pub use state::{CacheRegistry, RunRecord};

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use serde_json::json;
use tokio::time::Instant;

use state::{RunnerState, locked};

use super::{
    BrokenOff,
    orders::{OrderRecord, stage_name},
    slots::PrioritySlots,
    store::StoreModel,
};

/// Stand-in target that serves HTTP; clones share its state.
#[derive(Debug, Clone)]
pub struct RunnerModel {
    /// Id under which it registers in the store.
    pub id: Arc<str>,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: Arc<str>,
    profile: RunnerProfile,
    state: Arc<Mutex<RunnerState>>,
    slots: PrioritySlots,
    prefill_lock: Arc<tokio::sync::Mutex<()>>,
    caches: CacheRegistry,
    sequence: Arc<AtomicU64>,
}

impl RunnerModel {
    /// Starts a target on a free port. [`register`](Self::register) makes it discoverable.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn spawn(
        id: &str,
        service: &str,
        profile: RunnerProfile,
        caches: CacheRegistry,
    ) -> std::io::Result<RunnerModel> {
        let cell: Arc<Mutex<Option<RunnerModel>>> = Arc::default();
        let shared = cell.clone();
        let (address, _) = super::serve(0, move |request| {
            let runner = locked(&shared).clone();
            async move {
                match runner {
                    Some(runner) => runner.handle(request).await,
                    None => Err(BrokenOff::Closed),
                }
            }
        })
        .await?;
        let runner = RunnerModel {
            id: id.into(),
            address,
            service: service.into(),
            profile,
            state: Arc::new(Mutex::new(RunnerState::new())),
            slots: PrioritySlots::new(profile.slots),
            prefill_lock: Arc::default(),
            caches,
            sequence: Arc::default(),
        };
        *locked(&cell) = Some(runner.clone());
        Ok(runner)
    }

    /// Writes its registration to the store, with the given `state`.
    pub fn register(&self, store: &StoreModel, state: &str) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let (version, born) = {
            let runner = locked(&self.state);
            (runner.version.clone(), 1_000 * runner.starts)
        };
        let mut registration = json!({
            "service": &*self.service, "address": self.address.to_string(), "zone": "zone-a",
            "version": version, "slots": self.profile.slots, "state": state,
            "cold_remaining_ms": 0, "sequence": sequence, "born": born,
        });
        if let Some(stage) = stage_name(self.kind()) {
            registration["stage"] = json!(stage);
        }
        store.put("keyed.servers", &self.id, Some(registration.to_string().as_bytes()));
    }

    /// Starts again with another version of its software, which it registers.
    pub fn restart_with_version(&self, store: &StoreModel, version: &str) {
        {
            let mut state = locked(&self.state);
            state.version = version.to_owned();
            state.starts += 1;
            state.segments.clear();
        }
        self.register(store, "ready");
    }

    /// Returns the version of its software.
    pub fn version(&self) -> String {
        locked(&self.state).version.clone()
    }

    /// Returns its current kind, which orders can change.
    pub fn kind(&self) -> RunnerKind {
        locked(&self.state).orders.kind(self.profile.kind)
    }

    /// Restores the kind with which it started, as an operator might.
    pub fn reset_kind(&self) {
        locked(&self.state).orders.reset_kind();
    }

    /// Returns the orders that it accepted, oldest first.
    pub fn orders(&self) -> Vec<OrderRecord> {
        locked(&self.state).orders.accepted().to_vec()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: RunnerFaults) {
        locked(&self.state).faults = faults;
    }

    /// Returns the ids of the requests that arrived, whether or not they ran, with separate
    /// prefills.
    pub fn arrivals(&self) -> Vec<String> {
        locked(&self.state).arrivals.clone()
    }

    /// Returns all runs so far. Separate prefills are not included.
    pub fn runs(&self) -> Vec<RunRecord> {
        locked(&self.state).runs.clone()
    }

    /// Returns the number of prompts prefilled as a separate stage.
    pub fn prefills(&self) -> u64 {
        locked(&self.state).prefills
    }

    /// Returns when it declined requests.
    pub fn declined(&self) -> Vec<Instant> {
        locked(&self.state).declined.clone()
    }

    /// Returns how often a request imported another request's KV cache.
    pub fn foreign_caches(&self) -> u64 {
        locked(&self.state).foreign_caches
    }

    /// Returns the ids of requests whose connection closed during their run.
    pub fn left(&self) -> Vec<String> {
        locked(&self.state).cancelled.clone()
    }
}
