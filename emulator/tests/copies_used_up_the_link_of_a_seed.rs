//! After a loss of power at all VMs, hundreds of starting entries copied the records of the few that
//! the settings name, beside the store that answered them. The copies used up the links and the
//! memory of those.

use std::time::Duration;

use emulator::{
    load::LoadClient,
    stand_in::{
        fleet::{PlatformFleet, PlatformSizes},
        store::StoreFaults,
    },
};
use hyper::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep},
};

/// Routes of the configuration, so that a copy has 0.9 MB.
const ROUTES: usize = 4000;
/// Peers that copy at the same time.
const COPIES: usize = 6;
/// Those that may, of which the last one exceeds the limit of 1 MiB.
const MAX_COPIES: usize = 2;
/// Time for which a change takes effect.
const EFFECT_TIME: Duration = Duration::from_secs(5);

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}

/// Asks an entry for its records, reads the status alone, and keeps the connection.
async fn begin_copy(fleet: &PlatformFleet) -> (TcpStream, String) {
    let socket = TcpSocket::new_v4().unwrap();
    // What the kernel holds counts as sent.
    socket.set_recv_buffer_size(4096).unwrap();
    let mut stream = socket.connect(fleet.inspection(0)).await.unwrap();
    stream.write_all(b"GET /records HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.unwrap();
    (stream, String::from_utf8_lossy(&status[9..]).into_owned())
}

async fn metric(fleet: &PlatformFleet, entry: usize, name: &str) -> f64 {
    let url = format!("http://{}/metrics", fleet.inspection(entry));
    let response = LoadClient::default().send(Method::GET, &url, &[], Default::default()).await;
    let Ok((200, text)) = response else { return 0.0 };
    let text = String::from_utf8(text.to_vec()).unwrap();
    let line = text.lines().find(|line| line.starts_with(&format!("sapphirewell_{name} ")));
    line.map_or(0.0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
}

async fn wait_for_version(fleet: &PlatformFleet, entry: usize, version: u64) {
    let started = Instant::now();
    while metric(fleet, entry, "configuration_version").await as u64 != version {
        assert!(started.elapsed() < EFFECT_TIME, "logs in {}", fleet.folder().display());
        sleep(Duration::from_millis(50)).await;
    }
}

#[test]
fn copies_that_wait_to_be_sent_are_bounded() {
    run(async {
        let sizes = PlatformSizes { port: 24_380, entries: 1, prefill: 1, decode: 1, plain: 1 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        fleet.configure_routes(11, ROUTES);
        wait_for_version(&fleet, 0, 11).await;
        let mut copies = Vec::new();
        for _ in 0..COPIES {
            copies.push(begin_copy(&fleet).await);
        }
        let admitted = copies.iter().filter(|(_, status)| status == "200").count();
        assert!((1..=MAX_COPIES).contains(&admitted), "{admitted} copies at the same time");
        assert!(copies.iter().all(|(_, status)| status == "200" || status == "503"));
        // Those that are given up make room.
        copies.clear();
        let started = Instant::now();
        while begin_copy(&fleet).await.1 != "200" {
            assert!(started.elapsed() < EFFECT_TIME);
            sleep(Duration::from_millis(50)).await;
        }
    });
}

/// A start takes longer than usual, as its store is slow; its peers are not asked for what it gets.
#[test]
fn a_process_asks_no_peer_while_the_store_answers() {
    run(async {
        let sizes = PlatformSizes { port: 24_390, entries: 2, prefill: 1, decode: 1, plain: 1 };
        let mut fleet = PlatformFleet::spawn(sizes).await.unwrap();
        fleet.configure_routes(11, ROUTES);
        wait_for_version(&fleet, 0, 11).await;
        wait_for_version(&fleet, 1, 11).await;
        let faults = StoreFaults { delay: Duration::from_millis(200), ..StoreFaults::default() };
        fleet.store.set_faults(faults);
        fleet.entries[1].signal("KILL").unwrap();
        fleet.entries[1].wait(Duration::from_secs(2)).ok();
        fleet.entries[1] = fleet.start_entry(1).unwrap();
        wait_for_version(&fleet, 1, 11).await;
        assert!(metric(&fleet, 0, "copied_bytes_total").await < 1.0);
    });
}
