//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// File with one line for each event and the time since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("the record is created")),
            start: Instant::now(),
        }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().expect("record");
        writeln!(file, "{:>3}.{:03} {text}", ms / 1_000, ms % 1_000).expect("record is written");
    }
}
