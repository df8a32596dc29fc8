//! Guards against requests to a target that states in its responses that it leaves, while its
//! registration still says that it is ready.

use std::time::Duration;

use emulator::stand_in::{
    caller::{CallerKind, CallerRequest},
    fleet::{PlatformFleet, PlatformSizes, mixed_requests},
    referee,
    runner::RunnerFaults,
};
use yare::parameterized;

const PAUSE: Duration = Duration::from_millis(15);
/// Time in which entries learn it from each other's reports, also if one is lost.
const TELL_TIME: Duration = Duration::from_millis(1000);

/// Targets by index: 0 and 1 prefill, 2 to 4 decode, 5 to 7 are plain services.
#[parameterized(
    prefill_engine = { 22_500, 0, RunnerFaults::default() },
    decode_engine = { 22_510, 2, RunnerFaults::default() },
    plain_service = { 22_520, 5, RunnerFaults::default() },
    declining_service = { 22_530, 5, RunnerFaults { decline: true, ..RunnerFaults::default() } },
    failing_service = { 22_540, 5, RunnerFaults { fail: true, ..RunnerFaults::default() } },
    unframed_engine = { 22_550, 2, RunnerFaults { unframed: true, ..RunnerFaults::default() } },
)]
fn no_entry_sends_it_requests_once_one_has_read_it(port: u16, index: usize, faults: RunnerFaults) {
    run(async {
        let sizes = PlatformSizes { port, entries: 2, prefill: 2, decode: 3, plain: 3 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        fleet.runners[index].set_faults(RunnerFaults { says_leaving: true, ..faults });
        fleet.play(mixed_requests(40), PAUSE).await;
        tokio::time::sleep(TELL_TIME).await;
        let before = work(&fleet, index);
        assert!(before > 0, "no request has reached the target");
        let again = mixed_requests(120)
            .into_iter()
            .map(|request| CallerRequest { id: format!("again-{}", request.id), ..request });
        let records = fleet.play(again.collect(), PAUSE).await;
        assert_eq!(work(&fleet, index), before);
        assert!(referee::whole(&records) >= 118, "{} whole", referee::whole(&records));
    });
}

#[test]
fn a_new_start_of_the_target_gets_requests() {
    run(async {
        let sizes = PlatformSizes { port: 22_560, entries: 1, prefill: 1, decode: 1, plain: 1 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        let plain = fleet.runners.last().unwrap();
        plain.set_faults(RunnerFaults { says_leaving: true, ..RunnerFaults::default() });
        let ticket = |id: &str| vec![CallerRequest::new(id, CallerKind::Ticket, 1)];
        assert_eq!(referee::whole(&fleet.play(ticket("first"), PAUSE).await), 1);
        assert_eq!(referee::whole(&fleet.play(ticket("second"), PAUSE).await), 0);
        plain.set_faults(RunnerFaults::default());
        plain.restart_with_version(&fleet.store, "v1");
        tokio::time::sleep(TELL_TIME * 2).await;
        assert_eq!(referee::whole(&fleet.play(ticket("third"), PAUSE).await), 1);
    });
}

fn work(fleet: &PlatformFleet, index: usize) -> u64 {
    let runner = &fleet.runners[index];
    runner.runs().len() as u64 + runner.prefills() + runner.declined().len() as u64
}

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}
