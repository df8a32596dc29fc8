//! Configuration of routes, services and request limits.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::Serialize;
use smallvec::SmallVec;
use strum::Display;

use super::CustomerTable;

/// Names a service.
pub type ServiceName = Arc<str>;
/// Names a model.
pub type ModelName = Arc<str>;

/// Whether a request that may have run may be sent to another target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RetryPolicy {
    /// Not idempotent: runs at most once.
    Never,
    /// Idempotent: may run at several targets.
    Always,
    /// Stream that may be resumed at another target after its last event.
    Resume,
}

/// Service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// Configuration of a route.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouteConfig {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of its requests, in lower case.
    pub host: Arc<str>,
    /// Prefix of their paths.
    pub prefix: Arc<str>,
    /// Whether requests may run more than once.
    #[serde(rename = "repeat")]
    pub retry: RetryPolicy,
    /// Whether the response is a stream of events.
    pub streams: bool,
    /// Maximum time to the final response.
    pub timeout: Duration,
    /// Latency objective: time within which a response is in time.
    pub objective: Duration,
    /// Longest time between two events of a stream that is in time, if it is stated.
    pub event_gap: Option<Duration>,
    /// Priority, 0 being the highest.
    pub priority: u8,
    /// Maximum number of targets that may run one request.
    pub max_attempts: u32,
    /// Whether requests are served without a customer's key.
    pub allows_anonymous: bool,
    /// Services among which requests are split by weight.
    pub services: SmallVec<[WeightedService; 2]>,
}

/// Configuration of a service's engines.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EngineConfig {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Memory for KV caches, in tokens.
    pub memory_tokens: u32,
    /// Size of one token's KV cache, in bytes.
    pub token_bytes: f64,
    /// Bandwidth of an engine's network link, in bits per second.
    pub link_bits: f64,
}

/// Bounds on the number of a service's targets in each data centre, where the system orders it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ScalingConfig {
    /// Smallest number.
    pub min: u32,
    /// Largest number.
    pub max: u32,
    /// Time from an order until new targets serve.
    pub start_time: Duration,
}

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceConfig {
    /// Maximum number of connections that one of its targets accepts from all entries.
    pub max_connections: u32,
    /// Configuration of its engines; `None` for plain services.
    pub engine: Option<EngineConfig>,
    /// Bounds on the number of its targets; `None` if the system does not order it.
    pub scaling: Option<ScalingConfig>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouteTable {
    /// Version number, which only rises.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<RouteConfig>>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceConfig>,
    /// Limits on requests of all routes.
    pub limits: RequestLimits,
    /// Customers by their keys; `None` if the configuration has no customers.
    pub customers: Option<CustomerTable>,
}

impl RouteTable {
    /// Returns the route of the host whose prefix is the longest match for the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteConfig>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let matches = |route: &&Arc<RouteConfig>| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.prefix)
        };
        self.routes.iter().filter(matches).max_by_key(|route| route.prefix.len())
    }
}
