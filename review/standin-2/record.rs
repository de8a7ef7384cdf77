//! What was sent, answered and run, in the order in which it was noted.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

#[derive(Clone, Default)]
pub struct Record(Arc<Mutex<Vec<(u128, String)>>>);

impl Record {
    pub fn note(&self, line: impl Into<String>) {
        self.0.lock().unwrap().push((now_ms(), line.into()));
    }

    pub fn note_at(&self, at_ms: u128, line: impl Into<String>) {
        self.0.lock().unwrap().push((at_ms, line.into()));
    }

    pub fn lines(&self) -> Vec<(u128, String)> {
        let mut lines = self.0.lock().unwrap().clone();
        lines.sort_by_key(|(at_ms, _)| *at_ms);
        lines
    }

    pub fn write(&self, path: &Path) {
        let lines = self.lines();
        let first_ms = lines.first().map_or(0, |(at_ms, _)| *at_ms);
        let mut text = String::new();
        for (at_ms, line) in lines {
            text.push_str(&format!("{:>7} ms  {line}\n", at_ms - first_ms));
        }
        if let Err(error) = fs::write(path, text) {
            eprintln!("the record cannot be written: {error}");
        }
    }
}
