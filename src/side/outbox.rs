//! Appends of a side, one at a time: what arrives meanwhile travels in the next batch.

use std::time::Duration;

use serde::Serialize;

use crate::{
    claim::{ClaimEvent, ClaimKey},
    fold::FleetFold,
    ids::{AttemptId, ClockTime, FencingNumber, SideId},
    record::{ClaimBatch, LogRecord, SuspectReport},
};

const RETRY_DELAY: Duration = Duration::from_millis(250);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_BATCH: usize = 128;
/// Appends a second that all sides make together.
const APPENDS_PER_SECOND: f64 = 200.0;

/// Claim events and suspect reports that wait for the log.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct AppendOutbox {
    claims: Vec<ClaimEvent>,
    /// Events that were sent and may have taken effect; they cannot be withdrawn.
    unsure: Vec<ClaimEvent>,
    reports: Vec<SuspectReport>,
    in_flight: Option<InFlight>,
    #[serde(rename = "tickets")]
    last_append_id: u64,
    retry_at: ClockTime,
    /// Least time between two appends, which keeps all sides within the log's rate.
    distance: Duration,
    last_sent: ClockTime,
}

#[derive(Debug, Clone, Serialize)]
struct InFlight {
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

    /// Returns the reports that the log may not hold yet.
    pub(crate) fn reports(&self) -> Vec<SuspectReport> {
        let in_flight = self.in_flight.as_ref().and_then(|flight| match &flight.record {
            LogRecord::Suspects(report) => Some(report),
            _ => None,
        });
        in_flight.into_iter().chain(&self.reports).cloned().collect()
    }

    /// Withdraws a claim that has not been sent; returns whether it was still here.
    pub(crate) fn withdraw(&mut self, key: &ClaimKey, by: AttemptId) -> bool {
        let before = self.claims.len();
        self.claims.retain(|event| {
            !matches!(event, ClaimEvent::Take { key: k, attempt, .. } if k == key && *attempt == by)
        });
        self.claims.len() < before
    }

    /// Returns the next append, if one may be sent now.
    pub(crate) fn next(
        &mut self,
        now: ClockTime,
        side: &SideId,
        fence: FencingNumber,
    ) -> Option<(u64, LogRecord)> {
        if self.in_flight.as_ref().is_some_and(|flight| now > flight.sent + ANSWER_TIMEOUT) {
            self.give_back(now);
        }
        let too_soon = self.last_append_id > 0 && now < self.last_sent + self.distance;
        if self.in_flight.is_some() || now < self.retry_at || too_soon {
            return None;
        }
        let record = self.next_record(side, fence)?;
        self.last_append_id += 1;
        self.last_sent = now;
        self.in_flight =
            Some(InFlight { append_id: self.last_append_id, record: record.clone(), sent: now });
        Some((self.last_append_id, record))
    }

    /// Notes the answer to an append. What was not confirmed is sent again, which is harmless.
    pub(crate) fn answered(&mut self, now: ClockTime, append_id: u64, confirmed: bool) {
        if self.in_flight.as_ref().is_none_or(|flight| flight.append_id != append_id) {
            return;
        }
        if confirmed {
            self.in_flight = None;
        } else {
            self.give_back(now);
        }
    }

    /// Shares the log's append rate among all sides that append.
    pub(crate) fn share_rate(&mut self, sides: usize) {
        self.distance = Duration::from_secs_f64(sides as f64 / APPENDS_PER_SECOND);
    }

    /// Counts an append as confirmed once the log shows all of its effects.
    ///
    /// An append whose answer is lost would otherwise hold up those behind it.
    pub(crate) fn settle(&mut self, fold: &FleetFold) {
        let shown = self.in_flight.as_ref().is_some_and(|flight| match &flight.record {
            LogRecord::Claims(batch) => {
                batch.events.iter().all(|event| fold.claims().is_settled(event))
            }
            LogRecord::Suspects(report) => fold.result(&report.change).is_some(),
            _ => false,
        });
        if shown {
            self.in_flight = None;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.claims.is_empty()
            && self.unsure.is_empty()
            && self.reports.is_empty()
            && self.in_flight.is_none()
    }

    fn next_record(&mut self, side: &SideId, fence: FencingNumber) -> Option<LogRecord> {
        if !self.unsure.is_empty() {
            let events = std::mem::take(&mut self.unsure);
            return Some(LogRecord::Claims(ClaimBatch { side: side.clone(), fence, events }));
        }
        if !self.claims.is_empty() {
            let count = self.claims.len().min(MAX_BATCH);
            let events = self.claims.drain(..count).collect();
            return Some(LogRecord::Claims(ClaimBatch { side: side.clone(), fence, events }));
        }
        if self.reports.is_empty() {
            return None;
        }
        Some(LogRecord::Suspects(self.reports.remove(0)))
    }

    fn give_back(&mut self, now: ClockTime) {
        let Some(flight) = self.in_flight.take() else { return };
        self.retry_at = now + RETRY_DELAY;
        match flight.record {
            LogRecord::Claims(batch) => self.unsure = batch.events,
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
