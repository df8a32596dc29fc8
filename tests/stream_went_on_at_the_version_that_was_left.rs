//! All entries started after the last target of a version had left, and streams that had begun
//! there went on at the version that was left.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    DirectAction, DirectEvent, DirectTarget, RetryPolicy, StreamMessage, TargetChange, TargetStage,
};
use support::direct::DirectRig;
use yare::parameterized;

const STREAM: &str = "begun-at-v1";

/// Returns an entry that has just started, and lists two engines of the second version only.
fn started_entry() -> DirectRig {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    for number in 0..2 {
        let target = rig.target(&format!("v2-{number}"), TargetStage::Decode);
        let target = DirectTarget { version: "v2".into(), ..target };
        rig.step(DirectEvent::Target(TargetChange::Listed(target)));
    }
    rig
}

#[parameterized(
    alone_at_once = { Duration::from_millis(200), false },
    alone_later = { Duration::from_secs(2), false },
    beside_a_peer_at_once = { Duration::from_millis(200), true },
    beside_a_peer_later = { Duration::from_secs(2), true },
)]
fn a_stream_from_before_the_start_is_not_placed(age: Duration, has_peer: bool) {
    let mut rig = started_entry();
    rig.advance(age);
    if has_peer {
        rig.hear_of("peer", Vec::new());
    }
    let mut actions = rig.submit_resumed(1, Some(STREAM)).actions();
    if has_peer {
        let message = StreamMessage::Unknown(STREAM.into());
        actions.extend(rig.step(DirectEvent::StreamMessage { peer: "peer".into(), message }));
    }
    for _ in 0..50 {
        rig.advance(Duration::from_millis(40));
        actions.extend(rig.step(DirectEvent::Tick));
    }
    let calls = actions.iter().filter(|action| matches!(action, DirectAction::Call { .. }));
    assert_eq!(calls.count(), 0, "{actions:?}");
}
