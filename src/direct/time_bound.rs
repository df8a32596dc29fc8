//! Bound on the time until a response ends, where an estimate is not enough.
//!
//! See [docs/design/stops.md](../../docs/design/stops.md).

use std::time::Duration;

use serde::Serialize;

use super::{RetryPolicy, typical_time::TypicalTime};

/// Number of streams from which on their events tell how many a token makes.
const MIN_STREAM_SAMPLES: u32 = 20;

/// What is known of the response to a request before it is sent to a target.
#[derive(Debug, Clone, Copy)]
pub struct ResponseTerms {
    /// Whether the request may be repeated.
    pub retry: RetryPolicy,
    /// Time until its caller or its route gives up.
    pub time_left: Duration,
    /// Expected time to the first event.
    pub first: Duration,
    /// Largest number of tokens that it asks for, if it states one.
    pub max_output: Option<u32>,
    /// Longest time between two events of a stream that is in time, if the route states one.
    pub event_gap: Option<Duration>,
}

/// Streams of a route that ended whole.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct StreamPace {
    /// Number of streams of several events and tokens.
    samples: u32,
    /// Largest number of events after the first, for each token after the first that was asked for.
    /// Engines put several tokens into one event.
    events_per_token: f32,
    /// Times to the first event.
    first: TypicalTime,
    /// Mean times between the events of a stream.
    gap: TypicalTime,
}

impl StreamPace {
    /// Records the time from a stream's arrival to its first event.
    pub fn record_first(&mut self, took: Duration) {
        self.first.record(took);
    }

    /// Records a whole stream: the tokens that it asked for, its events, and the time from the
    /// first to the last of them.
    pub fn record_stream(&mut self, max_output: u32, events: u32, took: Duration) {
        let (Some(tokens), Some(later)) = (max_output.checked_sub(1), events.checked_sub(1)) else {
            return;
        };
        if tokens == 0 {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        self.events_per_token = self.events_per_token.max(later as f32 / tokens as f32);
        if later > 0 {
            self.gap.record(took / later);
        }
    }

    /// Returns the largest number of events after the first of a stream with so many tokens.
    fn later_events(&self, max_output: u32) -> u32 {
        let tokens = max_output.saturating_sub(1);
        if self.samples < MIN_STREAM_SAMPLES {
            return tokens;
        }
        (tokens as f32 * self.events_per_token.min(1.0)).ceil() as u32
    }

    /// Returns the longest time between two events of a stream that is in time, or not later
    /// than others lately.
    fn longest_gap(&self, event_gap: Duration) -> Duration {
        event_gap.max(self.gap.most())
    }
}

/// Events of a response that have come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceivedEvents {
    /// None that tell its pace: the request is not sent yet, or its response is no stream.
    None,
    /// The first one.
    First,
    /// The second one, so long after the first.
    Second {
        /// Time between them.
        gap: Duration,
    },
}

/// Returns the time within which a response ends, of which these events have come.
///
/// Where nothing states its length, that is the time left to its request. The events of a
/// stream are bounded by the tokens that it asks for, and by the time that the route states for each.
pub fn response_bound(
    terms: &ResponseTerms,
    pace: &StreamPace,
    received: ReceivedEvents,
) -> Duration {
    let (RetryPolicy::Resume, Some(max_output), Some(event_gap)) =
        (terms.retry, terms.max_output, terms.event_gap)
    else {
        return terms.time_left;
    };
    let (later, gap) = (pace.later_events(max_output), pace.longest_gap(event_gap));
    let bound = match received {
        ReceivedEvents::None => {
            terms.first.max(pace.first.most()).saturating_add(gap.saturating_mul(later))
        }
        ReceivedEvents::First => gap.saturating_mul(later),
        ReceivedEvents::Second { gap: own } => gap.max(own).saturating_mul(later.saturating_sub(1)),
    };
    bound.min(terms.time_left)
}
