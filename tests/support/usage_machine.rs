//! Settings, configuration and requests of entries with the usage duty.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sapphirewell::direct::{
    CustomerConfig, CustomerTable, DirectRequest, DirectSettings, DirectTarget, FlowId,
    RequestIdentity, RequestLimits, RetryPolicy, RouteConfig, RouteTable, ServiceConfig,
    TargetStage, UsageSettings, WeightedService,
};

use super::{LATENESS, LEASE, WINDOW};

pub const CUSTOMERS: [&str; 3] = ["large", "middle", "small"];
const SERVICE: &str = "service";

pub fn usage_settings() -> UsageSettings {
    UsageSettings { window: WINDOW, lateness: LATENESS, call_interval: Duration::from_millis(20) }
}

pub fn name(entry: usize) -> String {
    format!("entry-{entry:04}")
}

pub fn settings(entry: usize, instance: u64) -> DirectSettings {
    DirectSettings {
        name: name(entry).into(),
        instance,
        seed: instance,
        data_centre: "dc".into(),
        retry_ratio: 0.2,
        retry_slack: 56.0,
        retry_window: Duration::from_secs(10),
        lease: LEASE,
        drain_bound: Duration::from_secs(2),
        usage: Some(usage_settings()),
        scale: None,
    }
}

fn route() -> Arc<RouteConfig> {
    let service = WeightedService { service: SERVICE.into(), weight: 1 };
    Arc::new(RouteConfig {
        name: "route".into(),
        host: "host".into(),
        prefix: "/".into(),
        retry: RetryPolicy::Always,
        streams: false,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(500),
        event_gap: None,
        priority: 1,
        max_attempts: 2,
        allows_anonymous: true,
        services: [service].into_iter().collect(),
    })
}

pub fn routes() -> RouteTable {
    let customers = CUSTOMERS.map(|name| {
        (CustomerConfig { name: name.into(), priority: None }, vec![format!("key-{name}")])
    });
    RouteTable {
        version: 1,
        routes: vec![route()],
        services: [(SERVICE.into(), plain_service())].into(),
        limits: RequestLimits {
            head_bytes: 16_384,
            body_bytes: 65_536,
            idle_time: Duration::from_secs(15),
        },
        customers: Some(CustomerTable::new(customers)),
    }
}

fn plain_service() -> ServiceConfig {
    ServiceConfig { max_connections: 180, engine: None, scaling: None }
}

pub fn target() -> DirectTarget {
    DirectTarget {
        id: "target".into(),
        born_ms: 1,
        service: SERVICE.into(),
        version: "v1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1000)),
        data_centre: "dc".into(),
        stage: TargetStage::Plain,
        slots: 1000,
        leaving: false,
        sequence: 1,
    }
}

pub fn request(flow: FlowId, customer: Option<Arc<CustomerConfig>>) -> DirectRequest {
    DirectRequest {
        id: format!("request-{flow}").into(),
        route: route(),
        customer,
        time_left: Duration::from_secs(5),
        prompt: None,
        identity: RequestIdentity { path: flow, content: flow, resource: flow, caller: flow },
        resumes: None,
    }
}
