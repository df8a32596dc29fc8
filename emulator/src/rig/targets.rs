//! Simulated engines and plain services as the sides see them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sapphirewell::{
    claim::ServiceAnswer,
    frame::{AttemptWork, PlaceFrame},
    ids::{AttemptId, ClockTime, FencingToken, LogOffset},
    process::target::run_id,
    record::EngineRole,
    side::{TargetEvent, TargetFailure, TargetReport},
};

use super::{
    FaultSite, ProtocolStep, Rig, RigEvent,
    nodes::{NodeId, NodeState},
};
use crate::{
    engine::{self, EngineModel, EngineOutput, EngineRun, EngineWork, RunKey},
    service::ServiceModel,
};

/// An engine's model with the attempts that it runs.
pub(crate) struct EngineTarget {
    pub(crate) model: EngineModel,
    owners: BTreeMap<RunKey, RunOwner>,
    run_keys: BTreeMap<AttemptId, RunKey>,
    next_run_key: RunKey,
    wake: Option<ClockTime>,
    /// Whether the responses to role-change orders are lost; the orders still take effect.
    pub(crate) lose_order_responses: bool,
}

#[derive(Clone)]
struct RunOwner {
    attempt: AttemptId,
    incarnation: u64,
    prompt_hash: u64,
}

/// A plain service's runner, which counts its effects by key.
pub(crate) struct ServiceTarget {
    pub(crate) model: ServiceModel,
    pub(crate) boot: u64,
    pub(crate) down_until: ClockTime,
}

/// A call in flight at a plain service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceCall {
    attempt: AttemptId,
    key: Option<String>,
    content: Arc<str>,
    incarnation: u64,
    boot: u64,
}

/// Request of a side to its target.
#[derive(Debug, Clone)]
pub(crate) enum TargetAction {
    Start { place: Arc<PlaceFrame> },
    Cancel { attempt: AttemptId },
    ChangeRole { fence: FencingToken, plan: LogOffset, role: EngineRole },
    Report,
}

impl EngineTarget {
    pub(super) fn new(model: EngineModel) -> EngineTarget {
        EngineTarget {
            model,
            owners: BTreeMap::new(),
            run_keys: BTreeMap::new(),
            next_run_key: 0,
            wake: None,
            lose_order_responses: false,
        }
    }
}

impl ServiceTarget {
    pub(super) fn new(model: ServiceModel) -> ServiceTarget {
        ServiceTarget { model, boot: 1, down_until: ClockTime::ZERO }
    }
}

impl Rig {
    pub(super) fn target_action(&mut self, side: usize, incarnation: u64, action: TargetAction) {
        let engines = self.engines.len();
        if side < engines {
            self.engine_action(side, incarnation, action);
        } else {
            self.service_action(side, incarnation, action);
        }
    }

    fn engine_action(&mut self, index: usize, incarnation: u64, action: TargetAction) {
        let now = self.now;
        match action {
            TargetAction::Start { place } => self.start_run(index, incarnation, &place),
            TargetAction::Cancel { attempt } => {
                let target = &mut self.engines[index];
                if let Some(key) = target.run_keys.remove(&attempt) {
                    target.model.cancel(key);
                    target.owners.remove(&key);
                }
            }
            TargetAction::ChangeRole { fence, plan, role } => {
                self.check_role_order(index, fence);
                let mut outputs = Vec::new();
                let accepted =
                    self.engines[index].model.order(now, fence, plan, role, &mut outputs);
                if accepted {
                    self.mark_step(
                        ProtocolStep::OrderAccepted,
                        FaultSite { entry: 0, side: index },
                    );
                }
                self.engine_outputs(index, outputs);
                if !self.engines[index].lose_order_responses {
                    self.notify_side(
                        index,
                        incarnation,
                        TargetEvent::RoleChangeAnswered { plan, accepted },
                    );
                }
            }
            TargetAction::Report => {
                let target = &mut self.engines[index];
                let event = match target.model.is_up(now) {
                    true => TargetEvent::Report(target.model.report(now)),
                    false => TargetEvent::Down,
                };
                self.notify_side(index, incarnation, event);
            }
        }
        self.wake_engine(index);
    }

    fn start_run(&mut self, index: usize, incarnation: u64, place: &PlaceFrame) {
        let attempt = place.attempt;
        if let AttemptWork::Decode { source, handle } = &place.work
            && !self.has_cache(source, *handle)
        {
            self.notify_side(
                index,
                incarnation,
                TargetEvent::Failed { attempt, failure: TargetFailure::Refused },
            );
            return;
        }
        let prompt_hash = engine::prompt_hash(&place.content);
        let target = &mut self.engines[index];
        target.next_run_key += 1;
        let key = target.next_run_key;
        let run = EngineRun {
            key,
            work: match place.work {
                AttemptWork::Prefill => EngineWork::Prefill,
                AttemptWork::Decode { .. } => EngineWork::Decode,
                AttemptWork::Complete | AttemptWork::Call => EngineWork::Complete,
            },
            prompt_tokens: place.prompt_tokens,
            prefixes: place.prefixes.to_vec(),
            output_tokens: engine::output_tokens(prompt_hash, place.max_output_tokens),
            priority: place.priority,
            resume_chunks: place.resume_chunks,
            poison: place.content.contains("POISON"),
        };
        let up = target.model.is_up(self.now);
        if target.model.submit(self.now, run) {
            target.owners.insert(key, RunOwner { attempt, incarnation, prompt_hash });
            target.run_keys.insert(attempt, key);
        } else {
            let failure = if up { TargetFailure::Refused } else { TargetFailure::NotReached };
            self.notify_side(index, incarnation, TargetEvent::Failed { attempt, failure });
        }
    }

    fn has_cache(&self, engine: &str, handle: RunKey) -> bool {
        self.engines
            .iter()
            .any(|target| target.model.profile().name == engine && target.model.holds(handle))
    }

    pub(super) fn engine_wake(&mut self, index: usize) {
        if self.engines[index].wake.is_some_and(|wake| wake <= self.now) {
            self.engines[index].wake = None;
        }
        let mut outputs = Vec::new();
        self.engines[index].model.advance(self.now, &mut outputs);
        self.engine_outputs(index, outputs);
        self.wake_engine(index);
    }

    fn wake_engine(&mut self, index: usize) {
        let Some(next) = self.engines[index].model.next_wake() else { return };
        let next = next.max(self.now);
        if self.engines[index].wake.is_none_or(|wake| wake > next) {
            self.engines[index].wake = Some(next);
            self.schedule(next, RigEvent::EngineWake { engine: index });
        }
    }

    fn engine_outputs(&mut self, index: usize, outputs: Vec<EngineOutput>) {
        for output in outputs {
            match output {
                EngineOutput::PrefillDone(key) => {
                    self.mark_step(ProtocolStep::PrefillDone, FaultSite { entry: 0, side: index });
                    self.notify_owner(index, key, false, |owner| TargetEvent::PrefillDone {
                        attempt: owner.attempt,
                    });
                }
                EngineOutput::Chunk { key, index: chunk, tokens } => {
                    self.notify_owner(index, key, false, |owner| TargetEvent::Chunk {
                        attempt: owner.attempt,
                        index: chunk,
                        tokens,
                        text: engine::chunk_text(owner.prompt_hash, chunk, tokens).into(),
                    });
                }
                EngineOutput::Done { key, chunks, tokens } => {
                    self.mark_step(ProtocolStep::StreamDone, FaultSite { entry: 0, side: index });
                    self.notify_owner(index, key, true, |owner| TargetEvent::Finished {
                        attempt: owner.attempt,
                        chunks,
                        tokens,
                    });
                }
                EngineOutput::CacheReady(key) => self.notify_owner(index, key, true, |owner| {
                    TargetEvent::CacheReady { attempt: owner.attempt, handle: key }
                }),
                EngineOutput::Lost(key) => self.notify_owner(index, key, true, |owner| {
                    TargetEvent::Failed { attempt: owner.attempt, failure: TargetFailure::Broken }
                }),
                EngineOutput::Crashed => {
                    self.count_crash(index);
                    self.break_runs(index);
                }
            }
        }
    }

    fn notify_owner(
        &mut self,
        index: usize,
        key: RunKey,
        last: bool,
        event: impl FnOnce(&RunOwner) -> TargetEvent,
    ) {
        let Some(owner) = self.engines[index].owners.get(&key).cloned() else { return };
        if last {
            self.engines[index].owners.remove(&key);
        }
        self.notify_side(index, owner.incarnation, event(&owner));
    }

    /// Fails all runs of an engine, as their connections break.
    fn break_runs(&mut self, index: usize) {
        let owners: Vec<RunOwner> =
            std::mem::take(&mut self.engines[index].owners).into_values().collect();
        self.engines[index].run_keys.clear();
        for owner in owners {
            let event =
                TargetEvent::Failed { attempt: owner.attempt, failure: TargetFailure::Broken };
            self.notify_side(index, owner.incarnation, event);
        }
    }

    pub(super) fn crash_engine(&mut self, index: usize, down: Duration) {
        self.engines[index].model.crash(self.now, down);
        self.break_runs(index);
        self.wake_engine(index);
    }

    /// Breaks the stream of an engine's oldest run without a crash.
    pub(super) fn drop_stream(&mut self, index: usize) {
        let Some(key) = self.engines[index].owners.keys().min().copied() else { return };
        self.notify_owner(index, key, true, |owner| TargetEvent::Failed {
            attempt: owner.attempt,
            failure: TargetFailure::Broken,
        });
        self.engines[index].model.cancel(key);
    }

    /// Ends the stream of an engine's oldest run early, as if it were complete.
    pub(super) fn end_stream_early(&mut self, index: usize) {
        let Some(key) = self.engines[index].owners.keys().min().copied() else { return };
        let short = |owner: &RunOwner| TargetEvent::Finished {
            attempt: owner.attempt,
            chunks: u32::MAX,
            tokens: 1,
        };
        self.notify_owner(index, key, true, short);
        self.engines[index].model.cancel(key);
    }

    /// Cancels the runs of a side whose process ended, as its connections are closed.
    pub(super) fn cancel_runs_of_side(&mut self, side: usize) {
        if side >= self.engines.len() {
            return;
        }
        let target = &mut self.engines[side];
        let keys: Vec<RunKey> = std::mem::take(&mut target.owners).into_keys().collect();
        for key in keys {
            target.model.cancel(key);
        }
        target.run_keys.clear();
    }

    fn service_action(&mut self, side: usize, incarnation: u64, action: TargetAction) {
        let index = side - self.engines.len();
        let up = self.now >= self.services[index].down_until;
        match action {
            TargetAction::Start { place } if up => {
                let call = ServiceCall {
                    attempt: place.attempt,
                    key: place.key.as_ref().map(|key| format!("{}/{key}", place.customer)),
                    content: place.content.clone(),
                    incarnation,
                    boot: self.services[index].boot,
                };
                let call_time = self.services[index].model.call_time;
                self.schedule_after(call_time, RigEvent::ServiceDone { service: index, call });
            }
            TargetAction::Start { place } => {
                let event = TargetEvent::Failed {
                    attempt: place.attempt,
                    failure: TargetFailure::NotReached,
                };
                self.notify_side(side, incarnation, event);
            }
            TargetAction::Report if up => {
                let boot = self.services[index].boot;
                let report = TargetReport {
                    boot,
                    role: None,
                    changing: false,
                    fence: 0,
                    cached: Vec::new(),
                };
                self.notify_side(side, incarnation, TargetEvent::Report(report));
            }
            TargetAction::Report => self.notify_side(side, incarnation, TargetEvent::Down),
            TargetAction::Cancel { .. } | TargetAction::ChangeRole { .. } => {}
        }
    }

    pub(super) fn service_done(&mut self, service: usize, call: ServiceCall) {
        let side = self.engines.len() + service;
        if self.services[service].boot != call.boot {
            // A crash leaves open whether the call took effect; the parity of its sequence decides.
            if call.attempt.request.sequence.is_multiple_of(2)
                && let Some(key) = &call.key
            {
                self.services[service].model.run(key, &run_id(call.attempt));
                self.rule_checker.record_effect(call.attempt);
            }
            let event =
                TargetEvent::Failed { attempt: call.attempt, failure: TargetFailure::Broken };
            self.notify_side(side, call.incarnation, event);
            return;
        }
        let body = match &call.key {
            Some(key) => {
                self.rule_checker.record_effect(call.attempt);
                self.services[service].model.run(key, &run_id(call.attempt))
            }
            None => call.content.to_string(),
        };
        self.mark_step(ProtocolStep::CallAnswered, FaultSite { entry: 0, side });
        let answer = ServiceAnswer { status: 200, body };
        self.notify_side(
            side,
            call.incarnation,
            TargetEvent::Answered { attempt: call.attempt, answer },
        );
    }

    pub(super) fn crash_service(&mut self, index: usize, down: Duration) {
        let target = &mut self.services[index];
        target.boot += 1;
        target.down_until = self.now + down;
    }

    pub(super) fn is_running(&self, node: NodeId) -> bool {
        self.base(node).state == NodeState::Running
    }
}
