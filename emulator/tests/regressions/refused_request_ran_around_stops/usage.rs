//! Interface of the platform that takes reports of usage, and keeps them.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use emulator::stand_in::{BrokenOff, StandInBody, serve, whole};
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::{Instant, sleep};

/// Time in which entries must not take turns with reports, as in their settings.
const LEASE: Duration = Duration::from_millis(500);

/// Requests by customer.
pub type Counts = BTreeMap<String, u64>;

/// Report of a window.
#[derive(Debug, Clone, PartialEq)]
struct Report {
    at: Instant,
    holder: String,
    token: u64,
    window: u64,
    counts: Counts,
}

/// Interface for reports; clones share it.
#[derive(Debug, Clone)]
pub struct UsagePlatform {
    reports: Arc<Mutex<Vec<Report>>>,
    rng: Arc<Mutex<SmallRng>>,
}

impl UsagePlatform {
    /// Serves the interface on a free port.
    pub async fn bind(seed: u64) -> io::Result<(UsagePlatform, SocketAddr)> {
        let rng = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
        let platform = UsagePlatform { reports: Arc::default(), rng };
        let served = platform.clone();
        let (address, _) = serve(0, move |request| served.clone().handle(request)).await?;
        Ok((platform, address))
    }

    /// Takes a report, refuses it, or takes it and loses the answer.
    async fn handle(self, request: Request<Incoming>) -> Result<Response<StandInBody>, BrokenOff> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| BrokenOff::Closed)?.to_bytes();
        let (draw, delay) = {
            let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
            (rng.random_range(0..10_u32), Duration::from_millis(rng.random_range(0..300)))
        };
        if draw == 0 {
            let mut refusal = Response::new(whole(""));
            *refusal.status_mut() = StatusCode::TOO_MANY_REQUESTS;
            return Ok(refusal);
        }
        let header = |name| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let content: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let report = Report {
            at: Instant::now(),
            holder: header("lease-holder").unwrap_or_default().to_owned(),
            token: header("fencing-token").and_then(|text| text.parse().ok()).unwrap_or_default(),
            window: content["window"].as_u64().unwrap_or_default(),
            counts: serde_json::from_value(content["counts"].clone()).unwrap_or_default(),
        };
        self.reports.lock().unwrap_or_else(PoisonError::into_inner).push(report);
        sleep(delay).await;
        if draw == 1 { Err(BrokenOff::Reset) } else { Ok(Response::new(whole("{}"))) }
    }

    /// Returns the number of reports, and what shows that they are those of two holders, or that
    /// they count requests that did not run.
    pub fn judge(&self, begun: &Counts) -> (usize, Vec<String>) {
        let reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        let mut breaches = Vec::new();
        let mut sums = Counts::new();
        for (index, report) in reports.iter().enumerate() {
            let earlier = &reports[..index];
            let is_shared = |r: &Report| r.token == report.token && r.holder != report.holder;
            if earlier.iter().any(is_shared) || earlier.iter().any(|r| r.token > report.token) {
                breaches.push(format!("usage: token of another: {report:?}"));
            }
            let recent = earlier.iter().rev().take_while(|r| r.at + LEASE > report.at);
            let mut before = recent.skip_while(|r| r.holder == report.holder);
            if before.any(|r| r.holder == report.holder) {
                breaches.push(format!("usage: entries take turns: {report:?}"));
            }
            match earlier.iter().find(|r| r.window == report.window) {
                Some(first) if first.counts != report.counts => {
                    breaches.push(format!("usage: two counts: {first:?}, {report:?}"));
                }
                Some(_) => {}
                None => {
                    for (customer, count) in &report.counts {
                        *sums.entry(customer.clone()).or_default() += count;
                    }
                }
            }
        }
        for (customer, sum) in sums {
            let begun = begun.get(&customer).copied().unwrap_or_default();
            if sum > begun {
                breaches.push(format!("usage: {sum} of {customer} reported, {begun} began"));
            }
        }
        (reports.len(), breaches)
    }
}
