//! Guards against a side that never learns its fencing token, and so serves nothing, because the
//! state that it copied from a peer already holds its attachment.

mod support;

use sapphirewell::side::{QueueOrder, SideAction, SideEvent, SideMachine, SideSettings};
use support::SideHarness;

#[test]
fn side_finds_its_attachment_in_a_copied_state() {
    let peer = SideHarness::with_service();
    let targets = peer.fleet.view().sides["side"].attachment.targets.clone();
    let settings = SideSettings {
        side: "side".into(),
        instance: peer.instance,
        vm: "vm".into(),
        targets,
        queue_order: QueueOrder::Fair,
    };
    let mut machine = SideMachine::new(settings);
    let mut actions = Vec::new();
    machine.step(peer.now, &peer.fleet, SideEvent::LinkUp { link: 1 }, &mut actions);
    machine.step(peer.now, &peer.fleet, SideEvent::LogAdvanced, &mut actions);
    let welcomed = actions.iter().any(|action| matches!(action, SideAction::Send { .. }));
    assert!(welcomed, "{actions:?}");
    assert!(machine.is_open(&peer.fleet));
}
