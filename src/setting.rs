//! Settings of the processes: one table of flag, variable, unit, default and check.
//!
//! The flag goes before the environment variable, and the variable before the
//! default. All errors are reported together.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    contract::check_name,
    error::{Error, ErrorCode, Result},
};

/// One setting.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Flag without its dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub variable: &'static str,
    /// Unit or shape of the value.
    pub unit: &'static str,
    /// Default, or `None` where a value is required.
    pub default: Option<&'static str>,
    /// Check of the value.
    pub check: SettingCheck,
    /// What the setting does.
    pub help: &'static str,
}

/// Check of a setting's value.
#[derive(Debug, Clone, Copy)]
pub enum SettingCheck {
    /// An `IP:port` address.
    Address,
    /// A comma-separated list of addresses, or empty.
    Addresses,
    /// An `http://` address.
    Url,
    /// A name as in contracts.
    Name,
    /// A whole number in a range.
    Number {
        /// Smallest value.
        low: u64,
        /// Largest value.
        high: u64,
    },
    /// One of some words.
    Word(&'static [&'static str]),
    /// Any text.
    Text,
}

/// Checked values by flag.
#[derive(Debug, Clone, Default)]
pub struct SettingValues {
    values: BTreeMap<&'static str, String>,
}

/// Resolves a table of settings.
///
/// `given` returns the value of a flag, `variable` that of an environment variable.
///
/// # Errors
/// Returns every wrong or missing setting.
pub fn resolve(
    table: &[Setting],
    given: impl Fn(&str) -> Option<String>,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<SettingValues, Vec<Error>> {
    let mut values = BTreeMap::new();
    let mut errors = Vec::new();
    for setting in table {
        let value = given(setting.flag)
            .or_else(|| variable(setting.variable))
            .or_else(|| setting.default.map(str::to_owned));
        match value.ok_or_else(|| missing(setting)).and_then(|value| check(setting, value)) {
            Ok(value) => {
                values.insert(setting.flag, value);
            }
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() { Ok(SettingValues { values }) } else { Err(errors) }
}

/// Returns the help text of a table.
pub fn help(table: &[Setting]) -> String {
    let mut text = String::new();
    for setting in table {
        let default = setting.default.map_or("required".to_owned(), |d| format!("default {d:?}"));
        text.push_str(&format!(
            "  --{:<18} {:<16} {} ({default}; {})\n",
            setting.flag, setting.unit, setting.help, setting.variable
        ));
    }
    text
}

impl SettingValues {
    /// Returns a value as text; empty for a flag outside the table.
    pub fn text(&self, flag: &str) -> &str {
        self.values.get(flag).map_or("", String::as_str)
    }

    /// Returns a checked address.
    ///
    /// # Errors
    /// Returns an error for a flag that is no address.
    pub fn address(&self, flag: &str) -> Result<SocketAddr> {
        parse_address(flag, self.text(flag))
    }

    /// Returns a checked list of addresses.
    pub fn addresses(&self, flag: &str) -> Vec<SocketAddr> {
        split_list(self.text(flag)).filter_map(|item| item.parse().ok()).collect()
    }

    /// Returns a checked number; 0 for a flag outside the table.
    pub fn number(&self, flag: &str) -> u64 {
        self.text(flag).parse().unwrap_or(0)
    }

    /// Returns a checked number of milliseconds.
    pub fn millis(&self, flag: &str) -> Duration {
        Duration::from_millis(self.number(flag))
    }
}

fn missing(setting: &Setting) -> Error {
    Error::new(ErrorCode::Missing, format!("--{} or {}", setting.flag, setting.variable))
}

fn check(setting: &Setting, value: String) -> Result<String> {
    let place = format!("--{}", setting.flag);
    match setting.check {
        SettingCheck::Address => parse_address(&place, &value).map(|_| value),
        SettingCheck::Addresses => {
            split_list(&value).try_for_each(|item| parse_address(&place, item).map(|_| ()))?;
            Ok(value)
        }
        SettingCheck::Url if value.starts_with("http://") => {
            Ok(value.trim_end_matches('/').to_owned())
        }
        SettingCheck::Url => {
            Err(Error::new(ErrorCode::OutOfRange, format!("{place} {value:?}, allowed http://...")))
        }
        SettingCheck::Name => check_name(&place, &value).map(|()| value),
        SettingCheck::Number { low, high } => check_number(&place, value, low, high),
        SettingCheck::Word(words) if words.contains(&value.as_str()) => Ok(value),
        SettingCheck::Word(words) => Err(Error::new(
            ErrorCode::OutOfRange,
            format!("{place} {value:?}, allowed {}", words.join(", ")),
        )),
        SettingCheck::Text => Ok(value),
    }
}

fn check_number(place: &str, value: String, low: u64, high: u64) -> Result<String> {
    match value.parse::<u64>() {
        Ok(number) if (low..=high).contains(&number) => Ok(value),
        _ => Err(Error::new(
            ErrorCode::OutOfRange,
            format!("{place} {value:?}, allowed {low} to {high}"),
        )),
    }
}

fn parse_address(place: &str, value: &str) -> Result<SocketAddr> {
    value.parse().map_err(|_| {
        Error::new(ErrorCode::OutOfRange, format!("{place} {value:?}, allowed IP:port"))
    })
}

fn split_list(value: &str) -> impl Iterator<Item = &str> {
    value.split(',').map(str::trim).filter(|item| !item.is_empty())
}
