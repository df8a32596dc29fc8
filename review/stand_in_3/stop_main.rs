//! Case of the third review on stops, with the platform, runners and entries of the second one:
//! `stop FOLDER` plays it and writes its record.

#[allow(dead_code)]
#[path = "../stand_in_2/entry.rs"]
mod entry;
#[allow(dead_code)]
#[path = "../stand_in_2/http.rs"]
mod http;
mod lost_stop;
#[path = "../stand_in_2/record.rs"]
mod record;
#[allow(dead_code)]
#[path = "../stand_in_2/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "../stand_in_2/world.rs"]
mod world;

use std::{path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, folder] = &arguments[..] else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let temporary = std::env::temp_dir().join(format!("review-3-stop-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let record = record::Record::new();
    record.add(format!("TROUBLE={trouble}"));
    let (result, code) = match lost_stop::run(&temporary, &record, &trouble) {
        Some(true) => ("the rule was broken", 1),
        Some(false) => ("the rule held", 0),
        None => ("the case could not run", 2),
    };
    record.add(result);
    record.write(PathBuf::from(folder).join("record.txt"));
    println!("{result}");
    let _ = std::fs::remove_dir_all(&temporary);
    ExitCode::from(code)
}
