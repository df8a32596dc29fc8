//! An entry that heard of nothing for a few seconds let streams of a version that it did not
//! know go on at the one that it knew.

mod support;

use std::time::Duration;

use sapphirewell::direct::{DirectAction, DirectEvent, RetryPolicy, TargetStage};
use support::direct::DirectRig;
use yare::parameterized;

#[parameterized(
    half_a_second = { Duration::from_millis(500) },
    one_second = { Duration::from_secs(1) },
    two_seconds = { Duration::from_secs(2) },
    less_than_three = { Duration::from_millis(2500) },
)]
fn a_stream_is_not_placed_by_an_old_list(age: Duration) {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    rig.list("v1-0", TargetStage::Decode);
    rig.advance(Duration::from_secs(10));
    rig.list("v1-1", TargetStage::Decode);
    for number in 0..4 {
        rig.hear_of(&format!("peer-{number}"), Vec::new());
    }
    rig.advance(age);
    let mut actions = rig.submit_resumed(1, Some("begun-at-v2")).actions();
    for _ in 0..50 {
        rig.advance(Duration::from_millis(40));
        actions.extend(rig.step(DirectEvent::Tick));
    }
    let calls = actions.iter().filter(|action| matches!(action, DirectAction::Call { .. }));
    assert_eq!(calls.count(), 0, "{actions:?}");
}
