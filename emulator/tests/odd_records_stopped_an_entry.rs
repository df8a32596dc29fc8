//! Guards against entries that end, or stop following the targets, at a record that another
//! writer left.

use std::time::Duration;

use emulator::stand_in::{
    fleet::{PlatformFleet, PlatformSizes, mixed_requests},
    referee,
};
use serde_json::json;
use yare::parameterized;

const PAUSE: Duration = Duration::from_millis(15);
/// Time in which targets renew their registrations several times and entries read that.
const READ_TIME: Duration = Duration::from_millis(2500);
/// The only plain service, whose key gets the odd records too: 0 and 1 prefill, 2 to 4 decode.
const OVERWRITTEN: usize = 5;

/// All keyed topics that entries read beside the configuration.
const TOPICS: [&str; 6] = [
    "keyed.servers",
    "keyed.entries",
    "keyed.segments",
    "keyed.crashes",
    "keyed.versions",
    "keyed.claims",
];

/// What is odd about the records.
#[derive(Debug, Clone, Copy)]
enum OddRecord {
    Nested,
    NumberTooLarge,
    PortOutOfRange,
    LargestNumbers,
    NoText,
    CutShort,
}

impl OddRecord {
    fn value(self, fleet: &PlatformFleet) -> Vec<u8> {
        let runner = &fleet.runners[OVERWRITTEN];
        let registration = |address: &str, number: u64| {
            json!({
                "service": &*runner.service, "address": address, "zone": "zone-a", "version": "v1",
                "slots": 6, "state": "ready", "sequence": number, "born": number,
            })
            .to_string()
        };
        let address = runner.address.to_string();
        match self {
            OddRecord::Nested => {
                let nested = "[".repeat(60_000) + &"]".repeat(60_000);
                registration(&address, 1).replace("\"ready\"", &nested).into_bytes()
            }
            OddRecord::NumberTooLarge => {
                registration(&address, 1).replace(":6", ":1e400").into_bytes()
            }
            OddRecord::PortOutOfRange => registration("127.0.0.1:99999", 1).into_bytes(),
            OddRecord::LargestNumbers => registration(&address, u64::MAX).into_bytes(),
            OddRecord::NoText => vec![0xff, 0xfe, 0, 1],
            OddRecord::CutShort => registration(&address, 1).into_bytes()[..40].to_vec(),
        }
    }
}

#[parameterized(
    nested = { 22_800, OddRecord::Nested },
    number_too_large = { 22_810, OddRecord::NumberTooLarge },
    port_out_of_range = { 22_820, OddRecord::PortOutOfRange },
    largest_numbers = { 22_830, OddRecord::LargestNumbers },
    no_text = { 22_840, OddRecord::NoText },
    cut_short = { 22_850, OddRecord::CutShort },
)]
fn entries_go_on_to_follow_the_targets(port: u16, odd: OddRecord) {
    run(async {
        let sizes = PlatformSizes { port, entries: 2, prefill: 2, decode: 3, plain: 1 };
        let mut fleet = PlatformFleet::spawn(sizes).await.unwrap();
        let value = odd.value(&fleet);
        let living = fleet.runners[OVERWRITTEN].instance();
        for topic in TOPICS {
            fleet.store.put(topic, "odd", Some(&value));
        }
        fleet.store.put("keyed.servers", &living, Some(&value));
        tokio::time::sleep(READ_TIME).await;
        // One entry reads the records at its start. The other gets the requests for the plain service.
        fleet.entries[0].signal("KILL").unwrap();
        fleet.entries[0].wait(Duration::from_secs(2)).ok();
        fleet.entries[0] = fleet.start_entry(0).unwrap();
        fleet.wait_until_ready(0).await.unwrap();
        fleet.set_state(OVERWRITTEN, "draining");
        fleet.runners[OVERWRITTEN].register(&fleet.store, "draining");
        tokio::time::sleep(READ_TIME).await;
        // Calls for the target of the odd record, at the same address, do not run.
        let before = fleet.runners[OVERWRITTEN].runs().len();
        let records = fleet.play(mixed_requests(120), PAUSE).await;
        let logs = fleet.folder().display().to_string();
        assert_eq!(fleet.runners[OVERWRITTEN].runs().len(), before, "logs in {logs}");
        // Half of them need the plain service.
        assert!(referee::whole(&records) >= 58, "{} whole", referee::whole(&records));
        assert_eq!(fleet.judge(&records), vec![], "logs in {logs}");
        assert_eq!(fleet.stop().unwrap(), Vec::<String>::new(), "logs in {logs}");
    });
}

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}
