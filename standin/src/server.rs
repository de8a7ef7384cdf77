//! What the stand-ins share: serving HTTP on a listener that a test can ask for its address.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::watch;
use winchvane::http::{Answer, HttpHandler, ServerLimits, json_answer, read_body, serve};
use winchvane::metrics::Metrics;
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
    let limits = ServerLimits { connections: 20_000, ..ServerLimits::default() };
    tokio::spawn(async move {
        let (_stop, stopped) = watch::channel(false);
        serve(listener, handler, limits, Metrics::local(), stopped).await;
    });
    Ok(bound)
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
