//! Administration API: the same operations and terms as the command line.

use std::{sync::Arc, time::Duration};

use poem::{
    Body, IntoResponse, Request, Response, Route, get, handler,
    http::{StatusCode, header},
    post,
    web::{Data, Json, Path, Query},
};
use serde::{Deserialize, Serialize};

use super::error_response;
use crate::{
    claim::ClaimKey,
    contract::{CustomerContract, MAX_CONTRACT_BYTES},
    error::{Error, ErrorCode, Result},
    ids::{ChangeId, ContractRevision},
    operator::{self, ChangeStatus, RESULT_TIMEOUT},
    process::{control::ControlMessage, entry::EntryDriver, platform::LogService},
    record::LogRecord,
};

/// Interval between queries for the result of a change.
const RESULT_POLL_INTERVAL: Duration = Duration::from_millis(50);

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

/// Contract in a response to an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ListedContract {
    /// Revision in force, which the next change must name as the one it replaces.
    pub(crate) revision: ContractRevision,
    /// Contract in force.
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

fn authorize(request: &Request, driver: &EntryDriver) -> Result<()> {
    let given = request.headers().get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    // A missing token is treated like a wrong one.
    let token = given.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    if driver.admin_token.is_empty()
        || !constant_time_eq(token.as_bytes(), driver.admin_token.as_bytes())
    {
        return Err(Error::new(ErrorCode::Unauthorized, "authorization header"));
    }
    Ok(())
}

/// Compares in a time that doesn't depend on the content, so that the time doesn't reveal how
/// much of a token matches.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    let differing = a.iter().zip(b).fold(0, |bits, (x, y)| bits | (x ^ y));
    a.len() == b.len() && differing == 0
}

fn into_response(result: Result<Response>) -> Response {
    result.unwrap_or_else(|error| error_response(&error))
}

fn control(
    driver: &EntryDriver,
) -> Result<crate::process::control::ControlHandle<crate::entry::EntryEvent>> {
    driver.control().ok_or_else(|| Error::new(ErrorCode::Timeout, "control thread"))
}

/// Appends a change and waits until this process has read its result from the log.
async fn submit(driver: &EntryDriver, change: ChangeId, record: LogRecord) -> Result<Response> {
    let body = record.encode()?;
    let control = control(driver)?;
    let work = async {
        let mut appended = false;
        loop {
            if !appended {
                appended = driver.platform.append(&body).await.is_ok();
            }
            let result =
                control.query(|reply| ControlMessage::Result(change.clone(), reply)).await?;
            if result.is_some() {
                return Ok(ChangeStatus::from_result(change.clone(), result.as_ref()));
            }
            tokio::time::sleep(RESULT_POLL_INTERVAL).await;
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
fn list_contracts(request: &Request, driver: Data<&Arc<EntryDriver>>) -> Response {
    into_response(authorize(request, &driver).and_then(|()| {
        let view = control(&driver)?.view();
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
    driver: Data<&Arc<EntryDriver>>,
) -> Response {
    into_response(authorize(request, &driver).and_then(|()| {
        let view = control(&driver)?.view();
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
    driver: Data<&Arc<EntryDriver>>,
) -> Response {
    let work = async {
        authorize(request, &driver)?;
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
        submit(&driver, change, record).await
    };
    into_response(work.await)
}

#[handler]
async fn retire_contract(
    request: &Request,
    Path(customer): Path<String>,
    Query(query): Query<ChangeQuery>,
    driver: Data<&Arc<EntryDriver>>,
) -> Response {
    let work = async {
        authorize(request, &driver)?;
        let change = change_id(query.change);
        let record = operator::retire_record(change.clone(), query.replaces, customer.into());
        submit(&driver, change, record).await
    };
    into_response(work.await)
}

#[handler]
async fn show_change(
    request: &Request,
    Path(change): Path<String>,
    driver: Data<&Arc<EntryDriver>>,
) -> Response {
    let work = async {
        authorize(request, &driver)?;
        let change: ChangeId = change.into();
        let result =
            control(&driver)?.query(|reply| ControlMessage::Result(change.clone(), reply)).await?;
        Ok(Json(ChangeStatus::from_result(change, result.as_ref())).into_response())
    };
    into_response(work.await)
}

#[handler]
fn list_vms(request: &Request, driver: Data<&Arc<EntryDriver>>) -> Response {
    into_response(authorize(request, &driver).and_then(|()| {
        let view = control(&driver)?.view();
        Ok(Json(view.vms.as_ref()).into_response())
    }))
}

#[handler]
async fn announce_vm(
    request: &Request,
    Path(vm): Path<String>,
    Query(query): Query<VmQuery>,
    driver: Data<&Arc<EntryDriver>>,
) -> Response {
    let work = async {
        authorize(request, &driver)?;
        crate::contract::check_name("vm", &vm)?;
        let change = change_id(query.change);
        let record = operator::vm_record(change.clone(), vm.into(), query.leaving);
        submit(&driver, change, record).await
    };
    into_response(work.await)
}

#[handler]
async fn list_unknown(request: &Request, driver: Data<&Arc<EntryDriver>>) -> Response {
    let work = async {
        authorize(request, &driver)?;
        let fleet = control(&driver)?.query(ControlMessage::Fleet).await?;
        let unknown: Vec<_> = fleet.claims().unknown_outcomes(fleet.view().time).collect();
        Ok(Json(unknown).into_response())
    };
    into_response(work.await)
}

#[handler]
async fn settle_claim(request: &Request, body: Body, driver: Data<&Arc<EntryDriver>>) -> Response {
    let work = async {
        authorize(request, &driver)?;
        let body: SettleBody = super::read_json(body).await?;
        let key = ClaimKey { customer: body.customer.into(), key: body.key.into() };
        let encoded = operator::settle_record(key, body.ran).encode()?;
        let offset = driver.platform.append(&encoded).await?;
        Ok(Json(serde_json::json!({ "offset": offset })).into_response())
    };
    into_response(work.await)
}
