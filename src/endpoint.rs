//! The interface through which a gateway uses its endpoints, and its implementation over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use http_body_util::combinators::BoxBody;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::error::{Error, Result};
use crate::http::{HttpClient, header, request};
use crate::message::{AdapterKey, Call, Priority};
use crate::policy::owner::EngineStatus;
use crate::settings::EndpointSettings;
use crate::wire::BoxFuture;

/// The header with the fencing token of a request to an endpoint.
pub const EPOCH_HEADER: &str = "winchvane-epoch";
/// The header with the id of the caller's request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

const STATUS_MAX_BYTES: usize = 1 << 20;
const ERROR_MAX_BYTES: usize = 64 << 10;

/// A call with the metadata that is sent to the endpoint with it.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    /// The owner's epoch, which serves as fencing token.
    pub epoch: u64,
    /// The id of the caller's request.
    pub request_id: Arc<str>,
    /// The priority.
    pub priority: Priority,
    /// The HTTP request to run.
    pub call: Call,
}

/// An endpoint's answer, whose body has yet to be read.
pub struct EndpointAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Arc<str>,
    /// The body.
    pub body: BoxBody<Bytes, Error>,
}

/// Why an engine refused a call without starting it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineRefusal {
    /// The adapter is not loaded.
    AdapterNotLoaded,
    /// The engine has seen the higher epoch of a later owner.
    StaleEpoch,
    /// The engine accepts no calls at present.
    Busy,
}

/// The result of sending a call.
pub enum SendOutcome {
    /// The head of the answer has arrived.
    Answer(EndpointAnswer),
    /// The endpoint did not start the call.
    Refused(EngineRefusal),
}

/// An endpoint: a model engine or a plain service.
pub trait Endpoint: Send + Sync + 'static {
    /// Sends a call and waits for the head of the answer.
    ///
    /// # Errors
    /// "Not run" if no connection could be made or no byte was written; otherwise it is unknown
    /// whether the call ran.
    fn send(&self, order: EndpointCall) -> BoxFuture<'_, Result<SendOutcome>>;

    /// Loads an adapter.
    ///
    /// # Errors
    /// The engine refused, failed or did not answer in time.
    fn load(&self, epoch: u64, adapter: AdapterKey) -> BoxFuture<'_, Result<()>>;

    /// Unloads an adapter.
    ///
    /// # Errors
    /// As for [`load`](Self::load).
    fn unload(&self, epoch: u64, adapter: AdapterKey) -> BoxFuture<'_, Result<()>>;

    /// Reads the status. The request carries the owner's epoch, so that the endpoint refuses calls
    /// of earlier owners from then on.
    ///
    /// # Errors
    /// The endpoint did not answer in time or returned no valid status.
    fn status(&self, epoch: u64) -> BoxFuture<'_, Result<EngineStatus>>;
}

/// The body of an engine's answer to `GET /status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusBody {
    /// A random id of each start of the engine.
    pub boot_id: u64,
    /// The number of requests that the engine runs at once.
    pub max_running: u32,
    /// The number of adapters that the engine holds at once.
    pub max_adapters: u32,
    /// The loaded adapters.
    pub adapters: Vec<LoadedBody>,
}

/// A loaded adapter in a [`StatusBody`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadedBody {
    /// The adapter as `name@version`.
    pub name: String,
    /// The number of requests that run on it.
    pub running: u32,
}

/// The body of `POST /v1/load_lora_adapter` and `POST /v1/unload_lora_adapter`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoraBody {
    /// The adapter as `name@version`.
    pub lora_name: String,
    /// The path of the adapter in the weight store; empty when unloading.
    #[serde(default)]
    pub lora_path: String,
}

/// Values of the field `error.code` in an engine's refusals.
pub mod refusal_code {
    /// The adapter is not loaded.
    pub const ADAPTER_NOT_LOADED: &str = "adapter_not_loaded";
    /// The call's epoch is lower than the highest one that the engine has seen.
    pub const STALE_EPOCH: &str = "stale_epoch";
}

/// An endpoint that is reached over HTTP.
pub struct HttpEndpoint {
    address: SocketAddr,
    client: HttpClient,
    settings: EndpointSettings,
    is_engine: bool,
}

impl HttpEndpoint {
    /// Creates a client of the model engine at `address`.
    pub fn new_engine(address: SocketAddr, client: HttpClient, settings: EndpointSettings) -> Self {
        Self { address, client, settings, is_engine: true }
    }

    /// Creates a client of the plain service at `address`.
    pub fn new_plain(address: SocketAddr, client: HttpClient, settings: EndpointSettings) -> Self {
        Self { address, client, settings, is_engine: false }
    }

    async fn send_call(&self, order: EndpointCall) -> Result<SendOutcome> {
        let call = order.call;
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|_| Error::invalid(format!("\"{}\" is not an HTTP method", call.method)))?;
        let content_type = call.content_type.as_deref();
        let mut request =
            request(method, self.address, &call.path, content_type, call.body.into())?;
        let headers = request.headers_mut();
        headers.insert(EPOCH_HEADER, order.epoch.into());
        if let Ok(value) = order.request_id.parse() {
            headers.insert(REQUEST_ID_HEADER, value);
        }
        if let Some(value) = call.idempotency_key.and_then(|key| key.parse().ok()) {
            headers.insert(IDEMPOTENCY_KEY_HEADER, value);
        }
        let idle_ms = self.settings.idle_timeout_ms;
        let response = timeout(Duration::from_millis(idle_ms), self.client.send(request))
            .await
            .map_err(|_| Error::timeout("wait for answer", self.peer(), idle_ms))??;
        let status = response.status();
        let content_type: Arc<str> =
            header(response.headers(), "content-type").unwrap_or("application/octet-stream").into();
        let body = response.into_body().boxed();
        if self.is_engine && !status.is_success() {
            return self.classify_error(status, content_type, body).await;
        }
        Ok(SendOutcome::Answer(EndpointAnswer { status: status.as_u16(), content_type, body }))
    }

    /// Distinguishes refusals, after which the engine has not started the call, from other errors
    /// of the engine, which are passed on as its answer.
    async fn classify_error(
        &self,
        status: StatusCode,
        content_type: Arc<str>,
        body: BoxBody<Bytes, Error>,
    ) -> Result<SendOutcome> {
        if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
            return Ok(SendOutcome::Refused(EngineRefusal::Busy));
        }
        let bytes = http_body_util::Limited::new(body, ERROR_MAX_BYTES)
            .collect()
            .await
            .map_err(|error| Error::failed("read answer", self.peer(), error))?
            .to_bytes();
        if status == StatusCode::CONFLICT {
            let text = String::from_utf8_lossy(&bytes);
            if text.contains(refusal_code::ADAPTER_NOT_LOADED) {
                return Ok(SendOutcome::Refused(EngineRefusal::AdapterNotLoaded));
            }
            if text.contains(refusal_code::STALE_EPOCH) {
                return Ok(SendOutcome::Refused(EngineRefusal::StaleEpoch));
            }
        }
        let body = http_body_util::Full::new(bytes).map_err(|never| match never {}).boxed();
        Ok(SendOutcome::Answer(EndpointAnswer { status: status.as_u16(), content_type, body }))
    }

    /// Sends a request to load or unload an adapter.
    async fn order(&self, path: &str, epoch: u64, body: &LoraBody) -> Result<()> {
        let body = serde_json::to_vec(body).map_err(|error| {
            Error::invalid(format!("the body of {path} cannot be encoded: {error}"))
        })?;
        let json = Some("application/json");
        let mut request = request(Method::POST, self.address, path, json, body.into())?;
        request.headers_mut().insert(EPOCH_HEADER, epoch.into());
        let timeout_ms = self.settings.load_timeout_ms;
        let (status, answer) = self.client.exchange(request, timeout_ms, ERROR_MAX_BYTES).await?;
        if status.is_success() {
            return Ok(());
        }
        let detail = format!("status {status}: {}", String::from_utf8_lossy(&answer));
        Err(Error::failed("order", self.peer(), detail))
    }

    async fn read_status(&self, epoch: u64) -> Result<EngineStatus> {
        let path = if self.is_engine { "/status" } else { "/health" };
        let mut request = request(Method::GET, self.address, path, None, Bytes::new())?;
        request.headers_mut().insert(EPOCH_HEADER, epoch.into());
        let timeout_ms = self.settings.status_timeout_ms;
        let exchange = self.client.exchange(request, timeout_ms, STATUS_MAX_BYTES);
        let (status, body) = exchange.await?;
        if !status.is_success() {
            return Err(Error::failed("read status", self.peer(), format!("status {status}")));
        }
        if !self.is_engine {
            return Ok(EngineStatus::default());
        }
        let body: StatusBody = serde_json::from_slice(&body)
            .map_err(|error| Error::failed("read status", self.peer(), error))?;
        let mut loaded = Vec::with_capacity(body.adapters.len());
        for adapter in body.adapters {
            let Some(key) = AdapterKey::parse(&adapter.name) else { continue };
            loaded.push((key, adapter.running));
        }
        Ok(EngineStatus {
            boot_id: body.boot_id,
            places: body.max_running,
            slots: body.max_adapters,
            loaded,
        })
    }

    fn peer(&self) -> Arc<str> {
        self.address.to_string().into()
    }
}

impl Endpoint for HttpEndpoint {
    fn send(&self, order: EndpointCall) -> BoxFuture<'_, Result<SendOutcome>> {
        Box::pin(self.send_call(order))
    }

    fn load(&self, epoch: u64, adapter: AdapterKey) -> BoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let body = LoraBody {
                lora_name: adapter.to_string(),
                lora_path: format!("{}/{}", adapter.name, adapter.version),
            };
            self.order("/v1/load_lora_adapter", epoch, &body).await
        })
    }

    fn unload(&self, epoch: u64, adapter: AdapterKey) -> BoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let body = LoraBody { lora_name: adapter.to_string(), lora_path: String::new() };
            self.order("/v1/unload_lora_adapter", epoch, &body).await
        })
    }

    fn status(&self, epoch: u64) -> BoxFuture<'_, Result<EngineStatus>> {
        Box::pin(self.read_status(epoch))
    }
}
