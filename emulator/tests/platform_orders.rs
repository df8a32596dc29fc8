//! Engines change their parts as the load asks for, ordered by one entry at a time.

use std::time::Duration;

use emulator::stand_in::{
    caller::{CallerKind, CallerRequest},
    fleet::{PlatformFleet, PlatformSizes},
    orders::OrderRecord,
};

const SIZES: PlatformSizes =
    PlatformSizes { port: 22_750, entries: 2, prefill: 1, decode: 5, plain: 1 };
/// Time after which an entry claims, waits and may order: 5 s of silence, then
/// the stand-in's lease of 0.5 s and 2 s for an order on its way.
const AUTHORITY: Duration = Duration::from_secs(8);
/// Long prompts without shared subjects, more than one engine reads.
const PAUSE: Duration = Duration::from_millis(30);

fn dossiers(name: &str, subjects: u64) -> Vec<CallerRequest> {
    let dossier = |n| CallerRequest::new(format!("{name}-{n}"), CallerKind::Dossier, subjects + n);
    (0..150).map(dossier).collect()
}

fn orders(fleet: &PlatformFleet) -> Vec<OrderRecord> {
    fleet.runners.iter().flat_map(|runner| runner.orders()).collect()
}

#[test]
fn prompts_that_wait_get_another_reader_from_one_entry_and_after_its_end_from_the_next() {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let mut fleet = PlatformFleet::spawn(SIZES).await.unwrap();
        tokio::time::sleep(AUTHORITY).await;
        assert_eq!(orders(&fleet), [], "calm engines keep their parts");
        let mut records = fleet.play(dossiers("first", 1000), PAUSE).await;
        assert_eq!(fleet.judge(&records), []);
        let first = orders(&fleet);
        assert!(!first.is_empty(), "logs in {}", fleet.folder().display());
        assert!(first.iter().all(|order| order.stage == "prefill"), "{first:?}");
        let holder = first[0].holder.clone();
        assert!(first.iter().all(|order| order.holder == holder), "{first:?}");
        let ended = usize::from(holder == "front-1");
        fleet.entries[ended].signal("KILL").unwrap();
        fleet.entries[ended].wait(Duration::from_secs(2)).ok();
        fleet.runners.iter().for_each(|runner| runner.set_kind_back());
        tokio::time::sleep(AUTHORITY).await;
        let other = fleet.entry(1 - ended);
        let mut calls = Vec::new();
        for request in dossiers("second", 2000) {
            calls.push(tokio::spawn(emulator::stand_in::caller::send(other, request)));
            tokio::time::sleep(PAUSE).await;
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
