//! Gateways back off from endpoints that refuse requests and ask for backoff.

mod common;

use std::time::{Duration, Instant};

use common::scenario::Scenario;
use winchvane_soak::overload::{
    BACKOFF_ARRIVALS_MAX, BACKOFF_GRACE, Signal, max_arrivals_in_backoff,
};
use winchvane_soak::record::Kind;

const BACKOFF: Duration = Duration::from_secs(3);
const OVERLOAD_DURATION: Duration = Duration::from_secs(13);

/// Stops the system and checks the arrivals from one gateway during a backoff and the failures since
/// the endpoints started to refuse requests.
fn check(scenario: Scenario, name: &str, refusing_since: Instant) {
    let mut max_arrivals = Vec::new();
    for overload in scenario.overloaded() {
        max_arrivals
            .push(max_arrivals_in_backoff(&overload.arrivals_since(refusing_since), BACKOFF_GRACE));
    }
    scenario.stop_and_check(name, refusing_since, &max_arrivals, BACKOFF_ARRIVALS_MAX);
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_endpoints_get_the_backoff_that_they_ask_for() {
    let scenario = Scenario::start(Kind::Stream, 94, 1).await;
    let refusing_since = scenario.set_signal(Some(Signal::Backoff(BACKOFF)));
    tokio::time::sleep(OVERLOAD_DURATION).await;
    check(scenario, "backoff-plain", refusing_since);
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_get_the_backoff_that_they_ask_for() {
    let scenario = Scenario::start(Kind::Adapter, 95, 1).await;
    let refusing_since = scenario.set_signal(Some(Signal::Backoff(BACKOFF)));
    tokio::time::sleep(OVERLOAD_DURATION).await;
    check(scenario, "backoff-engines", refusing_since);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_whose_backoff_is_over_is_used_like_the_others() {
    let scenario = Scenario::start(Kind::Stream, 96, 1).await;
    scenario.set_signal(Some(Signal::Backoff(BACKOFF)));
    tokio::time::sleep(Duration::from_secs(5)).await;
    let ended_at = scenario.set_signal(None);
    tokio::time::sleep(Duration::from_secs(8)).await;
    scenario.stop_and_check_recovery("backoff-over", ended_at + Duration::from_secs(4));
}
