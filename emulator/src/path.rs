//! Measures the latency that entry and side add to a direct call of the same stand-in.

use std::{
    io,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::Method;
use sapphirewell::api::CompletionBody;
use serde::Serialize;

use crate::{
    demo::{FleetProcesses, FleetSettings},
    load::{LoadClient, new_key},
    workload::Deployment,
};

/// Median latencies of one kind of call, in microseconds.
#[derive(Debug, Clone, Serialize)]
pub struct PathTimes {
    /// Kind of call that was measured.
    pub call: &'static str,
    /// Median latency of calls sent to the target directly.
    pub direct_us: u64,
    /// Median latency of calls sent through entry and side.
    pub path_us: u64,
    /// `path_us` divided by `direct_us`.
    pub ratio: f64,
    /// `path_us` less `direct_us`.
    pub added_us: i64,
}

/// Calls a stand-in directly and through entry and side in turn, and compares the medians.
///
/// The first ten rounds are not recorded.
///
/// # Errors
/// Returns the failure to start or stop the fleet.
pub async fn measure(port: u16, repeats: u64) -> io::Result<Vec<PathTimes>> {
    let settings = FleetSettings {
        port,
        engines: 1,
        services: 1,
        retention: Duration::from_secs(3600),
        deployment: Deployment::Highway,
        call_time: Duration::ZERO,
    };
    let mut fleet = FleetProcesses::spawn(settings).await?;
    let entry = fleet.entry_urls().remove(0);
    let (engine, service) = (fleet.target_url(0), fleet.target_url(1));
    let mut times = vec![
        compare_latency("lookup (idempotent call)", repeats, async |client, through_entry| {
            let url = if through_entry {
                format!("{entry}/v1/state-roads/calls/lookup")
            } else {
                format!("{service}/call")
            };
            client.send(Method::POST, &url, &[], Bytes::from_static(b"{}")).await.is_ok()
        })
        .await,
        compare_latency("ticket (claimed call)", repeats, async |client, through_entry| {
            let url = if through_entry {
                format!("{entry}/v1/state-roads/calls/ticket")
            } else {
                format!("{service}/call")
            };
            let key = new_key(rand::random());
            let headers = [("idempotency-key", key.as_str())];
            client.send(Method::POST, &url, &headers, Bytes::from_static(b"{}")).await.is_ok()
        })
        .await,
    ];
    times.push(
        compare_latency("note (completion of 8 tokens)", repeats, async |client, through_entry| {
            send_completion(client, through_entry, &entry, &engine).await
        })
        .await,
    );
    fleet.stop()?;
    Ok(times)
}

async fn send_completion(
    client: &LoadClient,
    through_entry: bool,
    entry: &str,
    engine: &str,
) -> bool {
    let prompt = format!("culvert {}", rand::random::<u64>());
    if through_entry {
        let body = CompletionBody { prompt: prompt.into(), max_output_tokens: 8, stream: false };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let url = format!("{entry}/v1/state-roads/completions/note");
        return client.send(Method::POST, &url, &[], body.into()).await.is_ok();
    }
    let body = serde_json::json!({
        "id": prompt, "fence": 0, "work": "complete", "prompt": prompt, "prompt_tokens": 8, "prefixes": [],
        "max_output_tokens": 8, "priority": 0, "resume_chunks": 0, "resume_text": "",
    });
    client.send(Method::POST, &format!("{engine}/run"), &[], body.to_string().into()).await.is_ok()
}

async fn compare_latency(
    call: &'static str,
    repeats: u64,
    send: impl AsyncFn(&LoadClient, bool) -> bool,
) -> PathTimes {
    let client = LoadClient::default();
    let mut direct = latency_histogram();
    let mut path = latency_histogram();
    for round in 0..repeats + 10 {
        for (through_entry, times) in [(false, &mut direct), (true, &mut path)] {
            let started = Instant::now();
            let responded = send(&client, through_entry).await;
            if responded && round >= 10 {
                times.saturating_record(started.elapsed().as_micros() as u64);
            }
        }
    }
    let (direct_us, path_us) = (direct.value_at_quantile(0.5), path.value_at_quantile(0.5));
    PathTimes {
        call,
        direct_us,
        path_us,
        ratio: path_us as f64 / direct_us.max(1) as f64,
        added_us: path_us as i64 - direct_us as i64,
    }
}

fn latency_histogram() -> Histogram<u64> {
    // These bounds, one minute at three significant digits, are always valid.
    Histogram::new_with_max(60_000_000, 3).unwrap_or_else(|error| unreachable!("{error}"))
}
