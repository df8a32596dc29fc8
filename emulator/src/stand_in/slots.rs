//! Slots of a target, given to the most urgent of those that wait.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

#[derive(Debug)]
struct Waiting {
    order: Reverse<(u8, u64)>,
    given: oneshot::Sender<()>,
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Waiting) -> bool {
        self.order == other.order
    }
}

impl Eq for Waiting {}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Waiting) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiting {
    fn cmp(&self, other: &Waiting) -> std::cmp::Ordering {
        self.order.cmp(&other.order)
    }
}

#[derive(Debug)]
struct SlotState {
    free: usize,
    arrivals: u64,
    waiting: BinaryHeap<Waiting>,
}

/// Slots that go to the lowest priority number first, then in order of arrival.
#[derive(Debug, Clone)]
pub struct PrioritySlots {
    state: Arc<Mutex<SlotState>>,
}

/// Slot in use; it is free again when this is dropped.
#[derive(Debug)]
pub struct TakenSlot(PrioritySlots);

impl PrioritySlots {
    /// Makes a number of free slots.
    pub fn new(free: usize) -> PrioritySlots {
        let state = SlotState { free, arrivals: 0, waiting: BinaryHeap::new() };
        PrioritySlots { state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for a slot.
    pub async fn take(&self, priority: u8) -> TakenSlot {
        let given = {
            let mut state = self.state();
            if state.free > 0 {
                state.free -= 1;
                return TakenSlot(self.clone());
            }
            state.arrivals += 1;
            let (given, receiver) = oneshot::channel();
            let order = Reverse((priority, state.arrivals));
            state.waiting.push(Waiting { order, given });
            receiver
        };
        // The sender is dropped only together with the slots.
        given.await.ok();
        TakenSlot(self.clone())
    }

    fn release(&self) {
        let mut state = self.state();
        while let Some(next) = state.waiting.pop() {
            // One that no longer waits has dropped its receiver.
            if next.given.send(()).is_ok() {
                return;
            }
        }
        state.free += 1;
    }

    fn state(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for TakenSlot {
    fn drop(&mut self) {
        self.0.release();
    }
}
