//! Appends of a side to the log, of which at most one is in flight.
//!
//! Events that are queued in the meantime go into the next batch.

use std::time::Duration;

use serde::Serialize;

use crate::{
    claim::{ClaimEvent, ClaimKey},
    fold::FleetState,
    ids::{AttemptId, ClockTime, FencingToken, SideId},
    record::{ClaimBatch, LogRecord, SuspectReport},
};

/// Time between a failed append and the next one.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time after which an append without a result counts as failed.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of claim events in one record.
const MAX_BATCH_EVENTS: usize = 128;
/// Maximum rate of appends of all sides together.
const MAX_APPENDS_PER_SECOND: f64 = 200.0;

/// Claim events and suspect reports that are not yet confirmed by the log.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct AppendOutbox {
    claims: Vec<ClaimEvent>,
    /// Events of a failed append. They may have taken effect, so they cannot be withdrawn.
    #[serde(rename = "unsure")]
    unconfirmed: Vec<ClaimEvent>,
    reports: Vec<SuspectReport>,
    in_flight: Option<InFlightAppend>,
    #[serde(rename = "tickets")]
    last_append_id: u64,
    retry_at: ClockTime,
    /// Shortest time between two appends, which keeps all sides within the rate limit.
    #[serde(rename = "distance")]
    min_interval: Duration,
    last_sent: ClockTime,
}

#[derive(Debug, Clone, Serialize)]
struct InFlightAppend {
    #[serde(rename = "ticket")]
    append_id: u64,
    record: LogRecord,
    sent: ClockTime,
}

impl AppendOutbox {
    pub(crate) fn push_claim(&mut self, event: ClaimEvent) {
        self.claims.push(event);
    }

    pub(crate) fn push_report(&mut self, report: SuspectReport) {
        self.reports.push(report);
    }

    /// Returns the reports that may not be in the log yet.
    pub(crate) fn unconfirmed_reports(&self) -> Vec<SuspectReport> {
        let in_flight = self.in_flight.as_ref().and_then(|flight| match &flight.record {
            LogRecord::Suspects(report) => Some(report),
            _ => None,
        });
        in_flight.into_iter().chain(&self.reports).cloned().collect()
    }

    /// Removes a claim that has not been sent, and returns whether there was one.
    pub(crate) fn withdraw_claim(&mut self, key: &ClaimKey, by: AttemptId) -> bool {
        let before = self.claims.len();
        self.claims.retain(|event| {
            !matches!(event, ClaimEvent::Take { key: k, attempt, .. } if k == key && *attempt == by)
        });
        self.claims.len() < before
    }

    /// Returns the id and record of the next append, if one is due.
    pub(crate) fn next_append(
        &mut self,
        now: ClockTime,
        side: &SideId,
        fence: FencingToken,
    ) -> Option<(u64, LogRecord)> {
        if self.in_flight.as_ref().is_some_and(|flight| now > flight.sent + APPEND_TIMEOUT) {
            self.requeue_in_flight(now);
        }
        let too_soon = self.last_append_id > 0 && now < self.last_sent + self.min_interval;
        if self.in_flight.is_some() || now < self.retry_at || too_soon {
            return None;
        }
        let record = self.take_next_record(side, fence)?;
        self.last_append_id += 1;
        self.last_sent = now;
        self.in_flight = Some(InFlightAppend {
            append_id: self.last_append_id,
            record: record.clone(),
            sent: now,
        });
        Some((self.last_append_id, record))
    }

    /// Handles the result of an append.
    ///
    /// A record that was not confirmed is sent again. A duplicate has no effect.
    pub(crate) fn handle_append_result(&mut self, now: ClockTime, append_id: u64, confirmed: bool) {
        if self.in_flight.as_ref().is_none_or(|flight| flight.append_id != append_id) {
            return;
        }
        if confirmed {
            self.in_flight = None;
        } else {
            self.requeue_in_flight(now);
        }
    }

    /// Limits this side to its part of the append rate, given the number of appending sides.
    pub(crate) fn limit_rate(&mut self, sides: usize) {
        self.min_interval = Duration::from_secs_f64(sides as f64 / MAX_APPENDS_PER_SECOND);
    }

    /// Treats the append in flight as confirmed once the log shows all of its effects.
    ///
    /// Otherwise an append whose response is lost would block the next ones until it times out.
    pub(crate) fn confirm_from_log(&mut self, fleet: &FleetState) {
        let shown = self.in_flight.as_ref().is_some_and(|flight| match &flight.record {
            LogRecord::Claims(batch) => {
                batch.events.iter().all(|event| fleet.claims().is_settled(event))
            }
            LogRecord::Suspects(report) => fleet.result(&report.change).is_some(),
            _ => false,
        });
        if shown {
            self.in_flight = None;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.claims.is_empty()
            && self.unconfirmed.is_empty()
            && self.reports.is_empty()
            && self.in_flight.is_none()
    }

    fn take_next_record(&mut self, side: &SideId, fence: FencingToken) -> Option<LogRecord> {
        if !self.unconfirmed.is_empty() {
            let events = std::mem::take(&mut self.unconfirmed);
            return Some(LogRecord::Claims(ClaimBatch { side: side.clone(), fence, events }));
        }
        if !self.claims.is_empty() {
            let count = self.claims.len().min(MAX_BATCH_EVENTS);
            let events = self.claims.drain(..count).collect();
            return Some(LogRecord::Claims(ClaimBatch { side: side.clone(), fence, events }));
        }
        if self.reports.is_empty() {
            return None;
        }
        Some(LogRecord::Suspects(self.reports.remove(0)))
    }

    fn requeue_in_flight(&mut self, now: ClockTime) {
        let Some(flight) = self.in_flight.take() else { return };
        self.retry_at = now + APPEND_RETRY_DELAY;
        match flight.record {
            LogRecord::Claims(batch) => self.unconfirmed = batch.events,
            LogRecord::Suspects(report) => self.reports.insert(0, report),
            LogRecord::Contract(_)
            | LogRecord::Vm(_)
            | LogRecord::Attach(_)
            | LogRecord::Detach { .. }
            | LogRecord::Plan(_)
            | LogRecord::Carry(_) => {}
        }
    }
}
