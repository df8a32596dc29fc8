//! Guards against a draining entry that takes requests again once it can reach other processes.

mod support;

use std::time::Duration;

use sapphirewell::{
    entry::{EntryAction, EntryEvent, EntryMachine, EntrySettings, PlacementPolicy},
    fold::FleetState,
    operator,
    record::{LogRecord, SideAttachment, TargetDescription, TargetOffer},
    request::{CallerRequest, FinalAnswer, RefusalReason},
};
use support::{MemoryLog, contract};
use yare::parameterized;

/// Time after which an entry is ready although its targets have not reported.
const READY_AFTER: Duration = Duration::from_secs(6);
const ISOLATED: EntryEvent = EntryEvent::SetAccepting { accepting: false };
const REACHABLE: EntryEvent = EntryEvent::SetAccepting { accepting: true };
const DRAIN: EntryEvent = EntryEvent::Drain;

fn fleet() -> FleetState {
    let mut log = MemoryLog::default();
    log.append(&operator::publish_record("first".into(), 0, contract("north", 1000)));
    let offer = TargetOffer::Engine { model: "m".to_owned(), kv_pages: 100 };
    log.append(&LogRecord::Attach(SideAttachment {
        side: "side".into(),
        instance: 1,
        vm: "vm".into(),
        data_centre: "dc".into(),
        address: "127.0.0.1:1".into(),
        targets: vec![TargetDescription { target: "t".into(), offer }],
    }));
    log.fold()
}

/// Returns the reason for which a new request is refused at once, if it is.
fn refusal(machine: &mut EntryMachine, fleet: &FleetState) -> Option<RefusalReason> {
    let request = CallerRequest::from_text("north".into(), "note".into(), None, "read this".into());
    let id = machine.next_id();
    let mut actions = Vec::new();
    let submit = EntryEvent::Submit { id, request: Box::new(request) };
    machine.step(READY_AFTER, fleet.view(), submit, &mut actions);
    actions.iter().find_map(|action| match action {
        EntryAction::Finish { answer: FinalAnswer::Refused(refusal), .. } => Some(refusal.reason),
        _ => None,
    })
}

#[parameterized(
    serving = { &[], true },
    isolated = { &[ISOLATED], false },
    reachable_again = { &[ISOLATED, REACHABLE], true },
    draining = { &[DRAIN], false },
    isolated_while_draining = { &[DRAIN, ISOLATED], false },
    reachable_while_draining = { &[DRAIN, REACHABLE], false },
    reachable_again_while_draining = { &[ISOLATED, DRAIN, REACHABLE], false },
    isolated_and_reachable_while_draining = { &[DRAIN, ISOLATED, REACHABLE], false },
    reachable_again_before_the_drain = { &[ISOLATED, REACHABLE, DRAIN], false },
)]
fn an_entry_that_drains_takes_nothing(events: &[EntryEvent], taken: bool) {
    let fleet = fleet();
    let settings = EntrySettings { instance: 1, policy: PlacementPolicy::EarliestEnd, seed: 1 };
    let mut machine = EntryMachine::new(settings);
    let mut actions = Vec::new();
    machine.step(Duration::ZERO, fleet.view(), EntryEvent::Tick, &mut actions);
    machine.step(READY_AFTER, fleet.view(), EntryEvent::Tick, &mut actions);
    for event in events {
        machine.step(READY_AFTER, fleet.view(), event.clone(), &mut actions);
    }
    assert_eq!(machine.is_ready(), taken);
    let refused = refusal(&mut machine, &fleet) == Some(RefusalReason::Stopping);
    assert_eq!(refused, !taken);
}
