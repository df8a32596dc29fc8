//! Records that entries had written were missing for good after the store was restored from an
//! older copy.

use std::time::Duration;

use emulator::stand_in::{
    fleet::{PlatformFleet, PlatformSizes},
    store::StoreRestore,
};
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// Topics of which every entry writes one record, or any entry writes the same.
const TOPICS: [&str; 2] = ["keyed.entries", "keyed.versions"];
/// Time in which targets register again, with the next reads after it.
const WHOLE_TIME: Duration = Duration::from_secs(6);

const fn restore(away_ms: u64, holds_polls: bool) -> StoreRestore {
    StoreRestore {
        // Older than the store.
        copy_age: Duration::from_secs(600),
        away: Duration::from_millis(away_ms),
        holds_polls,
        rewrite_delay: Duration::ZERO,
    }
}

#[parameterized(
    once = { 23_400, vec![restore(600, false)] },
    long_polls_are_held = { 23_420, vec![restore(400, true)] },
    twice = { 23_440, vec![restore(600, false), restore(10, false)] },
)]
fn lost_records_are_written_again(port: u16, restores: Vec<StoreRestore>) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port, entries: 4, prefill: 1, decode: 2, plain: 1 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        let keys = |topic: &str| fleet.store.values(topic).into_keys().collect::<Vec<String>>();
        let started = Instant::now();
        while keys("keyed.versions").is_empty() || keys("keyed.entries").len() < 4 {
            assert!(started.elapsed() < Duration::from_secs(10), "{:?}", TOPICS.map(keys));
            sleep(Duration::from_millis(100)).await;
        }
        sleep(Duration::from_secs(1)).await;
        let before = TOPICS.map(keys);
        for restore in restores {
            fleet.store.restore(restore).await;
        }
        let restored = Instant::now();
        while TOPICS.map(keys) != before {
            let time = restored.elapsed();
            assert!(time < WHOLE_TIME, "{:?} of {before:?}", TOPICS.map(keys));
            sleep(Duration::from_millis(100)).await;
        }
        println!("whole after {:?}", restored.elapsed());
    });
}
