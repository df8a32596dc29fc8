//! Engines prefilled long shared segments that other engines had in their caches.

mod support;

use std::time::Duration;

use hyper::{HeaderMap, Request};
use sapphirewell::{
    direct::{
        CachedSegment, CallOutcome, CallStep, DirectEvent, DirectTarget, EngineConfig, InFlight,
        LoadReport, PromptSegment, PromptShape, RetryPolicy, TargetChange, TargetStage,
        TargetUsage,
    },
    platform::runner::call_request,
};
use support::direct::{DirectRig, ENGINE};
use yare::parameterized;

const SEGMENT: u64 = 7;
const SHARED_TOKENS: u32 = 13_300;
const OWN_TOKENS: u32 = 100;
/// Prompt tokens that are prefilled before a new one at the engine that has the segment, which
/// take longer than the prefill of the whole prompt elsewhere.
const LONG_QUEUE: u32 = 60_000;

/// Engine `keeper` has a long segment in its cache, engine `other` does not.
struct CopyCase {
    /// Prompt tokens that are queued at `keeper`.
    queued: u32,
    /// Stage of both engines.
    stage: TargetStage,
    /// Software version of `other`; `keeper` has "v1".
    version: &'static str,
    engine: EngineConfig,
    segment_tokens: u32,
    /// Where the prompt is prefilled, and whether it copies the segment.
    placed: (&'static str, bool),
}

impl CopyCase {
    const BUSY: CopyCase = CopyCase {
        queued: LONG_QUEUE,
        stage: TargetStage::Prefill,
        version: "v1",
        engine: ENGINE,
        segment_tokens: SHARED_TOKENS,
        placed: ("other", true),
    };
}

fn rig_with_a_keeper(case: &CopyCase) -> DirectRig {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.configure_engines(2, case.engine.clone());
    rig.list("keeper", case.stage);
    let other = rig.target("other", case.stage);
    let other = DirectTarget { version: case.version.into(), ..other };
    rig.step(DirectEvent::Target(TargetChange::Listed(other)));
    if case.stage == TargetStage::Prefill {
        // Another software version, so that it cannot copy the segment itself.
        let decoder = rig.target("decoder", TargetStage::Decode);
        let decoder = DirectTarget { version: "v9".into(), ..decoder };
        rig.step(DirectEvent::Target(TargetChange::Listed(decoder)));
    }
    rig.add_load("keeper", case.queued);
    let segment = PromptSegment { id: SEGMENT, tokens: case.segment_tokens };
    let cached = vec![CachedSegment { target: "keeper".into(), segment }];
    rig.step(DirectEvent::PeerLoad(LoadReport { cached, ..empty_report() }));
    rig
}

fn empty_report() -> LoadReport {
    LoadReport {
        peer: "peer".into(),
        instance: 1,
        sequence: 1,
        full: true,
        targets: Vec::new(),
        cached: Vec::new(),
        suspects: Vec::new(),
        limits: Vec::new(),
        demand: Vec::new(),
        leaving: Vec::new(),
        claim: None,
        usage_claim: None,
        scale_claim: None,
        switching: Vec::new(),
    }
}

#[parameterized(
    keeper_busy = { CopyCase::BUSY },
    keeper_idle = { CopyCase { queued: 0, placed: ("keeper", false), ..CopyCase::BUSY } },
    other_software_version = { CopyCase {
        stage: TargetStage::Decode,
        version: "v2",
        placed: ("other", false),
        ..CopyCase::BUSY
    } },
    both_decode = { CopyCase { stage: TargetStage::Decode, ..CopyCase::BUSY } },
    // 13,300 tokens take 17 s over this link.
    slow_link = { CopyCase {
        stage: TargetStage::Decode,
        engine: EngineConfig { link_bits: 1.0e9, ..ENGINE },
        placed: ("other", false),
        ..CopyCase::BUSY
    } },
    link_of_unknown_speed = { CopyCase {
        stage: TargetStage::Decode,
        engine: EngineConfig { link_bits: 0.0, ..ENGINE },
        placed: ("other", false),
        ..CopyCase::BUSY
    } },
    short_segment = { CopyCase { segment_tokens: 1_000, placed: ("other", false), ..CopyCase::BUSY } },
)]
fn segment_is_copied_where_that_is_faster(case: CopyCase) {
    let mut rig = rig_with_a_keeper(&case);
    let call = rig.submit_prompt(1, SEGMENT, case.segment_tokens + OWN_TOKENS).call();
    let source = case.placed.1.then(|| rig.address("keeper"));
    assert_eq!((&*call.target, call.copy_source), (case.placed.0, source));
}

/// The copy leaves the segment at both engines, and the tokens that were copied do not count as
/// prefill that others wait for.
#[test]
fn copied_segment_is_cached_at_both_engines() {
    let mut rig = rig_with_a_keeper(&CopyCase::BUSY);
    let call = rig.submit_prompt(1, SEGMENT, SHARED_TOKENS + OWN_TOKENS).call();
    let usage = rig.report().targets.into_iter().find(|usage| usage.target == call.target).unwrap();
    assert_eq!(usage.in_flight.backlog.tokens_ahead(9), OWN_TOKENS);
    rig.advance(Duration::from_millis(30));
    rig.end(1, call.number, CallOutcome::Prefilled { handle: "h".into() });
    let next = rig.submit_prompt(2, SEGMENT, SHARED_TOKENS + OWN_TOKENS).call();
    assert_eq!((&*next.target, next.copy_source), ("other", None));
}

/// An engine whose connections fail or that does not respond is not copied from. One that has too
/// much to do still is.
#[parameterized(
    unreachable = { CallOutcome::Unreachable, false },
    hung = { CallOutcome::Lost { closed: false }, false },
    closed = { CallOutcome::Lost { closed: true }, false },
    wrong_target = { CallOutcome::WrongTarget, false },
    declined = { CallOutcome::Declined, true },
)]
fn engine_that_fails_is_no_source(outcome: CallOutcome, is_source: bool) {
    let mut rig = rig_with_a_keeper(&CopyCase { queued: 0, ..CopyCase::BUSY });
    let call = rig.submit_prompt(1, SEGMENT, SHARED_TOKENS + OWN_TOKENS).call();
    assert_eq!(&*call.target, "keeper");
    let again = rig.after(DirectEvent::CallEnded { flow: 1, call: call.number, outcome });
    let again = again.call();
    let source = is_source.then(|| rig.address("keeper"));
    assert_eq!((&*again.target, again.copy_source), ("other", source));
}

/// How long the prefill with a copy takes at an idle engine, where it takes 60 ms with the copy
/// and 220 ms without it, and whether `keeper` is taken to have the segment afterwards.
#[parameterized(
    copied = { 60, true },
    slower_than_expected = { 130, true },
    prefilled_whole = { 230, false },
    // Another entry's prompts were ahead.
    waited = { 900, true },
)]
fn source_that_copied_nothing_is_forgotten(millis: u64, has_segment: bool) {
    let mut rig = rig_with_a_keeper(&CopyCase::BUSY);
    let call = rig.submit_prompt(1, SEGMENT, SHARED_TOKENS + OWN_TOKENS).call();
    rig.advance(Duration::from_millis(millis));
    rig.end(1, call.number, CallOutcome::Prefilled { handle: "h".into() });
    rig.step(DirectEvent::Target(TargetChange::Removed("other".into())));
    rig.list("third", TargetStage::Prefill);
    let next = rig.submit_prompt(2, SEGMENT, SHARED_TOKENS + OWN_TOKENS).call();
    let source = has_segment.then(|| rig.address("keeper"));
    assert_eq!(next.copy_source, source);
}

/// In a release, an engine of the next version has more of the prompt than `keeper`.
#[test]
fn holder_of_another_version_hides_none() {
    let mut rig = rig_with_a_keeper(&CopyCase::BUSY);
    let newer = rig.target("newer", TargetStage::Decode);
    let newer = DirectTarget { version: "v2".into(), ..newer };
    rig.step(DirectEvent::Target(TargetChange::Listed(newer)));
    rig.add_load("newer", LONG_QUEUE);
    let [first, second, own] = [(SEGMENT, SHARED_TOKENS), (8, 2_000), (9, OWN_TOKENS)]
        .map(|(id, tokens)| PromptSegment { id, tokens });
    let cached = [first, second].map(|segment| CachedSegment { target: "newer".into(), segment });
    let report = LoadReport { peer: "next".into(), cached: cached.into(), ..empty_report() };
    rig.step(DirectEvent::PeerLoad(report));
    let tokens = SHARED_TOKENS + 2_000 + OWN_TOKENS;
    let segments = [first, second, own].into_iter().collect();
    let call = rig.submit_shape(1, PromptShape { tokens, max_output: 120, segments }).call();
    assert_eq!((&*call.target, call.copy_source), ("other", Some(rig.address("keeper"))));
}

/// A third engine, at which a request is placed again that failed at `other`.
fn rig_with_a_third_engine() -> DirectRig {
    let mut rig = rig_with_a_keeper(&CopyCase::BUSY);
    rig.list("third", TargetStage::Prefill);
    rig
}

/// The source may have hung or restarted, so that it is not named again for the request.
#[parameterized(
    declined = { CallOutcome::Declined },
    lost = { CallOutcome::Lost { closed: false } },
    closed = { CallOutcome::Lost { closed: true } },
    unreachable = { CallOutcome::Unreachable },
    wrong_target = { CallOutcome::WrongTarget },
)]
fn source_of_a_failed_call_is_not_named_again(outcome: CallOutcome) {
    let mut rig = rig_with_a_third_engine();
    let call = rig.submit_prompt(1, SEGMENT, SHARED_TOKENS + OWN_TOKENS).call();
    assert_eq!(call.copy_source, Some(rig.address("keeper")));
    let failed = DirectEvent::CallEnded { flow: 1, call: call.number, outcome };
    let again = rig.after(failed).call();
    assert_ne!(again.target, call.target);
    assert_eq!(again.copy_source, None);
}

/// Has the call of a request declined while `keeper` is busy, and returns whether it was to copy.
/// The engine that declined is not paused any more by the next one.
fn decline_call(rig: &mut DirectRig, flow: u64) -> bool {
    rig.advance(Duration::from_millis(1_100));
    let mut in_flight = InFlight::default();
    in_flight.backlog.add(0, LONG_QUEUE);
    let usage = TargetUsage { target: "keeper".into(), in_flight, ..TargetUsage::default() };
    rig.hear_of(&format!("peer-{flow}"), vec![usage]);
    let call = rig.submit_prompt(flow, SEGMENT, SHARED_TOKENS + OWN_TOKENS).call();
    rig.end(flow, call.number, CallOutcome::Declined);
    rig.step(DirectEvent::FlowEnded { flow, complete: false });
    call.copy_source.is_some()
}

/// Calls with a copy from `keeper` that fail one after the other.
#[test]
fn source_that_fails_several_times_is_not_named_for_a_while() {
    let mut rig = rig_with_a_third_engine();
    let copied: Vec<bool> = (1..=6).map(|flow| decline_call(&mut rig, flow)).collect();
    assert_eq!(copied, [true, true, true, false, false, true]);
}

#[test]
fn call_names_the_engine_to_copy_from() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    let target = rig.target("other", TargetStage::Prefill);
    let (parts, ()) = Request::new(()).into_parts();
    let source = rig.address("other");
    let call = |source| {
        let step = CallStep::Prefill;
        let left = Duration::from_secs(1);
        call_request(&parts, &HeaderMap::new(), &target, &step, left, 1, source).unwrap()
    };
    let named = call(Some(source)).headers().get("kv-fetch").cloned();
    assert_eq!(named.unwrap(), source.to_string().as_str());
    assert!(!call(None).headers().contains_key("kv-fetch"));
}
