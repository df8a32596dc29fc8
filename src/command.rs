//! Command line: parses the arguments and dispatches to the commands.

use std::process::ExitCode;

use gumdrop::{Options, ParsingStyle};

use crate::{
    error::Error,
    setting::{self, Setting, SettingValues},
};

mod change;
mod explain;
mod launch;
mod query;

/// Exit status for invalid input.
pub const EXIT_INPUT: u8 = 2;
/// Exit status if a service is unavailable or violates its protocol.
pub const EXIT_UNAVAILABLE: u8 = 5;

const USAGE: &str = "\
sapphirewell: serves language-model requests on a fixed fleet

usage: sapphirewell COMMAND [--flag value ...]

  entry                       run an entry process
  side                        run a side process
  direct-entry                run an entry that calls targets itself, with the
                              settings file that SAPPHIREWELL_CONFIG names
  contract publish FILE       publish a new contract
  contract change FILE        replace the contract in force
  contract retire CUSTOMER    retire a contract
  contract list               list all contracts
  contract show CUSTOMER      print one contract
  contract status CHANGE      tell what became of a change
  vm announce VM              announce that a VM is leaving
  vm cancel VM                take an announcement back
  vm list                     list announcements
  claim list                  list unknown outcomes
  claim settle CUSTOMER KEY   record what an operator found out
  state ADDRESS               print the state of a process
  explain REQUEST [FILE ...]  print what direct entries' logs tell of a request
  check FILE                  check a contract without publishing it

`sapphirewell COMMAND --help` lists the flags of a command.
exit status: 0 done, 2 wrong input, 3 refused (superseded or shares exceeded),
4 not known yet (ask again with `contract status`), 5 service unavailable
";

/// Arguments as gumdrop parses them; each command checks `set` against its own table.
#[derive(Debug, Default, Options)]
pub(crate) struct CommandFlags {
    #[options(free)]
    pub(crate) words: Vec<String>,
    #[options(no_short)]
    pub(crate) help: bool,
    #[options(no_short, meta = "FLAG=VALUE")]
    pub(crate) set: Vec<String>,
}

/// Parsed arguments: positional words and the values of flags.
#[derive(Debug, Default)]
pub(crate) struct CommandLine {
    pub(crate) words: Vec<String>,
    pub(crate) help: bool,
    values: Vec<(String, String)>,
}

impl CommandLine {
    /// Returns the last value given for a flag.
    pub(crate) fn value(&self, flag: &str) -> Option<String> {
        self.values.iter().rev().find(|(name, _)| name == flag).map(|(_, value)| value.clone())
    }

    /// Resolves a table of settings from flags and environment variables.
    ///
    /// # Errors
    /// Returns an error for every unknown flag and every invalid or missing setting.
    pub(crate) fn settings(&self, table: &[Setting]) -> Result<SettingValues, Vec<Error>> {
        let mut errors = self.unknown_flags(table);
        // A value that isn't UTF-8 is converted lossily, which leaves U+FFFD in it. The setting's
        // check refuses that and names the setting, instead of treating it as unset.
        let variable =
            |name: &str| std::env::var_os(name).map(|value| value.to_string_lossy().into_owned());
        match setting::resolve(table, |flag| self.value(flag), variable) {
            Ok(values) if errors.is_empty() => Ok(values),
            Ok(_) => Err(errors),
            Err(invalid) => {
                errors.extend(invalid);
                Err(errors)
            }
        }
    }

    /// Returns a usage error for every flag that isn't in the table.
    fn unknown_flags(&self, table: &[Setting]) -> Vec<Error> {
        let known = |name: &str| table.iter().any(|setting| setting.flag == name);
        self.values
            .iter()
            .filter(|(name, _)| !known(name))
            .map(|(name, _)| Error::new(crate::ErrorCode::Usage, format!("--{name}")))
            .collect()
    }
}

/// Runs the command line and returns the exit status.
pub fn main(arguments: &[String]) -> ExitCode {
    match parse(arguments) {
        Ok(line) => run(&line),
        Err(error) => fail(&[error]),
    }
}

fn run(line: &CommandLine) -> ExitCode {
    let words: Vec<&str> = line.words.iter().map(String::as_str).collect();
    match words.as_slice() {
        [] | ["help"] => {
            print!("{USAGE}");
            ExitCode::SUCCESS
        }
        ["entry"] => launch::entry(line),
        ["side"] => launch::side(line),
        ["direct-entry"] => launch::direct_entry(line),
        ["check", file] => query::check(file, line),
        ["explain", request, files @ ..] => explain::explain(request, files, line),
        ["state", address] => query::state(address, line),
        ["contract", rest @ ..] => change::contract(rest, line),
        ["vm", rest @ ..] => change::vm(rest, line),
        ["claim", rest @ ..] => change::claim(rest, line),
        _ => fail(&[Error::new(crate::ErrorCode::Usage, format!("{:?}", words.join(" ")))]),
    }
}

/// Parses arguments with gumdrop, after [`rewrite_flags`].
fn parse(arguments: &[String]) -> Result<CommandLine, Error> {
    let rewritten = rewrite_flags(arguments)?;
    let flags = CommandFlags::parse_args(&rewritten, ParsingStyle::AllOptions)
        .map_err(|e| Error::new(crate::ErrorCode::Usage, e.to_string()))?;
    let values = flags
        .set
        .iter()
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    Ok(CommandLine { words: flags.words, help: flags.help, values })
}

/// Rewrites each `--flag value` and `--flag=value` to `--set flag=value`, so that gumdrop needs
/// no knowledge of the commands' flags.
fn rewrite_flags(arguments: &[String]) -> Result<Vec<String>, Error> {
    let mut rewritten = Vec::new();
    let mut rest = arguments.iter();
    while let Some(argument) = rest.next() {
        match argument.strip_prefix("--") {
            None | Some("" | "help") => rewritten.push(argument.clone()),
            Some(flag) => {
                let pair = match flag.split_once('=') {
                    Some(_) => flag.to_owned(),
                    None => {
                        let value = rest.next().ok_or_else(|| {
                            Error::new(crate::ErrorCode::Usage, format!("--{flag} without a value"))
                        })?;
                        format!("{flag}={value}")
                    }
                };
                rewritten.extend(["--set".to_owned(), pair]);
            }
        }
    }
    Ok(rewritten)
}

/// Prints errors to standard error and returns the exit status: [`EXIT_INPUT`] if any error is
/// in the input, otherwise [`EXIT_UNAVAILABLE`].
pub(crate) fn fail(errors: &[Error]) -> ExitCode {
    for error in errors {
        eprintln!("sapphirewell: {error}");
    }
    let is_input = errors.iter().any(|error| error.category() == crate::ErrorCategory::Input);
    ExitCode::from(if is_input { EXIT_INPUT } else { EXIT_UNAVAILABLE })
}
