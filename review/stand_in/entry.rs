//! Entries: processes of the project, with settings like those of a small deployment.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{record::Record, store::Store};

const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;

/// Ports that all entries use, each at a loopback address of its own.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    first: u16,
}

impl Ports {
    /// Finds ports that are free at the addresses of this many entries.
    pub fn find(entries: u8) -> Ports {
        let mut first = 20_000 + (std::process::id() as u16 % 2_000) * 15;
        loop {
            let is_free = (1..=entries).all(|number| {
                (first..first + 4).all(|port| TcpListener::bind((ip(number), port)).is_ok())
                    && UdpSocket::bind((ip(number), first + 3)).is_ok()
            });
            if is_free {
                return Ports { first };
            }
            first = if first > 50_000 { 20_000 } else { first + 7 };
        }
    }
}

fn ip(number: u8) -> String {
    format!("127.0.71.{number}")
}

pub struct Entry {
    pub name: String,
    number: u8,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Entry {
    /// Prepares an entry; `start` starts it.
    pub fn new(
        name: &str,
        number: u8,
        ports: Ports,
        seeds: &[u8],
        store: &Store,
        folder: &std::path::Path,
        record: &Record,
    ) -> Entry {
        let at = |number: u8, port: u16| format!("{}:{}", ip(number), ports.first + port);
        let seeds: Vec<String> = seeds.iter().map(|seed| at(*seed, 2)).collect();
        let text = format!(
            "node={name}\nrole=direct-entry\nmachine_class=front\nserves=front,control\nip={}\n\
             zone=zone-a\nregion=region-a\nzones.zone-a=region-a\nlisten.front={}\n\
             listen.ready={}\nlisten.control={}\ninternal_ports={},{}\nseeds={}\nbootstrap=true\n\
             limits.cpu_share=0.19\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             discovery=platform\nentry=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform\n\
             tolerate.machines=1\nbounds.stable_window_ms=3000\nbounds.drain_ms=2000\n\
             bounds.grace_s=8\nbounds.config_apply_ms=2000\nbounds.retry_budget_ratio=0.2\n\
             bounds.budget_window_s=10\nbounds.retry_slack=56\nbounds.require_fence=false\n\
             bounds.lease_ms=3000\nbounds.thaw_ms=300\nplatform.address={}\nplatform.form=log\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.parts=12\n",
            ip(number),
            at(number, 0),
            at(number, 1),
            at(number, 2),
            ports.first + 3,
            ports.first + 18,
            seeds.join(","),
            store.address,
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("settings file");
        let log = folder.join(format!("{name}.log"));
        let (name, record) = (name.to_owned(), record.clone());
        Entry { name, number, ports, settings, log, child: None, record }
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:{}", ip(self.number), self.ports.first).parse().expect("address")
    }

    pub fn ready(&self) -> SocketAddr {
        format!("{}:{}", ip(self.number), self.ports.first + 1).parse().expect("address")
    }

    /// Starts the process, and waits until it is ready or the time is over.
    pub fn start(&mut self, time: Duration) -> bool {
        let log = File::options().create(true).append(true).open(&self.log).expect("log");
        let mut command = Command::new("target/release/sapphirewell");
        command.arg("direct-entry").env_clear().env("SAPPHIREWELL_CONFIG", &self.settings);
        command.stdin(Stdio::null()).stderr(log.try_clone().expect("log")).stdout(log);
        // SAFETY: the call neither allocates nor touches the memory of the parent.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, SIGKILL);
                Ok(())
            });
        }
        self.child = Some(command.spawn().expect("target/release/sapphirewell"));
        self.record.line(&format!("{}: started", self.name));
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.is_ready() {
                self.record.line(&format!("{}: ready", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        crate::client::get(self.ready(), "/ready").is_some_and(|message| message.status() == 200)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
