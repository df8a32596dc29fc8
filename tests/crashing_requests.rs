//! Which requests are blocked because targets crash under them.

mod support;

use std::time::Duration;

use sapphirewell::{
    direct::{FailureReason, RequestIdentity},
    ids::TargetId,
};
use support::crashes::{CrashFleet, RUN_TIME, SentRequest, identity};
use yare::parameterized;

/// The users' `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const BLOCK_TIME: Duration = Duration::from_secs(600);
/// Largest number of sendings that may reach targets after the third crash.
const MAX_REACHED: usize = 3;

/// Content 1 of callers 1 and 2, and content 2 of caller 1.
const FIRST: RequestIdentity = identity(1, 0, 1);
const OTHER_CALLER: RequestIdentity = identity(1, 0, 2);
const OTHER_CONTENT: RequestIdentity = identity(2, 0, 1);

/// A request that crashes each target, at one entry or several, alone or with others.
#[parameterized(
    one_entry = { 1, false, false },
    three_entries = { 3, false, false },
    beside_a_sound_content_of_another_caller = { 3, true, false },
    fine_a_while_before = { 3, false, true },
)]
fn a_request_is_blocked_soon_after_its_third_crash(
    entries: usize,
    beside_other_caller: bool,
    was_fine: bool,
) {
    let mut fleet = CrashFleet::new(entries, 6);
    if was_fine {
        fleet.succeed(0, FIRST);
    }
    let mut crashes = 0;
    while fleet.crash(&[(crashes % entries, FIRST)]).is_ok() {
        crashes += 1;
        assert!(crashes <= 4, "still sent");
        if beside_other_caller {
            fleet.succeed(crashes % entries, OTHER_CALLER);
        }
    }
    assert!(crashes >= 3);
    for entry in 0..entries {
        assert_eq!(fleet.crash(&[(entry, FIRST)]), Err(FailureReason::CrashesTargets));
        fleet.succeed(entry, OTHER_CONTENT);
        if beside_other_caller {
            fleet.succeed(entry, OTHER_CALLER);
        }
    }
}

/// Many callers send one content, each only once or twice.
#[test]
fn a_content_is_blocked_whoever_sends_it() {
    let mut fleet = CrashFleet::new(2, 6);
    let crashes = (0..20_u64).take_while(|number| {
        let identity = identity(1, 0, 100 + number);
        fleet.crash(&[(*number as usize % 2, identity)]).is_ok()
    });
    assert_eq!(crashes.count(), 3);
}

/// One caller sends a path with another query each time.
#[parameterized(three_entries = { 3, 1 }, two_at_once = { 3, 2 })]
fn a_request_whose_query_changes_is_blocked(entries: usize, at_once: u64) {
    let mut fleet = CrashFleet::new(entries, 6);
    let crashes = (0..20_u64).take_while(|number| {
        let sent = (0..at_once).map(|other| {
            let identity = identity(1, 100 + number * at_once + other, 1);
            ((number + other) as usize % entries, identity)
        });
        fleet.crash(&sent.collect::<Vec<_>>()).is_ok()
    });
    assert!(crashes.count() <= 3);
    // Neither another caller nor another path is blocked with it.
    fleet.succeed(0, OTHER_CALLER);
    fleet.succeed(0, OTHER_CONTENT);
}

/// Sound requests that ran at the same targets each time, and those that succeed in between.
#[test]
fn bystanders_are_not_blocked() {
    let polling = OTHER_CONTENT;
    let mut fleet = CrashFleet::new(1, 1);
    fleet.succeed(0, polling);
    for _ in 0..6 {
        let result = fleet.crash(&[(0, FIRST), (0, polling)]);
        if result.is_err() {
            break;
        }
        // SentRequest alone, it ends whole.
        fleet.succeed(0, polling);
    }
    assert_eq!(fleet.crash(&[(0, FIRST)]), Err(FailureReason::CrashesTargets));
    fleet.succeed(0, polling);
}

/// The cause is in one crash more than a request that was mostly sent beside it.
#[test]
fn the_one_that_is_also_sent_alone_is_the_cause() {
    let mut fleet = CrashFleet::new(1, 1);
    fleet.crash(&[(0, FIRST)]).unwrap();
    for _ in 0..2 {
        fleet.crash(&[(0, FIRST), (0, OTHER_CONTENT)]).unwrap();
    }
    assert_eq!(fleet.crash(&[(0, FIRST)]), Err(FailureReason::CrashesTargets));
    fleet.succeed(0, OTHER_CONTENT);
}

/// Callers of one content come at several entries at once, so that all targets of a service
/// crash within moments, each under another caller.
#[parameterized(one_caller = { 1 }, a_caller_each = { 100 })]
fn a_content_is_blocked_after_its_third_crash_at_several_targets(callers: u64) {
    let mut fleet = CrashFleet::new(3, 3);
    let identity = |number| identity(1, 0, 100 + number % callers);
    let sent: Vec<SentRequest> =
        (0..3).map(|number| fleet.send(number as usize, identity(number)).unwrap()).collect();
    for sent in sent {
        fleet.advance(RUN_TIME);
        fleet.break_off(&[sent], true);
    }
    fleet.advance(RUN_TIME);
    for entry in 0..3 {
        let refused = fleet.crash(&[(entry, identity(10 + entry as u64))]);
        assert_eq!(refused, Err(FailureReason::CrashesTargets));
    }
}

#[test]
fn two_requests_that_crash_targets_together_are_both_blocked() {
    let mut fleet = CrashFleet::new(1, 1);
    let crashes = (0..20).take_while(|_| fleet.crash(&[(0, FIRST), (0, OTHER_CONTENT)]).is_ok());
    assert!(crashes.count() <= 5);
    let mut alone =
        |identity| (0..20).take_while(|_| fleet.crash(&[(0, identity)]).is_ok()).count();
    assert!(alone(FIRST) + alone(OTHER_CONTENT) <= 3, "repeats after the third crash");
}

/// All targets lose power at once, again and again, under a request that each of them runs.
#[test]
fn power_losses_block_nothing_that_succeeds_in_between() {
    let mut fleet = CrashFleet::new(3, 3);
    for _ in 0..6 {
        fleet.crash(&[(0, FIRST), (1, FIRST), (2, FIRST)]).unwrap();
        fleet.succeed(0, FIRST);
    }
}

/// Connections break while the targets live on: by chance, or always under one request.
#[parameterized(one_entry = { 1 }, three_entries = { 3 })]
fn only_a_request_that_always_breaks_off_is_blocked_by_broken_connections(entries: usize) {
    let mut fleet = CrashFleet::new(entries, 3);
    let mut breaks = 0;
    for number in 0..20_u64 {
        let bystander = identity(100 + number, 0, 1);
        let entry = number as usize % entries;
        for identity in [FIRST, bystander] {
            if let Ok(sent) = fleet.send(entry, identity) {
                fleet.advance(RUN_TIME);
                fleet.break_off(&[sent], false);
                breaks += u32::from(identity == FIRST);
            } else {
                assert_eq!(identity, FIRST);
            }
            fleet.advance(Duration::from_millis(300));
        }
        fleet.succeed(entry, OTHER_CALLER);
    }
    assert_eq!(breaks, 3);
}

/// After its time is over, one crash blocks a request again, for longer.
#[test]
fn a_request_that_crashes_again_after_its_block_is_blocked_at_once() {
    let mut fleet = CrashFleet::new(2, 3);
    while fleet.crash(&[(0, FIRST)]).is_ok() {}
    for block_time in [BLOCK_TIME, 2 * BLOCK_TIME] {
        fleet.advance(block_time - STABLE_WINDOW);
        assert!(fleet.crash(&[(1, FIRST)]).is_err());
        fleet.advance(2 * STABLE_WINDOW);
        fleet.crash(&[(1, FIRST)]).unwrap();
        assert_eq!(fleet.crash(&[(0, FIRST)]), Err(FailureReason::CrashesTargets));
    }
}

/// How the targets of a service end by a crashing request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrashPattern {
    /// One after the other.
    Apart,
    /// Each at a moment of its own, while the others run the request as well.
    Overlapping,
    /// All at the same moment.
    Together,
}

/// What else there is of the crashing content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ContentHistory {
    Unknown,
    /// Its first caller got a whole response a while before the crashes.
    FineBefore,
    /// Another caller did.
    FineForOthersBefore,
    /// Another request was at the same targets at the first three crashes.
    BesideBystander,
}

/// Sends a request to three targets at once, which crash under it, and returns how many got it.
fn crash_all(
    fleet: &mut CrashFleet,
    pattern: CrashPattern,
    sent: impl Fn(u64) -> RequestIdentity,
    bystander: Option<RequestIdentity>,
) -> usize {
    let mut reached = 0;
    let crash = |fleet: &mut CrashFleet, running: Vec<SentRequest>| {
        fleet.advance(RUN_TIME);
        fleet.break_off(&running, true);
        fleet.advance(RUN_TIME);
    };
    let mut running: Vec<SentRequest> = Vec::new();
    for number in 0..3 {
        let Ok(own) = fleet.send(number as usize, sent(number)) else { continue };
        reached += 1;
        running.push(own);
        running.extend(bystander.and_then(|other| fleet.send(number as usize, other).ok()));
        if pattern == CrashPattern::Apart {
            crash(fleet, std::mem::take(&mut running));
        }
    }
    if pattern == CrashPattern::Together {
        crash(fleet, running);
    } else {
        let targets: Vec<TargetId> = running.iter().map(|sent| sent.target.clone()).collect();
        for target in targets {
            let (ended, others) = running.into_iter().partition(|sent| sent.target == target);
            running = others;
            crash(fleet, ended);
        }
    }
    fleet.advance(Duration::from_secs(3));
    reached
}

/// A request crashes all targets of a service at each of their starts, sent by one caller after
/// the other.
#[parameterized(
    apart = { CrashPattern::Apart, ContentHistory::Unknown },
    overlapping = { CrashPattern::Overlapping, ContentHistory::Unknown },
    together = { CrashPattern::Together, ContentHistory::Unknown },
    apart_fine_before = { CrashPattern::Apart, ContentHistory::FineBefore },
    overlapping_fine_before = { CrashPattern::Overlapping, ContentHistory::FineBefore },
    together_fine_before = { CrashPattern::Together, ContentHistory::FineBefore },
    apart_fine_for_others = { CrashPattern::Apart, ContentHistory::FineForOthersBefore },
    overlapping_fine_for_others = { CrashPattern::Overlapping, ContentHistory::FineForOthersBefore },
    together_fine_for_others = { CrashPattern::Together, ContentHistory::FineForOthersBefore },
    apart_beside_bystander = { CrashPattern::Apart, ContentHistory::BesideBystander },
    overlapping_beside_bystander = { CrashPattern::Overlapping, ContentHistory::BesideBystander },
)]
fn a_content_is_blocked_whose_callers_take_turns(pattern: CrashPattern, history: ContentHistory) {
    // Callers stay for all targets or for one, and send one query or one of their own each.
    for (at_once, own_query) in [(true, false), (false, false), (true, true), (false, true)] {
        let is_fine =
            matches!(history, ContentHistory::FineBefore | ContentHistory::FineForOthersBefore);
        let is_path_fine = is_fine && own_query;
        if !is_path_fine {
            assert_bounded_crashes(pattern, history, at_once, own_query);
        }
    }
}

/// Each caller has a query of its own, and callers were served on the path before.
#[parameterized(
    apart = { CrashPattern::Apart },
    overlapping = { CrashPattern::Overlapping },
    together = { CrashPattern::Together },
)]
fn a_path_that_was_fine_before_is_blocked_whose_queries_and_callers_change(pattern: CrashPattern) {
    for history in [ContentHistory::FineBefore, ContentHistory::FineForOthersBefore] {
        for at_once in [true, false] {
            assert_bounded_crashes(pattern, history, at_once, true);
        }
    }
}

/// Checks how many sendings of a request reach targets after its third crash.
fn assert_bounded_crashes(
    pattern: CrashPattern,
    history: ContentHistory,
    at_once: bool,
    own_query: bool,
) {
    let mut fleet = CrashFleet::new(3, 3);
    let fine_caller = match history {
        ContentHistory::FineBefore => Some(10),
        ContentHistory::FineForOthersBefore => Some(2),
        ContentHistory::Unknown | ContentHistory::BesideBystander => None,
    };
    if let Some(caller) = fine_caller {
        // Entries do not report responses without crashes, so each has to see one.
        (0..3).for_each(|entry| fleet.succeed(entry, identity(1, 0, caller)));
    }
    let mut reached = 0;
    for round in 0..6 {
        let sent = |number| {
            let caller = 10 + if at_once { round } else { 3 * round + number };
            identity(1, if own_query { caller } else { 0 }, caller)
        };
        let is_first = round == 0 && history == ContentHistory::BesideBystander;
        let bystander = is_first.then_some(OTHER_CONTENT);
        reached += crash_all(&mut fleet, pattern, sent, bystander);
    }
    assert!(
        reached <= 3 + MAX_REACHED,
        "{} sent after the third crash, one caller at all targets: {at_once}, \
         query changes: {own_query}",
        reached - 3
    );
}

/// Requests like one that crashes targets are served, which is blocked beside them.
#[parameterized(
    other_caller = { OTHER_CALLER, false },
    other_query = { identity(1, 7, 1), false },
    other_query_of_other_caller = { identity(1, 7, 2), false },
    other_caller_in_between = { OTHER_CALLER, true },
    other_query_in_between = { identity(1, 7, 1), true },
    other_query_of_other_caller_in_between = { identity(1, 7, 2), true },
)]
fn requests_like_a_crashing_one_are_served(similar: RequestIdentity, in_between: bool) {
    let mut fleet = CrashFleet::new(3, 3);
    let mut crashes = 0;
    while fleet.crash(&[(crashes % 3, FIRST)]).is_ok() {
        crashes += 1;
        assert!(crashes <= 4, "still sent");
        if in_between {
            fleet.succeed(crashes % 3, similar);
        }
    }
    for entry in 0..3 {
        fleet.succeed(entry, similar);
        assert!(fleet.crash(&[(entry, FIRST)]).is_err());
    }
    // Crashes of their own targets do not block them either, as they succeed afterwards.
    for entry in 0..3 {
        fleet.crash(&[(entry, similar)]).unwrap();
        fleet.succeed(entry, similar);
    }
}

/// Requests with other queries of the same path run beside two requests of another path, each of
/// which crashes all targets at each of their starts until it is blocked.
#[parameterized(
    one_request = { 1, true },
    two_requests = { 2, true },
    one_request_beside_an_unknown_path = { 1, false },
)]
fn a_path_beside_crashing_requests_is_served(crashing: u64, was_fine: bool) {
    let mut fleet = CrashFleet::new(3, 3);
    let sound = |number| identity(1, number, number);
    if was_fine {
        (0..3).for_each(|entry| fleet.succeed(entry, sound(500 + entry as u64)));
    }
    for number in 0..crashing {
        let deadly = identity(2 + number, 0, 50);
        for round in 0..6 {
            let query = 100 + 10 * (6 * number + round);
            let mut running = Vec::new();
            for target in 0..3 {
                running.extend(fleet.send(target as usize, deadly).ok());
                running.extend(fleet.send(target as usize, sound(query + target)).ok());
            }
            let (ended, whole) =
                if running.len() > 3 { (running, vec![]) } else { (vec![], running) };
            fleet.advance(RUN_TIME);
            fleet.break_off(&ended, true);
            whole.iter().for_each(|sent| fleet.end_whole(sent));
            fleet.advance(STABLE_WINDOW);
        }
    }
    for entry in 0..3 {
        fleet.succeed(entry, sound(900 + entry as u64));
    }
}

/// Requests of other paths crash a target, which always runs a sound query as well.
#[parameterized(
    two_in_turn = { 2, 1 },
    three_one_after_the_other = { 3, 3 },
)]
fn a_path_beside_several_crashing_requests_is_served(requests: u64, in_a_row: u64) {
    let mut fleet = CrashFleet::new(1, 1);
    let sound = |number| identity(1, number, number);
    fleet.succeed(0, sound(500));
    let mut sent = 0;
    for number in 0..12 {
        let caller = 50 + (number / in_a_row) % requests;
        let pair = [(0, identity(caller, 0, caller)), (0, sound(100 + number))];
        sent += u64::from(fleet.crash(&pair).is_ok());
    }
    assert!(sent <= 3 * requests, "{sent} sent");
    fleet.succeed(0, sound(900));
}
