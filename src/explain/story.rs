//! One request over all processes.

use std::fmt::Write;

use serde_json::{Value, json};

use super::LogLine;

/// More lines than any request has; a client may send one id again and again.
const LINES_MAX: usize = 10_000;

struct Step {
    at_ns: i128,
    process: String,
    event: String,
    fields: Vec<(String, String)>,
}

/// What the processes wrote of one request.
pub struct Story {
    request: String,
    steps: Vec<Step>,
    left_out: u64,
}

impl Story {
    /// Nothing read yet of the request with this id.
    pub fn new(request: &str) -> Self {
        Self { request: request.to_owned(), steps: Vec::new(), left_out: 0 }
    }

    /// Takes a line in that `process` has written.
    pub fn take(&mut self, process: &str, line: &LogLine<'_>) {
        if line.text("request") != self.request {
            return;
        }
        if self.steps.len() == LINES_MAX {
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

    /// True when no line named the request.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// The lines in the order of their time, which starts at the first one.
    pub fn text(&mut self) -> String {
        self.sort();
        let mut text = String::new();
        for step in &self.steps {
            // Writing to a string cannot fail.
            let _ = write!(text, "{:+9.3} {} {}", self.since_s(step), step.process, step.event);
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

    /// The same as data.
    pub fn value(&mut self) -> Value {
        self.sort();
        let mut steps = Vec::new();
        for step in &self.steps {
            let fields: serde_json::Map<String, Value> =
                step.fields.iter().map(|(name, value)| (name.clone(), json!(value))).collect();
            steps.push(json!({
                "after_s": self.since_s(step), "process": step.process, "event": step.event,
                "fields": fields,
            }));
        }
        json!({"request": self.request, "steps": steps, "left_out": self.left_out})
    }

    fn sort(&mut self) {
        self.steps.sort_by_key(|step| step.at_ns);
    }

    fn since_s(&self, step: &Step) -> f64 {
        let first_ns = self.steps.first().map_or(step.at_ns, |first| first.at_ns);
        (step.at_ns - first_ns) as f64 / 1e9
    }
}
