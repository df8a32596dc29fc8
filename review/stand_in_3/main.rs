//! Stand-ins of the third review, and its cases.

mod http;
mod lost;
mod memory;
mod platform;
mod runner;
mod store;
mod versions;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["runner", ..] => runner::run(&words[1..]),
        ["memory", record] => std::process::exit(memory::run(record, has_trouble)),
        ["lost", record] => std::process::exit(lost::run(record, has_trouble)),
        ["versions", record] => std::process::exit(versions::run(record, has_trouble)),
        _ => platform::cannot_run("unknown case"),
    }
}
