//! Requests that one endpoint broke off while another one of its pool can't be reached.

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

/// What users saw: 502 `outcome_unknown` for a completion, which may run again, while the other endpoint of
/// the pool was back a moment later.
/// Order of events: one endpoint can't be reached, another one takes the request and breaks it off.
/// Cause: whether endpoints that change are worth waiting for was told by the last try alone; the first
/// one was forgotten, and the failure of the second was final.
/// Evidence: `an_endpoint_that_died_is_avoided_while_the_list_calls_it_live` beside 24 loops that use
/// processor time, 1 of 15; in this test the log has `answer_failed`, 250 ms later `answer_failed` again at the
/// same endpoint, and 502 at once, before `endpoint_down` of the other one was 60 ms old.
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

/// What users could see: 503 and "not run" for a completion that one endpoint had taken and broken off.
/// Cause: the answer told of the last try alone, which the other endpoint had refused.
/// Evidence: this test, and the reading of `note_refusal`.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_broke_off_is_never_called_not_run() {
    let region = BrokenRegion::start().await;
    let body = json!({"model": "taichung", "prompt": "x"}).to_string();
    let headers = [("content-type", "application/json"), ("winchvane-deadline-ms", "1500")];
    // The first request only: by the next ones both endpoints are known to be down, and nothing is sent.
    let at = region.region.callers(0);
    let got = region.region.send(at, Method::POST, "/v1/completions", &headers, &body).await;
    let got = got.expect("an answer");
    assert_eq!(got.header("winchvane-run"), "unknown", "{}", got.body);
}

/// A region in which one engine breaks off what it takes and the other one can't be reached.
struct BrokenRegion {
    region: Region,
    /// Where the other one is listed and nobody listens.
    unreachable: SocketAddr,
    /// Where the other one listens.
    engine: SocketAddr,
    /// Breaks the first one's connections off.
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
