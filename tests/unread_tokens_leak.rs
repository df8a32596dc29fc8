//! A stream that breaks during prefill must free its pending prefill tokens.
//!
//! They used to stay counted for ever, so that the target looked busy and requests were refused.

mod support;

use sapphirewell::{
    frame::SideFrame,
    side::{SideAction, SideEvent, TargetEvent, TargetFailure},
};
use support::SideHarness;

#[test]
fn a_broken_stream_frees_its_pending_prefill_tokens() {
    let mut harness = SideHarness::with_engine();
    let attempt = harness.place_completion(1, 2000);
    let failure = TargetFailure::Broken;
    harness.target(TargetEvent::Failed { attempt, failure });
    harness.target(TargetEvent::Report(support::report(1)));
    let actions = harness.tick_for(std::time::Duration::from_millis(400));
    let loads = actions.iter().rev().find_map(|action| match action {
        SideAction::Send { frame: SideFrame::Load(loads), .. } => Some(loads.clone()),
        _ => None,
    });
    assert!(loads.unwrap()[0].waiting_tokens.is_empty());
    harness.event(SideEvent::Tick);
}
