//! Routes, services and request limits: the configuration in force.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::Serialize;
use smallvec::SmallVec;
use strum::Display;

/// Names a service.
pub type ServiceName = Arc<str>;
/// Names a model.
pub type ModelName = Arc<str>;

/// What may be done again for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RetryPolicy {
    /// Runs at most once.
    Never,
    /// Idempotent: may run on several targets.
    Always,
    /// A stream that may go on at another target after its last event.
    Resume,
}

/// Service with its share of a route.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// Terms under which a route's requests are served.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouteConfig {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of its requests, in lower case.
    pub host: Arc<str>,
    /// Beginning of their paths.
    pub prefix: Arc<str>,
    /// What may be repeated.
    #[serde(rename = "repeat")]
    pub retry: RetryPolicy,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// Longest time to the final answer.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub objective: Duration,
    /// Rank, 0 first.
    pub priority: u8,
    /// Largest number of targets that may run one request.
    pub max_attempts: u32,
    /// Services that serve it.
    pub services: SmallVec<[WeightedService; 2]>,
}

/// What the configuration tells of a service's engines.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EngineConfig {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory_tokens: u32,
    /// Size of one token in the KV cache, in bytes.
    pub token_bytes: f64,
    /// Speed of an engine's link, in bits a second.
    pub link_bits: f64,
}

/// Terms of a service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceConfig {
    /// Connections that one of its targets accepts from all callers together.
    pub max_connections: u32,
    /// Engine terms; `None` for plain services.
    pub engine: Option<EngineConfig>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RequestLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest idle time of a connection.
    pub idle_time: Duration,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouteTable {
    /// Its version, which only rises.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Arc<RouteConfig>>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceConfig>,
    /// Limits.
    pub limits: RequestLimits,
}

impl RouteTable {
    /// Returns the route with the longest prefix of the path among those of the host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteConfig>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let fits = |route: &&Arc<RouteConfig>| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.prefix)
        };
        self.routes.iter().filter(fits).max_by_key(|route| route.prefix.len())
    }
}
