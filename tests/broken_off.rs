//! Requests that one endpoint of a pool broke off while the other one cannot be reached.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::region::{list_behind_forwarder, options};
use http::{Method, StatusCode};
use serde_json::json;
use winchvane_standin::forwarder::{Forwarder, Mode};
use winchvane_standin::ports::free_ports;
use winchvane_standin::region::{Region, wait_for};

/// Guards against a 502 `outcome_unknown` for a completion that may run again, sent while the other
/// endpoint of the pool was about to come back. Only the last attempt decided whether to wait for
/// an endpoint that changes: the unreachable first endpoint was forgotten, so the failure of the
/// second one was final. Seen in 1 of 15 runs of
/// `an_endpoint_that_died_is_avoided_while_the_list_calls_it_live` beside 24 busy loops. In this
/// test the log had `answer_failed` twice at the same endpoint, 250 ms apart, and at once the 502,
/// less than 60 ms after `endpoint_down` of the other one.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_broke_off_waits_for_an_endpoint_that_cannot_be_reached() {
    let region = BrokenRegion::start().await;
    let later = async {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let started = Forwarder::start_at(region.unreachable, region.engine).await;
        started.expect("the forwarder starts")
    };
    let quote = |gateway| region.region.quote(gateway, "taichung");
    let (first, second, third, _forwarder) = tokio::join!(quote(0), quote(1), quote(2), later);
    for got in [first, second, third] {
        assert_eq!(got.status, StatusCode::OK, "{}", got.body);
    }
}

/// Guards against a 503 and "not run" for a completion that one endpoint had taken and broken off:
/// the response described only the last attempt, which the other endpoint had refused. Found by
/// this test and by reading `note_refusal`.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_broke_off_is_never_called_not_run() {
    let region = BrokenRegion::start().await;
    let body = json!({"model": "taichung", "prompt": "x"}).to_string();
    let headers = [("content-type", "application/json"), ("winchvane-deadline-ms", "1500")];
    // Only the first request is checked: after it both endpoints are known to be down, and nothing
    // is sent.
    let at = region.region.callers(0);
    let got = region.region.send(at, Method::POST, "/v1/completions", &headers, &body).await;
    let got = got.expect("an answer");
    assert_eq!(got.header("winchvane-run"), "unknown", "{}", got.body);
}

/// A region in which one engine breaks off its responses and the other one cannot be reached.
struct BrokenRegion {
    region: Region,
    /// The address at which the unreachable engine is listed; nothing listens there.
    unreachable: SocketAddr,
    /// The address at which the unreachable engine really listens.
    engine: SocketAddr,
    /// Breaks off the connections of the first engine.
    _breaking: Arc<Forwarder>,
}

impl BrokenRegion {
    async fn start() -> Self {
        let mut region = Region::start(options()).await;
        let mut other = region.instances.remove(1);
        let engine = other.address;
        other.address.set_port(free_ports(1)[0]);
        let unreachable = other.address;
        let breaking = list_behind_forwarder(&mut region).await;
        wait_for("its adapter is loaded there", async || {
            region.quote(0, "taichung").await.status == StatusCode::OK
        })
        .await;
        region.instances.push(other);
        region.platform.set(region.instances.clone());
        wait_for("engine-1 is listed again", async || {
            let listed = region.status().await.expect("a gateway answers")["endpoints"].to_string();
            listed.contains("engine-1")
        })
        .await;
        region.wait_owned().await;
        breaking.set(Mode::BreakOff);
        Self { region, unreachable, engine, _breaking: breaking }
    }
}
