//! This process's share of the retry budget of all entries.

use std::{collections::VecDeque, time::Duration};

use serde::Serialize;

use crate::ids::ClockTime;

/// Retry budget over a sliding window.
///
/// All entries share the budget: a ratio of the requests, plus a fixed number that is
/// divided by the number of entries.
#[derive(Debug, Clone, Serialize)]
pub struct RetryWindow {
    span: Duration,
    ratio: f64,
    extra: VecDeque<ClockTime>,
    requests: VecDeque<ClockTime>,
}

/// Share of the budget that is used. The rest covers calls that arrive late and processes
/// that start and stop.
const USED_SHARE: f64 = 0.6;

impl RetryWindow {
    /// Creates an empty window of length `span` that allows `ratio` retries per request.
    pub fn new(span: Duration, ratio: f64) -> RetryWindow {
        RetryWindow { span, ratio, extra: VecDeque::new(), requests: VecDeque::new() }
    }

    /// Counts a new request.
    pub fn count_request(&mut self, now: ClockTime) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget and returns whether one was left.
    ///
    /// `slack` is this process's share of the fixed number of retries.
    pub fn spend(&mut self, now: ClockTime, slack: f64) -> bool {
        self.drop_expired(now);
        let allowed = USED_SHARE * (self.ratio * self.requests.len() as f64 + slack);
        if self.extra.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.extra.push_back(now);
        true
    }

    fn drop_expired(&mut self, now: ClockTime) {
        let start = now.saturating_sub(self.span);
        while self.extra.front().is_some_and(|time| *time < start) {
            self.extra.pop_front();
        }
        while self.requests.front().is_some_and(|time| *time < start) {
            self.requests.pop_front();
        }
    }
}
