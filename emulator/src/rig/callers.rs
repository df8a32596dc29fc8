//! Simulated callers: their requests, responses and retries.

use std::{collections::BTreeMap, time::Duration};

use sapphirewell::{
    entry::EntryEvent,
    ids::{ClockTime, RequestId},
    request::{CallerRequest, FinalAnswer, PREFIX_BLOCK_TOKENS, RefusalReason},
};

use super::{
    LOG_EPOCH, NodeInput, Rig, RigEvent,
    nodes::{NodeId, NodeState},
};
use crate::{engine, workload::OfferedRequest};

const MAX_RETRIES: u32 = 6;
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Outcome of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerState {
    /// Not sent yet, or still waiting for the answer.
    Open,
    /// The complete answer arrived, this long after the request was first sent.
    Whole(Duration),
    /// The system refused the request.
    Refused {
        /// Reason given in the refusal.
        reason: RefusalReason,
        /// Whether the refusal guarantees that the request had no effect.
        not_run: bool,
    },
    /// The answer was incomplete or belonged to another request.
    Wrong,
    /// The connection broke, or no entry was ready.
    Cut,
}

/// One caller's request and its outcome.
#[derive(Debug, Clone)]
pub struct CallerRecord {
    /// The request as offered.
    pub request: OfferedRequest,
    /// Outcome of the latest attempt to send it.
    pub state: CallerState,
    /// Number of retries sent so far.
    pub retries: u32,
    /// Time from the first sending to the first output; `None` before any output.
    pub first_output: Option<Duration>,
    /// Whether the content carries the mark that crashes engines.
    pub poison: bool,
    first_sent: ClockTime,
    pub(super) last_sent: ClockTime,
    key: Option<String>,
    text: String,
}

/// All callers' records, and the requests in flight by identifier.
#[derive(Default)]
pub(crate) struct CallerTable {
    records: Vec<CallerRecord>,
    open: BTreeMap<RequestId, (usize, usize)>,
    clock: ClockTime,
    round_robin: usize,
}

impl CallerTable {
    pub(super) fn add(&mut self, request: OfferedRequest) -> usize {
        let poison = &*request.kind == "poison";
        self.records.push(CallerRecord {
            request,
            state: CallerState::Open,
            retries: 0,
            first_output: None,
            poison,
            first_sent: ClockTime::ZERO,
            last_sent: ClockTime::ZERO,
            key: None,
            text: String::new(),
        });
        self.records.len() - 1
    }

    pub(super) fn records(&self) -> &[CallerRecord] {
        &self.records
    }

    pub(super) fn append_chunk(&mut self, id: RequestId, text: &str) {
        let Some((caller, _)) = self.open.get(&id) else { return };
        let record = &mut self.records[*caller];
        record.text.push_str(text);
        if record.first_output.is_none() {
            record.first_output = Some(self.clock.saturating_sub(record.first_sent));
        }
    }

    pub(super) fn set_clock(&mut self, now: ClockTime) {
        self.clock = now;
    }
}

impl CallerRecord {
    /// Returns whether the complete answer arrived within the request's deadline.
    pub fn is_in_time(&self) -> bool {
        matches!(self.state, CallerState::Whole(took) if took <= self.request.deadline)
    }

    /// Returns the key under which a plain service counts the request's effect, or `None` if the
    /// request has no key or was not sent yet.
    pub fn effect_key(&self) -> Option<String> {
        self.key.as_ref().map(|key| format!("{}/{key}", self.request.customer))
    }

    fn content(&self, caller: usize) -> String {
        let mark = if self.poison { "POISON " } else { "" };
        format!("{mark}{} {caller}", self.request.kind)
    }

    fn expected_text(&self, caller: usize) -> String {
        crate::load::expected_text(&self.content(caller), self.request.max_output_tokens)
    }
}

impl Rig {
    pub(super) fn submit_request(&mut self, caller: usize, retry: u32) {
        self.callers.set_clock(self.now);
        let Some(entry) = self.ready_entry() else {
            self.callers.records[caller].state = CallerState::Cut;
            self.schedule_retry(caller, retry);
            return;
        };
        let key_time = (LOG_EPOCH + self.now).as_millis();
        let record = &mut self.callers.records[caller];
        if retry == 0 {
            record.first_sent = self.now;
            record.key = record.request.key.map(|number| format!("{key_time}-{number:016x}"));
        }
        record.retries = retry;
        record.last_sent = self.now;
        record.state = CallerState::Open;
        record.text.clear();
        let request = caller_request(record, caller);
        let id = self.entries[entry].machine.next_id();
        self.callers.open.insert(id, (caller, entry));
        let incarnation = self.entries[entry].base.incarnation;
        let input =
            NodeInput::Entry(Box::new(EntryEvent::Submit { id, request: Box::new(request) }));
        let event = RigEvent::Deliver { node: NodeId::Entry(entry), incarnation, input };
        self.schedule_after(self.settings.caller_delay, event);
    }

    /// Returns the next entry in round-robin order that the load balancer considers ready.
    fn ready_entry(&mut self) -> Option<usize> {
        let ready: Vec<usize> = (0..self.entries.len())
            .filter(|index| {
                let base = &self.entries[*index].base;
                let ready = self.entries[*index].machine.is_ready();
                base.state != NodeState::Ended && !base.draining && ready
            })
            .collect();
        if ready.is_empty() {
            return None;
        }
        self.callers.round_robin += 1;
        Some(ready[self.callers.round_robin % ready.len()])
    }

    pub(super) fn finish_request(&mut self, _entry: usize, id: RequestId, answer: FinalAnswer) {
        self.callers.set_clock(self.now);
        let Some((caller, _)) = self.callers.open.remove(&id) else { return };
        let arrived = self.now + self.settings.caller_delay;
        let record = &mut self.callers.records[caller];
        let took = arrived.saturating_sub(record.first_sent);
        record.state = match &answer {
            FinalAnswer::Completed { .. } if record.text == record.expected_text(caller) => {
                CallerState::Whole(took)
            }
            FinalAnswer::Completed { .. } => CallerState::Wrong,
            FinalAnswer::Answered(answer) => {
                let expected = record.effect_key().unwrap_or_else(|| record.content(caller));
                if answer.body.contains(&expected) {
                    CallerState::Whole(took)
                } else {
                    CallerState::Wrong
                }
            }
            FinalAnswer::Refused(refusal) => {
                CallerState::Refused { reason: refusal.reason, not_run: refusal.not_run }
            }
        };
        if let FinalAnswer::Refused(refusal) = &answer
            && refusal.not_run
        {
            self.rule_checker.record_not_run(id);
        }
        let retry = record.retries;
        if matches!(answer, FinalAnswer::Refused(_)) {
            self.schedule_retry(caller, retry);
        }
    }

    /// Schedules a retry of a request with a key or of a poison request, as real callers do.
    fn schedule_retry(&mut self, caller: usize, retry: u32) {
        let record = &self.callers.records[caller];
        let should_retry = record.request.key.is_some() || record.poison;
        if self.settings.callers_retry && should_retry && retry < MAX_RETRIES {
            self.schedule_after(RETRY_DELAY, RigEvent::SubmitRequest { caller, retry: retry + 1 });
        }
    }

    pub(super) fn disconnect_callers(&mut self, entry: usize) {
        let lost: Vec<(RequestId, usize)> = self
            .callers
            .open
            .iter()
            .filter(|(_, (_, at))| *at == entry)
            .map(|(id, (caller, _))| (*id, *caller))
            .collect();
        let mut lost = lost;
        lost.sort_unstable();
        for (id, caller) in lost {
            self.callers.open.remove(&id);
            let record = &mut self.callers.records[caller];
            record.state = CallerState::Cut;
            let retry = record.retries;
            self.schedule_retry(caller, retry);
        }
    }
}

fn caller_request(record: &CallerRecord, caller: usize) -> CallerRequest {
    let request = &record.request;
    let content = record.content(caller).into();
    let key = record.key.as_deref().map(Into::into);
    let mut built =
        CallerRequest::from_text(request.customer.clone(), request.kind.clone(), key, content);
    if !request.is_call {
        built.prompt_tokens = request.prompt_tokens;
        built.max_output_tokens = request.max_output_tokens;
        let blocks = (request.prefix_tokens / PREFIX_BLOCK_TOKENS)
            .min(sapphirewell::request::MAX_PREFIXES as u32);
        let name = format!("{} {} {}", request.customer, request.kind, request.prefix_group);
        let group = engine::prompt_hash(&name);
        built.prefixes = (0..blocks).map(|block| group.wrapping_add(u64::from(block))).collect();
    }
    built
}
