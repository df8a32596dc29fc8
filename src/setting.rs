//! Settings of the commands, declared in tables of [`Setting`].
//!
//! A flag takes precedence over the environment variable, and the variable over
//! the default. All errors are reported together.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    contract::check_name,
    error::{Error, ErrorCode, Result},
};

/// Declaration of one setting.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Name of the flag, without leading dashes.
    pub flag: &'static str,
    /// Name of the environment variable.
    pub variable: &'static str,
    /// Unit or format of the value, for the help text.
    pub unit: &'static str,
    /// Default value, or `None` if a value is required.
    pub default: Option<&'static str>,
    /// Validation of the value.
    pub check: SettingCheck,
    /// Description for the help text.
    pub help: &'static str,
}

/// Validation of a setting's value.
#[derive(Debug, Clone, Copy)]
pub enum SettingCheck {
    /// An `IP:port` address.
    Address,
    /// A comma-separated list of addresses, or empty.
    Addresses,
    /// An `http://` URL; trailing slashes are removed.
    Url,
    /// A name, see [`check_name`].
    Name,
    /// An integer in a range.
    Number {
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
    },
    /// One of the listed words.
    OneOf(&'static [&'static str]),
    /// Any text.
    Text,
}

/// Validated values by flag.
#[derive(Debug, Clone, Default)]
pub struct SettingValues {
    values: BTreeMap<&'static str, String>,
}

/// Resolves a table of settings.
///
/// `flag` returns the value of a flag, `variable` that of an environment variable.
///
/// # Errors
/// Returns an error for every invalid or missing setting.
pub fn resolve(
    table: &[Setting],
    flag: impl Fn(&str) -> Option<String>,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<SettingValues, Vec<Error>> {
    let mut values = BTreeMap::new();
    let mut errors = Vec::new();
    for setting in table {
        let value = flag(setting.flag)
            .or_else(|| variable(setting.variable))
            .or_else(|| setting.default.map(str::to_owned));
        match value
            .ok_or_else(|| missing_error(setting))
            .and_then(|value| check_value(setting, value))
        {
            Ok(value) => {
                values.insert(setting.flag, value);
            }
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() { Ok(SettingValues { values }) } else { Err(errors) }
}

/// Returns the help text of a table, one line per setting.
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
    /// Returns a value as text, or an empty text for a flag that isn't in the table.
    pub fn text(&self, flag: &str) -> &str {
        self.values.get(flag).map_or("", String::as_str)
    }

    /// Returns a value as an address.
    ///
    /// # Errors
    /// Returns [`ErrorCode::OutOfRange`] if the value isn't an address.
    pub fn address(&self, flag: &str) -> Result<SocketAddr> {
        parse_address(flag, self.text(flag))
    }

    /// Returns a value as a list of addresses.
    pub fn addresses(&self, flag: &str) -> Vec<SocketAddr> {
        split_list(self.text(flag)).filter_map(|item| item.parse().ok()).collect()
    }

    /// Returns a value as a number, or 0 for a flag that isn't in the table.
    pub fn number(&self, flag: &str) -> u64 {
        self.text(flag).parse().unwrap_or(0)
    }

    /// Returns a number of milliseconds as a duration.
    pub fn millis(&self, flag: &str) -> Duration {
        Duration::from_millis(self.number(flag))
    }
}

fn missing_error(setting: &Setting) -> Error {
    Error::new(ErrorCode::Missing, format!("--{} or {}", setting.flag, setting.variable))
}

fn check_value(setting: &Setting, value: String) -> Result<String> {
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
        SettingCheck::Number { min, max } => check_number(&place, value, min, max),
        SettingCheck::OneOf(words) if words.contains(&value.as_str()) => Ok(value),
        SettingCheck::OneOf(words) => Err(Error::new(
            ErrorCode::OutOfRange,
            format!("{place} {value:?}, allowed {}", words.join(", ")),
        )),
        SettingCheck::Text => Ok(value),
    }
}

fn check_number(place: &str, value: String, min: u64, max: u64) -> Result<String> {
    match value.parse::<u64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(value),
        _ => Err(Error::new(
            ErrorCode::OutOfRange,
            format!("{place} {value:?}, allowed {min} to {max}"),
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
