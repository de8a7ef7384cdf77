//! What clients did not get in time, by route, cause and time, from the gateways' lines alone.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::LogLine;

/// Losses of this long are counted together.
const WINDOW_NS: i128 = 2_000_000_000;
/// More rows than a reader looks through; what comes beyond counts under no route.
const ROWS_MAX: usize = 50_000;

/// How a request was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Loss {
    /// Its answer began after its objective.
    Late,
    /// It did not run: 503, 429, or 401 for its key.
    Refused,
    /// It may have run: 502 or 504.
    Failed,
    /// Its answer began and broke off.
    Broken,
    /// An endpoint answered with an error of its own.
    EndpointError,
    /// No route, a request that is none, or a body that did not arrive.
    NotAdmitted,
}

impl Loss {
    fn as_str(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::EndpointError => "endpoint-error",
            Self::NotAdmitted => "not-admitted",
        }
    }
}

/// Sums over all routes and windows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests whose answers began, lost ones included.
    pub answered: u64,
    /// Of these, begun after the objective.
    pub late: u64,
    /// Of these, broken off.
    pub broken: u64,
    /// Of these, an endpoint's own error.
    pub endpoint_errors: u64,
    /// Requests that did not run.
    pub refused: u64,
    /// Requests that may have run.
    pub failed: u64,
    /// Requests that were not admitted.
    pub not_admitted: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Row {
    window: i128,
    route: String,
    loss: Loss,
    cause: String,
}

/// The table of losses.
#[derive(Debug, Default)]
pub struct Losses {
    rows: BTreeMap<Row, u64>,
    totals: Totals,
}

impl Losses {
    /// Nothing read yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a line in.
    pub fn add(&mut self, line: &LogLine<'_>) {
        match line.event {
            "answered" => self.answered(line),
            "refused" => {
                self.totals.refused += 1;
                self.note(line, Loss::Refused, &without_names(line.text("reason")));
            }
            "failed" => {
                self.totals.failed += 1;
                // Its answer began and was not passed on.
                self.totals.answered -=
                    u64::from(line.text("answered") == "true").min(self.totals.answered);
                self.note(line, Loss::Failed, &without_names(line.text("reason")));
            }
            "stream_broken" => {
                self.totals.broken += 1;
                self.note(line, Loss::Broken, &without_names(line.text("error")));
            }
            "no_route" | "request_invalid" | "request_refused" => {
                self.totals.not_admitted += 1;
                self.note(line, Loss::NotAdmitted, line.event);
            }
            _ => {}
        }
    }

    fn answered(&mut self, line: &LogLine<'_>) {
        self.totals.answered += 1;
        if line.millis("status").is_some_and(|status| status >= 400) {
            self.totals.endpoint_errors += 1;
            self.note(line, Loss::EndpointError, line.text("status"));
            return;
        }
        let (Some(after_ms), Some(objective_ms)) =
            (line.millis("after_ms"), line.millis("objective_ms"))
        else {
            return;
        };
        if after_ms > objective_ms {
            self.totals.late += 1;
            self.note(line, Loss::Late, late_cause(line, after_ms));
        }
    }

    fn note(&mut self, line: &LogLine<'_>, loss: Loss, cause: &str) {
        let mut row = Row {
            window: line.at_ns.div_euclid(WINDOW_NS),
            route: line.text("route").to_owned(),
            loss,
            cause: cause.to_owned(),
        };
        if self.rows.len() >= ROWS_MAX && !self.rows.contains_key(&row) {
            row = Row { window: row.window, route: String::new(), loss, cause: String::new() };
        }
        *self.rows.entry(row).or_default() += 1;
    }

    /// The sums.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// The rows for a table: seconds since the first window, route, loss, cause, requests.
    pub fn rows(&self) -> Vec<Vec<String>> {
        let first = self.rows.keys().next().map_or(0, |row| row.window);
        let mut rows = Vec::new();
        for (row, requests) in &self.rows {
            let second = (row.window - first) * (WINDOW_NS / 1_000_000_000);
            rows.push(vec![
                second.to_string(),
                row.route.clone(),
                row.loss.as_str().to_owned(),
                row.cause.clone(),
                requests.to_string(),
            ]);
        }
        rows
    }

    /// The same and the sums as data.
    pub fn value(&self) -> Value {
        let mut rows = Vec::new();
        for row in self.rows() {
            let requests: u64 = row[4].parse().unwrap_or_default();
            rows.push(json!({
                "second": row[0], "route": row[1], "loss": row[2], "cause": row[3],
                "requests": requests,
            }));
        }
        let totals = self.totals;
        json!({
            "rows": rows, "answered": totals.answered, "late": totals.late,
            "broken": totals.broken, "endpoint_errors": totals.endpoint_errors,
            "refused": totals.refused, "failed": totals.failed,
            "not_admitted": totals.not_admitted,
        })
    }
}

/// What took the largest part of a late request's time: held at the gateway, for weights or for a
/// place; expected at the endpoint, behind other prompts; or more than expected there.
fn late_cause<'a>(line: &'a LogLine<'_>, after_ms: u64) -> &'a str {
    let held_ms = line.millis("sent_after_ms").unwrap_or(0);
    let expected_ms = line.millis("expected_ms").unwrap_or(0);
    let there_ms = after_ms.saturating_sub(held_ms);
    if line.millis("tried").is_some_and(|tried| tried > 1) {
        return "sent again";
    }
    if held_ms >= there_ms {
        let waited_for = line.text("waited_for");
        return if waited_for.is_empty() { "held at the gateway" } else { waited_for };
    }
    if expected_ms * 2 >= there_ms { "prompts before it" } else { "slower than expected" }
}

/// A reason without the endpoints, addresses and durations that it names, so that alike ones count together.
fn without_names(reason: &str) -> String {
    let mut words = Vec::new();
    for word in reason.split(' ') {
        let is_name = word.starts_with("peer=") || word.bytes().any(|byte| byte.is_ascii_digit());
        if !is_name {
            words.push(word);
        }
    }
    words.join(" ")
}
