//! Operators' commands: `sapphirewell contract`, `sapphirewell vm` and `sapphirewell claim`.

use std::process::ExitCode;

use serde_json::json;

use super::{CommandLine, fail, query};
use crate::{
    claim::ClaimKey,
    error::{Error, ErrorCode, Result},
    fold::FleetState,
    ids::{ChangeId, ContractRevision},
    operator::{self, ChangeStatus},
    process::{
        peer::PeerClient,
        platform::{HttpPlatform, LogService},
    },
    record::LogRecord,
    setting::{self, Setting, SettingCheck, SettingValues},
};

/// Settings of the `contract`, `vm` and `claim` commands.
pub(crate) const OPERATOR_SETTINGS: &[Setting] = &[
    Setting {
        flag: "log-url",
        variable: "SAPPHIREWELL_LOG_URL",
        unit: "URL",
        default: None,
        check: SettingCheck::Url,
        help: "the platform's log service",
    },
    Setting {
        flag: "peers",
        variable: "SAPPHIREWELL_PEERS",
        unit: "IP:PORT,...",
        default: Some(""),
        check: SettingCheck::Addresses,
        help: "processes to copy the state from where the log has dropped old records",
    },
    Setting {
        flag: "replaces",
        variable: "SAPPHIREWELL_REPLACES",
        unit: "revision",
        default: Some(""),
        check: SettingCheck::Text,
        help: "revision that the change replaces; empty takes the one in force",
    },
    Setting {
        flag: "change",
        variable: "SAPPHIREWELL_CHANGE",
        unit: "ID",
        default: Some(""),
        check: SettingCheck::Text,
        help: "id of the change; empty draws one",
    },
    Setting {
        flag: "ran",
        variable: "SAPPHIREWELL_RAN",
        unit: "yes|no",
        default: Some("yes"),
        check: SettingCheck::OneOf(&["yes", "no"]),
        help: "for `claim settle`: whether the request ran",
    },
    Setting {
        flag: "output",
        variable: "SAPPHIREWELL_OUTPUT",
        unit: "table|json",
        default: Some("table"),
        check: SettingCheck::OneOf(&["table", "json"]),
        help: "form of the output",
    },
];

/// Settings of one command, and the fleet's state as read from a peer and the log.
struct OperatorSession {
    values: SettingValues,
    log: HttpPlatform,
    fleet: FleetState,
}

/// Rows of a table, each with one text per column.
type TableRows = Vec<Vec<String>>;

pub(super) fn contract(words: &[&str], line: &CommandLine) -> ExitCode {
    run_session(line, async |session| match words {
        ["publish", file] => {
            let contract = query::read_contract(file)?;
            let replaces = session.replaced_revision(0)?;
            let change = session.change_id();
            session
                .submit(change.clone(), operator::publish_record(change, replaces, contract))
                .await
        }
        ["change", file] => {
            let contract = query::read_contract(file)?;
            let current = session.current_revision(&contract.customer)?;
            let replaces = session.replaced_revision(current)?;
            let change = session.change_id();
            session
                .submit(change.clone(), operator::publish_record(change, replaces, contract))
                .await
        }
        ["retire", customer] => {
            let current = session.current_revision(customer)?;
            let replaces = session.replaced_revision(current)?;
            let change = session.change_id();
            let record = operator::retire_record(change.clone(), replaces, (*customer).into());
            session.submit(change, record).await
        }
        ["list"] => Ok(session.list_contracts()),
        ["show", customer] => session.show_contract(customer),
        ["status", change] => {
            let change: ChangeId = (*change).into();
            let status = ChangeStatus::from_result(change.clone(), session.fleet.result(&change));
            Ok(session.print_status(&status))
        }
        _ => Err(usage_error("contract", words)),
    })
}

pub(super) fn vm(words: &[&str], line: &CommandLine) -> ExitCode {
    run_session(line, async |session| match words {
        ["announce", vm] => session.announce_vm(vm, true).await,
        ["cancel", vm] => session.announce_vm(vm, false).await,
        ["list"] => Ok(session.list_vms()),
        _ => Err(usage_error("vm", words)),
    })
}

pub(super) fn claim(words: &[&str], line: &CommandLine) -> ExitCode {
    run_session(line, async |session| match words {
        ["list"] => Ok(session.list_unknown_outcomes()),
        ["settle", customer, key] => session.settle_claim(customer, key).await,
        _ => Err(usage_error("claim", words)),
    })
}

/// Returns the error for an unknown or incomplete subcommand.
fn usage_error(command: &str, words: &[&str]) -> Error {
    Error::new(ErrorCode::Usage, format!("{command} {}", words.join(" ")))
}

/// Opens a session, runs a command in it and returns the exit status.
fn run_session(
    line: &CommandLine,
    work: impl AsyncFnOnce(&mut OperatorSession) -> Result<ExitCode>,
) -> ExitCode {
    if line.help {
        print!("{}", setting::help(OPERATOR_SETTINGS));
        return ExitCode::SUCCESS;
    }
    let values = match line.settings(OPERATOR_SETTINGS) {
        Ok(values) => values,
        Err(errors) => return fail(&errors),
    };
    let result = query::block_on(async {
        let mut session = OperatorSession::open(values).await?;
        work(&mut session).await
    });
    result.unwrap_or_else(|error| fail(&[error]))
}

impl OperatorSession {
    async fn open(values: SettingValues) -> Result<OperatorSession> {
        let log = HttpPlatform::new(values.text("log-url"), "");
        let peers = PeerClient::new(values.addresses("peers"));
        // If no peer responds, the state is built from the entire log.
        let mut fleet = peers.fetch_fleet().await.unwrap_or_default();
        operator::read_all(&log, &mut fleet).await?;
        Ok(OperatorSession { values, log, fleet })
    }

    /// Returns the id given by `--change`, or a new one.
    fn change_id(&self) -> ChangeId {
        match self.values.text("change") {
            "" => operator::new_change_id(),
            given => given.into(),
        }
    }

    /// Returns the revision given by `--replaces`, or `default`.
    fn replaced_revision(&self, default: ContractRevision) -> Result<ContractRevision> {
        match self.values.text("replaces") {
            "" => Ok(default),
            given => given.parse().map_err(|_| {
                Error::new(
                    ErrorCode::OutOfRange,
                    format!("--replaces {given:?}, allowed a revision"),
                )
            }),
        }
    }

    /// Returns the revision in force of a customer's contract.
    fn current_revision(&self, customer: &str) -> Result<ContractRevision> {
        self.fleet
            .view()
            .contract(customer)
            .map(|(revision, _)| revision)
            .ok_or_else(|| Error::new(ErrorCode::NotFound, format!("contract {customer:?}")))
    }

    async fn submit(&mut self, change: ChangeId, record: LogRecord) -> Result<ExitCode> {
        let status = operator::submit(&self.log, &mut self.fleet, change, &record).await?;
        Ok(self.print_status(&status))
    }

    async fn announce_vm(&mut self, vm: &str, leaving: bool) -> Result<ExitCode> {
        crate::contract::check_name("vm", vm)?;
        let change = self.change_id();
        self.submit(change.clone(), operator::vm_record(change, vm.into(), leaving)).await
    }

    async fn settle_claim(&mut self, customer: &str, key: &str) -> Result<ExitCode> {
        let key = ClaimKey { customer: customer.into(), key: key.into() };
        let ran = self.values.text("ran") == "yes";
        if !self
            .fleet
            .claims()
            .unknown_outcomes(self.fleet.view().time)
            .any(|(unknown, _)| *unknown == key)
        {
            return Err(Error::new(ErrorCode::NotFound, format!("unknown outcome {:?}", key.key)));
        }
        let body = operator::settle_record(key, ran).encode()?;
        let offset = self.log.append(&body).await?;
        println!("settled at offset {offset}");
        Ok(ExitCode::SUCCESS)
    }

    fn print_status(&self, status: &ChangeStatus) -> ExitCode {
        if self.values.text("output") == "json" {
            println!("{}", json!(status));
        } else {
            println!("{}", describe_status(status));
        }
        ExitCode::from(status.exit_code())
    }

    fn list_contracts(&self) -> ExitCode {
        let view = self.fleet.view();
        let active =
            view.contracts.values().filter_map(|e| e.contract.as_ref().map(|c| (e.revision, c)));
        let rows = active
            .clone()
            .map(|(revision, contract)| {
                let kinds: Vec<&str> =
                    contract.kinds.iter().map(|kind| kind.name.as_str()).collect();
                vec![
                    contract.customer.to_string(),
                    revision.to_string(),
                    contract.share_ppm.to_string(),
                    kinds.join(","),
                ]
            })
            .collect();
        let document = active
            .map(|(revision, contract)| json!({ "revision": revision, "contract": contract }));
        self.print_rows(&["customer", "revision", "share_ppm", "kinds"], rows, document.collect())
    }

    fn show_contract(&self, customer: &str) -> Result<ExitCode> {
        let (revision, contract) = self
            .fleet
            .view()
            .contract(customer)
            .ok_or_else(|| Error::new(ErrorCode::NotFound, format!("contract {customer:?}")))?;
        println!("{}", json!({ "revision": revision, "contract": contract }));
        Ok(ExitCode::SUCCESS)
    }

    fn list_vms(&self) -> ExitCode {
        let vms = &self.fleet.view().vms;
        let rows = vms
            .iter()
            .map(|(vm, entry)| {
                vec![vm.to_string(), entry.revision.to_string(), entry.leaving.to_string()]
            })
            .collect();
        let document = vms.iter().map(|(vm, entry)| json!({ "vm": vm, "entry": entry })).collect();
        self.print_rows(&["vm", "revision", "leaving"], rows, document)
    }

    fn list_unknown_outcomes(&self) -> ExitCode {
        let claims = self.fleet.claims();
        let time = self.fleet.view().time;
        let rows = claims
            .unknown_outcomes(time)
            .map(|(key, _)| vec![key.customer.to_string(), key.key.to_string()])
            .collect();
        let document = claims
            .unknown_outcomes(time)
            .map(|(key, claim)| json!({ "key": key, "entry": claim }))
            .collect();
        self.print_rows(&["customer", "key"], rows, document)
    }

    fn print_rows(
        &self,
        header: &[&str],
        rows: TableRows,
        document: Vec<serde_json::Value>,
    ) -> ExitCode {
        if self.values.text("output") == "json" {
            println!("{}", json!(document));
        } else {
            println!("{}", header.join("\t"));
            for row in rows {
                println!("{}", row.join("\t"));
            }
        }
        ExitCode::SUCCESS
    }
}

fn describe_status(status: &ChangeStatus) -> String {
    match status {
        ChangeStatus::Accepted { change, revision } => {
            format!("accepted at revision {revision} (change {change})")
        }
        ChangeStatus::Superseded { change, current } => {
            format!("superseded: revision {current} stands (change {change})")
        }
        ChangeStatus::SharesExceeded { change, free_ppm } => {
            format!("shares exceeded: {free_ppm} millionths are free (change {change})")
        }
        ChangeStatus::NotKnownYet { change } => {
            format!("not known yet; ask again: sapphirewell contract status {change}")
        }
    }
}
