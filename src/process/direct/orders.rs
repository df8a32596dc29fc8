//! Claims on ordering engines, and the orders themselves.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use rustix::time::{ClockId, clock_gettime};

use super::shell::DirectShell;
use crate::{
    direct::{
        ClaimOutcome, DirectEvent, DirectTarget, OrderFencingToken, OrderOutcome, StageOrder,
    },
    error::{Error, ErrorCode, Result},
    platform::{runner, store::StoreClient},
    process::dial,
};

/// Topic and key of the claims.
const TOPIC: &str = "keyed.claims";
const KEY: &str = "engines";
/// Time for one call to an engine, connecting included.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Age at which a look at the store no longer allows an order, by a clock that
/// also counts time in which the VM stood still.
const LOOK_LIFETIME: Duration = Duration::from_millis(500);
/// Largest answer of an engine to these calls.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Why an order was not carried out, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum OrderEnd {
    Accepted,
    AlreadyThere,
    Busy,
    Refused,
    LookTooOld,
    Superseded,
    NoStore,
    NoReport,
    NoAnswer,
}

/// Claims the authority over engines.
pub(super) async fn claim(shell: Rc<DirectShell>) {
    let mut store = StoreClient::new(shell.store);
    let outcome = match store.put(TOPIC, KEY, shell.name().as_bytes()).await {
        // Engines take numbers from 1 on.
        Ok(offset) => ClaimOutcome::Taken(offset + 1),
        Err(error) => {
            log::info!(error:% = error; "claim on engines not taken");
            ClaimOutcome::Failed
        }
    };
    log::info!(outcome:? = outcome; "claimed to order engines");
    shell.step(DirectEvent::ClaimEnded(outcome));
}

/// Carries out an order, unless the store holds a newer claim.
pub(super) async fn order(shell: Rc<DirectShell>, order: StageOrder) {
    let end = carry_out(&shell, &order).await;
    let (wait, slots) = shell.stage_load();
    log::info!(
        target_id:% = order.target.id, stage:% = order.stage, fence:% = order.fence,
        read_wait_ms:% = (wait * 1000.0) as u64, slots_used:% = (slots * 100.0) as u64, end:% = end;
        "engine ordered"
    );
    let outcome = match end {
        OrderEnd::Accepted | OrderEnd::AlreadyThere => OrderOutcome::Accepted,
        OrderEnd::NoAnswer => OrderOutcome::Unknown,
        OrderEnd::Superseded => {
            shell.step(DirectEvent::ClaimEnded(ClaimOutcome::Superseded));
            OrderOutcome::Refused
        }
        OrderEnd::Busy
        | OrderEnd::Refused
        | OrderEnd::LookTooOld
        | OrderEnd::NoStore
        | OrderEnd::NoReport => OrderOutcome::Refused,
    };
    shell.step(DirectEvent::OrderEnded { target: order.target.id.clone(), outcome });
}

async fn carry_out(shell: &DirectShell, order: &StageOrder) -> OrderEnd {
    let report = match ask(&order.target).await {
        Ok(report) => report,
        Err(error) => {
            log::info!(target_id:% = order.target.id, error:% = error; "engine not asked");
            return OrderEnd::NoReport;
        }
    };
    if report.stage == order.stage {
        return OrderEnd::AlreadyThere;
    }
    if report.busy {
        return OrderEnd::Busy;
    }
    let looked = boot_time();
    match holds(shell, order.fence).await {
        Ok(true) => {}
        Ok(false) => return OrderEnd::Superseded,
        Err(error) => {
            log::info!(error:% = error; "claim not checked");
            return OrderEnd::NoStore;
        }
    }
    let request = match runner::order_request(order, shell.name(), report.orders) {
        Ok(request) => request,
        Err(error) => {
            log::error!(error:% = error; "order not encoded");
            return OrderEnd::Refused;
        }
    };
    if boot_time().saturating_sub(looked) > LOOK_LIFETIME {
        return OrderEnd::LookTooOld;
    }
    match exchange(&order.target, request).await {
        Ok((StatusCode::ACCEPTED, _)) => OrderEnd::Accepted,
        Ok((StatusCode::OK, _)) => OrderEnd::AlreadyThere,
        Ok((status, _)) => {
            log::info!(target_id:% = order.target.id, status:% = status.as_u16(); "order refused");
            OrderEnd::Refused
        }
        Err(error) => {
            log::warn!(target_id:% = order.target.id, error:% = error; "order without an answer");
            OrderEnd::NoAnswer
        }
    }
}

/// Tells whether the newest claim in the store is this one.
async fn holds(shell: &DirectShell, fence: OrderFencingToken) -> Result<bool> {
    let mut store = StoreClient::new(shell.store);
    let page = store.read_newest(TOPIC).await;
    let page = page.map_err(|e| Error::new(ErrorCode::Network, e.to_string()))?;
    Ok(page.next == fence)
}

async fn ask(target: &DirectTarget) -> Result<runner::EngineReport> {
    let (status, body) = exchange(target, runner::report_request(target)?).await?;
    if status != StatusCode::OK {
        return Err(Error::new(ErrorCode::TargetUnavailable, format!("status {status}")));
    }
    runner::decode_report(&body)
}

/// Makes one call over a connection of its own.
async fn exchange(target: &DirectTarget, request: Request<Bytes>) -> Result<(StatusCode, Bytes)> {
    let failed = |e: &dyn std::fmt::Display| {
        Error::new(ErrorCode::Network, format!("{} ({e})", target.address))
    };
    let work = async {
        let mut connection = dial::connect(target.address, CALL_TIMEOUT).await?;
        let request = request.map(Full::new);
        let answer = connection.sender.send_request(request).await.map_err(|e| failed(&e))?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await;
        Ok((status, body.map_err(|e| failed(&e))?.to_bytes()))
    };
    let late = |_| Error::new(ErrorCode::Timeout, target.address.to_string());
    tokio::time::timeout(CALL_TIMEOUT, work).await.map_err(late)?
}

/// Returns the time since the VM started, in which standing still counts.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let (seconds, nanos) = (time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs());
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}
