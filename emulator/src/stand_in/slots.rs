//! Request slots of a target, granted to waiting requests by priority.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

#[derive(Debug)]
struct SlotWaiter {
    order: Reverse<(u8, u64)>,
    granted: oneshot::Sender<()>,
}

impl PartialEq for SlotWaiter {
    fn eq(&self, other: &SlotWaiter) -> bool {
        self.order == other.order
    }
}

impl Eq for SlotWaiter {}

impl PartialOrd for SlotWaiter {
    fn partial_cmp(&self, other: &SlotWaiter) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for SlotWaiter {
    fn cmp(&self, other: &SlotWaiter) -> std::cmp::Ordering {
        self.order.cmp(&other.order)
    }
}

#[derive(Debug)]
struct SlotState {
    free: usize,
    arrivals: u64,
    waiting: BinaryHeap<SlotWaiter>,
}

/// Slots granted to the lowest priority number first, then in order of arrival.
#[derive(Debug, Clone)]
pub struct PrioritySlots {
    state: Arc<Mutex<SlotState>>,
}

/// Slot in use; dropping it releases the slot.
#[derive(Debug)]
pub struct TakenSlot(PrioritySlots);

impl PrioritySlots {
    /// Returns a set of `free` unused slots.
    pub fn new(free: usize) -> PrioritySlots {
        let state = SlotState { free, arrivals: 0, waiting: BinaryHeap::new() };
        PrioritySlots { state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for a slot; a lower `priority` is served first.
    pub async fn take(&self, priority: u8) -> TakenSlot {
        let granted = {
            let mut state = self.state();
            if state.free > 0 {
                state.free -= 1;
                return TakenSlot(self.clone());
            }
            state.arrivals += 1;
            let (granted, receiver) = oneshot::channel();
            let order = Reverse((priority, state.arrivals));
            state.waiting.push(SlotWaiter { order, granted });
            receiver
        };
        // `self` keeps the sender alive, so this cannot fail.
        granted.await.ok();
        TakenSlot(self.clone())
    }

    fn release(&self) {
        let mut state = self.state();
        while let Some(next) = state.waiting.pop() {
            // A cancelled waiter has dropped its receiver; skip it.
            if next.granted.send(()).is_ok() {
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
