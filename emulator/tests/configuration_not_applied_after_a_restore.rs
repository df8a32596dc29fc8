//! Entries kept an old configuration for good, as a restored store gave out their next offset
//! before they read it.

use std::time::Duration;

use emulator::stand_in::{
    fleet::{ENGINES, PlatformFleet, PlatformSizes},
    store::{StoreFaults, StoreRestore},
};
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// The bound on a configuration, and what an unsteady store adds to it at most.
const APPLY_TIME: Duration = Duration::from_millis(2000);
const UNSTEADY_TIME: Duration = Duration::from_millis(3000);
const ENTRIES: usize = 2;

/// What the store does, once or more often.
struct RestoreCase {
    port: u16,
    restores: Vec<StoreRestore>,
    faults: StoreFaults,
}

const fn restore(copy_ms: u64, away_ms: u64, holds_polls: bool, rewrite_ms: u64) -> StoreRestore {
    StoreRestore {
        copy_age: Duration::from_millis(copy_ms),
        away: Duration::from_millis(away_ms),
        holds_polls,
        rewrite_delay: Duration::from_millis(rewrite_ms),
    }
}

const STEADY: StoreFaults = StoreFaults {
    silent: false,
    busy: false,
    lose_append_responses: false,
    alternate_busy: false,
    append_delay: None,
    delay_long_polls: false,
    delay: Duration::ZERO,
    away: false,
    hides_generation: false,
};

#[parameterized(
    connections_close = { RestoreCase { port: 23_300, restores: vec![restore(3000, 1500, false, 0)], faults: STEADY } },
    away_for_a_moment = { RestoreCase { port: 23_310, restores: vec![restore(3000, 10, false, 0)], faults: STEADY } },
    long_polls_are_held = { RestoreCase { port: 23_320, restores: vec![restore(3000, 500, true, 0)], faults: STEADY } },
    written_again_late = { RestoreCase { port: 23_330, restores: vec![restore(3000, 600, false, 1000)], faults: STEADY } },
    twice = { RestoreCase { port: 23_340, restores: vec![restore(3000, 600, false, 0), restore(1000, 300, false, 0)], faults: STEADY } },
    responses_to_polls_are_late = { RestoreCase { port: 23_350, restores: vec![restore(3000, 600, false, 0)], faults: StoreFaults { delay_long_polls: true, ..STEADY } } },
)]
fn a_configuration_is_in_force_after_a_restore(case: RestoreCase) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes =
            PlatformSizes { port: case.port, entries: ENTRIES, prefill: 1, decode: 1, plain: 1 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        fleet.store.set_faults(case.faults);
        fleet.configure(4, ENGINES);
        sleep(Duration::from_millis(2500)).await;
        for version in [6, 9] {
            fleet.configure(version, ENGINES);
            sleep(Duration::from_millis(900)).await;
        }
        for restore in case.restores {
            fleet.store.restore(restore).await;
            assert!(versions(&fleet).await.iter().all(|version| *version >= 4));
        }
        fleet.configure(11, ENGINES);
        let written = Instant::now();
        while versions(&fleet).await != [11; ENTRIES] {
            let time = written.elapsed();
            assert!(time < APPLY_TIME + UNSTEADY_TIME, "logs in {}", fleet.folder().display());
            sleep(Duration::from_millis(50)).await;
        }
        fleet.configure(12, ENGINES);
        sleep(APPLY_TIME).await;
        assert_eq!(versions(&fleet).await, [12; ENTRIES]);
    });
}

/// Returns the version that is in force at each entry.
async fn versions(fleet: &PlatformFleet) -> Vec<u64> {
    let mut versions = Vec::new();
    for index in 0..ENTRIES {
        let url = format!("http://{}/metrics", fleet.inspection(index));
        let client = emulator::load::LoadClient::default();
        let response = client.send(hyper::Method::GET, &url, &[], bytes::Bytes::new()).await;
        let body = response.unwrap().1;
        let text = String::from_utf8_lossy(&body).into_owned();
        let name = "sapphirewell_configuration_version ";
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        versions.push(line.unwrap().parse().unwrap());
    }
    versions
}
