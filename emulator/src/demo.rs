//! Runs the whole system as separate processes (stand-ins, entries and sides) under a short load.

use std::{
    io,
    path::PathBuf,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Method;
use serde::Serialize;

use crate::{
    load::{self, LoadClient, LoadReport},
    processes::{self, ChildProcess},
    stand_in::{
        caller::{CallerOutcome, CallerRecord},
        fleet::{PlatformFleet, PlatformSizes, mixed_requests},
        referee,
    },
    workload::{Deployment, OfferedRequest},
};

const ENTRIES: usize = 2;
/// Engines of each deployment in the demo, which are all that a deployment has.
pub const ENGINES: usize = 14;
/// Base rate of each deployment in the demo; the mix of kinds and a surge raise it.
const REQUESTS_PER_SECOND: f64 = 3.0;
/// Distance between the first ports of the two deployments.
const DEPLOYMENT_PORT_OFFSET: u16 = 300;
const PLATFORM_REQUESTS_PER_SECOND: usize = 20;
const START_TIMEOUT: Duration = Duration::from_secs(20);
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Result of a load on direct entries with the platform's stand-in.
#[derive(Debug, Clone, Serialize)]
pub struct PlatformReport {
    /// Requests sent.
    pub offered: usize,
    /// Complete responses that arrived within the deadline.
    pub in_time: usize,
    /// Complete responses, in time or late.
    pub whole: usize,
    /// Guarantees that callers or targets saw violated, and processes that did not exit with
    /// status 0.
    pub broken_promises: Vec<String>,
}

impl PlatformReport {
    /// Returns whether no guarantee was violated and at least 95% of the requests were answered
    /// in time.
    pub fn is_clean(&self) -> bool {
        self.broken_promises.is_empty() && self.in_time * 20 >= self.offered * 19
    }
}

/// Settings of a fleet of local processes.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// First port: stand-ins listen from here, entries from 50 above and sides from 100 above,
    /// with two ports for each side.
    pub port: u16,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain services' runners.
    pub services: usize,
    /// How long the log keeps records.
    pub retention: Duration,
    /// Deployment whose contracts are published and whose targets the sides are configured with.
    pub deployment: Deployment,
    /// Duration of one call of a plain service.
    pub call_time: Duration,
}

/// A running fleet of local processes.
#[derive(Debug)]
pub struct FleetProcesses {
    /// The process that runs all stand-ins.
    pub stand_ins: ChildProcess,
    /// The entry processes.
    pub entries: Vec<ChildProcess>,
    /// The side processes, those of engines first.
    pub sides: Vec<ChildProcess>,
    settings: FleetSettings,
    program: PathBuf,
    folder: PathBuf,
    start_count: u32,
}

impl FleetProcesses {
    /// Starts a fleet, publishes its contracts and waits until it serves.
    ///
    /// # Errors
    /// Returns the failure to start a process, or a timeout if the fleet does not serve in time.
    pub async fn spawn(settings: FleetSettings) -> io::Result<FleetProcesses> {
        let program = processes::system_program()?;
        let folder = std::env::temp_dir().join(format!(
            "sapphirewell-{}-{}",
            std::process::id(),
            settings.port
        ));
        std::fs::create_dir_all(&folder)?;
        let stand_ins = start_stand_ins(&settings, &folder)?;
        let mut fleet = FleetProcesses {
            stand_ins,
            entries: Vec::new(),
            sides: Vec::new(),
            settings,
            program,
            folder,
            start_count: 0,
        };
        fleet.wait_for_log().await?;
        for index in 0..fleet.settings.engines + fleet.settings.services {
            let side = fleet.start_side(index)?;
            fleet.sides.push(side);
        }
        for index in 0..ENTRIES {
            let entry = fleet.start_entry(index)?;
            fleet.entries.push(entry);
        }
        fleet.publish_contracts()?;
        fleet.wait_until_serving().await?;
        Ok(fleet)
    }

    /// Returns the base URL of the log service and its fault injection.
    pub fn platform_url(&self) -> String {
        format!("http://127.0.0.1:{}", self.settings.port)
    }

    /// Returns the base URL of a target; engines come before services.
    pub fn target_url(&self, index: usize) -> String {
        format!("http://127.0.0.1:{}", self.settings.port + 1 + index as u16)
    }

    /// Returns the base URLs of the entries.
    pub fn entry_urls(&self) -> Vec<String> {
        (0..ENTRIES).map(|index| format!("http://127.0.0.1:{}", self.entry_port(index))).collect()
    }

    /// Starts the entry with this index, on the same ports each time.
    ///
    /// # Errors
    /// Returns the failure to start the process.
    pub fn start_entry(&mut self, index: usize) -> io::Result<ChildProcess> {
        let mut arguments = vec!["entry".to_owned()];
        arguments.extend(flag("listen", format!("127.0.0.1:{}", self.entry_port(index))));
        arguments.extend(flag("vm", format!("vm-entry-{index}")));
        arguments.extend(flag("admin-token", "demo-token".to_owned()));
        arguments.extend(flag("stop-notice-ms", "300".to_owned()));
        arguments.extend(self.common_flags(index));
        self.start(&format!("entry-{index}"), &arguments)
    }

    /// Starts the side with this index, on the same ports each time.
    ///
    /// # Errors
    /// Returns the failure to start the process.
    pub fn start_side(&mut self, index: usize) -> io::Result<ChildProcess> {
        self.start_side_for(index, &self.target_url(index))
    }

    /// Starts the side with this index, on the same ports each time, for a target at another base
    /// URL.
    ///
    /// # Errors
    /// Returns the failure to start the process.
    pub fn start_side_for(&mut self, index: usize, url: &str) -> io::Result<ChildProcess> {
        let mut arguments = vec!["side".to_owned()];
        arguments.extend(flag("name", format!("side-{index}")));
        arguments.extend(flag("vm", format!("vm-{index}")));
        arguments.extend(flag("data-centre", format!("dc-{}", index % 3)));
        arguments.extend(flag("listen", format!("127.0.0.1:{}", self.side_port(index))));
        arguments.extend(flag("link-listen", format!("127.0.0.1:{}", self.side_port(index) + 1)));
        arguments.extend(flag("targets", self.target_flag_value(index, url)));
        arguments.extend(self.common_flags(10 + index));
        self.start(&format!("side-{index}"), &arguments)
    }

    /// Sets the faults that the log service injects, as JSON.
    ///
    /// # Errors
    /// Returns the failure to reach the log service.
    pub async fn set_faults(&self, faults: serde_json::Value) -> io::Result<()> {
        let url = format!("{}/faults", self.platform_url());
        let body = Bytes::from(faults.to_string());
        let sent = LoadClient::default().send(Method::POST, &url, &[], body).await;
        sent.map(|_| ()).map_err(|failure| io::Error::other(format!("{failure:?}")))
    }

    /// Returns the number of idempotency keys that took effect more than once.
    ///
    /// # Errors
    /// Returns the failure to query a service.
    pub async fn doubled(&self) -> io::Result<u64> {
        let mut counts = std::collections::BTreeMap::<String, u64>::new();
        for index in self.settings.engines..self.settings.engines + self.settings.services {
            let url = format!("{}/effects", self.target_url(index));
            let (_, body) = LoadClient::default()
                .send(Method::GET, &url, &[], Bytes::new())
                .await
                .map_err(|failure| io::Error::other(format!("{failure:?}")))?;
            let effects: std::collections::BTreeMap<String, Vec<String>> =
                serde_json::from_slice(&body)?;
            for (key, attempts) in effects {
                *counts.entry(key).or_default() += attempts.len() as u64;
            }
        }
        Ok(counts.values().filter(|count| **count > 1).count() as u64)
    }

    /// Returns the number of role changes of all engines.
    ///
    /// # Errors
    /// Returns the failure to query an engine.
    pub async fn role_changes(&self) -> io::Result<u64> {
        let mut changes = 0;
        for index in 0..self.settings.engines {
            let url = format!("{}/role_changes", self.target_url(index));
            let (_, body) = LoadClient::default()
                .send(Method::GET, &url, &[], Bytes::new())
                .await
                .map_err(|failure| io::Error::other(format!("{failure:?}")))?;
            changes += serde_json::from_slice::<u64>(&body)?;
        }
        Ok(changes)
    }

    /// Stops the entries, then the sides, and returns the names of the processes that did not exit
    /// with status 0.
    ///
    /// # Errors
    /// Returns the failure to signal a process or to wait for it.
    pub fn stop(&mut self) -> io::Result<Vec<String>> {
        let mut failed = Vec::new();
        for group in [&mut self.entries, &mut self.sides] {
            for process in group.iter() {
                process.signal("TERM")?;
            }
            for process in group.iter_mut() {
                if !process.wait(STOP_TIMEOUT)?.success() {
                    failed.push(process.name.clone());
                }
            }
        }
        Ok(failed)
    }

    /// Returns the folder with the log files of the processes.
    pub fn folder(&self) -> &std::path::Path {
        &self.folder
    }

    /// Waits until a URL responds with status 200.
    ///
    /// # Errors
    /// Returns a timeout that names the URL.
    pub async fn wait_for(&self, url: &str) -> io::Result<()> {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            if let Ok((200, _)) =
                LoadClient::default().send(Method::GET, url, &[], Bytes::new()).await
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, url.to_owned()))
    }

    fn entry_port(&self, index: usize) -> u16 {
        self.settings.port + 50 + index as u16
    }

    fn side_port(&self, index: usize) -> u16 {
        self.settings.port + 100 + 2 * index as u16
    }

    fn target_flag_value(&self, index: usize, url: &str) -> String {
        if index < self.settings.engines {
            let profile = &self.settings.deployment.engines()[index];
            return format!("{}=engine,{},{},{url}", profile.name, profile.model, profile.kv_pages);
        }
        let (name, service) = &self.settings.deployment.services()[index - self.settings.engines];
        format!("{name}=service,{service},8,{url}")
    }

    fn common_flags(&self, rank: usize) -> Vec<String> {
        let url = self.platform_url();
        let peers: Vec<String> =
            (0..ENTRIES).map(|index| format!("127.0.0.1:{}", self.entry_port(index))).collect();
        let mut flags = flag("log-url", url.clone());
        flags.extend(flag("vm-list-url", url));
        flags.extend(flag("peers", peers.join(",")));
        flags.extend(flag("log-retention-ms", self.settings.retention.as_millis().to_string()));
        flags.extend(flag("rank", rank.to_string()));
        flags
    }

    fn start(&mut self, name: &str, arguments: &[String]) -> io::Result<ChildProcess> {
        self.start_count += 1;
        let output = self.folder.join(format!("{name}-{}.log", self.start_count));
        ChildProcess::spawn(name, &self.program, arguments, &output)
    }

    async fn wait_for_log(&self) -> io::Result<()> {
        self.wait_for(&format!("{}/vms", self.platform_url())).await
    }

    fn publish_contracts(&mut self) -> io::Result<()> {
        for contract in self.settings.deployment.contracts() {
            let file = self.folder.join(format!("{}.json", contract.customer));
            std::fs::write(&file, serde_json::to_vec_pretty(&contract)?)?;
            let mut arguments =
                vec!["contract".to_owned(), "publish".to_owned(), file.display().to_string()];
            arguments.extend(flag("log-url", self.platform_url()));
            let mut process = self.start(&format!("publish-{}", contract.customer), &arguments)?;
            if !process.wait(START_TIMEOUT)?.success() {
                return Err(io::Error::other(format!(
                    "publishing the contract of {} failed",
                    contract.customer
                )));
            }
        }
        Ok(())
    }

    /// Waits until each entry knows that every target accepts requests.
    async fn wait_until_serving(&self) -> io::Result<()> {
        let target_count = self.settings.engines + self.settings.services;
        let started = Instant::now();
        for url in self.entry_urls() {
            self.wait_for(&format!("{url}/ready")).await?;
            while self.count_accepting_targets(&url).await < target_count {
                if started.elapsed() > START_TIMEOUT {
                    return Err(io::Error::new(
                        io::ErrorKind::TimedOut,
                        "not every target accepted requests in time",
                    ));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn count_accepting_targets(&self, entry: &str) -> usize {
        let url = format!("{entry}/state");
        let Ok((200, body)) =
            LoadClient::default().send(Method::GET, &url, &[], Bytes::new()).await
        else {
            return 0;
        };
        let state: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let targets = state["machine"]["machine"]["beliefs"]["targets"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        targets.iter().filter(|target| target["load"]["accepting"] == true).count()
    }
}

/// Runs the direct entries with the stand-in store and targets under a short load.
///
/// # Errors
/// Returns the failure to start or stop a process.
pub async fn run_platform(port: u16, seconds: u64) -> io::Result<PlatformReport> {
    let sizes = PlatformSizes { port, entries: 2, prefill: 2, decode: 3, plain: 3 };
    let mut fleet = PlatformFleet::spawn(sizes).await?;
    eprintln!("demo: the platform's stand-in is serving; logs in {}", fleet.folder().display());
    let requests = mixed_requests(seconds as usize * PLATFORM_REQUESTS_PER_SECOND);
    let records =
        fleet.play(requests, Duration::from_secs(1) / PLATFORM_REQUESTS_PER_SECOND as u32).await;
    let in_time = |record: &&CallerRecord| {
        record.outcome == CallerOutcome::Whole && record.took <= record.request.deadline
    };
    let mut violations: Vec<String> =
        fleet.judge(&records).iter().map(|violation| format!("{violation:?}")).collect();
    violations.extend(fleet.stop()?.iter().map(|name| format!("{name} did not end with status 0")));
    Ok(PlatformReport {
        offered: records.len(),
        in_time: records.iter().filter(in_time).count(),
        whole: referee::whole(&records),
        broken_promises: violations,
    })
}

/// Runs the demo for both deployments at once and returns the sum of their reports.
///
/// # Errors
/// Returns the failure to start or stop a process.
pub async fn run(port: u16, seconds: u64, seed: u64) -> io::Result<LoadReport> {
    let (highway, honey) = tokio::try_join!(
        run_deployment(Deployment::Highway, port, seconds, seed),
        run_deployment(Deployment::Honey, port + DEPLOYMENT_PORT_OFFSET, seconds, seed),
    )?;
    let mut total = LoadReport::default();
    add_report(&mut total, &highway);
    add_report(&mut total, &honey);
    Ok(total)
}

/// Returns the requests of the demo for one deployment.
///
/// The load is well below the engines' capacity, so that refused or late requests point to a
/// fault of the system and not to overload.
pub fn requests(deployment: Deployment, seed: u64, seconds: u64) -> Vec<OfferedRequest> {
    deployment.requests(seed, Duration::from_secs(seconds), REQUESTS_PER_SECOND)
}

async fn run_deployment(
    deployment: Deployment,
    port: u16,
    seconds: u64,
    seed: u64,
) -> io::Result<LoadReport> {
    let settings = FleetSettings {
        port,
        engines: ENGINES,
        services: 2,
        retention: Duration::from_secs(3600),
        deployment,
        call_time: Duration::from_millis(20),
    };
    let mut fleet = FleetProcesses::spawn(settings).await?;
    eprintln!("demo: {deployment} is serving; logs in {}", fleet.folder().display());
    let mut report = load::run(fleet.entry_urls(), requests(deployment, seed, seconds)).await;
    report.doubled = fleet.doubled().await?;
    report.role_changes = fleet.role_changes().await?;
    for name in fleet.stop()? {
        eprintln!("demo: {name} did not end with status 0");
        report.cut += 1;
    }
    Ok(report)
}

fn start_stand_ins(settings: &FleetSettings, folder: &std::path::Path) -> io::Result<ChildProcess> {
    let mut arguments = vec!["serve".to_owned()];
    arguments.extend(flag("port", settings.port.to_string()));
    arguments.extend(flag("engines", settings.engines.to_string()));
    arguments.extend(flag("services", settings.services.to_string()));
    arguments.extend(flag("retention-ms", settings.retention.as_millis().to_string()));
    arguments.extend(flag("call-ms", settings.call_time.as_millis().to_string()));
    let program = processes::emulator_program()?;
    ChildProcess::spawn("stand-ins", &program, &arguments, &folder.join("stand-ins.log"))
}

fn flag(name: &str, value: String) -> Vec<String> {
    vec![format!("--{name}"), value]
}

fn add_report(total: &mut LoadReport, report: &LoadReport) {
    total.offered += report.offered;
    total.in_time += report.in_time;
    total.late += report.late;
    total.refused_not_run += report.refused_not_run;
    total.failed += report.failed;
    total.unknown += report.unknown;
    total.crossed += report.crossed;
    total.doubled += report.doubled;
    total.cut += report.cut;
    total.role_changes += report.role_changes;
    total.seconds = total.seconds.max(report.seconds);
    for (reason, count) in &report.reasons {
        *total.reasons.entry(reason.clone()).or_default() += count;
    }
    for (customer, count) in &report.in_time_by_customer {
        *total.in_time_by_customer.entry(customer.clone()).or_default() += count;
    }
}
