//! What was sent, answered and run, with the time since the start of a case.

use std::{
    fs,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    pub fn time(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.time().as_secs_f64(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: PathBuf) {
        let lines = self.lines.lock().unwrap();
        fs::write(path, lines.join("\n") + "\n").expect("record");
    }
}
