//! Tests with real processes: bad input, wrong answers of endpoints, silent endpoints, broken
//! connections and lost owners.
//!
//! The tests wait for conditions and depend on the speed of the machine only within the bounds that
//! they state.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::region::{engine, list_behind_forwarder, options};
use http::{Method, StatusCode};
use serde_json::json;
use winchvane::control::listing::PlatformState;
use winchvane_standin::engine::{EngineFault, EngineOptions};
use winchvane_standin::forwarder::{Forwarder, Mode};
use winchvane_standin::region::{Region, RegionOptions, instance, wait_for};

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_at_every_gateway() {
    let region = Region::start(options()).await;
    for gateway in 0..3 {
        let got = region.quote(gateway, "taichung").await;
        assert_eq!(got.status, StatusCode::OK, "{}", got.body);
        assert_eq!(got.json()["model"], "shop-a@1");
        assert_eq!(got.header("winchvane-adapter"), "shop-a");
        assert_eq!(got.header("winchvane-adapter-version"), "1");
        let body = json!({"model": "shop-b@3", "prompt": "x", "stream": true});
        let got = region.complete(gateway, &body).await;
        assert!(got.body.ends_with("data: [DONE]\n\n"), "{}", got.body);
        assert_eq!(got.body.matches("shop-b@3").count(), 4);
        let order = region.order(gateway, "key-1").await.expect("the order is answered");
        assert_eq!(order.status, StatusCode::OK, "{}", order.body);
        assert_eq!(order.json()["number"], 1, "every gateway gives the first answer");
    }
    assert_eq!(region.plain.runs()["key-1"], 1);
}

/// Guards against 503 "no endpoint of pool quotes takes work" for the first request to a new region:
/// the gateway is ready and the service is in force, but control reads the platform's list only after
/// the request has arrived, and a list not yet read was taken for a list without endpoints. Seen in
/// the quick start when the platform's process was stopped for 3.5 s after its start.
#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_for_the_first_list_of_endpoints() {
    let region = Region::start(RegionOptions { is_listed: false, ..options() }).await;
    let later = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        region.platform.set(region.instances.clone());
    };
    let quote = region.quote(0, "taichung");
    let order = region.order(1, "first");
    let (quote, order, ()) = tokio::join!(quote, order, later);
    assert_eq!(quote.status, StatusCode::OK, "{}", quote.body);
    let order = order.expect("the order is answered");
    assert_eq!(order.status, StatusCode::OK, "{}", order.body);
    assert_eq!(region.plain.runs()["first"], 1);
}

/// Method, path, headers and body, and the expected status and error code.
type BadCall<'a> = (Method, &'a str, Vec<(&'a str, &'a str)>, &'a str, u16, &'a str);

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_its_own_clear_error() {
    let more = "limits: {body_max_bytes: 4096, header_timeout_ms: 300, body_timeout_ms: 300}";
    let options = RegionOptions { gateways: 1, gateway_settings: more, ..options() };
    let region = Region::start(options).await;
    let at = region.callers(0);
    let json_type = ("content-type", "application/json");
    let large = format!("{{\"model\": \"taichung\", \"prompt\": \"{}\"}}", "x".repeat(5_000));
    let completions = "/v1/completions";
    let valid = r#"{"model": "taichung", "prompt": "x"}"#;
    let cases: Vec<BadCall<'_>> = vec![
        (Method::POST, completions, vec![json_type], "{", 400, "invalid_body"),
        (Method::POST, completions, vec![json_type], "[]", 400, "invalid_body"),
        (Method::POST, completions, vec![json_type], r#"{"prompt": "x"}"#, 400, "invalid_body"),
        (
            Method::POST,
            completions,
            vec![json_type],
            r#"{"model": "taichung"}"#,
            400,
            "invalid_body",
        ),
        (
            Method::POST,
            completions,
            vec![json_type],
            r#"{"model": "nobody", "prompt": "x"}"#,
            404,
            "model_not_found",
        ),
        (
            Method::POST,
            completions,
            vec![json_type],
            r#"{"model": "shop-b@9", "prompt": "x"}"#,
            404,
            "model_not_found",
        ),
        (
            Method::POST,
            completions,
            vec![json_type],
            r#"{"model": "taichung", "prompt": "x", "max_tokens": 99999999}"#,
            400,
            "invalid_body",
        ),
        (Method::POST, completions, vec![], valid, 415, "wrong_content_type"),
        (Method::GET, completions, vec![], "", 405, "wrong_method"),
        (Method::POST, completions, vec![json_type], &large, 413, "body_too_large"),
        (
            Method::POST,
            completions,
            vec![json_type, ("winchvane-priority", "now")],
            valid,
            400,
            "invalid_header",
        ),
        (
            Method::POST,
            completions,
            vec![json_type, ("winchvane-deadline-ms", "soon")],
            valid,
            400,
            "invalid_header",
        ),
        (Method::POST, "/v1/chat/completions", vec![json_type], valid, 400, "invalid_body"),
        (Method::GET, "/nowhere", vec![], "", 404, "unknown_path"),
        (Method::GET, "/services/nobody/x", vec![], "", 404, "service_not_found"),
        (Method::GET, "/services/taichung/x", vec![], "", 400, "not_a_plain_service"),
        (Method::POST, "/services/shop/orders", vec![], "{}", 400, "idempotency_key_required"),
    ];
    for (method, path, headers, body, status, code) in cases {
        let got = region.send(at, method, path, &headers, body).await.expect("an answer");
        assert_eq!((got.status.as_u16(), got.code().as_str()), (status, code), "{path} {body}");
        assert_eq!(got.header("winchvane-run"), "not-run");
    }
    let got = region.order(0, "key").await.expect("an answer");
    assert_eq!(got.status, StatusCode::OK);
    let headers = [("idempotency-key", "key")];
    let got = region.send(at, Method::POST, "/services/shop/orders", &headers, "other").await;
    assert_eq!(got.expect("an answer").code(), "key_reused");
    slow_callers_and_garbage(&region).await;
    let dump = region.gateway_dump(0).await;
    assert!(dump["counters"]["requests.invalid"].as_u64() > Some(15), "{dump}");
    assert!(dump["counters"]["peers.handshake_failed"].as_u64() > Some(0), "{dump}");
    assert!(dump["counters"]["callers.connection_failed"].as_u64() > Some(0), "{dump}");
}

async fn slow_callers_and_garbage(region: &Region) {
    let callers = region.callers(0);
    let others = [region.peers(0), region.admin(0), region.control_peers(0)];
    tokio::task::spawn_blocking(move || {
        let exchange = |address, text: &[u8]| {
            let mut stream = TcpStream::connect(address).expect("it connects");
            stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout is set");
            stream.write_all(text).expect("it is written");
            let mut answer = Vec::new();
            // The gateway may reset the connection instead of answering.
            let _ = stream.read_to_end(&mut answer);
            String::from_utf8_lossy(&answer).into_owned()
        };
        let slow_body = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n\
                          content-type: application/json\r\ncontent-length: 10\r\n\r\n{";
        let answer = exchange(callers, slow_body);
        assert!(answer.starts_with("HTTP/1.1 408") && answer.contains("body_too_slow"), "{answer}");
        exchange(callers, b"POST /v1/completions HTTP/1.1\r\nhost");
        let garbage: Vec<u8> = (0..2_000_u32).map(|number| (number * 37 % 251) as u8).collect();
        exchange(callers, &garbage);
        for address in others {
            exchange(address, &garbage);
        }
    })
    .await
    .expect("the task ends");
    // A caller that shuts down its sending side still gets its answer.
    let address = region.callers(0);
    let answer = tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(address).expect("it connects");
        let body = r#"{"model": "taichung", "prompt": "x"}"#;
        write!(
            stream,
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
        .expect("it is written");
        stream.shutdown(std::net::Shutdown::Write).expect("the sending side closes");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer comes");
        answer
    })
    .await
    .expect("the task ends");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(region.quote(0, "taichung").await.status, StatusCode::OK, "still served");
}

#[tokio::test(flavor = "multi_thread")]
async fn service_goes_on_after_an_owner_is_killed() {
    let mut region = Region::start(options()).await;
    let owner = region.owner_of("engine-0").await;
    let other = (owner + 1) % 3;
    region.quote(other, "taichung").await;
    region.quote(other, "hsinchu").await;
    region.gateways[owner].kill();
    let started = Instant::now();
    for _ in 0..20 {
        let got = region.quote(other, "taichung").await;
        assert_eq!(got.status, StatusCode::OK, "{}", got.body);
    }
    wait_for("another owner", async || {
        let status = region.status().await.expect("a gateway answers");
        let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
        endpoints.iter().all(|found| found["owner"] != format!("gateway-{owner}").as_str())
    })
    .await;
    println!("owner loss: {} ms", started.elapsed().as_millis());
    for engine in &region.engines {
        assert_eq!(engine.counts().unloads_while_running, 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_owner_that_wakes_gives_no_order() {
    let slow = EngineOptions { tokens: 400, max_adapters: 1, ..engine() };
    let options = RegionOptions { engines: 1, engine: slow, ..options() };
    let region = Region::start(options).await;
    let owner = region.owner_of("engine-0").await;
    let other = (owner + 1) % 3;
    assert_eq!(region.quote(other, "taichung").await.status, StatusCode::OK);
    // The only slot is used by a long answer of the old owner while another adapter is requested.
    let long = json!({"model": "taichung", "prompt": "x", "max_tokens": 400, "stream": true});
    let freeze_owner = async {
        wait_for("the answer runs", async || region.engines[0].counts().started >= 2).await;
        region.gateways[owner].freeze();
        let got = region.quote(other, "hsinchu").await;
        assert_eq!(got.status, StatusCode::OK, "{}", got.body);
        region.gateways[owner].thaw();
    };
    let (_, ()) = tokio::join!(region.complete(other, &long), freeze_owner);
    region.wait_ready(owner).await;
    assert_eq!(region.quote(owner, "taichung").await.status, StatusCode::OK);
    let counts = region.engines[0].counts();
    assert_eq!(counts.unloads_while_running, 0, "{counts:?}");
}

/// Guards against 503 `configuration_not_confirmed` from a ready gateway: the process is suspended for
/// longer than its configuration counts as confirmed, resumes, and reads a request before control has
/// confirmed the configuration again. An expired confirmation was taken for a loss of control. Seen in
/// `a_frozen_owner_that_wakes_gives_no_order` beside 32 busy loops, in milliseconds after it resumed:
/// session given up ("no answer within 1500 ms") at 0, this answer at 7, registered again at 114.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_gateway_answers_the_first_request_that_it_reads() {
    let region = Region::start(options()).await;
    assert_eq!(region.quote(0, "taichung").await.status, StatusCode::OK);
    region.gateways[0].freeze();
    let wake = async {
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        // Control is delayed, since the renewal might otherwise overtake the request.
        for control in &region.controls {
            control.freeze();
        }
        region.gateways[0].thaw();
        tokio::time::sleep(Duration::from_millis(100)).await;
        for control in &region.controls {
            control.thaw();
        }
    };
    let (got, ()) = tokio::join!(region.quote(0, "taichung"), wake);
    assert_eq!(got.status, StatusCode::OK, "{}", got.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_cut_and_lying_engines_are_never_passed_on() {
    let region = Region::start(RegionOptions { engines: 1, ..options() }).await;
    let engine = region.engines[0].clone();
    assert_eq!(region.quote(0, "taichung").await.status, StatusCode::OK);

    engine.set_fault(EngineFault { answers_as: Some("shop-x@1".into()), ..EngineFault::default() });
    let got = region.quote(0, "taichung").await;
    assert_eq!((got.status, got.header("winchvane-run")), (StatusCode::BAD_GATEWAY, "unknown"));
    let body = json!({"model": "taichung", "prompt": "x", "stream": true});
    let got = region.complete(1, &body).await;
    assert!(!got.body.contains("shop-x@1\",\"choices"), "{}", got.body);

    for ends_with_connection in [false, true] {
        for cut in [0, 1, 40, 100, 150, 400, 430] {
            let cut_after_bytes = Some(cut);
            engine.set_fault(EngineFault {
                cut_after_bytes,
                ends_with_connection,
                ..EngineFault::default()
            });
            let got = region.complete(1, &body).await;
            assert!(!got.body.contains("[DONE]"), "cut at {cut}: {}", got.body);
            assert!(got.body.contains("unknown") || got.header("winchvane-run") == "unknown");
        }
    }

    engine.set_fault(EngineFault { load_lies: true, ..EngineFault::default() });
    let got = region.quote(2, "hsinchu").await;
    assert_eq!(got.header("winchvane-run"), "not-run", "{}", got.body);
    engine.set_fault(EngineFault { load_fails: true, ..EngineFault::default() });
    let got = region.quote(2, "shop-b@3").await;
    assert_eq!(got.header("winchvane-run"), "not-run", "{}", got.body);
    assert!(!got.header("retry-after").is_empty());
    engine.set_fault(EngineFault { load_hangs: true, ..EngineFault::default() });
    let got = region.quote(2, "lost").await;
    assert_eq!(got.code(), "load_failed", "{}", got.body);

    engine.set_fault(EngineFault::default());
    engine.restart();
    wait_for("served again", async || region.quote(0, "taichung").await.status == StatusCode::OK)
        .await;
    wait_for("the other too", async || region.quote(0, "hsinchu").await.status == StatusCode::OK)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_with_its_connection_arrives_whole() {
    let region = Region::start(RegionOptions { engines: 1, ..options() }).await;
    assert_eq!(region.quote(0, "taichung").await.status, StatusCode::OK);
    let fault = EngineFault { ends_with_connection: true, ..EngineFault::default() };
    region.engines[0].set_fault(fault);
    let body = json!({"model": "taichung", "prompt": "x", "stream": true});
    for gateway in 0..3 {
        let got = region.complete(gateway, &body).await;
        assert_eq!(got.status, StatusCode::OK, "{}", got.body);
        assert!(got.body.ends_with("data: [DONE]\n\n"), "{}", got.body);
        assert_eq!(got.body.matches("shop-a@1").count(), 4, "{}", got.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_connection_to_an_engine_leaves_no_truncated_answer() {
    let slow = EngineOptions { tokens: 100, step_ms: 10, ..engine() };
    let mut region = Region::start(RegionOptions { engines: 1, engine: slow, ..options() }).await;
    let real = region.instances[0].address;
    let (forwarder, address) = Forwarder::start(real).await.expect("the forwarder starts");
    region.instances[0] = instance("engine-9", address, "quotes");
    region.platform.set(region.instances.clone());
    wait_for("the list is followed", async || {
        let status = region.status().await.expect("a gateway answers");
        status["endpoints"].to_string().contains("engine-9")
            && !status["endpoints"].to_string().contains("engine-0")
    })
    .await;
    let quick = json!({"model": "taichung", "prompt": "x", "max_tokens": 2});
    wait_for("served through the forwarder", async || {
        region.complete(0, &quick).await.status == StatusCode::OK
    })
    .await;
    let body = json!({"model": "taichung", "prompt": "x", "stream": true});
    let started = region.engines[0].counts().started;
    let cut = async {
        wait_for("it runs", async || region.engines[0].counts().started > started).await;
        forwarder.set(Mode::Break);
    };
    let (got, ()) = tokio::join!(region.complete(1, &body), cut);
    assert!(!got.body.contains("[DONE]"), "{}", got.body);
    let whole = json!({"model": "taichung", "prompt": "x"});
    let got = region.complete(2, &whole).await;
    assert_ne!(got.status, StatusCode::OK);
    forwarder.set(Mode::Pass);
    wait_for("served again", async || region.complete(0, &quick).await.status == StatusCode::OK)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_no_new_work() {
    let mut region = Region::start(options()).await;
    for _ in 0..4 {
        region.quote(0, "taichung").await;
        region.quote(1, "hsinchu").await;
    }
    region.instances[0].state = PlatformState::Leaving;
    region.platform.set(region.instances.clone());
    wait_for("the list is followed", async || {
        let status = region.status().await.expect("a gateway answers");
        status["endpoints"][0]["listed"]["leaving"] == true
    })
    .await;
    // The gateways may receive the change slightly later than control.
    wait_for("no new work for a while", async || {
        let before = region.engines[0].counts().started;
        for gateway in 0..3 {
            assert_eq!(region.quote(gateway, "taichung").await.status, StatusCode::OK);
            assert_eq!(region.quote(gateway, "hsinchu").await.status, StatusCode::OK);
        }
        region.engines[0].counts().started == before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_platforms_load_report_reaches_the_owner() {
    let mut region = Region::start(options()).await;
    let owner = region.owner_of("plain-0").await;
    let plain = region.instances.iter_mut().find(|instance| &*instance.pool == "portal");
    plain.expect("there is one").running = Some(50);
    region.platform.set(region.instances.clone());
    wait_for("the owner counts the load of others", async || {
        let dump = region.gateway_dump(owner).await;
        let endpoints = dump["endpoints_owned"].as_array().cloned().unwrap_or_default();
        endpoints
            .iter()
            .any(|found| found["endpoint"] == "plain-0" && found["others_running"] == 50)
    })
    .await;
    let got = region.order(0, "order-6").await.expect("an answer");
    assert_eq!(got.status, StatusCode::OK, "the report of load does not stop work");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_cancels_its_request() {
    let slow = EngineOptions { tokens: 5_000, step_ms: 10, ..engine() };
    let options = RegionOptions { engines: 1, engine: slow, ..options() };
    let region = Region::start(options).await;
    let other = (region.owner_of("engine-0").await + 1) % 3;
    let body = json!({"model": "taichung", "prompt": "x", "stream": true});
    let runs = wait_for("it runs", async || region.engines[0].running() == 1);
    tokio::select! {
        _ = region.complete(other, &body) => panic!("the answer ended"),
        () = runs => {}
    }
    wait_for("it is cancelled", async || region.engines[0].running() == 0).await;
    assert_eq!(region.engines[0].counts().finished, 0);
    let owner = region.owner_of("engine-0").await;
    let dump = region.gateway_dump(owner).await;
    assert_eq!(dump["counters"]["requests.callers_gone"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_died_is_avoided_while_the_list_calls_it_live() {
    let mut region = Region::start(options()).await;
    let (forwarder, address) =
        Forwarder::start(region.instances[0].address).await.expect("the forwarder starts");
    region.instances[0] = instance("engine-9", address, "quotes");
    region.platform.set(region.instances.clone());
    wait_for("the list is followed", async || {
        let endpoints = region.status().await.expect("a gateway answers")["endpoints"].to_string();
        endpoints.contains("engine-9") && !endpoints.contains("engine-0")
    })
    .await;
    region.wait_owned().await;
    for model in ["taichung", "hsinchu"] {
        assert_eq!(region.quote(0, model).await.status, StatusCode::OK);
    }
    for _ in 0..2 {
        // Repeated, since the second failure must be handled like the first.
        forwarder.set(Mode::Break);
        for gateway in [0, 1, 2, 0, 1, 2] {
            for model in ["taichung", "hsinchu"] {
                let got = region.quote(gateway, model).await;
                assert_eq!(got.status, StatusCode::OK, "{}", got.body);
            }
        }
        forwarder.set(Mode::Pass);
        wait_for("it is used again", async || {
            let before = region.engines[0].counts().started;
            for gateway in 0..3 {
                for model in ["taichung", "hsinchu"] {
                    region.quote(gateway, model).await;
                }
            }
            region.engines[0].counts().started > before
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_at_an_engine_that_goes_silent_is_run_elsewhere() {
    let mut region = Region::start(options()).await;
    let other = region.instances.remove(1);
    let forwarder = list_behind_forwarder(&mut region).await;
    wait_for("its adapter is loaded there", async || {
        region.quote(0, "taichung").await.status == StatusCode::OK
    })
    .await;
    region.instances.push(other);
    region.platform.set(region.instances.clone());
    region.wait_owned().await;
    let before = region.engines[1].counts().started;
    forwarder.set(Mode::Hold);
    let got = region.quote(0, "taichung").await;
    assert_eq!(got.status, StatusCode::OK, "{}", got.body);
    assert!(region.engines[1].counts().started > before, "it ran at the other engine");
}
