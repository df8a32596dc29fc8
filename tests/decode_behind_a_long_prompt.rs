//! Decodes went to engines that prefilled long prompts themselves, and waited for these: 1.1 s
//! behind 26,540 tokens, where 6 ms were expected.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    CallOutcome, DirectAction, DirectEvent, InFlight, RetryPolicy, TargetStage, TargetUsage,
};
use support::direct::DirectRig;

const LONG_PROMPT: u32 = 26_540;
const PROMPT: u32 = 14_000;
const CALLER_TIME: Duration = Duration::from_secs(5);

fn usage(target: &str, running: u32, prefill: u32) -> TargetUsage {
    let mut in_flight = InFlight { running, ..InFlight::default() };
    in_flight.backlog.add(1, prefill);
    TargetUsage { target: target.into(), in_flight, ..TargetUsage::default() }
}

#[test]
fn decode_goes_where_no_long_prompt_is_prefilled() {
    for number in 0..8 {
        let mut rig = DirectRig::named(RetryPolicy::Never, number);
        rig.list("prefill", TargetStage::Prefill);
        rig.list("prefilling", TargetStage::Decode);
        rig.list("decoding", TargetStage::Decode);
        rig.hear_of("peer", vec![usage("prefilling", 1, LONG_PROMPT), usage("decoding", 12, 0)]);
        let prefill = rig.submit_tokens(1, PROMPT, CALLER_TIME, None).call();
        assert_eq!(&*prefill.target, "prefill");
        let handle = CallOutcome::Prefilled { handle: "h".into() };
        let decode = rig.end(1, prefill.number, handle);
        let target = decode.iter().find_map(|action| match action {
            DirectAction::Call { target, .. } => Some(target.id.to_string()),
            _ => None,
        });
        assert_eq!(target.as_deref(), Some("decoding"));
    }
}

/// Engines were taken for twice as fast as all others of their stage until they were timed
/// themselves.
#[test]
fn engine_without_samples_has_the_rate_of_its_stage() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("timed", TargetStage::Decode);
    let first = rig.submit_tokens(1, PROMPT, CALLER_TIME, None).call();
    rig.end(1, first.number, CallOutcome::Answered { success: true });
    rig.advance(Duration::from_secs(1));
    rig.step(DirectEvent::FirstOutput { flow: 1 });
    rig.list("new", TargetStage::Decode);
    rig.hear_of("peer", vec![usage("timed", 0, PROMPT)]);
    let second = rig.submit_tokens(2, PROMPT / 2, CALLER_TIME, None).call();
    assert_eq!(&*second.target, "new");
    let open = rig.machine.trace(rig.now(), 2).unwrap().calls.concat();
    let estimate = open.split("estimated ").nth(1).and_then(|rest| rest.split("ms").next());
    let estimate: u64 = estimate.unwrap().parse().unwrap();
    // 7,000 tokens at 14,000 a second.
    assert!((490..=560).contains(&estimate), "{open}");
}
