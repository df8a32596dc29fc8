//! Claims and orders of the duty to order the number of targets.

use std::rc::Rc;

use super::{
    duty_call::{self, CLAIM_KEY, newest_claim},
    orders::{boot_time, write_claim},
    shell::DirectDriver,
};
use crate::{
    direct::{DirectEvent, PostOutcome, ScaleAction, ScaleEvent, ScaleOrder},
    platform::{duty, settings::ScaleTarget},
};

/// Name of the duty in the log.
const DUTY: &str = "scale";
/// Topic of the duty.
const TOPIC: &str = "keyed.scale";

/// Carries out an action of the duty.
pub(super) async fn perform(driver: Rc<DirectDriver>, action: ScaleAction) {
    let Some(target) = driver.scale_target.clone() else { return };
    let event = match action {
        ScaleAction::Claim => {
            ScaleEvent::ClaimEnded(write_claim(&driver, DUTY, TOPIC, CLAIM_KEY).await)
        }
        ScaleAction::Order(order) => {
            let outcome = post(&driver, &target, &order).await;
            log::info!(
                service:% = order.service, data_centre:% = order.data_centre,
                targets:% = order.targets, fence:% = order.fence, end:% = outcome;
                "scale order ended"
            );
            ScaleEvent::OrderEnded { order, outcome }
        }
    };
    driver.step(DirectEvent::Scale(event));
}

async fn post(driver: &DirectDriver, target: &ScaleTarget, order: &ScaleOrder) -> PostOutcome {
    let checked = boot_time();
    let claim = match driver.store_client().read_newest(TOPIC).await {
        Ok(page) => newest_claim(&page),
        Err(error) => {
            log::info!(error:% = error; "failed to check claim on scale");
            return PostOutcome::NoStore;
        }
    };
    if claim != Some((driver.name().into(), order.fence)) {
        return PostOutcome::Superseded;
    }
    match duty::scale_request(target.address, driver.name(), order) {
        Ok(request) => duty_call::send("scale order", target.address, request, checked).await,
        Err(error) => {
            log::error!(error:% = error; "failed to encode scale order");
            PostOutcome::Refused
        }
    }
}
