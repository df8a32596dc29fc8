//! Queue of events ordered by time; events at the same time keep the order in which they were
//! added.

use std::{cmp::Reverse, collections::BinaryHeap};

use sapphirewell::ids::ClockTime;

/// Queue of future events under a simulated clock.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    scheduled_count: u64,
}

struct Scheduled<E> {
    at: ClockTime,
    sequence: u64,
    event: E,
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue { heap: BinaryHeap::new(), scheduled_count: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event at a time.
    pub fn push(&mut self, at: ClockTime, event: E) {
        self.scheduled_count += 1;
        self.heap.push(Reverse(Scheduled { at, sequence: self.scheduled_count, event }));
    }

    /// Removes and returns the next event with its time, unless it is later than `end`.
    pub fn pop_until(&mut self, end: ClockTime) -> Option<(ClockTime, E)> {
        let due = self.heap.peek().is_some_and(|Reverse(next)| next.at <= end);
        let Reverse(next) = if due { self.heap.pop()? } else { return None };
        Some((next.at, next.event))
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Scheduled<E>) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Scheduled<E>) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Scheduled<E>) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
