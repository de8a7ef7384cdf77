//! Streams between processes: other wire versions, unknown channels and malformed messages are
//! refused.

use std::sync::{Arc, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use winchvane::Result;
use winchvane::control::limits::ControlLimits;
use winchvane::control::serving::{ControlHandler, Stage};
use winchvane::metrics::{Counter, Metrics};
use winchvane::policy::resource_limiter::ResourceLimits;
use winchvane::policy::silence::SILENT_MAX_MS;
use winchvane::resources::Resources;
use winchvane::wire::{
    BoxFuture, Channel, Handler, Incoming, Peer, Receiver, Sender, WIRE_VERSION, serve,
};
use yare::parameterized;

/// Sends each received message back.
struct Echo;

impl Handler for Echo {
    fn handle(&self, incoming: Incoming) -> BoxFuture<'static, Result<()>> {
        Box::pin(async move {
            let (mut receiver, mut sender) = incoming.accept::<String, String>()?;
            while let Some(text) = receiver.next().await? {
                sender.send(&text).await?;
            }
            sender.finish();
            Ok(())
        })
    }
}

async fn start() -> (std::net::SocketAddr, Metrics) {
    start_with(Resources::local()).await
}

async fn start_with(resources: Resources) -> (std::net::SocketAddr, Metrics) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let metrics = resources.metrics().clone();
    tokio::spawn(serve(listener, Arc::new(Echo), resources));
    (address, metrics)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

#[parameterized(
    older_version = { "/forward", Some("0") },
    no_version = { "/forward", None },
    unknown_channel = { "/gossip", Some(WIRE_VERSION) },
)]
fn other_versions_and_unknown_channels_are_refused(path: &str, version: Option<&str>) {
    run(async {
        let (address, metrics) = start().await;
        let stream = TcpStream::connect(address).await.expect("a connection");
        let (sender, connection) = h2::client::handshake(stream).await.expect("an h2 handshake");
        tokio::spawn(connection);
        let mut request = Request::builder().method(Method::POST).uri(format!("http://x{path}"));
        if let Some(version) = version {
            request = request.header("winchvane-wire", version);
        }
        let request = request.body(()).expect("a request");
        let mut sender = sender.ready().await.expect("a connection that is ready");
        let (response, _stream) = sender.send_request(request, false).expect("the request is sent");
        assert_eq!(response.await.expect("an answer").status(), StatusCode::NOT_IMPLEMENTED);
        assert_eq!(metrics.total(Counter::PeerRefused), 1);
        // The listener continues to serve other streams.
        let echo: String = Peer::new(address)
            .call(Channel::Control, &"still here".to_owned(), 2_000)
            .await
            .expect("an answer");
        assert_eq!(echo, "still here");
    });
}

/// Guards against resets, which do not tell a gateway why it has to look for another replica.
#[test]
fn a_replica_that_has_not_started_says_so() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let limits = ControlLimits::new(256_000_000, 128_000_000);
        let handler = ControlHandler::new(Arc::new(RwLock::new(Stage::Empty)), limits);
        tokio::spawn(serve(listener, Arc::new(handler), Resources::local()));
        let peer = Peer::new(address);
        let opened = peer.open(Channel::Session).await.expect("the replica listens");
        let (_sender, mut receiver): (Sender<String>, Receiver<String>) = opened;
        let error = receiver.next().await.expect_err("no sessions are served yet");
        assert!(error.to_string().contains("the replica has not started yet"), "{error}");
        assert!(error.is_not_run(), "{error}");
    });
}

#[test]
fn a_malformed_message_fails_only_its_stream() {
    run(async {
        let (address, _) = start().await;
        let stream = TcpStream::connect(address).await.expect("a connection");
        let (sender, connection) = h2::client::handshake(stream).await.expect("an h2 handshake");
        tokio::spawn(connection);
        for bytes in [vec![0xff; 64], vec![3, 0, 0, 0, 0xff, 0xff, 0xff]] {
            let mut sender = sender.clone().ready().await.expect("a connection that is ready");
            let request = Request::builder()
                .method(Method::POST)
                .uri("http://x/control")
                .header("winchvane-wire", WIRE_VERSION)
                .body(())
                .expect("a request");
            let (response, mut stream) =
                sender.send_request(request, false).expect("the request is sent");
            stream.send_data(Bytes::from(bytes), true).expect("the data is sent");
            let mut body = response.await.expect("the stream is accepted").into_body();
            let next = tokio::time::timeout(Duration::from_secs(5), body.data()).await;
            assert!(
                !matches!(next.expect("the stream ends in time"), Some(Ok(_))),
                "nothing is echoed"
            );
        }
        let peer = Peer::new(address);
        let echo: String =
            peer.call(Channel::Control, &"fine".to_owned(), 2_000).await.expect("an answer");
        assert_eq!(echo, "fine");
    });
}

/// Guards against closing the connection of a stream that is idle, but whose other side answers.
#[test]
fn an_idle_stream_stays_open() {
    run(async {
        let (address, metrics) = start().await;
        let peer = Peer::new(address).with_metrics(metrics.clone());
        let (mut sender, mut receiver): (Sender<String>, Receiver<String>) =
            peer.open(Channel::Control).await.expect("a stream");
        for number in 0..2 {
            let text = format!("message {number}");
            sender.send(&text).await.expect("the message is sent");
            assert_eq!(receiver.next().await.expect("an answer"), Some(text));
            tokio::time::sleep(Duration::from_millis(SILENT_MAX_MS + 1_000)).await;
        }
        sender.send(&"last".to_owned()).await.expect("the message is sent");
        assert_eq!(receiver.next().await.expect("an answer").as_deref(), Some("last"));
        assert_eq!(metrics.total(Counter::PeerConnectionsSilent), 0);
    });
}

#[test]
fn messages_larger_than_any_window_arrive_complete() {
    run(async {
        let (address, _) = start().await;
        let large = "x".repeat(20 << 20);
        let echo: String =
            Peer::new(address).call(Channel::Control, &large, 20_000).await.expect("an answer");
        assert_eq!(echo.len(), large.len());
    });
}

/// Of a message that has not arrived completely nothing has run, so that it may be sent elsewhere.
#[test]
fn a_message_for_which_there_is_no_memory_has_not_run() {
    run(async {
        let limits = ResourceLimits::new(20_000_000, 1_000);
        let (address, metrics) = start_with(Resources::new(limits, Metrics::local())).await;
        let peer = Peer::new(address);
        let large = "x".repeat(8 << 20);
        let refused: Result<String> = peer.call(Channel::Control, &large, 20_000).await;
        let error = refused.expect_err("it is larger than the memory for messages");
        assert!(error.is_not_run(), "{error}");
        assert_eq!(metrics.total(Counter::MessagesWithoutRoom), 1);
        let echo: Result<String> = peer.call(Channel::Control, &"x".to_owned(), 2_000).await;
        assert_eq!(echo.expect("others are served"), "x");
    });
}

/// Several large messages at once wait for each other, and each of them arrives.
#[test]
fn a_message_waits_for_memory_that_another_one_uses() {
    run(async {
        let limits = ResourceLimits::new(20_000_000, 1_000);
        let (address, metrics) = start_with(Resources::new(limits, Metrics::local())).await;
        let large: Arc<str> = "x".repeat(2_500_000).into();
        let mut calls = Vec::new();
        for _ in 0..2 {
            let large = large.clone();
            calls.push(tokio::spawn(async move {
                let echo: Result<String> =
                    Peer::new(address).call(Channel::Control, &large, 20_000).await;
                echo.expect("it arrives").len()
            }));
        }
        for call in calls {
            assert_eq!(call.await.expect("no panic"), large.len());
        }
        assert_eq!(metrics.total(Counter::MessagesWithoutRoom), 0);
    });
}

#[test]
fn a_missing_answer_is_an_error_with_unknown_outcome() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let silent = tokio::spawn(async move {
            let mut streams = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                streams.push(stream);
            }
        });
        let result: Result<String> =
            Peer::new(address).call(Channel::Control, &"x".to_owned(), 200).await;
        assert!(!result.expect_err("no answer").is_invalid());
        silent.abort();
        let closed: Result<String> =
            Peer::new(address).call(Channel::Control, &"x".to_owned(), 2_000).await;
        let _ = closed;
        let nobody = "127.0.0.1:1".parse().expect("an address");
        let refused: Result<String> =
            Peer::new(nobody).call(Channel::Control, &"x".to_owned(), 2_000).await;
        assert!(refused.expect_err("nobody listens").is_not_run());
    });
}
