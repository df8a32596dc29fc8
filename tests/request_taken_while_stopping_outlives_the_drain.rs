//! Guards against a stopping entry that takes requests which may run longer than it waits.

mod support;

use std::time::Duration;

use sapphirewell::{
    entry::{EntryAction, EntryEvent, EntryMachine, EntrySettings, PlacementPolicy},
    operator,
    request::{CallerRequest, FinalAnswer, FinalRefusal, RefusalReason},
};
use support::{MemoryLog, contract};
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);
/// Deadline of the contract's notes.
const DEADLINE: Duration = Duration::from_secs(20);
/// Time from the signal to the exit.
const STOP_TIME: Duration = Duration::from_secs(25);
/// When the signal comes.
const SIGNAL: Duration = Duration::from_secs(6);

fn refusal(machine: &mut EntryMachine, now: Duration) -> Option<FinalRefusal> {
    let mut log = MemoryLog::default();
    log.append(&operator::publish_record("first".into(), 0, contract("north", 1000)));
    let request = CallerRequest::from_text("north".into(), "note".into(), None, "read this".into());
    let id = machine.next_id();
    let mut actions = Vec::new();
    let submit = EntryEvent::Submit { id, request: Box::new(request) };
    machine.step(now, log.fold().view(), submit, &mut actions);
    actions.into_iter().find_map(|action| match action {
        EntryAction::Finish { answer: FinalAnswer::Refused(refusal), .. } => Some(refusal),
        _ => None,
    })
}

#[parameterized(
    at_once = { STOP_TIME, MS, true },
    with_its_whole_deadline_left = { STOP_TIME, STOP_TIME - DEADLINE, true },
    with_less_than_its_deadline_left = { STOP_TIME, STOP_TIME - DEADLINE + MS, false },
    at_once_with_little_time = { DEADLINE - MS, Duration::ZERO, false },
)]
fn only_requests_whose_deadline_comes_before_the_exit_are_taken(
    time: Duration,
    after_signal: Duration,
    taken: bool,
) {
    let settings = EntrySettings { instance: 1, policy: PlacementPolicy::EarliestEnd, seed: 1 };
    let mut machine = EntryMachine::new(settings);
    let view = MemoryLog::default().fold();
    machine.step(SIGNAL, view.view(), EntryEvent::Stop { time }, &mut Vec::new());
    let refused = refusal(&mut machine, SIGNAL + after_signal)
        .filter(|refusal| refusal.reason == RefusalReason::Stopping);
    assert_eq!(refused.is_none(), taken, "{refused:?}");
    assert!(refused.is_none_or(|refusal| refusal.not_run));
}
