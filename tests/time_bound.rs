//! Within which time a response ends, as far as that is known before it is begun.

use std::time::Duration;

use sapphirewell::direct::{
    ReceivedEvents, ResponseTerms, RetryPolicy, StreamPace, response_bound,
};
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);
/// Time until the caller or the route gives up.
const TIME_LEFT: u32 = 8000;
/// Longest time between two events that the route states.
const GAP: u32 = 250;

/// A stream of so many tokens that is to begin within 100 ms.
fn stream(max_output: u32) -> ResponseTerms {
    ResponseTerms {
        retry: RetryPolicy::Resume,
        time_left: MS * TIME_LEFT,
        first: MS * 100,
        max_output: Some(max_output),
        event_gap: Some(MS * GAP),
    }
}

/// Streams that ended whole, with their tokens, events, and milliseconds between two events.
fn pace_of(streams: &[(u32, u32, u32)]) -> StreamPace {
    let mut pace = StreamPace::default();
    for (max_output, events, gap) in streams {
        pace.record_stream(*max_output, *events, MS * *gap * (events - 1));
    }
    pace
}

const NONE: ReceivedEvents = ReceivedEvents::None;

#[parameterized(
    may_not_be_repeated = { ResponseTerms { retry: RetryPolicy::Never, ..stream(6) }, TIME_LEFT },
    plain_answer = { ResponseTerms { retry: RetryPolicy::Always, ..stream(6) }, TIME_LEFT },
    without_a_length = { ResponseTerms { max_output: None, ..stream(6) }, TIME_LEFT },
    without_a_gap = { ResponseTerms { event_gap: None, ..stream(6) }, TIME_LEFT },
    one_token = { stream(1), 100 },
    short_stream = { stream(6), 100 + 5 * GAP },
    long_stream = { stream(22), 100 + 21 * GAP },
    longer_than_its_caller_waits = { stream(60), TIME_LEFT },
    that_begins_late = { ResponseTerms { first: MS * 2000, ..stream(6) }, 2000 + 5 * GAP },
)]
fn a_response_without_earlier_ones_is_bounded(terms: ResponseTerms, millis: u32) {
    assert_eq!(response_bound(&terms, &StreamPace::default(), NONE), MS * millis);
}

#[parameterized(
    an_event_for_each_token = { &[(6, 6, 20); 20], 100 + 21 * GAP },
    eight_tokens_in_an_event = { &[(41, 6, 20); 20], 100 + 3 * GAP },
    too_few_streams = { &[(41, 6, 20); 19], 100 + 21 * GAP },
    streams_that_end_early = { &[[(41, 2, 20); 10], [(41, 6, 20); 10]].concat(), 100 + 3 * GAP },
    single_events_tell_nothing = { &[[(2, 1, 20); 10], [(41, 6, 20); 10]].concat(), 100 + 3 * GAP },
    fast_events = { &[(6, 6, 1); 40], 100 + 21 * GAP },
)]
fn earlier_streams_tell_how_many_events_a_token_makes(streams: &[(u32, u32, u32)], millis: u32) {
    assert_eq!(response_bound(&stream(22), &pace_of(streams), NONE), MS * millis);
}

/// Events that were late before are expected to be late again.
#[test]
fn slow_streams_raise_the_bound() {
    let pace = pace_of(&[(6, 6, 400); 40]);
    let bound = response_bound(&stream(6), &pace, NONE);
    assert!(bound >= MS * (100 + 5 * 400), "{bound:?}");
}

#[parameterized(
    first = { ReceivedEvents::First, 5 * GAP },
    second_in_time = { ReceivedEvents::Second { gap: MS * 20 }, 4 * GAP },
    second_late = { ReceivedEvents::Second { gap: MS * 1100 }, 4 * 1100 },
    second_very_late = { ReceivedEvents::Second { gap: MS * 3000 }, TIME_LEFT },
)]
fn the_first_events_tell_how_fast_the_others_come(received: ReceivedEvents, millis: u32) {
    assert_eq!(response_bound(&stream(6), &StreamPace::default(), received), MS * millis);
}

/// The first event of a route's streams is not expected sooner than it came lately.
#[test]
fn late_first_events_raise_the_bound() {
    let mut pace = StreamPace::default();
    (0..20).for_each(|_| pace.record_first(MS * 900));
    let bound = response_bound(&stream(1), &pace, NONE);
    assert!(bound >= MS * 900, "{bound:?}");
}
