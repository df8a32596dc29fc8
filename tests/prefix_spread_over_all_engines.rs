//! In a burst each prefix went to whichever engine looked idlest, so that all entries chose the same
//! one and its cache kept nothing.

mod support;

use std::{collections::BTreeSet, time::Duration};

use sapphirewell::{
    direct::{
        CallOutcome, DirectAction, DirectEvent, InFlight, RetryPolicy, TargetStage, TargetUsage,
    },
    ids::TargetId,
};
use support::direct::DirectRig;
use yare::parameterized;

const ENTRIES: u64 = 40;
const ENGINES: usize = 12;
const PROMPT: u32 = 14_000;
const SEGMENT: u64 = 7;

/// Returns the rig of an entry that knows engines of both stages, of which one is reported as idle
/// and the others as loaded.
fn rig(number: u64, idle: usize) -> DirectRig {
    let mut rig = DirectRig::named(RetryPolicy::Never, number);
    let mut usages = Vec::new();
    for engine in 0..ENGINES {
        for stage in [TargetStage::Prefill, TargetStage::Decode] {
            let name = format!("{stage}-{engine}");
            rig.list(&name, stage);
            let busy = u32::from(engine != idle);
            let mut in_flight = InFlight { running: 4 * busy, ..InFlight::default() };
            in_flight.backlog.add(1, 15_000 * busy);
            usages.push(TargetUsage { target: name.into(), in_flight, ..TargetUsage::default() });
        }
    }
    rig.hear_of("peer", usages);
    rig
}

fn decode_target(actions: &[DirectAction]) -> Option<TargetId> {
    actions.iter().find_map(|action| match action {
        DirectAction::Call { target, .. } => Some(target.id.clone()),
        _ => None,
    })
}

#[parameterized(first_idle = { 0 }, fifth_idle = { 4 }, last_idle = { ENGINES - 1 })]
fn a_prefix_stays_at_few_engines_whichever_is_idle(idle: usize) {
    let (mut prefills, mut decodes) = (BTreeSet::new(), BTreeSet::new());
    for number in 0..ENTRIES {
        let mut rig = rig(number, idle);
        let call = rig.submit_prompt(1, SEGMENT, PROMPT).call();
        prefills.insert(call.target);
        rig.advance(Duration::from_millis(250));
        let handle = CallOutcome::Prefilled { handle: "h".into() };
        decodes.extend(decode_target(&rig.end(1, call.number, handle)));
    }
    assert!(prefills.len() <= 2, "{prefills:?}");
    assert!(decodes.len() <= 4, "{decodes:?}");
}

/// Entries that place prompts with different prefixes do not all choose the idle engine.
#[test]
fn different_prefixes_go_to_different_engines() {
    let mut prefills = BTreeSet::new();
    for number in 0..ENTRIES {
        let call = rig(number, 0).submit_prompt(1, number, PROMPT).call();
        prefills.insert(call.target);
    }
    assert!(prefills.len() > ENGINES / 2, "{prefills:?}");
}

/// A prefix whose home is gone has the next engine of its ranking as its home.
#[test]
fn prefix_moves_to_its_next_home_while_its_home_is_away() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    for engine in 0..ENGINES {
        rig.list(&format!("prefill-{engine}"), TargetStage::Prefill);
    }
    rig.list("decode", TargetStage::Decode);
    let home = rig.submit_prompt(1, SEGMENT, PROMPT).call();
    let outcome = CallOutcome::Unreachable;
    let next = rig.after(DirectEvent::CallEnded { flow: 1, call: home.number, outcome }).call();
    assert_ne!(next.target, home.target);
    let other = rig.submit_prompt(2, SEGMENT, PROMPT).call();
    assert_ne!(other.target, home.target, "the home is paused");
}
