//! Inspection endpoint of an entry, and the records that a starting entry copies from a peer.

use std::{net::SocketAddr, time::Duration};

use emulator::stand_in::{
    caller::{CallerKind, CallerRequest},
    fleet::{ENGINES, PlatformFleet, PlatformSizes, mixed_requests},
    referee,
    store::StoreFaults,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Time for which the store is unavailable before the process starts. A long poll from
/// before may take 1.5 s of it.
const OUTAGE: Duration = Duration::from_secs(4);
const REQUEST_PAUSE: Duration = Duration::from_millis(10);

fn sizes(port: u16) -> PlatformSizes {
    PlatformSizes { port, entries: 2, prefill: 2, decode: 3, plain: 2 }
}

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}

async fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.unwrap();
    String::from_utf8_lossy(&response).into_owned()
}

fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(&format!("sapphirewell_{name} ")));
    line.unwrap_or_else(|| panic!("{name} in {text}")).rsplit(' ').next().unwrap().parse().unwrap()
}

#[test]
fn a_process_that_starts_during_a_store_outage_copies_records_from_a_peer() {
    run(async {
        let mut fleet = PlatformFleet::spawn(sizes(22_700)).await.unwrap();
        fleet.configure(5, ENGINES);
        tokio::time::sleep(Duration::from_millis(600)).await;
        fleet.store.set_faults(StoreFaults { busy: true, ..StoreFaults::default() });
        tokio::time::sleep(OUTAGE).await;
        fleet.entries[0].signal("KILL").unwrap();
        fleet.entries[0].wait(Duration::from_secs(2)).ok();
        fleet.entries[0] = fleet.start_entry(0).unwrap();
        tokio::time::sleep(Duration::from_millis(1500)).await;
        assert!(fleet.is_ready(0).await, "logs in {}", fleet.folder().display());
        let state = get(fleet.inspection(0), "/state").await;
        assert!(state.contains("\"version\": 5"), "{state:.600}");
        let age = metric(&get(fleet.inspection(0), "/metrics").await, "configuration_age_seconds");
        assert!(age >= OUTAGE.as_secs_f64(), "a copy has the age of the peer's last read: {age} s");
        let note = |n| CallerRequest::new(format!("copied-{n}"), CallerKind::Note, n);
        for n in 0..10 {
            let record = emulator::stand_in::caller::send(fleet.entry(0), note(n)).await;
            assert_eq!(referee::whole(&[record]), 1);
        }
        // Records that the store returns later replace the copied ones.
        fleet.store.set_faults(StoreFaults::default());
        fleet.configure(6, ENGINES);
        tokio::time::sleep(Duration::from_millis(2500)).await;
        assert!(get(fleet.inspection(0), "/state").await.contains("\"version\": 6"));
    });
}

#[test]
fn metrics_count_request_ends_and_report_record_ages() {
    run(async {
        let fleet = PlatformFleet::spawn(sizes(22_720)).await.unwrap();
        let records = fleet.play(mixed_requests(80), REQUEST_PAUSE).await;
        assert_eq!(referee::whole(&records), 80);
        let mut ends = 0;
        for entry in 0..2 {
            let text = get(fleet.inspection(entry), "/metrics").await;
            for name in ["first_seconds_bucket", "store_seconds_count", "configuration_age_seconds"]
            {
                assert!(text.contains(&format!("sapphirewell_{name}")), "{name} in {text}");
            }
            assert!(text.contains("sapphirewell_targets 7"), "{text}");
            assert!(text.contains("sapphirewell_configuration_version 1"), "{text}");
            let whole = text.lines().find(|line| line.contains("end=\"whole\"")).unwrap();
            ends += whole.rsplit(' ').next().unwrap().parse::<usize>().unwrap();
        }
        assert_eq!(ends, 80);
        assert!(get(fleet.inspection(0), "/other").await.starts_with("HTTP/1.1 404"));
    });
}
