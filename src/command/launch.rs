//! Commands that run a process: `sapphirewell entry`, `side` and `direct-entry`.

use std::process::ExitCode;

use super::{CommandLine, fail};
use crate::{
    contract::check_name,
    error::{Error, ErrorCode, Result},
    platform,
    process::{
        control::ControlSettings,
        direct,
        entry::{self, EntryProcessSettings},
        logging,
        platform::HttpPlatform,
        side::{self, SideProcessSettings},
    },
    record::{TargetDescription, TargetOffer},
    setting::{self, Setting, SettingCheck, SettingValues},
};

const LOG_LEVELS: SettingCheck = SettingCheck::OneOf(&["error", "warn", "info", "debug", "trace"]);
const MS_PER_DAY: u64 = 86_400_000;

const fn setting(
    flag: &'static str,
    variable: &'static str,
    unit: &'static str,
    default: Option<&'static str>,
    check: SettingCheck,
    help: &'static str,
) -> Setting {
    Setting { flag, variable, unit, default, check, help }
}

const LOG_URL: Setting = setting(
    "log-url",
    "SAPPHIREWELL_LOG_URL",
    "URL",
    None,
    SettingCheck::Url,
    "the platform's log service",
);
const VM_LIST_URL: Setting = setting(
    "vm-list-url",
    "SAPPHIREWELL_VM_LIST_URL",
    "URL",
    None,
    SettingCheck::Url,
    "the platform's VM list",
);
const VM: Setting = setting(
    "vm",
    "SAPPHIREWELL_VM",
    "NAME",
    None,
    SettingCheck::Name,
    "the VM that the process runs on",
);
const PEERS: Setting = setting(
    "peers",
    "SAPPHIREWELL_PEERS",
    "IP:PORT,...",
    Some(""),
    SettingCheck::Addresses,
    "HTTP addresses of other processes, asked while the log service is down",
);
const RETENTION: Setting = setting(
    "log-retention-ms",
    "SAPPHIREWELL_LOG_RETENTION_MS",
    "milliseconds",
    Some("86400000"),
    SettingCheck::Number { min: 1_000, max: 365 * MS_PER_DAY },
    "how long the log service keeps records",
);
const RANK: Setting = setting(
    "rank",
    "SAPPHIREWELL_RANK",
    "number",
    Some("0"),
    SettingCheck::Number { min: 0, max: 10_000 },
    "rank among the processes that re-append state and propose plans",
);
const LOG_LEVEL: Setting = setting(
    "log-level",
    "SAPPHIREWELL_LOG_LEVEL",
    "LEVEL",
    Some("info"),
    LOG_LEVELS,
    "least severe log line",
);

/// Settings of `sapphirewell entry`.
pub(crate) const ENTRY_SETTINGS: &[Setting] = &[
    setting(
        "listen",
        "SAPPHIREWELL_LISTEN",
        "IP:PORT",
        None,
        SettingCheck::Address,
        "address for callers and operators",
    ),
    VM,
    LOG_URL,
    VM_LIST_URL,
    PEERS,
    setting(
        "admin-token",
        "SAPPHIREWELL_ADMIN_TOKEN",
        "TEXT",
        Some(""),
        SettingCheck::Text,
        "token of the administration API; empty refuses it",
    ),
    setting(
        "stop-notice-ms",
        "SAPPHIREWELL_STOP_NOTICE_MS",
        "milliseconds",
        Some("1000"),
        SettingCheck::Number { min: 0, max: 600_000 },
        "time for the balancer to notice a stopping entry",
    ),
    setting(
        "fanout",
        "SAPPHIREWELL_FANOUT",
        "sides",
        Some("64"),
        SettingCheck::Number { min: 1, max: 10_000 },
        "largest number of sides to link to for each model or service",
    ),
    RETENTION,
    RANK,
    LOG_LEVEL,
];

/// Settings of `sapphirewell direct-entry`, in addition to the platform's settings file.
pub(crate) const DIRECT_SETTINGS: &[Setting] = &[LOG_LEVEL];

/// Settings of `sapphirewell side`.
pub(crate) const SIDE_SETTINGS: &[Setting] = &[
    setting(
        "name",
        "SAPPHIREWELL_NAME",
        "NAME",
        None,
        SettingCheck::Name,
        "name that stays the same over restarts",
    ),
    setting(
        "listen",
        "SAPPHIREWELL_LISTEN",
        "IP:PORT",
        None,
        SettingCheck::Address,
        "address for health, metrics and state",
    ),
    setting(
        "link-listen",
        "SAPPHIREWELL_LINK_LISTEN",
        "IP:PORT",
        None,
        SettingCheck::Address,
        "address for entries",
    ),
    setting(
        "data-centre",
        "SAPPHIREWELL_DATA_CENTRE",
        "NAME",
        None,
        SettingCheck::Name,
        "data centre of the VM",
    ),
    setting(
        "targets",
        "SAPPHIREWELL_TARGETS",
        "LIST",
        None,
        SettingCheck::Text,
        "NAME=engine,MODEL,PIECES,URL or NAME=service,SERVICE,SLOTS,URL, separated by ';'",
    ),
    VM,
    LOG_URL,
    VM_LIST_URL,
    PEERS,
    RETENTION,
    RANK,
    LOG_LEVEL,
];

pub(super) fn entry(line: &CommandLine) -> ExitCode {
    launch(line, ENTRY_SETTINGS, |values| {
        let settings = entry_settings(values)?;
        Ok(entry::run(settings))
    })
}

pub(super) fn side(line: &CommandLine) -> ExitCode {
    launch(line, SIDE_SETTINGS, |values| {
        let settings = side_settings(values)?;
        Ok(side::run(settings))
    })
}

/// Resolves the settings, starts logging and runs the process that `prepare` returns.
fn launch<F>(
    line: &CommandLine,
    table: &[Setting],
    prepare: impl FnOnce(&SettingValues) -> Result<F>,
) -> ExitCode
where
    F: Future<Output = Result<()>>,
{
    if line.help {
        print!("{}", setting::help(table));
        return ExitCode::SUCCESS;
    }
    let values = match line.settings(table) {
        Ok(values) => values,
        Err(errors) => return fail(&errors),
    };
    logging::start(values.text("log-level"));
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&[Error::new(ErrorCode::Network, format!("runtime ({e})"))]),
    };
    let work = match prepare(&values) {
        Ok(work) => work,
        Err(error) => return fail(&[error]),
    };
    match runtime.block_on(work) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&[error]),
    }
}

/// Runs a direct entry, which calls targets without sides.
pub(crate) fn direct_entry(line: &CommandLine) -> ExitCode {
    if line.help {
        print!("{}", setting::help(DIRECT_SETTINGS));
        return ExitCode::SUCCESS;
    }
    let (values, settings) = match (line.settings(DIRECT_SETTINGS), platform::settings::load()) {
        (Ok(values), Ok(settings)) => (values, settings),
        (values, settings) => {
            let mut errors = values.err().unwrap_or_default();
            errors.extend(settings.err().unwrap_or_default());
            return fail(&errors);
        }
    };
    logging::start(values.text("log-level"));
    match direct::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&[error]),
    }
}

fn control_settings(values: &SettingValues) -> ControlSettings {
    ControlSettings {
        retention: values.millis("log-retention-ms"),
        rank: values.number("rank") as u32,
    }
}

fn http_platform(values: &SettingValues) -> HttpPlatform {
    HttpPlatform::new(values.text("log-url"), values.text("vm-list-url"))
}

fn entry_settings(values: &SettingValues) -> Result<EntryProcessSettings> {
    Ok(EntryProcessSettings {
        vm: values.text("vm").into(),
        listen: values.address("listen")?,
        peers: values.addresses("peers"),
        platform: http_platform(values),
        control: control_settings(values),
        admin_token: values.text("admin-token").to_owned(),
        stop_notice: values.millis("stop-notice-ms"),
        fanout: values.number("fanout") as usize,
        instance: rand::random(),
    })
}

fn side_settings(values: &SettingValues) -> Result<SideProcessSettings> {
    Ok(SideProcessSettings {
        side: values.text("name").into(),
        vm: values.text("vm").into(),
        data_centre: values.text("data-centre").into(),
        link_listen: values.address("link-listen")?,
        listen: values.address("listen")?,
        targets: parse_targets(values.text("targets"))?,
        peers: values.addresses("peers"),
        platform: http_platform(values),
        control: control_settings(values),
        instance: rand::random(),
    })
}

/// Parses the value of `--targets`.
fn parse_targets(text: &str) -> Result<Vec<(TargetDescription, String)>> {
    let targets: Vec<_> = text
        .split(';')
        .map(str::trim)
        .filter(|item| !item.is_empty())
        .map(parse_target)
        .collect::<Result<_>>()?;
    if targets.is_empty() {
        return Err(Error::new(ErrorCode::Missing, "--targets"));
    }
    for (index, (description, _)) in targets.iter().enumerate() {
        if targets[..index].iter().any(|(other, _)| other.target == description.target) {
            return Err(Error::new(
                ErrorCode::Duplicate,
                format!("--targets {:?}", description.target),
            ));
        }
    }
    Ok(targets)
}

/// Parses one target: `NAME=engine,MODEL,PIECES,URL` or `NAME=service,SERVICE,SLOTS,URL`.
fn parse_target(item: &str) -> Result<(TargetDescription, String)> {
    let malformed = || Error::new(ErrorCode::Malformed, format!("--targets {item:?}"));
    let (name, rest) = item.split_once('=').ok_or_else(malformed)?;
    let parts: Vec<&str> = rest.splitn(4, ',').collect();
    let [kind, offered, count, url] = parts.as_slice() else { return Err(malformed()) };
    check_name("--targets", name)?;
    check_name("--targets", offered)?;
    let count: u32 = count.parse().ok().filter(|count| *count > 0).ok_or_else(malformed)?;
    let offer = match *kind {
        "engine" => TargetOffer::Engine { model: (*offered).to_owned(), kv_pages: count },
        "service" => TargetOffer::Service { service: (*offered).to_owned(), slots: count },
        _ => return Err(malformed()),
    };
    if !url.starts_with("http://") {
        return Err(malformed());
    }
    let url = url.trim_end_matches('/').to_owned();
    Ok((TargetDescription { target: name.into(), offer }, url))
}
