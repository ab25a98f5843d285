//! Record of what was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// Record of a case.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file of the record.
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Appends a line, and shows it.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.start.elapsed().as_secs_f64());
        print!("{line}");
        if let Ok(mut file) = self.file.lock() {
            // A record that can't be written leaves the printed lines.
            let _written = file.write_all(line.as_bytes());
        }
    }
}
