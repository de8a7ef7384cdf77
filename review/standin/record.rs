//! Writes what was sent, answered and run to `record.txt`.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record of one run.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates an empty record.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds a line with the time.
    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().expect("no writer panicked");
        writeln!(file, "{now_ms:>7} ms  {text}").expect("the record can be written");
    }

    /// Adds a line and prints it.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
