//! Guards against engines that stay idle after their switch, because the entry that ordered it is
//! cut off from the store and goes on to report them as switching.

mod support;

use std::time::Duration;

use sapphirewell::direct::{DirectEvent, LoadReport, RetryPolicy, TargetStage};
use support::direct::DirectRig;
use yare::parameterized;

/// Time between two reports of the entry that is cut off.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

fn report_switching(rig: &mut DirectRig, sequence: u64) {
    rig.step(DirectEvent::PeerLoad(LoadReport {
        peer: "holder".into(),
        instance: 1,
        sequence,
        full: true,
        targets: vec![],
        cached: vec![],
        suspects: vec![],
        limits: vec![],
        demand: vec![],
        claim: Some(1),
        usage_claim: None,
        scale_claim: None,
        leaving: vec![],
        switching: vec!["switched".into()],
    }));
}

/// An engine is reported as switching for 8 s; the list shows its new stage after 4 s, or not.
#[parameterized(
    the_list_shows_its_new_stage = { true, "switched" },
    the_list_does_not = { false, "busy" },
)]
fn prompts_go_to_a_switched_engine(listed: bool, placed: &str) {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    rig.list("busy", TargetStage::Prefill);
    rig.list("decode", TargetStage::Decode);
    rig.list("switched", TargetStage::Decode);
    for sequence in 1..=40 {
        rig.advance(REPORT_INTERVAL);
        report_switching(&mut rig, sequence);
        if sequence == 20 && listed {
            rig.relist("switched", TargetStage::Prefill);
        }
    }
    rig.add_load("busy", 15_000);
    assert_eq!(&*rig.submit_tokens(1, 12_000, Duration::from_secs(5), None).call().target, placed);
}
