//! Keys of customers at real entries: changes by versions, an absent store, and entries that start.

use std::time::Duration;

use emulator::stand_in::{
    caller::{CallerKind, CallerOutcome, CallerRequest, send},
    fleet::{PlatformFleet, PlatformSizes},
    kept_connection::KeptConnection,
    store::StoreFaults,
};

/// Customers before and after one of them loses a key and another one all of its keys.
const BEFORE: [(&str, &[&str]); 2] =
    [("first", &["secret-1", "secret-2"]), ("second", &["secret-3"])];
const AFTER: [(&str, &[&str]); 2] = [("first", &["secret-2", "secret-4"]), ("second", &[])];
/// Time within which entries apply a version that the store acknowledged.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);
/// Time from a start within which records are copied from a peer.
const COPY_TIME: Duration = Duration::from_millis(1500);

/// Time after which no long poll is held that began before the store turned its callers away.
const POLL_TIME: Duration = Duration::from_secs(2);

const UNAUTHORIZED: CallerOutcome = CallerOutcome::Own { status: 401, retry_after: false };

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}

async fn configured_fleet(port: u16) -> PlatformFleet {
    let sizes = PlatformSizes { port, entries: 2, prefill: 1, decode: 1, plain: 1 };
    let fleet = PlatformFleet::spawn(sizes).await.unwrap();
    fleet.configure_customers(2, &BEFORE);
    tokio::time::sleep(CONFIGURATION_BOUND).await;
    fleet
}

fn request(name: &str, key: &str) -> CallerRequest {
    let id = format!("{name}-{}", key.replace("secret", "key"));
    CallerRequest::new(id, CallerKind::Dossier, 1).with_key(key)
}

/// Sends a request with each key to an entry and returns the outcomes.
async fn outcomes(
    fleet: &PlatformFleet,
    entry: usize,
    name: &str,
    keys: &[&str],
) -> Vec<CallerOutcome> {
    let mut outcomes = Vec::new();
    for key in keys {
        outcomes.push(send(fleet.entry(entry), request(name, key)).await.outcome);
    }
    outcomes
}

/// Checks that all calls at targets name a customer of the platform and hold no credentials, and
/// that no log holds a key.
fn check_secrecy(fleet: &PlatformFleet) {
    let mut calls = 0;
    for call in fleet.runners.iter().flat_map(|runner| runner.received()) {
        assert!(!call.has_credentials, "{call:?}");
        let customer = call.customer.as_deref();
        assert!(matches!(customer, Some("first" | "second")), "{call:?}");
        calls += 1;
    }
    assert!(calls > 0);
    for file in std::fs::read_dir(fleet.folder()).unwrap() {
        let path = file.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let quoted = text.lines().find(|line| line.contains("secret-"));
        assert_eq!(quoted, None, "in {}", path.display());
    }
}

#[test]
fn a_version_changes_the_keys_on_a_kept_connection_too() {
    run(async {
        let fleet = configured_fleet(25_000).await;
        let mut kept = KeptConnection::open(fleet.entry(0)).await.unwrap();
        let first = kept.send(request("before", "secret-1")).await;
        assert_eq!(first.caller.outcome, CallerOutcome::Whole, "logs in {:?}", fleet.folder());
        assert_eq!(outcomes(&fleet, 1, "early", &["secret-4"]).await, [UNAUTHORIZED]);
        fleet.configure_customers(3, &AFTER);
        tokio::time::sleep(CONFIGURATION_BOUND).await;
        let removed = kept.send(request("after", "secret-1")).await;
        assert_eq!(removed.caller.outcome, UNAUTHORIZED);
        let known = kept.send(request("after", "secret-2")).await;
        assert_eq!(known.caller.outcome, CallerOutcome::Whole);
        for entry in 0..2 {
            let keys = ["secret-1", "secret-3", "secret-4"];
            let outcomes = outcomes(&fleet, entry, &format!("late-{entry}"), &keys).await;
            assert_eq!(outcomes, [UNAUTHORIZED, UNAUTHORIZED, CallerOutcome::Whole]);
        }
        check_secrecy(&fleet);
    });
}

#[test]
fn a_removed_key_is_refused_once_the_store_is_back() {
    run(async {
        let fleet = configured_fleet(25_020).await;
        fleet.store.set_faults(StoreFaults { busy: true, ..StoreFaults::default() });
        tokio::time::sleep(POLL_TIME).await;
        fleet.configure_customers(3, &AFTER);
        tokio::time::sleep(CONFIGURATION_BOUND).await;
        let away = outcomes(&fleet, 0, "away", &["secret-1", "secret-2", "secret-5"]).await;
        assert_eq!(away, [CallerOutcome::Whole, CallerOutcome::Whole, UNAUTHORIZED]);
        fleet.store.set_faults(StoreFaults::default());
        tokio::time::sleep(CONFIGURATION_BOUND).await;
        let back = outcomes(&fleet, 0, "back", &["secret-1", "secret-2"]).await;
        assert_eq!(back, [UNAUTHORIZED, CallerOutcome::Whole]);
        check_secrecy(&fleet);
    });
}

#[test]
fn an_entry_killed_between_two_versions_starts_with_the_newest() {
    run(async {
        let mut fleet = configured_fleet(25_040).await;
        fleet.entries[0].signal("KILL").unwrap();
        fleet.entries[0].wait(Duration::from_secs(2)).ok();
        fleet.configure_customers(3, &AFTER);
        fleet.entries[0] = fleet.start_entry(0).unwrap();
        fleet.wait_until_ready(0).await.unwrap();
        let served = outcomes(&fleet, 0, "started", &["secret-1", "secret-4"]).await;
        assert_eq!(served, [UNAUTHORIZED, CallerOutcome::Whole]);
        check_secrecy(&fleet);
    });
}

#[test]
fn an_entry_that_starts_without_the_store_copies_the_keys_from_a_peer() {
    run(async {
        let mut fleet = configured_fleet(25_060).await;
        fleet.store.set_faults(StoreFaults { busy: true, ..StoreFaults::default() });
        tokio::time::sleep(CONFIGURATION_BOUND).await;
        fleet.entries[0].signal("KILL").unwrap();
        fleet.entries[0].wait(Duration::from_secs(2)).ok();
        fleet.entries[0] = fleet.start_entry(0).unwrap();
        tokio::time::sleep(COPY_TIME).await;
        let served = outcomes(&fleet, 0, "copied", &["secret-1", "secret-4"]).await;
        assert_eq!(served, [CallerOutcome::Whole, UNAUTHORIZED]);
        check_secrecy(&fleet);
    });
}
