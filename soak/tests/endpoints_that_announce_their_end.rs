//! Gateways stop sending to endpoints that announce only in their answers that they are about to
//! shut down.

mod common;

use std::time::{Duration, Instant};

use common::scenario::Scenario;
use winchvane_soak::overload::{LEAVING_GRACE, Signal, count_arrivals_after_grace};
use winchvane_soak::record::Kind;

const LEAVING_DURATION: Duration = Duration::from_secs(10);

/// Stops the system and checks the arrivals after the grace period and the failures since the
/// endpoints began to announce their shutdown.
fn check(scenario: Scenario, name: &str, announced_at: Instant) {
    let mut late_arrivals = Vec::new();
    for overload in scenario.overloaded() {
        late_arrivals.push(count_arrivals_after_grace(
            &overload.arrivals_since(announced_at),
            LEAVING_GRACE,
        ));
    }
    scenario.stop_and_check(name, announced_at, &late_arrivals, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_endpoints_that_announce_their_end_get_nothing_more() {
    let scenario = Scenario::start(Kind::Stream, 97, 1).await;
    let announced_at = scenario.set_signal(Some(Signal::Leaving));
    tokio::time::sleep(LEAVING_DURATION).await;
    check(scenario, "leaving-plain", announced_at);
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_that_announce_their_end_get_nothing_more() {
    let scenario = Scenario::start(Kind::Adapter, 98, 1).await;
    let announced_at = scenario.set_signal(Some(Signal::Leaving));
    tokio::time::sleep(LEAVING_DURATION).await;
    check(scenario, "leaving-engines", announced_at);
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoints_that_announce_their_end_while_control_is_gone_get_nothing_more() {
    let mut scenario = Scenario::start(Kind::Stream, 99, 1).await;
    for program in &mut scenario.system.region.programs {
        if program.is_control {
            program.kill();
        }
    }
    let announced_at = scenario.set_signal(Some(Signal::Leaving));
    tokio::time::sleep(LEAVING_DURATION).await;
    check(scenario, "leaving-without-control", announced_at);
}
