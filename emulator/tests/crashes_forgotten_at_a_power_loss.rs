//! Guards against entries that forget the crashes under a request when all of them are killed.

use std::{net::Ipv4Addr, time::Duration};

use bytes::Bytes;
use emulator::stand_in::{
    caller::{CallerKind, CallerRequest, send},
    fleet::{PlatformFleet, PlatformSizes},
    runner::{RunnerFaults, RunnerModel},
};
use hyper::Method;
use yare::parameterized;

const NAME: &str = "crashing";
const PAUSE: Duration = Duration::from_millis(150);
/// Time in which entries confirm a crash, report it to each other and write it to the store.
const KEEP_TIME: Duration = Duration::from_millis(800);
/// Number of power losses, and of sendings and crashes before each.
const POWER_LOSSES: usize = 4;
const SENDINGS: usize = 20;
const CRASHES: usize = 2;
/// Crash from which the users count, and the largest number of repeats after it.
const COUNTED_CRASH: usize = 3;
const MAX_REACHED: usize = 3;

#[parameterized(
    one_caller = { 22_870, false },
    each_caller_once = { 22_880, true },
)]
fn a_request_is_blocked_although_all_entries_are_killed(port: u16, caller_changes: bool) {
    run(async {
        let sizes = PlatformSizes { port, entries: 2, prefill: 1, decode: 1, plain: 3 };
        let mut fleet = PlatformFleet::spawn(sizes).await.unwrap();
        let faults =
            RunnerFaults { crashing_requests: vec![NAME.to_owned()], ..RunnerFaults::default() };
        fleet.runners.iter().for_each(|runner| runner.set_faults(faults.clone()));
        let mut sending = 0;
        for _ in 0..POWER_LOSSES {
            let before = crashes(&fleet);
            for _ in 0..SENDINGS {
                sending += 1;
                send(fleet.entry(sending % 2), request(sending, caller_changes)).await;
                tokio::time::sleep(PAUSE).await;
                if crashes(&fleet) >= before + CRASHES {
                    break;
                }
            }
            tokio::time::sleep(KEEP_TIME).await;
            restart_all(&mut fleet).await;
        }
        let ended = crashes(&fleet);
        let expected = COUNTED_CRASH..=COUNTED_CRASH + MAX_REACHED;
        assert!(expected.contains(&ended), "{ended} ended, {}", fleet.folder().display());
    });
}

async fn restart_all(fleet: &mut PlatformFleet) {
    for index in 0..2 {
        fleet.entries[index].signal("KILL").unwrap();
        fleet.entries[index].wait(Duration::from_secs(2)).ok();
    }
    for index in 0..2 {
        fleet.entries[index] = fleet.start_entry(index).unwrap();
        fleet.wait_until_ready(index).await.unwrap();
    }
}

fn request(sending: usize, caller_changes: bool) -> CallerRequest {
    let mut request = CallerRequest::new(format!("{NAME}-{sending}"), CallerKind::Lookup, 0);
    request.method = Method::GET;
    request.path_rest = "thing".to_owned();
    request.body = Bytes::new();
    let host = if caller_changes { 10 + sending as u8 } else { 2 };
    request.source = Ipv4Addr::new(127, 0, 0, host);
    request
}

fn crashes(fleet: &PlatformFleet) -> usize {
    fleet.runners.iter().map(|runner| RunnerModel::crashes(runner).len()).sum()
}

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}
