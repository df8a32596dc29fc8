//! Stand-in targets: engines and plain services.

mod call;
mod crash;
mod prefill;
mod profile;
mod response;
mod state;
mod stream;

pub use profile::{RunnerFaults, RunnerKind, RunnerProfile};
pub use state::{CacheRegistry, CrashCause, CrashRecord, ReceivedCall, RunRecord};

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use serde_json::json;
use socket2::{Domain, Socket, Type};
use tokio::{net::TcpListener, time::Instant};

use state::{RunnerState, locked};

use super::{
    endless::EndlessLog,
    orders::{OrderRecord, stage_name},
    store::StoreModel,
};

/// Stand-in target that serves HTTP; clones share its state.
#[derive(Debug, Clone)]
pub struct RunnerModel {
    /// Name, which is also the id under which its first start registers in the store.
    pub id: Arc<str>,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: Arc<str>,
    profile: RunnerProfile,
    state: Arc<Mutex<RunnerState>>,
    caches: CacheRegistry,
    /// Bound to its address, so that nothing else takes the port while it is down.
    _reserved: Arc<Socket>,
    endless: EndlessLog,
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
        let reserved = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        reserved.set_reuse_address(true)?;
        reserved.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = reserved.local_addr()?.as_socket().ok_or(std::io::ErrorKind::Unsupported)?;
        let runner = RunnerModel {
            id: id.into(),
            address,
            service: service.into(),
            profile,
            state: Arc::new(Mutex::new(RunnerState::new(id.into(), profile.slots))),
            caches,
            _reserved: Arc::new(reserved),
            endless: EndlessLog::default(),
        };
        runner.listen().await?;
        Ok(runner)
    }

    async fn listen(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        let runner = self.clone();
        let server = super::serve_on(listener, move |request| runner.clone().handle(request));
        locked(&self.state).server = Some(server);
        Ok(())
    }

    /// Writes its registration to the store, with the given `state`.
    pub fn register(&self, store: &StoreModel, state: &str) {
        let (instance, version, born, sequence) = {
            let mut runner = locked(&self.state);
            runner.sequence += 1;
            let born = 1_000 * runner.starts;
            (runner.instance.clone(), runner.version.clone(), born, runner.sequence)
        };
        let mut registration = json!({
            "service": &*self.service, "address": self.address.to_string(), "zone": "zone-a",
            "version": version, "slots": self.profile.slots, "state": state,
            "cold_remaining_ms": 0, "sequence": sequence, "born": born,
        });
        if let Some(stage) = stage_name(self.kind()) {
            registration["stage"] = json!(stage);
        }
        store.put("keyed.servers", &instance, Some(registration.to_string().as_bytes()));
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

    /// Returns the id of its present start, under which it registers.
    pub fn instance(&self) -> Arc<str> {
        locked(&self.state).instance.clone()
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

    /// Returns all calls of requests that reached it, oldest first.
    pub fn received(&self) -> Vec<ReceivedCall> {
        locked(&self.state).received.clone()
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

    /// Returns the responses without end that it sent, oldest first.
    pub fn endless(&self) -> &EndlessLog {
        &self.endless
    }
}
