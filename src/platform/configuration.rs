//! Decoder of the operators' configuration document in the platform's store.

use std::{borrow::Cow, sync::Arc, time::Duration};

use hyper::header::HeaderValue;
use serde::Deserialize;

use crate::{
    direct::{
        CustomerConfig, CustomerTable, EngineConfig, RequestLimits, RetryPolicy, RouteConfig,
        RouteTable, ScalingConfig, ServiceConfig, WeightedService,
    },
    error::{Error, ErrorCode, Result},
};

/// Topic that holds the operators' records.
pub const TOPIC: &str = "keyed.op";
/// Key of the configuration within [`TOPIC`].
pub const KEY: &str = "config";

#[derive(Deserialize)]
struct WireConfig<'a> {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    limits: WireLimits,
    /// Present, also without any, where callers have to state keys.
    #[serde(borrow, default)]
    tenants: Option<Vec<WireTenant<'a>>>,
}

#[derive(Deserialize)]
struct WireTenant<'a> {
    name: Arc<str>,
    #[serde(borrow)]
    api_keys: Vec<WireKey<'a>>,
    priority: Option<u8>,
}

/// Key of a customer, which is not copied on the way to its digest.
#[derive(Deserialize)]
#[serde(transparent)]
struct WireKey<'a>(#[serde(borrow)] Cow<'a, str>);

impl AsRef<[u8]> for WireKey<'_> {
    fn as_ref(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

#[derive(Deserialize)]
struct WireRoute {
    name: Arc<str>,
    host: Arc<str>,
    path_prefix: Arc<str>,
    kind: WireKind,
    timeout_ms: f64,
    target_latency_ms: f64,
    priority: u8,
    service: Option<Arc<str>>,
    #[serde(default)]
    traffic_split: Vec<WireSplit>,
    max_attempts: u32,
    #[serde(default)]
    allow_anonymous: bool,
    #[serde(default)]
    resumable: bool,
    target_gap_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireKind {
    Streaming,
    Unsafe,
    Safe,
}

#[derive(Deserialize)]
struct WireSplit {
    service: Arc<str>,
    weight: f64,
}

#[derive(Deserialize)]
struct WireService {
    name: Arc<str>,
    max_connections: u32,
    engine: Option<WireEngine>,
    /// Decoded on its own, so that an invalid one keeps no configuration from taking effect.
    scaling: Option<serde_json::Value>,
}

#[derive(Deserialize)]
struct WireScaling {
    min: u32,
    max: u32,
    boot_s: Option<f64>,
}

#[derive(Deserialize)]
struct WireEngine {
    slots: u32,
    kv_capacity_tokens: f64,
    token_kv_bytes: f64,
    link_mbps: f64,
}

#[derive(Deserialize)]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    idle_timeout_ms: u64,
}

/// Steps per unit of weight: weights may be fractional and are cut to three decimals.
const WEIGHT_SCALE: f64 = 1000.0;
/// Largest scaled weight, so that their sum can be counted.
const MAX_WEIGHT: f64 = 1.0e8;
/// Longest time that a configuration can state: a year, which clocks can add.
const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3600);

/// Start time of a target where a service's `scaling` states none.
const DEFAULT_START_TIME: Duration = Duration::from_secs(30);

/// Decodes a configuration document.
///
/// Invalid bounds on a service's number of targets are logged and left out, so that this number is
/// not changed; they are no reason to refuse routes and limits.
///
/// # Errors
/// Returns [`ErrorCode::Malformed`] if it is not valid JSON, or a field is missing or has
/// an invalid value.
pub fn decode(value: &[u8]) -> Result<RouteTable> {
    let config: WireConfig<'_> = serde_json::from_slice(value).map_err(|e| decode_error(&e))?;
    let customers = config.tenants.map(customer_table).transpose()?;
    let services = config.services.into_iter();
    Ok(RouteTable {
        version: config.version,
        routes: config.routes.into_iter().map(|route| Arc::new(route_terms(route))).collect(),
        services: services.map(|s| (s.name.clone(), service_terms(s))).collect(),
        limits: RequestLimits {
            head_bytes: config.limits.max_header_bytes,
            body_bytes: config.limits.max_body_bytes,
            idle_time: Duration::from_millis(config.limits.idle_timeout_ms).min(MAX_TIME),
        },
        customers,
    })
}

/// Returns the error of a document. It states the place only, as the decoder's text may quote a
/// key, and errors are logged.
fn decode_error(error: &serde_json::Error) -> Error {
    let (kind, line, column) = (error.classify(), error.line(), error.column());
    let place = format!("configuration ({kind:?} error at line {line}, column {column})");
    Error::new(ErrorCode::Malformed, place)
}

fn customer_table(tenants: Vec<WireTenant<'_>>) -> Result<CustomerTable> {
    if let Some(position) = tenants.iter().position(|tenant| !fits_header(&tenant.name)) {
        let place = format!("configuration (customer {position} has a name that fits no header)");
        return Err(Error::new(ErrorCode::Malformed, place));
    }
    Ok(CustomerTable::new(tenants.into_iter().map(|tenant| {
        let WireTenant { name, api_keys, priority } = tenant;
        (CustomerConfig { name, priority }, api_keys)
    })))
}

/// Returns whether a header can state a name as it is.
fn fits_header(name: &str) -> bool {
    !name.is_empty() && name.trim() == name && HeaderValue::from_bytes(name.as_bytes()).is_ok()
}

fn route_terms(route: WireRoute) -> RouteConfig {
    let (retry, streams) = match route.kind {
        WireKind::Safe => (RetryPolicy::Always, false),
        WireKind::Unsafe => (RetryPolicy::Never, false),
        WireKind::Streaming if route.resumable => (RetryPolicy::Resume, true),
        WireKind::Streaming => (RetryPolicy::Never, true),
    };
    let split = route.traffic_split.into_iter().map(|split| WeightedService {
        service: split.service,
        weight: (split.weight * WEIGHT_SCALE).min(MAX_WEIGHT) as u32,
    });
    let single = route.service.into_iter().map(|service| WeightedService { service, weight: 1 });
    let services = single.chain(split).filter(|weighted| weighted.weight > 0).collect();
    RouteConfig {
        name: route.name,
        host: route.host.to_ascii_lowercase().into(),
        prefix: route.path_prefix,
        retry,
        streams,
        timeout: duration_from_millis(route.timeout_ms),
        objective: duration_from_millis(route.target_latency_ms),
        event_gap: route.target_gap_ms.map(duration_from_millis),
        priority: route.priority,
        max_attempts: route.max_attempts.max(1),
        allows_anonymous: route.allow_anonymous,
        services,
    }
}

fn service_terms(service: WireService) -> ServiceConfig {
    let engine = service.engine.map(|engine| EngineConfig {
        slots: engine.slots,
        memory_tokens: engine.kv_capacity_tokens as u32,
        token_bytes: engine.token_kv_bytes,
        link_bits: engine.link_mbps * 1.0e6,
    });
    let scaling = service.scaling.and_then(|scaling| {
        scaling_terms(&service.name, scaling)
            .inspect_err(|error| log::warn!(error:% = error; "bounds on targets left out"))
            .ok()
    });
    ServiceConfig { max_connections: service.max_connections, engine, scaling }
}

/// Returns the bounds on the number of a service's targets.
///
/// # Errors
/// Returns [`ErrorCode::Malformed`] if a bound is missing, or a value is invalid.
fn scaling_terms(service: &str, scaling: serde_json::Value) -> Result<ScalingConfig> {
    let error = || {
        let place = format!("configuration (scaling of service {service:?})");
        Error::new(ErrorCode::Malformed, place)
    };
    let WireScaling { min, max, boot_s } = serde_json::from_value(scaling).map_err(|_| error())?;
    if min > max || boot_s.is_some_and(|seconds| seconds < 0.0) {
        return Err(error());
    }
    let start_time = boot_s.map(|seconds| duration_from_millis(seconds * 1000.0));
    Ok(ScalingConfig { min, max, start_time: start_time.unwrap_or(DEFAULT_START_TIME) })
}

/// Returns a time that is given in milliseconds; one beyond [`MAX_TIME`] is cut.
fn duration_from_millis(value: f64) -> Duration {
    Duration::from_secs_f64((value.max(0.0) / 1000.0).min(MAX_TIME.as_secs_f64()))
}
