//! Which errors of estimates are found in the entries' logs.

use emulator::calibration::CalibrationTable;
use yare::parameterized;

fn line(route: &str, objective: u32, estimate: u32, first: u32, calls: &str) -> String {
    format!(
        "  1.0 front-1 {{\"message\":\"request ended\",\"kvs\":{{\"route\":\"{route}\",\
         \"objective_ms\":\"{objective}\",\"estimate_ms\":\"{estimate}\",\
         \"first_ms\":\"{first}\",\"calls\":\"{calls}\"}}}}"
    )
}

#[parameterized(
    request = { "", "request", 1, 30 },
    prefill = { "e v1 prefill prefilled 15ms 9+0 estimated 5ms", "prefill", 1, 10 },
    decode = { "e v1 decode answered 900ms 0+0 estimated 8ms first 28ms", "decode", 1, 20 },
    run = { "e v1 run answered 900ms 9+0 estimated 8ms first 6ms", "run", 1, -2 },
    second_call = { "e v1 prefill lost 9ms 9+0 estimated 5ms; e v1 run answered 9ms 9+0 estimated 8ms first 6ms", "run", 1, -2 },
    without_output = { "e v1 run lost 9ms 9+0 estimated 8ms", "run", 0, 0 },
    earlier_log = { "e v1 run answered 9ms 9+0", "run", 0, 0 },
)]
fn errors_are_found_by_leg(calls: &str, leg: &str, number: usize, error: i32) {
    let mut table = CalibrationTable::default();
    table.add_line(&line("note", 250, 20, 50, calls));
    table.add_line("no log line");
    let text = table.to_string();
    let rows: Vec<Vec<&str>> = text
        .lines()
        .map(|row| row.split_whitespace().collect::<Vec<&str>>())
        .filter(|row| row.first() == Some(&"note") && row.get(1) == Some(&leg))
        .collect();
    assert_eq!(rows.len(), number, "{text}");
    assert!(rows.iter().all(|row| row[4] == error.to_string()), "{text}");
}

/// Of four requests that were expected in time, three were.
#[test]
fn the_share_that_was_in_time_is_told() {
    let mut table = CalibrationTable::default();
    for first in [10, 20, 30, 300] {
        table.add_line(&line("note", 250, 20, first, ""));
    }
    table.add_line(&line("note", 250, 400, 500, ""));
    let text = table.to_string();
    let row = text.lines().find(|row| row.starts_with("note")).unwrap();
    let words: Vec<&str> = row.split_whitespace().collect();
    assert_eq!(words[7..], ["0.750", "2"], "{text}");
    assert_eq!(table.plot().matches("<circle").count(), 1);
}
