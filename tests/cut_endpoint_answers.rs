//! Answers of endpoints to the gateways that own them, whose heads or bodies stop midway.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;

use http_body_util::BodyExt;
use winchvane::endpoint::{Endpoint, EndpointCall, HttpEndpoint, SendOutcome};
use winchvane::gateway::stream::{EventChecker, check_json};
use winchvane::http::HttpClient;
use winchvane::message::{AdapterKey, Call, Priority};
use winchvane::settings::EndpointSettings;
use yare::parameterized;

const STATUS: &str = r#"{"boot_id":1,"max_running":8,"max_adapters":2,"adapters":[]}"#;

/// How an endpoint ends a connection.
#[derive(Debug, Clone, Copy)]
enum Ending {
    /// It closes the connection.
    Close,
    /// It ends its side only, and goes on reading.
    HalfClose,
}

/// Starts an endpoint that answers the first request of each connection with `sent`.
fn start_endpoint(sent: String, ending: Ending) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sent = sent.clone();
            thread::spawn(move || answer(stream, &sent, ending));
        }
    });
    address
}

fn answer(mut stream: TcpStream, sent: &str, ending: Ending) -> Option<()> {
    let mut read = Vec::new();
    let mut buffer = [0; 1 << 10];
    while !read.windows(4).any(|end| end == b"\r\n\r\n") {
        let size = stream.read(&mut buffer).ok().filter(|size| *size > 0)?;
        read.extend_from_slice(&buffer[..size]);
    }
    stream.write_all(sent.as_bytes()).ok()?;
    if matches!(ending, Ending::HalfClose) {
        stream.shutdown(Shutdown::Write).ok()?;
        let _ = stream.read_to_end(&mut Vec::new());
    }
    Some(())
}

fn settings() -> EndpointSettings {
    EndpointSettings {
        connect_timeout_ms: 500,
        status_poll_ms: 1_000,
        status_timeout_ms: 1_000,
        failures_to_down: 3,
        load_timeout_ms: 1_000,
        idle_timeout_ms: 1_000,
    }
}

fn engine(address: SocketAddr) -> HttpEndpoint {
    HttpEndpoint::new_engine(address, HttpClient::new(500), settings())
}

fn plain(address: SocketAddr) -> HttpEndpoint {
    HttpEndpoint::new_plain(address, HttpClient::new(500), settings())
}

fn call() -> EndpointCall {
    EndpointCall {
        epoch: 1,
        request_id: "7f".into(),
        priority: Priority::Interactive,
        call: Call {
            method: "POST".into(),
            path: "/".into(),
            content_type: None,
            idempotency_key: None,
            stream: false,
            body: Vec::new(),
        },
    }
}

/// The body that is passed on as whole; `None` if the call failed or the body broke off. A failure
/// must say that the call may have run.
async fn whole_body(endpoint: &HttpEndpoint) -> Option<Vec<u8>> {
    match endpoint.send(call()).await {
        Ok(SendOutcome::Answer(answer)) => {
            Some(answer.body.collect().await.ok()?.to_bytes().to_vec())
        }
        Ok(SendOutcome::Refused(refusal)) => panic!("an answer was taken for {refusal:?}"),
        Err(error) => {
            assert!(!error.is_not_run(), "it may have run: {error}");
            None
        }
    }
}

/// The tests below would pass for any failure if this one did not.
#[tokio::test]
async fn whole_answers_are_read() {
    let sent = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{STATUS}", STATUS.len());
    let address = start_endpoint(sent, Ending::Close);
    assert_eq!(engine(address).status(1).await.expect("a status").places, 8);
    plain(address).status(1).await.expect("a status");
    let adapter = AdapterKey::new("shop", 3);
    engine(address).load(1, adapter.clone()).await.expect("it is loaded");
    engine(address).unload(1, adapter).await.expect("it is unloaded");
    assert_eq!(whole_body(&plain(address)).await, Some(STATUS.as_bytes().to_vec()));
}

/// Guards against a part of an answer being taken for a status without adapters, a health check that
/// passed, a load that ended, or the whole answer of a call.
#[parameterized(
    in_the_status_line = { "HTTP/1.1 200" },
    inside_a_header = { "HTTP/1.1 200 OK\r\nserver-st" },
    after_the_last_header = { "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n" },
    in_the_empty_line = { "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r" },
    without_a_length = { "HTTP/1.1 200 OK\r\n" },
    after_an_interim_head = { "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" },
    before_the_body = { "HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n" },
    in_the_body = { "HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"boot_id\":1,\"max_running\":8,\"max_adapters\":2,\"adapters\":[]}" },
    before_the_last_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3c\r\n{\"boot_id\":1,\"max_running\":8,\"max_adapters\":2,\"adapters\":[]}\r\n" },
    in_the_last_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3c\r\n{\"boot_id\":1,\"max_running\":8,\"max_adapters\":2,\"adapters\":[]}\r\n0\r\n" },
    inside_a_trailer = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3c\r\n{\"boot_id\":1,\"max_running\":8,\"max_adapters\":2,\"adapters\":[]}\r\n0\r\nsum: 1\r\n" },
    of_a_refusal = { "HTTP/1.1 409 Conflict\r\ncontent-length: 90\r\n\r\nadapter_not_loaded" },
)]
fn half_of_an_answer_is_none(sent: &str) {
    run(async {
        for ending in [Ending::Close, Ending::HalfClose] {
            let address = start_endpoint(sent.to_owned(), ending);
            let adapter = AdapterKey::new("shop", 3);
            assert!(engine(address).status(1).await.is_err(), "{ending:?}");
            assert!(plain(address).status(1).await.is_err(), "{ending:?}");
            assert!(engine(address).load(1, adapter.clone()).await.is_err(), "{ending:?}");
            assert!(engine(address).unload(1, adapter).await.is_err(), "{ending:?}");
            assert_eq!(whole_body(&plain(address)).await, None, "{ending:?}");
            assert_eq!(whole_body(&engine(address)).await, None, "{ending:?}");
        }
    });
}

/// Guards against an answer of an engine, cut anywhere, passing the check of its adapter.
#[test]
fn an_answer_of_an_adapter_is_whole_or_rejected() {
    let adapter = AdapterKey::new("shop", 3);
    let whole = r#"{"model":"shop@3","text":"a"}"#;
    assert!(check_json(whole.as_bytes(), &adapter).is_ok());
    for cut_at in 0..whole.len() {
        assert!(check_json(&whole.as_bytes()[..cut_at], &adapter).is_err(), "{cut_at}");
    }
    let events = "data: {\"model\":\"shop@3\"}\n\ndata: [DONE]\n\n";
    for cut_at in 0..=events.len() {
        let mut checker = EventChecker::new(adapter.clone());
        checker.push(&events.as_bytes()[..cut_at]).expect("no event is wrong");
        assert_eq!(checker.is_complete(), cut_at == events.len(), "{cut_at}");
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}
