//! Answers of the admin listeners of all processes: metrics, the log level and errors.

use std::time::Duration;

use http::{Request, StatusCode};
use serde_json::json;
use tracing::info;

use crate::http::{Answer, RequestBody, answer, json_answer};
use crate::logging;
use crate::metrics::Metrics;

const LOG_LEVEL_MAX_BYTES: usize = 1_024;
const LOG_LEVEL_TIMEOUT_MS: u64 = 5_000;

/// Builds an answer that reports an error to the operator.
pub fn problem(status: StatusCode, message: &str) -> Answer {
    json_answer(status, &json!({"error": message}))
}

/// Builds an answer with the process's metrics in the Prometheus text format.
pub fn metrics_text(metrics: &Metrics) -> Answer {
    answer(StatusCode::OK, "text/plain; version=0.0.4", metrics.text())
}

/// How often recent durations are merged into their histograms.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the upkeep of `metrics` at intervals until the task is dropped.
pub async fn run_metrics_upkeep(metrics: Metrics) {
    loop {
        tokio::time::sleep(METRICS_UPKEEP_INTERVAL).await;
        metrics.run_upkeep();
    }
}

/// Sets the log level of the process to the one in the request's body.
pub async fn set_log_level(request: Request<RequestBody>) -> Answer {
    let body = request.into_body().read(LOG_LEVEL_MAX_BYTES, LOG_LEVEL_TIMEOUT_MS).await;
    let Ok(body) = body else {
        return problem(StatusCode::BAD_REQUEST, "expected a log level such as debug");
    };
    let level = String::from_utf8_lossy(&body);
    match logging::set_level(level.trim()) {
        Ok(()) => {
            info!(event = "log_level_set", level = level.trim());
            json_answer(StatusCode::OK, &json!({"level": level.trim()}))
        }
        Err(error) => problem(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
