//! Administration API: the same operations and words as the command line.

use std::{sync::Arc, time::Duration};

use poem::{
    Body, IntoResponse, Request, Response, Route, get, handler,
    http::{StatusCode, header},
    post,
    web::{Data, Json, Path, Query},
};
use serde::{Deserialize, Serialize};

use super::bad_input;
use crate::{
    claim::ClaimKey,
    contract::{CustomerContract, MAX_CONTRACT_BYTES},
    error::{Error, ErrorCode, Result},
    ids::{ChangeId, ContractRevision},
    operator::{self, ChangeStatus, RESULT_TIMEOUT},
    process::{control::ControlMessage, entry::EntryShell, platform::LogService},
    record::LogRecord,
};

const RESULT_POLL: Duration = Duration::from_millis(50);

#[derive(Debug, Deserialize)]
struct ChangeQuery {
    #[serde(default)]
    replaces: ContractRevision,
    change: Option<String>,
}

#[derive(Debug, Deserialize)]
struct VmQuery {
    leaving: bool,
    change: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettleBody {
    customer: String,
    key: String,
    ran: bool,
}

/// Contract as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ListedContract {
    /// The revision, which the next change has to name.
    pub(crate) revision: ContractRevision,
    /// The contract.
    pub(crate) contract: CustomerContract,
}

pub(super) fn routes() -> Route {
    Route::new()
        .at("/contracts", get(list_contracts))
        .at(
            "/contracts/:customer",
            get(show_contract).put(publish_contract).delete(retire_contract),
        )
        .at("/changes/:change", get(show_change))
        .at("/vms", get(list_vms))
        .at("/vms/:vm", post(announce_vm))
        .at("/claims/unknown", get(list_unknown))
        .at("/claims/settle", post(settle_claim))
}

fn authorize(request: &Request, shell: &EntryShell) -> Result<()> {
    let given = request.headers().get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    // A request without a token is refused like one with a wrong one.
    let token = given.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    if shell.admin_token.is_empty() || !same_bytes(token.as_bytes(), shell.admin_token.as_bytes()) {
        return Err(Error::new(ErrorCode::Unauthorized, "authorization header"));
    }
    Ok(())
}

/// Compares in a time that does not depend on the content.
fn same_bytes(a: &[u8], b: &[u8]) -> bool {
    let differing = a.iter().zip(b).fold(0, |bits, (x, y)| bits | (x ^ y));
    a.len() == b.len() && differing == 0
}

fn respond(result: Result<Response>) -> Response {
    result.unwrap_or_else(|error| bad_input(&error))
}

fn control(
    shell: &EntryShell,
) -> Result<crate::process::control::ControlHandle<crate::entry::EntryEvent>> {
    shell.control().ok_or_else(|| Error::new(ErrorCode::Timeout, "control thread"))
}

/// Appends a change and waits until this process has folded it.
async fn submit(shell: &EntryShell, change: ChangeId, record: LogRecord) -> Result<Response> {
    let body = record.encode()?;
    let control = control(shell)?;
    let work = async {
        let mut appended = false;
        loop {
            if !appended {
                appended = shell.platform.append(&body).await.is_ok();
            }
            let result =
                control.ask(|answer| ControlMessage::Result(change.clone(), answer)).await?;
            if result.is_some() {
                return Ok(ChangeStatus::from_result(change.clone(), result.as_ref()));
            }
            tokio::time::sleep(RESULT_POLL).await;
        }
    };
    let status = tokio::time::timeout(RESULT_TIMEOUT, work)
        .await
        .unwrap_or_else(|_| Ok(ChangeStatus::NotKnownYet { change: change.clone() }))?;
    let code = StatusCode::from_u16(status.http_status()).unwrap_or(StatusCode::OK);
    Ok(Json(status).with_status(code).into_response())
}

fn change_id(given: Option<String>) -> ChangeId {
    given.map_or_else(operator::new_change_id, Into::into)
}

#[handler]
fn list_contracts(request: &Request, shell: Data<&Arc<EntryShell>>) -> Response {
    respond(authorize(request, &shell).and_then(|()| {
        let view = control(&shell)?.view();
        let listed: Vec<ListedContract> = view
            .contracts
            .values()
            .filter_map(|entry| {
                let contract = entry.contract.as_deref()?.clone();
                Some(ListedContract { revision: entry.revision, contract })
            })
            .collect();
        Ok(Json(listed).into_response())
    }))
}

#[handler]
fn show_contract(
    request: &Request,
    Path(customer): Path<String>,
    shell: Data<&Arc<EntryShell>>,
) -> Response {
    respond(authorize(request, &shell).and_then(|()| {
        let view = control(&shell)?.view();
        let (revision, contract) = view
            .contract(&customer)
            .ok_or_else(|| Error::new(ErrorCode::NotFound, format!("contract {customer:?}")))?;
        let contract = contract.as_ref().clone();
        Ok(Json(ListedContract { revision, contract }).into_response())
    }))
}

#[handler]
async fn publish_contract(
    request: &Request,
    Path(customer): Path<String>,
    Query(query): Query<ChangeQuery>,
    body: Body,
    shell: Data<&Arc<EntryShell>>,
) -> Response {
    let work = async {
        authorize(request, &shell)?;
        let text = body
            .into_bytes_limit(MAX_CONTRACT_BYTES)
            .await
            .map_err(|e| Error::new(ErrorCode::TooLarge, format!("contract ({e})")))?;
        let contract = CustomerContract::parse(&text)?;
        if *contract.customer != *customer {
            return Err(Error::new(
                ErrorCode::Malformed,
                format!("customer differs from path {customer:?}"),
            ));
        }
        let change = change_id(query.change);
        let record = operator::publish_record(change.clone(), query.replaces, contract);
        submit(&shell, change, record).await
    };
    respond(work.await)
}

#[handler]
async fn retire_contract(
    request: &Request,
    Path(customer): Path<String>,
    Query(query): Query<ChangeQuery>,
    shell: Data<&Arc<EntryShell>>,
) -> Response {
    let work = async {
        authorize(request, &shell)?;
        let change = change_id(query.change);
        let record = operator::retire_record(change.clone(), query.replaces, customer.into());
        submit(&shell, change, record).await
    };
    respond(work.await)
}

#[handler]
async fn show_change(
    request: &Request,
    Path(change): Path<String>,
    shell: Data<&Arc<EntryShell>>,
) -> Response {
    let work = async {
        authorize(request, &shell)?;
        let change: ChangeId = change.into();
        let result =
            control(&shell)?.ask(|answer| ControlMessage::Result(change.clone(), answer)).await?;
        Ok(Json(ChangeStatus::from_result(change, result.as_ref())).into_response())
    };
    respond(work.await)
}

#[handler]
fn list_vms(request: &Request, shell: Data<&Arc<EntryShell>>) -> Response {
    respond(authorize(request, &shell).and_then(|()| {
        let view = control(&shell)?.view();
        Ok(Json(view.vms.as_ref()).into_response())
    }))
}

#[handler]
async fn announce_vm(
    request: &Request,
    Path(vm): Path<String>,
    Query(query): Query<VmQuery>,
    shell: Data<&Arc<EntryShell>>,
) -> Response {
    let work = async {
        authorize(request, &shell)?;
        crate::contract::check_name("vm", &vm)?;
        let change = change_id(query.change);
        let record = operator::vm_record(change.clone(), vm.into(), query.leaving);
        submit(&shell, change, record).await
    };
    respond(work.await)
}

#[handler]
async fn list_unknown(request: &Request, shell: Data<&Arc<EntryShell>>) -> Response {
    let work = async {
        authorize(request, &shell)?;
        let fold = control(&shell)?.ask(ControlMessage::Fold).await?;
        let unknown: Vec<_> = fold.claims().unknown_outcomes(fold.view().time).collect();
        Ok(Json(unknown).into_response())
    };
    respond(work.await)
}

#[handler]
async fn settle_claim(request: &Request, body: Body, shell: Data<&Arc<EntryShell>>) -> Response {
    let work = async {
        authorize(request, &shell)?;
        let body: SettleBody = super::read_json(body).await?;
        let key = ClaimKey { customer: body.customer.into(), key: body.key.into() };
        let encoded = operator::settle_record(key, body.ran).encode()?;
        let offset = shell.platform.append(&encoded).await?;
        Ok(Json(serde_json::json!({ "offset": offset })).into_response())
    };
    respond(work.await)
}
