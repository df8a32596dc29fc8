//! Entries kept an old configuration as long as the new one took more time on their link than a
//! read of the store was given.

use std::time::Duration;

use bytes::Bytes;
use emulator::{
    load::LoadClient,
    stand_in::{
        fleet::{ENGINES, PlatformFleet, PlatformSizes},
        serve,
        store::StoreFaults,
        throttle::{LinkRate, ThrottledLink},
    },
};
use hyper::Response;
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// Routes of the large configuration, which has 0.9 MB.
const ROUTES: usize = 4000;
/// What callers' traffic leaves of a link of 10 Mbit/s for reads of the store.
const LINK: LinkRate = LinkRate { bytes_per_second: 0.6 * 1.25e6, stalls_after: None };
/// The bound on a configuration, and what an unsteady store adds to it at most.
const APPLY_TIME: Duration = Duration::from_millis(2000 + 3000);
/// Time for which the store is away.
const OUTAGE: Duration = Duration::from_secs(4);
/// Pause between versions that follow each other.
const VERSION_PAUSE: Duration = Duration::from_millis(350);

/// What happens around the versions of a large configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkTrouble {
    /// Nothing.
    None,
    /// The store does not answer when they are written.
    StoreSilent,
    /// The store closes connections when they are written.
    StoreAway,
    /// The entry starts after they were written.
    Start,
    /// The first response stops within its body, on an open connection.
    Stall,
    /// The bytes of the first response come one by one.
    Trickle,
}

/// A link and its load: how often a large configuration is written, in which trouble.
struct LinkCase {
    port: u16,
    versions: u64,
    trouble: LinkTrouble,
}

#[parameterized(
    one_version = { LinkCase { port: 24_300, versions: 1, trouble: LinkTrouble::None } },
    versions_in_quick_succession = { LinkCase { port: 24_310, versions: 8, trouble: LinkTrouble::None } },
    store_did_not_answer = { LinkCase { port: 24_320, versions: 4, trouble: LinkTrouble::StoreSilent } },
    store_closed_connections = { LinkCase { port: 24_330, versions: 4, trouble: LinkTrouble::StoreAway } },
    entry_starts = { LinkCase { port: 24_340, versions: 4, trouble: LinkTrouble::Start } },
    response_stalls = { LinkCase { port: 24_350, versions: 1, trouble: LinkTrouble::Stall } },
    response_trickles = { LinkCase { port: 24_360, versions: 1, trouble: LinkTrouble::Trickle } },
)]
fn a_large_configuration_is_in_force_in_time(case: LinkCase) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port: case.port, entries: 1, prefill: 1, decode: 1, plain: 1 };
        let mut fleet = PlatformFleet::spawn(sizes).await.unwrap();
        fleet.configure(4, ENGINES);
        sleep(Duration::from_millis(500)).await;
        fleet.store.set_link(LINK);
        begin(&mut fleet, case.trouble);
        let newest = 10 + case.versions;
        for version in 11..=newest {
            fleet.configure_routes(version, ROUTES);
            sleep(VERSION_PAUSE).await;
        }
        end(&mut fleet, case.trouble).await;
        let started = Instant::now();
        while version(&fleet).await != Some(newest) {
            assert!(started.elapsed() < APPLY_TIME, "logs in {}", fleet.folder().display());
            sleep(Duration::from_millis(50)).await;
        }
    });
}

/// An entry that starts while the store is away copies the records of a peer over the link.
#[test]
fn a_large_configuration_is_copied_from_a_peer() {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port: 24_370, entries: 2, prefill: 1, decode: 1, plain: 1 };
        let mut fleet = PlatformFleet::spawn(sizes).await.unwrap();
        fleet.configure_routes(11, ROUTES);
        let started = Instant::now();
        while version(&fleet).await != Some(11) {
            assert!(started.elapsed() < APPLY_TIME, "logs in {}", fleet.folder().display());
            sleep(Duration::from_millis(50)).await;
        }
        let url = format!("http://{}/records", fleet.inspection(0));
        let client = LoadClient::default();
        let records = client.send(hyper::Method::GET, &url, &[], Bytes::new()).await.unwrap().1;
        fleet.store.set_faults(StoreFaults { silent: true, ..StoreFaults::default() });
        fleet.entries.clear();
        let link = ThrottledLink::new(LINK);
        let answer = move |_| std::future::ready(Ok(Response::new(link.carry(records.clone()))));
        serve(fleet.inspection(1).port(), answer).await.unwrap();
        let entry = fleet.start_entry(0).unwrap();
        fleet.entries.push(entry);
        let started = Instant::now();
        while version(&fleet).await != Some(11) {
            assert!(started.elapsed() < APPLY_TIME, "logs in {}", fleet.folder().display());
            sleep(Duration::from_millis(50)).await;
        }
    });
}

fn begin(fleet: &mut PlatformFleet, trouble: LinkTrouble) {
    let steady = StoreFaults::default();
    match trouble {
        LinkTrouble::None => {}
        LinkTrouble::StoreSilent => fleet.store.set_faults(StoreFaults { silent: true, ..steady }),
        LinkTrouble::StoreAway => fleet.store.set_faults(StoreFaults { away: true, ..steady }),
        LinkTrouble::Start => fleet.entries.clear(),
        LinkTrouble::Stall => {
            fleet.store.set_link(LinkRate { stalls_after: Some(200_000), ..LINK });
        }
        LinkTrouble::Trickle => {
            fleet.store.set_link(LinkRate { bytes_per_second: 12_000.0, ..LINK });
        }
    }
}

async fn end(fleet: &mut PlatformFleet, trouble: LinkTrouble) {
    match trouble {
        LinkTrouble::None => {}
        LinkTrouble::StoreSilent | LinkTrouble::StoreAway => {
            sleep(OUTAGE).await;
            fleet.store.set_faults(StoreFaults::default());
        }
        LinkTrouble::Start => {
            let entry = fleet.start_entry(0).unwrap();
            fleet.entries.push(entry);
        }
        LinkTrouble::Stall | LinkTrouble::Trickle => fleet.store.set_link(LINK),
    }
}

/// Returns the version that is in force at the entry, if it runs.
async fn version(fleet: &PlatformFleet) -> Option<u64> {
    let url = format!("http://{}/metrics", fleet.inspection(0));
    let response = LoadClient::default().send(hyper::Method::GET, &url, &[], Bytes::new()).await;
    let text = String::from_utf8_lossy(&response.ok()?.1).into_owned();
    let name = "sapphirewell_configuration_version ";
    text.lines().find_map(|line| line.strip_prefix(name))?.parse().ok()
}
