//! Decode engines stood idle while prompts waited at prefill engines: a prefill there was taken to
//! make streams late by numbers that were those of another kind of engine.

mod support;

use sapphirewell::direct::{
    CallStep, EngineConfig, InFlight, RetryPolicy, TargetStage, TargetUsage,
};
use support::direct::{DirectRig, ENGINE};
use yare::parameterized;

/// Prompt longer than an engine prefills within one event.
const PROMPT: u32 = 4_000;
const CALLER_TIME: std::time::Duration = std::time::Duration::from_secs(5);
const PREFILL_RATE: f32 = 50_000.0;
/// Tokens that wait at the prefill engine: 0.9 s of its work.
const BACKLOG: u32 = 45_000;

fn usage(target: &str, backlog: u32, prefill_rate: f32) -> TargetUsage {
    let mut in_flight = InFlight::default();
    in_flight.backlog.add(0, backlog);
    TargetUsage { target: target.into(), in_flight, prefill_rate, samples: 10 }
}

/// 150 ms may pass between two events, and a decode engine prefills 256 tokens between two
/// output tokens.
#[parameterized(
    few_tokens_in_an_event = { 8.0, 15_000.0, true },
    many_tokens_in_an_event = { 12.0, 15_000.0, false },
    many_at_a_fast_engine = { 12.0, 30_000.0, true },
)]
fn a_decode_engine_prefills_a_long_prompt_if_its_streams_stay_in_time(
    event_tokens: f32,
    decode_rate: f32,
    at_decode_engine: bool,
) {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.configure_engines(2, EngineConfig { event_tokens, ..ENGINE });
    rig.list("prefill", TargetStage::Prefill);
    rig.list("decode", TargetStage::Decode);
    let usages = vec![usage("prefill", BACKLOG, PREFILL_RATE), usage("decode", 0, decode_rate)];
    rig.hear_of("peer", usages);
    let call = rig.submit_tokens(1, PROMPT, CALLER_TIME, None).call();
    let (target, step) = match at_decode_engine {
        true => ("decode", CallStep::Run),
        false => ("prefill", CallStep::Prefill),
    };
    assert_eq!((&*call.target, call.step), (target, step));
}
