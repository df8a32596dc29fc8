//! Processes of the system, started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use crate::http::Connection;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

const LOCALHOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Entry of the system on a machine of its own, which keeps its addresses over restarts.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns a port that is free for TCP and UDP, below those that the kernel gives to connections.
fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let place = std::process::id() * 37 + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + (place % 10_000) as u16;
        let address = (LOCALHOST, port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

/// Reserves addresses for entries of these zones and writes their settings. `more` holds settings
/// beside the usual ones.
pub fn prepare(folder: &Path, zones: &[&str], store: SocketAddr, more: &str) -> Vec<Entry> {
    let ports: Vec<[u16; 4]> =
        zones.iter().map(|_| [free_port(), free_port(), free_port(), free_port()]).collect();
    let seeds: Vec<String> =
        ports.iter().take(3).map(|ports| format!("127.0.0.1:{}", ports[2])).collect();
    let entry = |(index, (zone, ports)): (usize, (&&str, &[u16; 4]))| {
        let [front, ready, control, peers] = ports;
        let name = format!("front-{zone}-{}", index + 1);
        let text = format!(
            "node={name}\nrole=direct-entry\nmachine_class=front\nserves=front,control\n\
             ip=127.0.0.1\nzone={zone}\nregion=semenanjung\n\
             listen.front=127.0.0.1:{front}\nlisten.ready=127.0.0.1:{ready}\n\
             listen.control=127.0.0.1:{control}\ninternal_ports={peers},{peers}\nseeds={}\n\
             bootstrap=true\nlimits.memory_mb=260\nlimits.max_fds=4100\nheartbeat_ms=1200\n\
             bounds.stable_window_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.config_apply_ms=2000\nbounds.retry_budget_ratio=0.2\n\
             bounds.budget_window_s=10\nbounds.retry_slack=56\nbounds.lease_ms=3000\n\
             bounds.thaw_ms=300\nplatform.address={store}\nplatform.form=log\n{more}",
            seeds.join(",")
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("settings");
        let local = |port: &u16| SocketAddr::new(LOCALHOST, *port);
        let log = folder.join(format!("{name}.log"));
        Entry { name, front: local(front), ready: local(ready), settings, log, child: None }
    };
    zones.iter().zip(&ports).enumerate().map(entry).collect()
}

impl Entry {
    /// Starts the process: `run` of `deploy/system.toml`, in the repository's root.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("log");
        let mut command = Command::new("target/release/sapphirewell");
        command.arg("direct-entry").env_clear().env("SAPPHIREWELL_CONFIG", &self.settings);
        if let Ok(path) = std::env::var("PATH") {
            command.env("PATH", path);
        }
        command.stdin(Stdio::null()).stdout(log.try_clone().expect("log")).stderr(log);
        // SAFETY: the call only sets the signal that the process gets when the case ends early.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        self.child = Some(command.spawn().expect("target/release/sapphirewell"));
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let mut connection = Connection::connect(self.ready)?;
            connection.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(connection.read_message()?.map_or(0, |message| message.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_until_ready(&self, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal to the process, by its id.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let id = child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Returns the lines of the log that hold a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
