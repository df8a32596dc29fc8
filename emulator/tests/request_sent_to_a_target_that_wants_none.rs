//! Guards against requests to a target between its 503 with `Retry-After` and the end of that
//! time.

use std::time::Duration;

use emulator::stand_in::{
    caller::{CallerKind, CallerOutcome, CallerRequest},
    fleet::{PlatformFleet, PlatformSizes, mixed_requests},
    runner::RunnerFaults,
};
use yare::parameterized;

const PAUSE: Duration = Duration::from_millis(15);
/// Time after a 503 in which requests that are on their way may still arrive.
const ARRIVAL_TIME: Duration = Duration::from_millis(500);
/// Requests that an entry may send between that time and the end of the target's.
const ALLOWED: usize = 2;

fn declining(retry_after: &str) -> RunnerFaults {
    let retry_after = Some(retry_after.to_owned());
    RunnerFaults { decline: true, retry_after, ..RunnerFaults::default() }
}

/// Targets by index: 0 and 1 prefill, 2 to 4 decode, 5 to 7 are plain services.
#[parameterized(
    prefill_engine = { 22_600, &[0] },
    decode_engines = { 22_610, &[2, 3] },
    plain_services = { 22_620, &[5, 6] },
    all_plain_services = { 22_630, &[5, 6, 7] },
)]
fn a_target_gets_no_request_in_the_time_that_it_stated(port: u16, indexes: &[usize]) {
    run(async {
        let sizes = PlatformSizes { port, entries: 1, prefill: 2, decode: 3, plain: 3 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        for index in indexes {
            fleet.runners[*index].set_faults(declining("2.5"));
        }
        fleet.play(mixed_requests(130), PAUSE).await;
        for index in indexes {
            let declined = fleet.runners[*index].declined();
            assert!(!declined.is_empty(), "target {index} got no request");
            for first in &declined {
                let closed = *first + ARRIVAL_TIME..*first + Duration::from_millis(2500);
                let arrived = declined.iter().filter(|at| closed.contains(at)).count();
                assert!(arrived <= ALLOWED, "{arrived} requests reached target {index}");
            }
        }
    });
}

#[test]
fn a_target_gets_requests_after_the_time_that_it_stated() {
    run(async {
        let sizes = PlatformSizes { port: 22_640, entries: 1, prefill: 1, decode: 1, plain: 1 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        let plain = fleet.runners.last().unwrap();
        plain.set_faults(declining("1"));
        let ticket = |id: &str| vec![CallerRequest::new(id, CallerKind::Ticket, 1)];
        let outcome = async |id: &str| fleet.play(ticket(id), PAUSE).await[0].outcome.clone();
        let refused = CallerOutcome::Own { status: 503, retry_after: true };
        assert_eq!(outcome("first").await, refused);
        plain.set_faults(RunnerFaults::default());
        assert_eq!(outcome("second").await, refused);
        tokio::time::sleep(Duration::from_millis(1100)).await;
        assert_eq!(outcome("third").await, CallerOutcome::Whole);
    });
}

/// Values that are no time have no effect beyond that of the 503 itself.
#[parameterized(
    negative = { 22_650, "-5" },
    a_date = { 22_660, "Fri, 04 Dec 2026 08:00:00 GMT" },
    no_number = { 22_670, "soon" },
    not_finite = { 22_680, "inf" },
)]
fn a_retry_after_that_is_no_time_is_ignored(port: u16, retry_after: &str) {
    run(async {
        let sizes = PlatformSizes { port, entries: 1, prefill: 1, decode: 1, plain: 1 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        let plain = fleet.runners.last().unwrap();
        plain.set_faults(declining(retry_after));
        let ticket = |id: &str| vec![CallerRequest::new(id, CallerKind::Ticket, 1)];
        fleet.play(ticket("first"), PAUSE).await;
        plain.set_faults(RunnerFaults::default());
        tokio::time::sleep(Duration::from_millis(900)).await;
        let outcome = fleet.play(ticket("second"), PAUSE).await[0].outcome.clone();
        assert_eq!(outcome, CallerOutcome::Whole);
    });
}

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}
