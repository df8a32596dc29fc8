//! Cases of the second review: `cases NAME FOLDER` plays one and writes its record.

mod entry;
mod http;
mod lost_slow;
mod lost_stop;
mod one_usage;
mod order_reborn;
mod record;
mod store;
mod world;

use std::{path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let temporary = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("temporary folder");
    let record = record::Record::new();
    record.add(format!("case {name}, TROUBLE={trouble}"));
    let broken = match name.as_str() {
        "one_usage" => one_usage::run(&temporary, &record, &trouble),
        "lost_stop" => lost_stop::run(&temporary, &record, &trouble),
        "lost_slow" => lost_slow::run(&temporary, &record, &trouble),
        "order_reborn" => order_reborn::run(&temporary, &record, &trouble),
        _ => None,
    };
    let (result, code) = match broken {
        Some(true) => ("the rule was broken", 1),
        Some(false) => ("the rule held", 0),
        None => ("the case could not run", 2),
    };
    record.add(result);
    record.write(PathBuf::from(folder).join("record.txt"));
    println!("{name}: {result}");
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("{}", temporary.display());
    }
    ExitCode::from(code)
}
