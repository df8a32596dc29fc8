//! What was sent, answered and run, in `record.txt`.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn open(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:>9.3} {text}", self.started.elapsed().as_secs_f64()).ok();
    }
}
