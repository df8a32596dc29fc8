//! Two entries ordered one engine with the same fencing token, as a restored store gave out an
//! offset again.

use std::time::Duration;

use emulator::stand_in::{
    caller::{CallerKind, CallerRequest, send},
    fleet::{PlatformFleet, PlatformSizes},
    orders::OrderRecord,
    store::StoreRestore,
};
use tokio::time::sleep;

const SIZES: PlatformSizes =
    PlatformSizes { port: 23_370, entries: 2, prefill: 1, decode: 5, plain: 1 };
/// Time until an entry may send orders after the last holder is lost.
const AUTHORITY_DELAY: Duration = Duration::from_secs(9);
/// Pause between requests with long prompts that share no segments.
const REQUEST_PAUSE: Duration = Duration::from_millis(30);
/// A copy from before the claim.
const RESTORE: StoreRestore = StoreRestore {
    copy_age: Duration::from_secs(14),
    away: Duration::from_millis(600),
    holds_polls: false,
    rewrite_delay: Duration::ZERO,
};

fn orders(fleet: &PlatformFleet) -> Vec<OrderRecord> {
    fleet.runners.iter().flat_map(|runner| runner.orders()).collect()
}

async fn send_long_prompts(fleet: &PlatformFleet, entry: usize, first: u64) {
    let mut calls = Vec::new();
    for number in first..first + 150 {
        let request = CallerRequest::new(format!("prompt-{number}"), CallerKind::Dossier, number);
        calls.push(tokio::spawn(send(fleet.entry(entry), request)));
        sleep(REQUEST_PAUSE).await;
    }
    for call in calls {
        call.await.unwrap();
    }
}

/// The holder ends as the store loses its claim, and the other entry claims at its offset.
#[test]
fn a_claim_after_a_restore_has_a_higher_token() {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let mut fleet = PlatformFleet::spawn(SIZES).await.unwrap();
        sleep(AUTHORITY_DELAY).await;
        send_long_prompts(&fleet, 0, 1000).await;
        let first = orders(&fleet);
        assert!(!first.is_empty(), "logs in {}", fleet.folder().display());
        let holder = first[0].holder.clone();
        let ended = usize::from(holder == "front-1");
        fleet.store.restore(RESTORE).await;
        fleet.entries[ended].signal("KILL").unwrap();
        fleet.entries[ended].wait(Duration::from_secs(2)).ok();
        fleet.runners.iter().for_each(|runner| runner.reset_kind());
        sleep(AUTHORITY_DELAY).await;
        send_long_prompts(&fleet, 1 - ended, 2000).await;
        let later: Vec<OrderRecord> =
            orders(&fleet).into_iter().filter(|order| order.holder != holder).collect();
        assert!(!later.is_empty(), "logs in {}", fleet.folder().display());
        let highest = first.iter().map(|order| order.fence).max().unwrap();
        assert!(later.iter().all(|order| order.fence > highest), "{first:?}, then {later:?}");
    });
}
