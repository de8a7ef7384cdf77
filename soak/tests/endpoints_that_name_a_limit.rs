//! Endpoints that advertise a request rate limit for all gateways together.

mod common;

use std::time::{Duration, Instant};

use common::scenario::Scenario;
use winchvane_soak::overload::{LIMIT_ENFORCED_AFTER, LIMIT_WINDOW, Signal, max_arrivals_within};
use winchvane_soak::record::Kind;

const LIMIT_PER_S: f64 = 2.0;
/// One and a half times the limit over the window, plus five requests.
const ARRIVALS_MAX: usize = 17;
const OVERLOAD_DURATION: Duration = Duration::from_secs(13);

/// The maximum number of requests per window at each overloaded endpoint since `from`.
fn max_per_window_since(scenario: &Scenario, from: Instant) -> Vec<usize> {
    let mut max_arrivals = Vec::new();
    for overload in scenario.overloaded() {
        max_arrivals.push(max_arrivals_within(&overload.arrivals_since(from), LIMIT_WINDOW));
    }
    max_arrivals
}

/// Stops the system and checks the arrivals per window and the failures since the limit was
/// advertised.
fn check(scenario: Scenario, name: &str, advertised_at: Instant) {
    let max_arrivals = max_per_window_since(&scenario, advertised_at + LIMIT_ENFORCED_AFTER);
    scenario.stop_and_check(name, advertised_at, &max_arrivals, ARRIVALS_MAX);
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_endpoints_get_no_more_than_their_limit() {
    let scenario = Scenario::start(Kind::Stream, 89, 1).await;
    let advertised_at = scenario.set_signal(Some(Signal::Limit(LIMIT_PER_S)));
    tokio::time::sleep(OVERLOAD_DURATION).await;
    check(scenario, "limit-plain", advertised_at);
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_get_no_more_than_their_limit() {
    let scenario = Scenario::start(Kind::Adapter, 90, 1).await;
    let advertised_at = scenario.set_signal(Some(Signal::Limit(LIMIT_PER_S)));
    tokio::time::sleep(OVERLOAD_DURATION).await;
    check(scenario, "limit-engines", advertised_at);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_while_one_gateway_has_nearly_all_requests() {
    let scenario = Scenario::start(Kind::Stream, 91, 18).await;
    let advertised_at = scenario.set_signal(Some(Signal::Limit(LIMIT_PER_S)));
    tokio::time::sleep(OVERLOAD_DURATION).await;
    check(scenario, "limit-one-gateway", advertised_at);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_after_all_of_control_was_lost() {
    let mut scenario = Scenario::start(Kind::Stream, 92, 1).await;
    let advertised_at = scenario.set_signal(Some(Signal::Limit(LIMIT_PER_S)));
    tokio::time::sleep(Duration::from_secs(2)).await;
    for program in &mut scenario.system.region.programs {
        if program.is_control {
            program.kill();
        }
    }
    tokio::time::sleep(OVERLOAD_DURATION).await;
    check(scenario, "limit-without-control", advertised_at);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_names_no_limit_any_more_is_used_like_the_others() {
    let scenario = Scenario::start(Kind::Stream, 93, 1).await;
    scenario.set_signal(Some(Signal::Limit(LIMIT_PER_S)));
    tokio::time::sleep(Duration::from_secs(6)).await;
    let ended_at = scenario.set_signal(None);
    tokio::time::sleep(Duration::from_secs(8)).await;
    scenario.stop_and_check_recovery("limit-over", ended_at + Duration::from_secs(4));
}
