//! Tests that stand-in targets grant slots to waiting requests by priority.

use std::sync::{Arc, Mutex};

use emulator::stand_in::slots::PrioritySlots;

#[tokio::test]
async fn slots_go_to_the_highest_priority_and_skip_cancelled_waiters() {
    let slots = PrioritySlots::new(1);
    let first = slots.take(5).await;
    let served: Arc<Mutex<Vec<&str>>> = Arc::default();
    let mut waiting = Vec::new();
    for (name, priority) in [("late", 6), ("urgent", 0), ("left", 0), ("usual", 1)] {
        let (slots, served) = (slots.clone(), served.clone());
        waiting.push(tokio::spawn(async move {
            let _slot = slots.take(priority).await;
            served.lock().unwrap().push(name);
        }));
        tokio::task::yield_now().await;
    }
    waiting.remove(2).abort();
    tokio::task::yield_now().await;
    drop(first);
    for task in waiting {
        task.await.unwrap();
    }
    assert_eq!(*served.lock().unwrap(), ["urgent", "usual", "late"]);
}
