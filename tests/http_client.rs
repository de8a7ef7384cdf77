//! The HTTP client, when endpoints close its pooled connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use winchvane::http::{HttpClient, request};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Its end is that of the connection.
const ANSWER_WITHOUT_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nok";

/// Reads one request and answers it; false if the connection ended first.
fn answer_one(stream: &mut TcpStream) -> bool {
    answer_one_with(stream, ANSWER)
}

fn answer_one_with(stream: &mut TcpStream, answer: &[u8]) -> bool {
    let mut read = Vec::new();
    let mut buffer = [0; 1 << 10];
    while !read.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(size @ 1..) => read.extend_from_slice(&buffer[..size]),
            _ => return false,
        }
    }
    stream.write_all(answer).is_ok()
}

/// A server that answers one request on one connection and keeps the connection open until `close`.
struct Server {
    close: Sender<()>,
    thread: JoinHandle<bool>,
}

impl Server {
    fn start(listener: TcpListener) -> Self {
        let (close, closed) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let Ok((mut stream, _)) = listener.accept() else { return false };
            let is_answered = answer_one(&mut stream);
            // Returns once the sender is dropped.
            let _ = closed.recv();
            is_answered
        });
        Self { close, thread }
    }

    /// Closes the connection; true if its request was answered.
    fn close(self) -> bool {
        drop(self.close);
        self.thread.join().expect("the server thread does not panic")
    }
}

async fn exchange(client: &HttpClient, address: SocketAddr) -> winchvane::Result<StatusCode> {
    let call = request(Method::POST, address, "/", None, Bytes::new())?;
    client.exchange(call, 5_000, 1 << 10).await.map(|(status, _)| status)
}

/// Guards against 502 `outcome_unknown` ("step=send request: connection closed") for a call of
/// which no byte was written: an endpoint answers and closes the pooled connection, and the next
/// call takes it from the pool before the client has read its end. Every failure except a failed
/// connect counted as one after which the call may have run, so a call that is not repeatable was
/// lost and the outcome of its key stayed unknown. This was seen in a test beside 24 loops that
/// used processor time.
#[tokio::test(flavor = "current_thread")]
async fn a_call_on_a_kept_connection_that_was_closed_is_sent_on_a_new_one() {
    let (client, listener) = client_with_a_closed_connection().await;
    let address = listener.local_addr().expect("the listener is bound");
    let next = Server::start(listener);
    assert_eq!(exchange(&client, address).await.expect("an answer"), StatusCode::OK);
    assert!(next.close());
}

/// As above, but the endpoint no longer listens: the error must say that the call has not run.
#[tokio::test(flavor = "current_thread")]
async fn a_call_on_a_closed_connection_to_an_endpoint_that_ended_has_not_run() {
    let (client, listener) = client_with_a_closed_connection().await;
    let address = listener.local_addr().expect("the listener is bound");
    drop(listener);
    let error = exchange(&client, address).await.expect_err("no endpoint listens");
    assert!(error.is_not_run(), "{error}");
}

/// Returns a client with a pooled connection to the listener, which the server has closed while the
/// client has not read the end of it.
async fn client_with_a_closed_connection() -> (HttpClient, TcpListener) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let server = Server::start(listener.try_clone().expect("the listener can be cloned"));
    let client = HttpClient::new(1_000);
    assert_eq!(exchange(&client, address).await.expect("an answer"), StatusCode::OK);
    // Lets the connection return to the pool.
    tokio::time::sleep(Duration::from_millis(50)).await;
    // The task blocks the only thread until after the pause below, so that the next call is made
    // after the end of the connection has arrived and before it is read.
    let busy = tokio::spawn(async move {
        assert!(server.close());
        std::thread::sleep(Duration::from_millis(50));
    });
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert!(busy.is_finished());
    (client, listener)
}

/// Guards against a short answer without a length that counts as whole although its sender crashed.
#[tokio::test]
async fn an_answer_without_a_length_is_whole_only_if_its_sender_still_listens() {
    for crashes in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            assert!(answer_one_with(&mut stream, ANSWER_WITHOUT_LENGTH));
            if crashes {
                drop(listener);
                return None;
            }
            Some(listener)
        });
        let got = exchange(&HttpClient::new(1_000), address).await;
        assert_eq!(got.is_ok(), !crashes, "{got:?}");
        drop(server.join().expect("the server thread does not panic"));
    }
}
