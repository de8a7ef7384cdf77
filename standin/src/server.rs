//! What the stand-ins share: serving HTTP on a listener that a test can ask for its address.

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use winchvane::http::{Answer, json_answer};
use winchvane::wire::BoxFuture;

const BODY_MAX_BYTES: usize = 64 << 20;

/// A handler of a stand-in's HTTP requests.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers a request.
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'static, Answer>;
}

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

/// Reads a whole body.
///
/// # Errors
/// It is too large, or its connection failed.
pub async fn read_body(body: Incoming) -> Result<Bytes, Box<dyn Error + Send + Sync>> {
    Ok(Limited::new(body, BODY_MAX_BYTES).collect().await?.to_bytes())
}

/// Reads a JSON body.
///
/// # Errors
/// The answer to send when the body is not what was expected.
pub async fn json_body<T: DeserializeOwned>(body: Incoming) -> Result<T, Answer> {
    let bytes = read_body(body)
        .await
        .map_err(|error| bad_request(&format!("the body could not be read: {error}")))?;
    serde_json::from_slice(&bytes).map_err(|error| bad_request(&error.to_string()))
}

/// An answer to a request that makes no sense.
pub fn bad_request(message: &str) -> Answer {
    json_answer(StatusCode::BAD_REQUEST, &serde_json::json!({"error": {"message": message}}))
}
