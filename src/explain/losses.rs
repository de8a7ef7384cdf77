//! Counts requests that were not answered in time, by time, route and cause, from gateways' logs
//! alone.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::LogLine;

/// Losses within a window of this length are counted together.
const WINDOW_NS: i128 = 2_000_000_000;
/// Limit on the rows of the table, which is more than a person would read. Losses that need further
/// rows are counted with an empty route and cause.
const MAX_ROWS: usize = 50_000;

/// Way in which a request was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Loss {
    /// The response began later than the route's objective.
    Late,
    /// The request did not run: 503, 429, or 401 for its key.
    Refused,
    /// The request may have run: 502 or 504.
    Failed,
    /// The response began and was interrupted.
    Broken,
    /// An endpoint answered with an error status.
    EndpointError,
    /// No route matched, the request was invalid, or its body did not arrive.
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
    /// Requests whose responses began, including lost ones.
    pub answered: u64,
    /// Responses that began later than the objective.
    pub late: u64,
    /// Responses that were interrupted.
    pub broken: u64,
    /// Responses of endpoints with an error status.
    pub endpoint_errors: u64,
    /// Requests that were refused and did not run.
    pub refused: u64,
    /// Requests that failed and may have run.
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

/// Table of lost requests.
#[derive(Debug, Default)]
pub struct Losses {
    rows: BTreeMap<Row, u64>,
    totals: Totals,
}

impl Losses {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the request that a line reports, if any.
    pub fn add(&mut self, line: &LogLine<'_>) {
        match line.event {
            "answered" => self.answered(line),
            "refused" => {
                self.totals.refused += 1;
                let reason = line.text("reason");
                let cause =
                    queue_cause(reason).map_or_else(|| strip_identifiers(reason), str::to_owned);
                self.add_loss(line, Loss::Refused, &cause);
            }
            "failed" => {
                self.totals.failed += 1;
                // The response had begun and was counted as answered, but did not reach the client.
                self.totals.answered -=
                    u64::from(line.text("answered") == "true").min(self.totals.answered);
                let reason = strip_identifiers(line.text("reason"));
                self.add_loss(line, Loss::Failed, &with_resend(line, reason));
            }
            "stream_broken" => {
                self.totals.broken += 1;
                self.add_loss(line, Loss::Broken, &strip_identifiers(line.text("error")));
            }
            "no_route" | "request_invalid" | "request_refused" => {
                self.totals.not_admitted += 1;
                self.add_loss(line, Loss::NotAdmitted, line.event);
            }
            _ => {}
        }
    }

    fn answered(&mut self, line: &LogLine<'_>) {
        self.totals.answered += 1;
        if line.millis("status").is_some_and(|status| status >= 400) {
            self.totals.endpoint_errors += 1;
            let status = line.text("status").to_owned();
            self.add_loss(line, Loss::EndpointError, &with_resend(line, status));
            return;
        }
        let (Some(after_ms), Some(objective_ms)) =
            (line.millis("after_ms"), line.millis("objective_ms"))
        else {
            return;
        };
        if after_ms > objective_ms {
            self.totals.late += 1;
            self.add_loss(line, Loss::Late, late_cause(line, after_ms));
        }
    }

    fn add_loss(&mut self, line: &LogLine<'_>, loss: Loss, cause: &str) {
        let mut row = Row {
            window: line.at_ns.div_euclid(WINDOW_NS),
            route: line.text("route").to_owned(),
            loss,
            cause: cause.to_owned(),
        };
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&row) {
            row = Row { window: row.window, route: String::new(), loss, cause: String::new() };
        }
        *self.rows.entry(row).or_default() += 1;
    }

    /// The sums over all routes and windows.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// The rows of the table: seconds since the first window, route, loss, cause, number of requests.
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

    /// The rows and sums as JSON.
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

/// Cause of a late response: `sent again` after more than one attempt; otherwise the longest part
/// of its time, which is waiting at the gateway (for weights or a free place), the expected time at
/// the endpoint behind other prompts, or more than the expected time there.
fn late_cause<'a>(line: &'a LogLine<'_>, after_ms: u64) -> &'a str {
    let sent_after_ms = line.millis("sent_after_ms").unwrap_or(0);
    let expected_ms = line.millis("expected_ms").unwrap_or(0);
    let at_endpoint_ms = after_ms.saturating_sub(sent_after_ms);
    if line.millis("tried").is_some_and(|tried| tried > 1) {
        return "sent again";
    }
    if sent_after_ms >= at_endpoint_ms {
        let waited_for = line.text("waited_for");
        return if waited_for.is_empty() { "held at the gateway" } else { waited_for };
    }
    if expected_ms * 2 >= at_endpoint_ms { "prompts before it" } else { "slower than expected" }
}

/// The cause of a refusal by the waiting queue, from the reason's variant; `None` for other reasons.
fn queue_cause(reason: &str) -> Option<&'static str> {
    match reason.split(' ').next()? {
        "QueueFull" => Some("queue full"),
        "DeadlineUnreachable" => Some("deadline out of reach"),
        "Replaced" => Some("replaced in the queue"),
        "WaitEnded" => Some("no capacity until the deadline"),
        _ => None,
    }
}

/// Adds to a cause that the request was not resent because second sends seldom succeed.
fn with_resend(line: &LogLine<'_>, cause: String) -> String {
    if line.text("not_resent") == "true" { format!("{cause}, not resent") } else { cause }
}

/// Removes endpoints, addresses and durations from a reason, so that equal causes are counted together.
fn strip_identifiers(reason: &str) -> String {
    let mut words = Vec::new();
    for word in reason.split(' ') {
        let is_identifier =
            word.starts_with("peer=") || word.bytes().any(|byte| byte.is_ascii_digit());
        if !is_identifier {
            words.push(word);
        }
    }
    words.join(" ")
}
