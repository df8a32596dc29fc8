//! This process's part of the calls beyond the first that all entries may make.

use std::{collections::VecDeque, time::Duration};

use serde::Serialize;

use crate::ids::ClockTime;

/// Calls beyond the first of each request, in a sliding window.
///
/// The bound is shared by all entries: a share of the requests, plus a fixed
/// number that this process divides by the number of entries.
#[derive(Debug, Clone, Serialize)]
pub struct RetryWindow {
    span: Duration,
    ratio: f64,
    extra: VecDeque<ClockTime>,
    requests: VecDeque<ClockTime>,
}

/// Part of the shared budget that is used, so that late arrivals and processes
/// that come and go stay inside it.
const USED_SHARE: f64 = 0.6;

impl RetryWindow {
    /// Makes an empty window.
    pub fn new(span: Duration, ratio: f64) -> RetryWindow {
        RetryWindow { span, ratio, extra: VecDeque::new(), requests: VecDeque::new() }
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: ClockTime) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one call beyond the first, if this process has one left.
    ///
    /// `slack` is this process's part of the fixed number.
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
