//! Collects the log lines of one request from all processes, in order of time.

use std::fmt::Write;

use serde_json::{Value, json};

use super::LogLine;

/// Limit on the collected lines. One request has far fewer, but a client may reuse an id many times.
const MAX_LINES: usize = 10_000;

struct Step {
    at_ns: i128,
    process: String,
    event: String,
    fields: Vec<(String, String)>,
}

/// The log lines of one request from all processes.
pub struct Timeline {
    request: String,
    steps: Vec<Step>,
    left_out: u64,
}

impl Timeline {
    /// Creates an empty timeline of the request with this id.
    pub fn new(request: &str) -> Self {
        Self { request: request.to_owned(), steps: Vec::new(), left_out: 0 }
    }

    /// Adds a line that `process` has written, if it belongs to the request.
    pub fn add(&mut self, process: &str, line: &LogLine<'_>) {
        if line.text("request") != self.request {
            return;
        }
        if self.steps.len() == MAX_LINES {
            self.left_out += 1;
            return;
        }
        let mut fields = Vec::new();
        for (name, value) in &line.fields {
            if !matches!(*name, "event" | "request" | "level" | "target") {
                fields.push(((*name).to_owned(), value.to_string()));
            }
        }
        let process = if line.prefix.is_empty() { process } else { line.prefix };
        self.steps.push(Step {
            at_ns: line.at_ns,
            process: process.to_owned(),
            event: line.event.to_owned(),
            fields,
        });
    }

    /// True when no line belongs to the request.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// The lines as text in order of time, with seconds since the first line.
    pub fn text(&mut self) -> String {
        self.sort();
        let mut text = String::new();
        for step in &self.steps {
            // Writing to a string cannot fail.
            let _ = write!(
                text,
                "{:+9.3} {} {}",
                self.seconds_since_first(step),
                step.process,
                step.event
            );
            for (name, value) in &step.fields {
                let _ = if value.contains(' ') {
                    write!(text, " {name}={value:?}")
                } else {
                    write!(text, " {name}={value}")
                };
            }
            text.push('\n');
        }
        if self.left_out > 0 {
            let _ = writeln!(text, "{} more lines are left out", self.left_out);
        }
        text
    }

    /// The lines as JSON in order of time.
    pub fn value(&mut self) -> Value {
        self.sort();
        let mut steps = Vec::new();
        for step in &self.steps {
            let fields: serde_json::Map<String, Value> =
                step.fields.iter().map(|(name, value)| (name.clone(), json!(value))).collect();
            steps.push(json!({
                "after_s": self.seconds_since_first(step), "process": step.process, "event": step.event,
                "fields": fields,
            }));
        }
        json!({"request": self.request, "steps": steps, "left_out": self.left_out})
    }

    fn sort(&mut self) {
        self.steps.sort_by_key(|step| step.at_ns);
    }

    fn seconds_since_first(&self, step: &Step) -> f64 {
        let first_ns = self.steps.first().map_or(step.at_ns, |first| first.at_ns);
        (step.at_ns - first_ns) as f64 / 1e9
    }
}
