//! After a loss of power at all VMs, hundreds of starting entries copied the records of the few that
//! the settings name, beside the store that answered them. The copies used up the links and the
//! memory of those.

use std::time::Duration;

use emulator::{
    load::LoadClient,
    stand_in::{
        fleet::{PlatformFleet, PlatformSizes},
        store::StoreFaults,
    },
};
use hyper::Method;
use tokio::time::{Instant, sleep};

/// Routes of the configuration, so that a copy has 0.9 MB.
const ROUTES: usize = 4000;
/// Time for which a change takes effect.
const EFFECT_TIME: Duration = Duration::from_secs(5);

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}

async fn metric(fleet: &PlatformFleet, entry: usize, name: &str) -> f64 {
    let url = format!("http://{}/metrics", fleet.inspection(entry));
    let response = LoadClient::default().send(Method::GET, &url, &[], Default::default()).await;
    let Ok((200, text)) = response else { return 0.0 };
    let text = String::from_utf8(text.to_vec()).unwrap();
    let line = text.lines().find(|line| line.starts_with(&format!("sapphirewell_{name} ")));
    line.map_or(0.0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
}

async fn wait_for_version(fleet: &PlatformFleet, entry: usize, version: u64) {
    let started = Instant::now();
    while metric(fleet, entry, "configuration_version").await as u64 != version {
        assert!(started.elapsed() < EFFECT_TIME, "logs in {}", fleet.folder().display());
        sleep(Duration::from_millis(50)).await;
    }
}

/// A start takes longer than usual, as its store is slow; its peers are not asked for what it gets.
#[test]
fn a_process_asks_no_peer_while_the_store_answers() {
    run(async {
        let sizes = PlatformSizes { port: 24_390, entries: 2, prefill: 1, decode: 1, plain: 1 };
        let mut fleet = PlatformFleet::spawn(sizes).await.unwrap();
        fleet.configure_routes(11, ROUTES);
        wait_for_version(&fleet, 0, 11).await;
        wait_for_version(&fleet, 1, 11).await;
        let faults = StoreFaults { delay: Duration::from_millis(200), ..StoreFaults::default() };
        fleet.store.set_faults(faults);
        fleet.entries[1].signal("KILL").unwrap();
        fleet.entries[1].wait(Duration::from_secs(2)).ok();
        fleet.entries[1] = fleet.start_entry(1).unwrap();
        wait_for_version(&fleet, 1, 11).await;
        assert!(metric(&fleet, 0, "copied_bytes_total").await < 1.0);
    });
}
