//! Idempotent orders: an order runs at most once although processes are killed, frozen or lost, and
//! its response is kept.
//!
//! The tests wait for conditions and do not depend on the speed of the machine, except for the
//! stated time limits.

mod common;

use std::time::Duration;

use common::region::{options, set_plain_fault};
use http::{Method, StatusCode};
use winchvane_standin::plain::PlainFault;
use winchvane_standin::region::{Region, RegionOptions, wait_for};

/// Sends one order repeatedly to the gateways in turn, and collects the responses.
async fn retry_order(region: &Region, key: &str, gateways: &[usize]) -> Vec<(u16, String, String)> {
    let mut answers = Vec::new();
    for attempt in 0..10 {
        let gateway = gateways[attempt % gateways.len()];
        if let Ok(got) = region.order(gateway, key).await {
            let run = got.header("winchvane-run").to_owned();
            answers.push((got.status.as_u16(), run, got.body));
        }
    }
    answers
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_runs_at_most_once_when_its_claimer_is_killed_during_the_call() {
    let mut region = Region::start(options()).await;
    let owner = region.owner_of("plain-0").await;
    let claimer = (owner + 1) % 3;
    set_plain_fault(&region, PlainFault { delay_ms: 1_000, ..PlainFault::default() }).await;
    let first = region.order(claimer, "order-1");
    let killed = async {
        wait_for("the order runs", async || region.plain.runs().contains_key("order-1")).await;
    };
    tokio::select! {
        _ = first => panic!("the order was answered before its claimer was killed"),
        () = killed => {}
    }
    region.gateways[claimer].kill();
    let others: Vec<usize> = (0..3).filter(|gateway| *gateway != claimer).collect();
    wait_for("the outcome is final", async || {
        let got = region.order(others[0], "order-1").await.expect("an answer");
        assert!(matches!(got.code().as_str(), "in_progress" | "outcome_unknown"), "{}", got.body);
        assert_eq!(got.header("winchvane-run"), "unknown");
        got.code() == "outcome_unknown"
    })
    .await;
    for (status, run, body) in retry_order(&region, "order-1", &others).await {
        assert_eq!((status, run.as_str()), (409, "unknown"), "{body}");
    }
    assert_eq!(region.plain.runs()["order-1"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_runs_at_most_once_when_its_claimer_freezes_and_wakes() {
    let region = Region::start(options()).await;
    let owner = region.owner_of("plain-0").await;
    let claimer = (owner + 1) % 3;
    let others: Vec<usize> = (0..3).filter(|gateway| *gateway != claimer).collect();
    set_plain_fault(&region, PlainFault { delay_ms: 500, ..PlainFault::default() }).await;
    let first = region.order(claimer, "order-2");
    let course = async {
        wait_for("the order runs", async || region.plain.runs().contains_key("order-2")).await;
        region.gateways[claimer].freeze();
        wait_for("the outcome is final", async || {
            let got = region.order(others[0], "order-2").await.expect("an answer");
            got.code() == "outcome_unknown"
        })
        .await;
        region.gateways[claimer].thaw();
    };
    let (first, ()) = tokio::join!(first, course);
    // After the thaw the claimer may return the response to its own caller; no gateway runs the
    // order again.
    let first = first.expect("an answer");
    assert!(first.status == StatusCode::OK || first.header("winchvane-run") == "unknown");
    region.wait_ready(claimer).await;
    retry_order(&region, "order-2", &[0, 1, 2]).await;
    assert_eq!(region.plain.runs()["order-2"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_runs_at_most_once_when_owner_and_leader_are_lost() {
    let mut region = Region::start(options()).await;
    let owner = region.owner_of("plain-0").await;
    let claimer = (owner + 1) % 3;
    set_plain_fault(&region, PlainFault { delay_ms: 500, ..PlainFault::default() }).await;
    let leader = region.leader().await;
    let lost = async {
        wait_for("the order runs", async || region.plain.runs().contains_key("order-3")).await;
    };
    let first = async {
        let got = region.order(claimer, "order-3").await.expect("an answer");
        assert_eq!(got.header("winchvane-run"), "unknown", "{}", got.body);
    };
    // Both are frozen first, so that they are lost at the same time.
    let course = async {
        lost.await;
        region.gateways[owner].freeze();
        region.controls[leader].freeze();
    };
    let ((), ()) = tokio::join!(
        async {
            tokio::time::timeout(Duration::from_secs(25), first).await.expect("it is answered");
        },
        course
    );
    region.gateways[owner].kill();
    region.controls[leader].kill();
    let others: Vec<usize> = (0..3).filter(|gateway| *gateway != owner).collect();
    for (status, run, body) in retry_order(&region, "order-3", &others).await {
        assert!(status == 200 || run == "unknown", "{status} {run} {body}");
    }
    assert_eq!(region.plain.runs()["order-3"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_runs_at_most_once_when_its_claimer_is_killed_before_dispatch() {
    let gateway_settings = "limits: {in_progress_wait_ms: 50}";
    let mut region = Region::start(RegionOptions { gateway_settings, ..options() }).await;
    let owner = region.owner_of("plain-0").await;
    let claimer = (owner + 1) % 3;
    let other = (owner + 2) % 3;
    // The owner is frozen, so the claimed order is waiting and not dispatched.
    region.gateways[owner].freeze();
    let first = region.order(claimer, "order-4");
    let killed = async {
        wait_for("the order is claimed", async || {
            let status = region.send(region.admin(other), Method::GET, "/status", &[], "").await;
            status.is_ok_and(|got| got.json()["ledger_keys"] == 1)
        })
        .await;
    };
    tokio::select! {
        _ = first => panic!("the order was answered by a frozen owner"),
        () = killed => {}
    }
    region.gateways[claimer].kill();
    region.gateways[owner].thaw();
    wait_for("the outcome is final", async || {
        region.order(other, "order-4").await.is_ok_and(|got| got.code() == "outcome_unknown")
    })
    .await;
    retry_order(&region, "order-4", &[owner, other]).await;
    assert!(region.plain.runs().get("order-4").copied().unwrap_or(0) <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answered_order_is_answered_again_after_its_claimer_is_killed() {
    let mut region = Region::start(options()).await;
    let claimer = (region.owner_of("plain-0").await + 1) % 3;
    let first = region.order(claimer, "order-5").await.expect("an answer");
    assert_eq!(first.status, StatusCode::OK);
    region.gateways[claimer].kill();
    let leader = region.leader().await;
    region.controls[leader].kill();
    let others: Vec<usize> = (0..3).filter(|gateway| *gateway != claimer).collect();
    wait_for("answered again", async || {
        region.order(others[0], "order-5").await.is_ok_and(|got| got.status == StatusCode::OK)
    })
    .await;
    for (status, _, body) in retry_order(&region, "order-5", &others).await {
        assert_eq!((status, body.as_str()), (200, first.body.as_str()));
    }
    assert_eq!(region.plain.runs()["order-5"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_caller_gets_its_own_answer_when_answers_come_out_of_order() {
    let region = Region::start(options()).await;
    set_plain_fault(&region, PlainFault { scatter_ms: 200, ..PlainFault::default() }).await;
    let mut tasks = Vec::new();
    for number in 0..120 {
        let client = region.client.clone();
        let at = region.callers(number % 3);
        tasks.push(tokio::spawn(async move {
            let path = format!("/stock/{number}");
            let request = winchvane::http::request(
                Method::GET,
                at,
                &format!("/services/shop{path}"),
                None,
                bytes::Bytes::new(),
            );
            let answer = client.exchange(request.expect("a request"), 10_000, 1 << 20).await;
            let (status, body) = answer.expect("an answer");
            let body: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
            assert_eq!((status, body["path"].as_str()), (StatusCode::OK, Some(path.as_str())));
        }));
    }
    for task in tasks {
        task.await.expect("the answer is the right one");
    }
}
