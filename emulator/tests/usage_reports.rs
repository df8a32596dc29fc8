//! Real entries report customers' usage: each window once, whatever happens to the holder.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use emulator::stand_in::{
    caller::{CallerKind, CallerRequest, send},
    duty_platform::DutyCallRecord,
    fleet::{PlatformFleet, PlatformSizes},
    store::StoreRestore,
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};
use yare::parameterized;

const ENTRIES: usize = 4;
const WINDOW: Duration = Duration::from_secs(4);
const SETTINGS: [&str; 4] = [
    "bounds.report_window_s=4",
    "bounds.usage_late_s=10",
    "bounds.lease_ms=1000",
    "cloud_api.duty_per_s=50",
];
const CUSTOMERS: [(&str, &[&str]); 2] = [("first", &["key-1"]), ("second", &["key-2"])];
/// Pause between two requests to an entry.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);
/// Time that a target works on a request.
const CALL_TIME: Duration = Duration::from_millis(20);
/// Time in which an entry claims and may report.
const SETTLING_TIME: Duration = Duration::from_secs(10);
/// Time after which all windows until now are due.
const LATENESS: Duration = Duration::from_secs(11);
/// Largest difference of a count from the truth, as a share, and in requests at a window's ends.
const TOLERANCE: (f64, f64) = (0.05, 2.0);

/// What happens to the entry that holds the duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disruption {
    None,
    Killed,
    Frozen,
    CutOff,
    /// All entries end at once, and start again.
    PowerLoss,
}

#[parameterized(
    none = { Disruption::None, 25_600 },
    holder_killed = { Disruption::Killed, 25_620 },
    holder_frozen = { Disruption::Frozen, 25_640 },
    holder_cut_off = { Disruption::CutOff, 25_660 },
    power_loss = { Disruption::PowerLoss, 25_680 },
)]
fn each_window_is_reported_once(disruption: Disruption, port: u16) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port, entries: ENTRIES, prefill: 1, decode: 1, plain: 3 };
        let mut fleet = PlatformFleet::spawn_with_duties(sizes, "usage", &SETTINGS).await.unwrap();
        fleet.configure_customers(2, &CUSTOMERS);
        sleep(SETTLING_TIME).await;
        let load = Load::spawn(&fleet);
        let from = SystemTime::now();
        sleep(WINDOW * 2).await;
        disrupt(&mut fleet, disruption).await;
        sleep(WINDOW * 3).await;
        let to = SystemTime::now();
        sleep(LATENESS).await;
        load.stop().await;
        let calls = fleet.duties.calls();
        check_one(&calls);
        check_counts(&fleet, &calls, window_at(from) + 1..window_at(to));
    });
}

/// All entries end right after a report, and the store comes back from a copy without it.
#[parameterized(
    young_copy = { 2, 25_700 },
    old_copy = { 7, 25_720 },
)]
fn a_report_that_the_store_has_lost_is_not_made_again(copy_age: u64, port: u16) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port, entries: ENTRIES, prefill: 1, decode: 1, plain: 3 };
        let mut fleet = PlatformFleet::spawn_with_duties(sizes, "usage", &SETTINGS).await.unwrap();
        fleet.configure_customers(2, &CUSTOMERS);
        sleep(SETTLING_TIME).await;
        let load = Load::spawn(&fleet);
        sleep(WINDOW * 2).await;
        let known = fleet.duties.calls().len();
        let waiting = Instant::now();
        while fleet.duties.calls().len() == known {
            assert!(waiting.elapsed() < WINDOW * 2, "no report");
            sleep(Duration::from_millis(5)).await;
        }
        (0..ENTRIES).for_each(|entry| end(&mut fleet, entry));
        let restore = StoreRestore {
            copy_age: Duration::from_secs(copy_age),
            away: Duration::from_millis(300),
            holds_polls: false,
            rewrite_delay: Duration::ZERO,
        };
        fleet.store.restore(restore).await;
        for entry in 0..ENTRIES {
            fleet.entries[entry] = fleet.start_entry(entry).unwrap();
        }
        sleep(Duration::from_secs(1)).await;
        let from = SystemTime::now();
        sleep(WINDOW * 3).await;
        let to = SystemTime::now();
        sleep(LATENESS).await;
        load.stop().await;
        let calls = fleet.duties.calls();
        check_one(&calls);
        check_counts(&fleet, &calls, window_at(from) + 1..window_at(to));
    });
}

async fn disrupt(fleet: &mut PlatformFleet, disruption: Disruption) {
    let calls = fleet.duties.calls();
    let holder = &calls.last().expect("a report before the disruption").holder;
    let holder: usize = holder.trim_start_matches("front-").parse().unwrap();
    match disruption {
        Disruption::None => {}
        Disruption::Killed => {
            end(fleet, holder);
            sleep(Duration::from_secs(2)).await;
            fleet.entries[holder] = fleet.start_entry(holder).unwrap();
        }
        Disruption::Frozen => {
            fleet.entries[holder].signal("STOP").unwrap();
            sleep(Duration::from_secs(8)).await;
            fleet.entries[holder].signal("CONT").unwrap();
        }
        Disruption::CutOff => {
            fleet.cut_from_peers(&[holder]);
            sleep(Duration::from_secs(8)).await;
            fleet.cut_from_peers(&[]);
        }
        Disruption::PowerLoss => {
            (0..ENTRIES).for_each(|entry| end(fleet, entry));
            sleep(Duration::from_millis(500)).await;
            for entry in 0..ENTRIES {
                fleet.entries[entry] = fleet.start_entry(entry).unwrap();
            }
        }
    }
}

fn end(fleet: &mut PlatformFleet, entry: usize) {
    fleet.entries[entry].signal("KILL").unwrap();
    fleet.entries[entry].wait(Duration::from_secs(2)).ok();
}

/// Callers of all entries, until they are stopped.
struct Load {
    stops: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn spawn(fleet: &PlatformFleet) -> Load {
        let stops = Arc::new(AtomicBool::new(false));
        let callers = (0..ENTRIES).map(|entry| {
            let (address, stops) = (fleet.entry(entry), stops.clone());
            tokio::spawn(async move {
                for number in 0_u64.. {
                    if stops.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("request-{entry}-{number}");
                    let key = if number % 4 == 0 { "key-2" } else { "key-1" };
                    let request = CallerRequest::new(id, CallerKind::Lookup, 1).with_key(key);
                    tokio::spawn(send(address, request));
                    sleep(REQUEST_PAUSE).await;
                }
            })
        });
        Load { callers: callers.collect(), stops }
    }

    async fn stop(self) {
        self.stops.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.await.unwrap();
        }
    }
}

type Counts = BTreeMap<String, f64>;

fn window_at(time: SystemTime) -> u64 {
    (time.duration_since(UNIX_EPOCH).unwrap().as_nanos() / WINDOW.as_nanos()) as u64
}

/// Returns the requests that targets began, by window and customer.
fn truth(fleet: &PlatformFleet) -> BTreeMap<u64, Counts> {
    let (now, time) = (Instant::now(), SystemTime::now());
    let mut truth: BTreeMap<u64, Counts> = BTreeMap::new();
    for call in fleet.runners.iter().flat_map(|runner| runner.received()) {
        // An entry counts it as its answer comes.
        let window = window_at(time - (now - call.at) + CALL_TIME);
        let customer = call.customer.expect("a customer");
        *truth.entry(window).or_default().entry(customer).or_default() += 1.0;
    }
    truth
}

/// Panics if the platform would take the calls for those of two holders, or two counts of a window.
fn check_one(calls: &[DutyCallRecord]) {
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    let mut counts: BTreeMap<u64, &serde_json::Value> = BTreeMap::new();
    let mut highest = 0;
    let mut changes: Vec<(Instant, &str)> = Vec::new();
    for call in calls {
        let holder = *holders.entry(call.fence).or_insert(&call.holder);
        assert_eq!(holder, call.holder, "two with one token");
        assert!(call.fence >= highest, "lower token after {highest}: {call:?}");
        highest = call.fence;
        let window = call.body["window"].as_u64().expect("a window");
        let known = counts.entry(window).or_insert(&call.body["counts"]);
        assert_eq!(*known, &call.body["counts"], "two counts of window {window}");
        if changes.last().is_none_or(|(_, last)| *last != holder) {
            changes.push((call.at, holder));
        }
    }
    for pair in changes.windows(3) {
        let takes_turns = pair[0].1 == pair[2].1 && pair[2].0 - pair[1].0 < Duration::from_secs(1);
        assert!(!takes_turns, "{changes:?}");
    }
}

fn check_counts(fleet: &PlatformFleet, calls: &[DutyCallRecord], windows: Range<u64>) {
    let truth = truth(fleet);
    let mut largest: f64 = 0.0;
    for window in windows.clone() {
        let call = calls.iter().find(|call| call.body["window"].as_u64() == Some(window));
        let call = call.unwrap_or_else(|| {
            panic!("window {window} missed, logs in {}", fleet.folder().display())
        });
        let none = Counts::new();
        let real = truth.get(&window).unwrap_or(&none);
        let reported: Counts = serde_json::from_value(call.body["counts"].clone()).unwrap();
        let names: BTreeSet<&String> = real.keys().chain(reported.keys()).collect();
        for name in names {
            let (real, reported) = (real.get(name), reported.get(name));
            let (real, reported) = (*real.unwrap_or(&0.0), *reported.unwrap_or(&0.0));
            let (share, requests) = TOLERANCE;
            let allowed = real * share + requests;
            largest = largest.max((real - reported).abs() / real.max(1.0));
            assert!(
                reported <= real + allowed && real <= reported + allowed,
                "window {window}, {name}: {reported} of {real}, logs in {}",
                fleet.folder().display()
            );
        }
    }
    let count = windows.count();
    println!("{count} windows, largest error {:.2} in 100", largest * 100.0);
}
