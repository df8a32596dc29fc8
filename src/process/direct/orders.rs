//! Claims of the authority over engines, and orders that change an engine's stage.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

use super::shell::DirectDriver;
use crate::{
    direct::{
        ClaimOutcome, DirectEvent, DirectTarget, OrderFencingToken, OrderOutcome, StageOrder,
        fencing_token,
    },
    error::{Error, ErrorCode, Result},
    platform::{runner, store::TopicPosition},
    process::dial,
};

/// Topic of the claims.
const TOPIC: &str = "keyed.claims";
/// Key of the claims; the newest record is the claim in force.
const KEY: &str = "engines";
/// Timeout of a call to an engine, connecting included.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Age at which a check of the claim no longer permits an order, by a clock that also
/// advances while the VM is suspended.
pub(super) const CLAIM_CHECK_LIFETIME: Duration = Duration::from_millis(500);
/// Largest response body that is read from an engine.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Result of an order, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum OrderEnd {
    Accepted,
    AlreadyThere,
    Busy,
    Refused,
    #[strum(serialize = "look_too_old")]
    ClaimCheckExpired,
    Superseded,
    NoStore,
    NoReport,
    NoAnswer,
}

/// Claims the authority over engines with a record in the store.
pub(super) async fn claim(driver: Rc<DirectDriver>) {
    let outcome = write_claim(&driver, KEY, TOPIC, KEY).await;
    driver.step(DirectEvent::ClaimEnded(outcome));
}

/// Claims a duty with a record under a key of a topic.
pub(super) async fn write_claim(
    driver: &DirectDriver,
    duty: &'static str,
    topic: &'static str,
    key: &'static str,
) -> ClaimOutcome {
    let outcome = match driver.store_client().put(topic, key, driver.name().as_bytes()).await {
        Ok(position) => {
            let end = TopicPosition { offset: position.offset + 1, ..position };
            token_at(end).map_or(ClaimOutcome::Failed, ClaimOutcome::Taken)
        }
        Err(error) => {
            log::info!(error:% = error; "failed to write claim on {duty}");
            ClaimOutcome::Failed
        }
    };
    log::info!(outcome:? = outcome; "claim on {duty} ended");
    outcome
}

/// Sends an order to an engine, unless the store holds a newer claim.
pub(super) async fn order(driver: Rc<DirectDriver>, order: StageOrder) {
    let end = carry_out(&driver, &order).await;
    let (wait, slots) = driver.stage_load();
    log::info!(
        target_id:% = order.target.id, stage:% = order.stage, fence:% = order.fence,
        read_wait_ms:% = (wait * 1000.0) as u64, slots_used:% = (slots * 100.0) as u64, end:% = end;
        "stage order ended"
    );
    let outcome = match end {
        OrderEnd::Accepted | OrderEnd::AlreadyThere => OrderOutcome::Accepted,
        OrderEnd::NoAnswer => OrderOutcome::Unknown,
        OrderEnd::Superseded => {
            driver.step(DirectEvent::ClaimEnded(ClaimOutcome::Superseded));
            OrderOutcome::Refused
        }
        OrderEnd::Busy
        | OrderEnd::Refused
        | OrderEnd::ClaimCheckExpired
        | OrderEnd::NoStore
        | OrderEnd::NoReport => OrderOutcome::Refused,
    };
    driver.step(DirectEvent::OrderEnded { target: order.target.id.clone(), outcome });
}

async fn carry_out(driver: &Rc<DirectDriver>, order: &StageOrder) -> OrderEnd {
    let report = match fetch_report(driver, &order.target).await {
        Ok(report) => report,
        Err(error) => {
            log::info!(
                target_id:% = order.target.id, error:% = error;
                "failed to fetch engine report"
            );
            return OrderEnd::NoReport;
        }
    };
    if report.stage == order.stage {
        return OrderEnd::AlreadyThere;
    }
    if report.busy {
        return OrderEnd::Busy;
    }
    let checked_at = boot_time();
    match is_newest_claim(driver, order.fence).await {
        Ok(true) => {}
        Ok(false) => return OrderEnd::Superseded,
        Err(error) => {
            log::info!(error:% = error; "failed to check claim");
            return OrderEnd::NoStore;
        }
    }
    let request = match runner::order_request(order, driver.name(), report.orders) {
        Ok(request) => request,
        Err(error) => {
            log::error!(error:% = error; "failed to encode order");
            return OrderEnd::Refused;
        }
    };
    if boot_time().saturating_sub(checked_at) > CLAIM_CHECK_LIFETIME {
        return OrderEnd::ClaimCheckExpired;
    }
    match exchange(driver, &order.target, request).await {
        Ok((StatusCode::ACCEPTED, _)) => OrderEnd::Accepted,
        Ok((StatusCode::OK, _)) => OrderEnd::AlreadyThere,
        Ok((status, _)) => {
            log::info!(
                target_id:% = order.target.id, status:% = status.as_u16();
                "engine refused order"
            );
            OrderEnd::Refused
        }
        Err(error) => {
            log::warn!(
                target_id:% = order.target.id, error:% = error;
                "no response to order; the engine may carry it out"
            );
            OrderEnd::NoAnswer
        }
    }
}

/// Returns the fencing token of the claim with which the topic ends here. Engines accept tokens
/// from 1 on, as the end of a topic with a claim is.
pub(super) fn token_at(end: TopicPosition) -> Option<OrderFencingToken> {
    fencing_token(end.generation, end.offset)
}

/// Returns whether the newest claim in the store is this entry's, with this fencing token.
///
/// If the store lost the claim as its response was under way, another entry may have a claim at
/// its position.
async fn is_newest_claim(driver: &DirectDriver, fence: OrderFencingToken) -> Result<bool> {
    let page = driver.store_client().read_newest(TOPIC).await;
    let page = page.map_err(|e| Error::new(ErrorCode::Network, e.to_string()))?;
    let holder = page.records.iter().find(|record| record.key == KEY);
    let holder = holder.and_then(|record| record.value.as_deref());
    Ok(token_at(page.next) == Some(fence) && holder == Some(driver.name().as_bytes()))
}

async fn fetch_report(
    driver: &Rc<DirectDriver>,
    target: &DirectTarget,
) -> Result<runner::EngineReport> {
    let (status, body) = exchange(driver, target, runner::report_request(target)?).await?;
    if status != StatusCode::OK {
        return Err(Error::new(ErrorCode::TargetUnavailable, format!("status {status}")));
    }
    runner::decode_report(&body)
}

/// Sends one request over a new connection.
async fn exchange(
    driver: &Rc<DirectDriver>,
    target: &DirectTarget,
    request: Request<Bytes>,
) -> Result<(StatusCode, Bytes)> {
    let failed = |e: &dyn std::fmt::Display| {
        Error::new(ErrorCode::Network, format!("{} ({e})", target.address))
    };
    let work = async {
        let mut connection = dial::connect(target.address, CALL_TIMEOUT).await?;
        let request = request.map(Full::new);
        let called = Instant::now();
        let response = connection.sender.send_request(request).await.map_err(|e| failed(&e))?;
        let status = response.status();
        driver.record_statements(target, called, status, response.headers());
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        Ok((status, body.map_err(|e| failed(&e))?.to_bytes()))
    };
    let timed_out = |_| Error::new(ErrorCode::Timeout, target.address.to_string());
    tokio::time::timeout(CALL_TIMEOUT, work).await.map_err(timed_out)?
}

/// Returns the time since the VM booted, including time in which it was suspended.
pub(super) fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let (seconds, nanos) = (time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs());
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}
