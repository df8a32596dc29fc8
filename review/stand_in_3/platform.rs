//! A small deployment: the store, runners and entries as processes, and what belongs to them.

use std::{
    fs::{self, File},
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http, store::Store};

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Lets a process end with this one, whose main thread starts it.
fn end_with_this(command: &mut Command) -> &mut Command {
    // SAFETY: the call only sets the signal that the process gets when this one ends.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    }
}

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = Arc::new(Mutex::new(File::create(path).expect("the record")));
        Record { file, started: Instant::now() }
    }

    pub fn add(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{seconds:8.3} s  {text}").expect("the record");
    }
}

/// Process that is killed at the end.
pub struct Process(Child);

impl Process {
    pub fn kill(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }

    pub fn id(&self) -> u32 {
        self.0.id()
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    pub process: Process,
}

pub struct Deployment {
    pub store: Store,
    pub store_address: SocketAddr,
    pub entries: Vec<Entry>,
    pub record: Record,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        if std::env::var_os("KEEP").is_none() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(2);
}

/// Returns a port that is free at these addresses, for TCP and UDP.
fn free_port(addresses: &[IpAddr]) -> u16 {
    for _ in 0..200 {
        let probe = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = probe.local_addr().expect("a free port").port();
        drop(probe);
        let is_free = |ip: &IpAddr| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        };
        if addresses.iter().all(is_free) {
            return port;
        }
    }
    cannot_run("no free port");
}

pub fn free_address() -> SocketAddr {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    SocketAddr::new(ip, free_port(&[ip]))
}

impl Deployment {
    /// Starts the store with a configuration, and entries that are not ready yet.
    pub fn start(record: Record, configuration: &str, entries: u8) -> Deployment {
        let (store, store_address) = Store::start().expect("the store");
        store.append("keyed.op", "config", configuration.as_bytes());
        let folder =
            std::env::temp_dir().join(format!("sapphirewell-review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let ips: Vec<IpAddr> =
            (0..entries).map(|number| IpAddr::V4(Ipv4Addr::new(127, 0, 0, 11 + number))).collect();
        let ports: Vec<u16> = (0..4).map(|_| free_port(&ips)).collect();
        let mut deployment =
            Deployment { store, store_address, entries: Vec::new(), record, folder };
        let seeds: Vec<String> =
            ips.iter().take(3).map(|ip| SocketAddr::new(*ip, ports[2]).to_string()).collect();
        for (number, ip) in ips.iter().enumerate() {
            let name = format!("front-zone-a-{}", number + 1);
            let at = |index: usize| SocketAddr::new(*ip, ports[index]);
            let text = deployment.settings(&name, at(0), at(1), at(2), ports[3], &seeds.join(","));
            let settings = deployment.folder.join(format!("{name}.conf"));
            fs::write(&settings, text).expect("the settings");
            let output = deployment.folder.join(format!("{name}.log"));
            let process = start_entry(&settings, &output);
            let (front, ready) = (at(0), at(1));
            deployment.entries.push(Entry { name, front, ready, settings, output, process });
        }
        deployment
    }

    /// Settings with the bounds of the site `jta-survey`.
    fn settings(
        &self,
        name: &str,
        front: SocketAddr,
        ready: SocketAddr,
        control: SocketAddr,
        internal: u16,
        seeds: &str,
    ) -> String {
        let (ip, store) = (front.ip(), self.store_address);
        format!(
            "node={name}\nrole=direct-entry\nmachine_class=front\nserves=front,control\nip={ip}\n\
             zone=zone-a\nregion=region-a\nzones.zone-a=region-a\nlisten.front={front}\n\
             listen.ready={ready}\nlisten.control={control}\n\
             internal_ports={internal},{internal}\nseeds={seeds}\nbootstrap=true\n\
             tolerance_member=false\nlimits.cpu_share=0.19\nlimits.cores=1\nlimits.memory_mb=260\n\
             limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n\
             entry=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform\n\
             tolerate.machines=1\ntolerate.zones=0\ntolerate.regions=0\nbounds.seed_lag_s=3\n\
             bounds.reuse_after_s=2\nbounds.stable_window_ms=3000\nbounds.ack_ms=4000\n\
             bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n\
             bounds.max_skew_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
             bounds.retry_slack=56\nbounds.recovery_s=12\nbounds.transit_ms=120\n\
             bounds.reuse_window_s=8.9\nbounds.require_fence=false\nbounds.lease_ms=3000\n\
             bounds.thaw_ms=300\nplatform.address={store}\nplatform.form=log\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.parts=12\n\
             platform.append_ms=2.0\nplatform.ingest_per_s=20.0\nplatform.egress_per_s=80.0\n\
             platform.record_bytes=262144\nplatform.call_bytes=2097152\nplatform.keep_s=300\n\
             platform.partition_mb=200\nplatform.min_ttl_ms=1000\n"
        )
    }

    /// Waits until all entries say that they are ready, and have had time to hear of each other.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        for entry in &self.entries {
            while !matches!(http::call(entry.ready, "GET /ready", &[], b""), Ok((200, _))) {
                if Instant::now() > until {
                    cannot_run("an entry is not ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.add("all entries are ready");
    }

    pub fn start_runner(
        &self,
        id: &str,
        version: &str,
        address: SocketAddr,
        room: usize,
    ) -> Process {
        let program = std::env::current_exe().expect("the stand-in");
        let mut command = Command::new(program);
        command
            .args(["runner", id, version, &address.to_string(), &self.store_address.to_string()])
            .arg(room.to_string())
            .stdin(Stdio::null());
        let command = end_with_this(&mut command).spawn();
        self.record.add(&format!("runner {id} starts at {address} with version {version}"));
        Process(command.expect("a runner"))
    }

    /// Returns whether any entry has ended by itself.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = self.entries.iter_mut().filter_map(|entry| {
            let ended = entry.process.has_ended();
            ended.then(|| entry.name.clone())
        });
        ended.collect()
    }
}

impl Deployment {
    pub fn kill_entry(&mut self, number: usize) {
        self.entries[number].process.kill();
    }

    /// Starts an entry again that was killed.
    pub fn restart_entry(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        entry.process = start_entry(&entry.settings, &entry.output);
    }
}

/// Returns the resident memory of a process, in KiB; 0 if it has ended.
pub fn resident_kib(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}

/// Starts the program with the command of the deploy file.
fn start_entry(settings: &PathBuf, output: &PathBuf) -> Process {
    let log = fs::OpenOptions::new().create(true).append(true).open(output).expect("a log");
    let mut command = Command::new("target/release/sapphirewell");
    command
        .arg("direct-entry")
        .env("SAPPHIREWELL_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log);
    match end_with_this(&mut command).spawn() {
        Ok(child) => Process(child),
        Err(error) => cannot_run(&format!("target/release/sapphirewell: {error}")),
    }
}
