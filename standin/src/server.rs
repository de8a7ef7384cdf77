//! What the stand-ins share: serving HTTP on a listener that a test can ask for its address.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use winchvane::http::{Answer, HttpHandler, json_answer, read_body};
use winchvane::wire::BoxFuture;

const BODY_MAX_BYTES: usize = 64 << 20;
const BODY_TIMEOUT_MS: u64 = 30_000;

/// A function that answers requests.
pub struct FnHandler<F>(pub F);

impl<F, R> HttpHandler for FnHandler<F>
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Answer> + Send + 'static,
{
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'static, Answer> {
        Box::pin((self.0)(request))
    }
}

/// Serves `handler` on `address` and returns the address that was bound.
///
/// # Errors
/// The address cannot be bound.
pub async fn start(
    address: SocketAddr,
    handler: Arc<dyn HttpHandler>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, handler.clone()));
        }
    });
    Ok(bound)
}

/// Answers keep the version that the handler gave them: one of HTTP/1.0 without a length ends with
/// its connection.
async fn serve_connection(stream: TcpStream, handler: Arc<dyn HttpHandler>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler.handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection =
        http1::Builder::new().half_close(true).serve_connection(TokioIo::new(stream), service);
    // Tests break connections.
    let _ = connection.await;
}

/// Reads a JSON body.
///
/// # Errors
/// The answer to send when the body is not what was expected.
pub async fn json_body<T: DeserializeOwned>(body: Incoming) -> Result<T, Answer> {
    let bytes = read_body(body, BODY_MAX_BYTES, BODY_TIMEOUT_MS)
        .await
        .map_err(|fault| bad_request(&format!("the body could not be read: {fault:?}")))?;
    serde_json::from_slice(&bytes).map_err(|error| bad_request(&error.to_string()))
}

/// An answer to a request that makes no sense.
pub fn bad_request(message: &str) -> Answer {
    json_answer(StatusCode::BAD_REQUEST, &serde_json::json!({"error": {"message": message}}))
}
