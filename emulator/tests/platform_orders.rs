//! Engines change their stage with the load, on the orders of one entry at a time.

use std::time::Duration;

use emulator::stand_in::{
    caller::{CallerKind, CallerRequest},
    fleet::{PlatformFleet, PlatformSizes},
    orders::OrderRecord,
};

const SIZES: PlatformSizes =
    PlatformSizes { port: 22_750, entries: 2, prefill: 1, decode: 5, plain: 1 };
/// Time until an entry may send orders: it claims the authority after 5 s without a
/// claimant, and then waits for the lease of 0.5 s and the 2 s that an order may take to
/// arrive.
const AUTHORITY_DELAY: Duration = Duration::from_secs(8);
/// Pause between requests with long prompts that share no segments: more prompt tokens than
/// one engine can prefill.
const REQUEST_PAUSE: Duration = Duration::from_millis(30);

fn dossiers(name: &str, first_subject: u64) -> Vec<CallerRequest> {
    let dossier =
        |n| CallerRequest::new(format!("{name}-{n}"), CallerKind::Dossier, first_subject + n);
    (0..150).map(dossier).collect()
}

fn orders(fleet: &PlatformFleet) -> Vec<OrderRecord> {
    fleet.runners.iter().flat_map(|runner| runner.orders()).collect()
}

#[test]
fn queued_prompts_get_another_prefill_engine_from_one_entry_and_after_its_crash_from_the_next() {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let mut fleet = PlatformFleet::spawn(SIZES).await.unwrap();
        tokio::time::sleep(AUTHORITY_DELAY).await;
        assert_eq!(orders(&fleet), [], "idle engines keep their stage");
        let mut records = fleet.play(dossiers("first", 1000), REQUEST_PAUSE).await;
        assert_eq!(fleet.judge(&records), []);
        let first = orders(&fleet);
        assert!(!first.is_empty(), "logs in {}", fleet.folder().display());
        assert!(first.iter().all(|order| order.stage == "prefill"), "{first:?}");
        let holder = first[0].holder.clone();
        assert!(first.iter().all(|order| order.holder == holder), "{first:?}");
        let killed = usize::from(holder == "front-1");
        fleet.entries[killed].signal("KILL").unwrap();
        fleet.entries[killed].wait(Duration::from_secs(2)).ok();
        fleet.runners.iter().for_each(|runner| runner.reset_kind());
        tokio::time::sleep(AUTHORITY_DELAY).await;
        let other = fleet.entry(1 - killed);
        let mut calls = Vec::new();
        for request in dossiers("second", 2000) {
            calls.push(tokio::spawn(emulator::stand_in::caller::send(other, request)));
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
        for call in calls {
            records.push(call.await.unwrap());
        }
        let later: Vec<OrderRecord> =
            orders(&fleet).into_iter().filter(|order| order.holder != holder).collect();
        assert!(!later.is_empty(), "logs in {}", fleet.folder().display());
        assert!(later.iter().all(|order| order.fence > first[0].fence), "{later:?}");
        assert_eq!(fleet.judge(&records), []);
    });
}
