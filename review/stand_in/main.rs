//! Stand-ins of the platform around real entries, one scenario a case.
//!
//! `stand_in SCENARIO FOLDER` writes `record.txt` to the folder. It exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod entry;
mod fence;
mod http;
mod json;
mod limits;
mod load;
mod record;
mod runner;
mod store;
mod streams;
mod version;

use std::{path::PathBuf, process::exit, thread, time::Duration};

use record::Record;

/// How a scenario ended.
pub enum Verdict {
    Held,
    Broken(String),
    CannotRun(String),
}

/// What a scenario has to know.
pub struct Context {
    pub record: Record,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// Time after which a scenario counts as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, folder, temporary] = &arguments[..] else {
        eprintln!("stand_in SCENARIO FOLDER TEMPORARY");
        exit(2);
    };
    let record = Record::open(&PathBuf::from(folder));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let context = Context { record: record.clone(), folder: PathBuf::from(temporary), trouble };
    record.line(&format!("scenario {scenario}, trouble: {trouble}"));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watched.line("could not run: the time is over");
        exit(2);
    });
    let verdict = match scenario.as_str() {
        "fence" => fence::play(&context),
        "limits" => limits::play(&context),
        "streams" => streams::play(&context),
        "version" => version::play(&context),
        _ => Verdict::CannotRun("no such scenario".to_owned()),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken(what) => (format!("the rule was broken: {what}"), 1),
        Verdict::CannotRun(why) => (format!("could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
