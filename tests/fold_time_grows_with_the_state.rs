//! Guards against folding a record in time proportional to the number of contracts and claims,
//! as happens when each record sums all shares and scans all claims for expired ones.

mod support;

use std::time::{Duration, Instant};

use sapphirewell::{
    fold::{FleetState, StoredRecord},
    operator,
};
use support::{LOG_START, contract};

fn fold_time(contracts: u64) -> Duration {
    let mut fold = FleetState::default();
    let mut records = Vec::new();
    for offset in 1..=contracts + 400 {
        let contract = contract(&format!("c{offset}"), 1);
        let record = operator::publish_record(format!("p{offset}").into(), 0, contract);
        records.push(StoredRecord {
            offset,
            time: LOG_START,
            body: record.encode().unwrap().into(),
        });
    }
    let (first, timed) = records.split_at(contracts as usize);
    first.iter().for_each(|record| fold.apply(record));
    let started = Instant::now();
    timed.iter().for_each(|record| fold.apply(record));
    started.elapsed()
}

#[test]
fn fold_time_is_independent_of_the_number_of_contracts() {
    // Medians of several rounds reduce the influence of a busy machine.
    let median = |contracts| {
        let mut times: Vec<Duration> = (0..5).map(|_| fold_time(contracts)).collect();
        times.sort_unstable();
        times[2]
    };
    let (few, many) = (median(400), median(20_000));
    assert!(many < few * 6, "400 records took {few:?} with 400 contracts and {many:?} with 20,000");
}
