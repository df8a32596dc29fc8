//! Settings file that the platform provides to each process.

use std::{
    collections::{BTreeMap, HashMap},
    net::{IpAddr, SocketAddr},
    str::FromStr,
    time::Duration,
};

use crate::{
    error::{Error, ErrorCode, Result},
    ids::{DataCentreId, VmId},
};

/// Environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "SAPPHIREWELL_CONFIG";
/// In seconds.
const MILLISECOND: f64 = 0.001;
/// In bytes.
const MEGABYTE: f64 = 1024.0 * 1024.0;
/// Name of the duty to report usage.
const USAGE_DUTY: &str = "usage";
/// Name of the duty to order the number of targets.
const SCALE_DUTY: &str = "scale";
/// Memory of a VM whose settings do not say.
const DEFAULT_MEMORY_MB: f64 = 256.0;

/// Validated settings of a direct entry on the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Data centre of that VM.
    pub data_centre: DataCentreId,
    /// Address of that VM, to which peers send their datagrams.
    pub ip: IpAddr,
    /// Address that accepts callers' connections.
    pub caller_listen: SocketAddr,
    /// Address that answers the load balancer's readiness probes.
    pub readiness_listen: SocketAddr,
    /// Address that serves metrics, the state dump, and the records that starting peers copy;
    /// `None` disables these.
    pub inspection_listen: Option<SocketAddr>,
    /// Inspection addresses of some VMs of the initial deployment; they may be stale or down.
    pub seeds: Vec<SocketAddr>,
    /// UDP port for reports between entries: the first of the system's internal ports.
    pub peer_port: u16,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Memory of the VM, in bytes. A process that takes more is ended.
    pub memory_bytes: usize,
    /// Time from the stop signal until the platform kills the process.
    pub stop_grace: Duration,
    /// Retries that are allowed per request within a window.
    pub retry_ratio: f64,
    /// Retries that are allowed within a window in addition, over all entries.
    pub retry_slack: f64,
    /// Length of the retry window.
    pub retry_window: Duration,
    /// Shortest time between orders of two processes to the same engine.
    pub lease: Duration,
    /// Time within which a configuration that the store accepted must be in force.
    pub configuration_bound: Duration,
    /// Time within which nothing may be sent any more to a target whose leaving the store
    /// accepted.
    pub drain_bound: Duration,
    /// Where and when customers' usage is reported; `None` if that is not a duty here.
    pub usage: Option<UsageTarget>,
    /// Where the number of targets is ordered; `None` if that is not a duty here.
    pub scale: Option<ScaleTarget>,
}

/// Interface of the platform that takes reports of customers' usage.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageTarget {
    /// Address of the interface.
    pub address: SocketAddr,
    /// Length of the windows that are reported; not zero.
    pub window: Duration,
    /// Time from a window's end until its report is too late.
    pub lateness: Duration,
    /// Calls a second that the interface takes from all entries for all duties.
    pub calls_per_second: f64,
}

/// Interface of the platform that takes orders for the number of targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ScaleTarget {
    /// Address of the interface.
    pub address: SocketAddr,
    /// Calls a second that the interface takes from all entries for all duties.
    pub calls_per_second: f64,
}

/// Parses the text of a settings file; unknown settings are ignored.
///
/// # Errors
/// Returns one error for each missing or malformed setting.
pub fn parse(text: &str) -> Result<PlatformSettings, Vec<Error>> {
    let mut reader = SettingReader { values: parse_pairs(text), errors: Vec::new() };
    let ports: String = reader.required("internal_ports");
    let first_port = ports.split(',').next().unwrap_or("").to_owned();
    let settings = PlatformSettings {
        vm: reader.required::<String>("node").into(),
        data_centre: reader.required::<String>("zone").into(),
        ip: reader.required_or("ip", IpAddr::from([0, 0, 0, 0])),
        caller_listen: reader.required_or("listen.front", SocketAddr::from(([0, 0, 0, 0], 0))),
        readiness_listen: reader.required_or("listen.ready", SocketAddr::from(([0, 0, 0, 0], 0))),
        inspection_listen: reader.optional_address("listen.control"),
        seeds: reader.address_list("seeds"),
        peer_port: reader.parse_value("internal_ports", &first_port, 0),
        store: reader.required_or("platform.address", SocketAddr::from(([0, 0, 0, 0], 0))),
        memory_bytes: (reader.number_or("limits.memory_mb", DEFAULT_MEMORY_MB) * MEGABYTE) as usize,
        stop_grace: reader.seconds_or("bounds.grace_s", 1.0, 8.0),
        retry_ratio: reader.number_or("bounds.retry_budget_ratio", 0.2),
        retry_slack: reader.number_or("bounds.retry_slack", 20.0),
        retry_window: reader.seconds_or("bounds.budget_window_s", 1.0, 10.0),
        lease: reader.seconds_or("bounds.lease_ms", MILLISECOND, 3000.0),
        configuration_bound: reader.seconds_or("bounds.config_apply_ms", MILLISECOND, 2000.0),
        drain_bound: reader.seconds_or("bounds.drain_ms", MILLISECOND, 2000.0),
        usage: reader.usage_target(),
        scale: reader.scale_target(),
    };
    if reader.errors.is_empty() { Ok(settings) } else { Err(reader.errors) }
}

/// Loads the settings file that [`PATH_VARIABLE`] names.
///
/// # Errors
/// Returns an error if the variable is not set or the file cannot be read, and
/// otherwise one error for each missing or malformed setting.
pub fn load() -> Result<PlatformSettings, Vec<Error>> {
    let missing = |_| vec![Error::new(ErrorCode::Missing, PATH_VARIABLE)];
    let path = std::env::var(PATH_VARIABLE).map_err(missing)?;
    let text = std::fs::read_to_string(&path)
        .map_err(|e| vec![Error::new(ErrorCode::NotFound, format!("{path} ({e})"))])?;
    parse(&text)
}

/// Reads settings and collects all errors, so that one run reports every wrong setting.
struct SettingReader {
    values: BTreeMap<String, String>,
    errors: Vec<Error>,
}

impl SettingReader {
    fn required<T: FromStr + Default>(&mut self, name: &str) -> T {
        self.required_or(name, T::default())
    }

    /// Returns a required setting, or `placeholder` along with a recorded error.
    fn required_or<T: FromStr>(&mut self, name: &str, placeholder: T) -> T {
        match self.values.get(name).cloned() {
            Some(text) if !text.is_empty() => self.parse_value(name, &text, placeholder),
            _ => {
                self.errors.push(Error::new(ErrorCode::Missing, name));
                placeholder
            }
        }
    }

    fn parse_value<T: FromStr>(&mut self, name: &str, text: &str, placeholder: T) -> T {
        text.trim().parse().unwrap_or_else(|_| {
            self.errors.push(Error::new(ErrorCode::OutOfRange, format!("{name} {text:?}")));
            placeholder
        })
    }

    fn optional_address(&mut self, name: &str) -> Option<SocketAddr> {
        self.address_list(name).into_iter().next()
    }

    /// Parses a comma-separated list of addresses; it is empty if the setting is absent.
    fn address_list(&mut self, name: &str) -> Vec<SocketAddr> {
        let text = self.values.get(name).cloned().unwrap_or_default();
        let mut addresses = Vec::new();
        for part in text.split(',').filter(|part| !part.trim().is_empty()) {
            match part.trim().parse() {
                Ok(address) => addresses.push(address),
                Err(_) => {
                    self.errors.push(Error::new(ErrorCode::OutOfRange, format!("{name} {part:?}")));
                }
            }
        }
        addresses
    }

    /// Returns the interface for usage, if there is one and usage is among its duties.
    fn usage_target(&mut self) -> Option<UsageTarget> {
        let address = self.duty_address(USAGE_DUTY)?;
        let window = self.seconds_or("bounds.report_window_s", 1.0, 5.0);
        if window.is_zero() {
            let error = Error::new(ErrorCode::OutOfRange, "bounds.report_window_s");
            self.errors.push(error);
            return None;
        }
        Some(UsageTarget {
            address,
            window,
            lateness: self.seconds_or("bounds.usage_late_s", 1.0, 10.0),
            calls_per_second: self.duty_rate(),
        })
    }

    /// Returns the interface for the number of targets, if there is one and that is among its
    /// duties.
    fn scale_target(&mut self) -> Option<ScaleTarget> {
        let address = self.duty_address(SCALE_DUTY)?;
        Some(ScaleTarget { address, calls_per_second: self.duty_rate() })
    }

    /// Returns the address of the platform's interface if a duty is among its duties.
    fn duty_address(&mut self, name: &str) -> Option<SocketAddr> {
        let duties = self.values.get("cloud_api.duties").map_or("", String::as_str);
        if !duties.split(',').any(|duty| duty.trim() == name) {
            return None;
        }
        self.optional_address("cloud_api.address")
    }

    /// Returns the calls a second that the platform takes for all duties.
    fn duty_rate(&mut self) -> f64 {
        self.number_or("cloud_api.duty_per_s", 10.0)
    }

    /// Returns a time that is given in units of this many seconds, or `default` units if the
    /// setting is absent.
    fn seconds_or(&mut self, name: &str, unit: f64, default: f64) -> Duration {
        let number = self.number_or(name, default);
        Duration::try_from_secs_f64(number * unit).unwrap_or_else(|_| {
            self.errors.push(Error::new(ErrorCode::OutOfRange, format!("{name} {number}")));
            Duration::ZERO
        })
    }

    /// Returns a non-negative number, or `default` if the setting is absent.
    fn number_or(&mut self, name: &str, default: f64) -> f64 {
        let Some(text) = self.values.get(name).cloned().filter(|text| !text.is_empty()) else {
            return default;
        };
        let number: f64 = self.parse_value(name, &text, default);
        if number.is_finite() && number >= 0.0 {
            return number;
        }
        self.errors.push(Error::new(ErrorCode::OutOfRange, format!("{name} {text:?}")));
        default
    }
}

fn parse_pairs(text: &str) -> BTreeMap<String, String> {
    let lines = text.lines().filter_map(|line| line.split_once('='));
    let pairs: HashMap<_, _> = lines.collect();
    pairs.into_iter().map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned())).collect()
}
