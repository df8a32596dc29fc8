//! Events in the order of their times; equal times keep the order of scheduling.

use std::{cmp::Reverse, collections::BinaryHeap};

use sapphirewell::ids::ClockTime;

/// Queue of future events under a test clock.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    scheduled: u64,
}

struct Scheduled<E> {
    at: ClockTime,
    order: u64,
    event: E,
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue { heap: BinaryHeap::new(), scheduled: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event.
    pub fn push(&mut self, at: ClockTime, event: E) {
        self.scheduled += 1;
        self.heap.push(Reverse(Scheduled { at, order: self.scheduled, event }));
    }

    /// Takes the next event, unless it lies after `end`.
    pub fn pop_until(&mut self, end: ClockTime) -> Option<(ClockTime, E)> {
        let due = self.heap.peek().is_some_and(|Reverse(next)| next.at <= end);
        let Reverse(next) = if due { self.heap.pop()? } else { return None };
        Some((next.at, next.event))
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Scheduled<E>) -> bool {
        (self.at, self.order) == (other.at, other.order)
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
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
