//! A model engine: loads adapters, batches requests and streams tokens.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Method, Request, Response, StatusCode, Version};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use winchvane::endpoint::{EPOCH_HEADER, LoadedBody, LoraBody, StatusBody, refusal_code};
use winchvane::error::Error;
use winchvane::http::{Answer, HttpClient, header, json_answer};

use crate::server::{FnHandler, bad_request, json_body, start};

/// How an engine is built.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Requests that it runs at once.
    pub max_running: u32,
    /// Adapters that it holds at once.
    pub max_adapters: u32,
    /// How long one step takes, which gives each running request a token.
    pub step_ms: u64,
    /// Tokens of an answer when the request allows as many.
    pub tokens: u64,
    /// The weight store; without one loads take `load_ms`.
    pub store: Option<SocketAddr>,
    /// How long a load takes without a store.
    pub load_ms: u64,
    /// True when orders with an old epoch are refused.
    pub checks_epoch: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            max_running: 16,
            max_adapters: 4,
            step_ms: 5,
            tokens: 8,
            store: None,
            load_ms: 50,
            checks_epoch: true,
        }
    }
}

/// How an engine misbehaves.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFault {
    /// Answers name this adapter instead.
    pub answers_as: Option<String>,
    /// Loads fail.
    pub load_fails: bool,
    /// Loads are reported done and are not.
    pub load_lies: bool,
    /// Loads never end.
    pub load_hangs: bool,
    /// Streams are cut after so many bytes.
    pub cut_after_bytes: Option<usize>,
    /// Streams have no length and no chunks, so that their end is that of their connection.
    pub ends_with_connection: bool,
    /// The engine takes no requests.
    pub refuses: bool,
    /// Each answer begins this much later.
    pub delay_ms: u64,
}

/// An engine.
pub struct Engine {
    options: EngineOptions,
    client: HttpClient,
    state: Mutex<EngineState>,
}

struct EngineState {
    boot_id: u64,
    highest_epoch: u64,
    adapters: BTreeMap<String, u32>,
    running: u32,
    fault: EngineFault,
    counts: EngineCounts,
}

/// What an engine has done; at `GET /counts`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests started.
    pub started: u64,
    /// Requests answered to the end.
    pub finished: u64,
    /// Adapters loaded.
    pub loads: u64,
    /// Adapters unloaded.
    pub unloads: u64,
    /// Orders to unload an adapter with running requests, which were obeyed.
    pub unloads_while_running: u64,
    /// Orders and requests refused for their epoch.
    pub stale_orders: u64,
    /// Most requests at once.
    pub most_running: u32,
}

impl Engine {
    /// An engine with nothing loaded.
    pub fn new(options: EngineOptions) -> Arc<Self> {
        Arc::new(Self {
            options,
            client: HttpClient::new(1_000),
            state: Mutex::new(EngineState {
                boot_id: rand::random(),
                highest_epoch: 0,
                adapters: BTreeMap::new(),
                running: 0,
                fault: EngineFault::default(),
                counts: EngineCounts::default(),
            }),
        })
    }

    /// Serves the engine's API; `GET /counts`, `PUT /fault` and `POST /restart` are for tests.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let engine = self.clone();
        let handler = FnHandler(move |request| {
            let engine = engine.clone();
            async move { engine.answer(request).await }
        });
        start(address, Arc::new(handler)).await
    }

    /// Starts anew, with nothing loaded.
    pub fn restart(&self) {
        let mut state = self.state();
        state.boot_id = rand::random();
        state.adapters.clear();
        state.highest_epoch = 0;
    }

    /// Makes the engine misbehave, or behave again.
    pub fn set_fault(&self, fault: EngineFault) {
        self.state().fault = fault;
    }

    /// Requests that run.
    pub fn running(&self) -> u32 {
        self.state().running
    }

    /// What the engine has done.
    pub fn counts(&self) -> EngineCounts {
        self.state().counts.clone()
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder panics")
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health") => json_answer(StatusCode::OK, &json!({})),
            (&Method::GET, "/status") => self.status(request.headers()),
            (&Method::GET, "/counts") => json_answer(StatusCode::OK, &json!(self.counts())),
            (&Method::PUT, "/fault") => match json_body(request.into_body()).await {
                Ok(fault) => {
                    self.set_fault(fault);
                    json_answer(StatusCode::OK, &json!({}))
                }
                Err(answer) => answer,
            },
            (&Method::POST, "/restart") => {
                self.restart();
                json_answer(StatusCode::OK, &json!({}))
            }
            (&Method::POST, "/v1/load_lora_adapter") => self.load(request).await,
            (&Method::POST, "/v1/unload_lora_adapter") => self.unload(request).await,
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                self.complete(request).await
            }
            _ => json_answer(StatusCode::NOT_FOUND, &json!({"error": {"message": "no path"}})),
        }
    }

    /// Takes the epoch of an order in; the answer to send when it is stale.
    fn check_epoch(&self, headers: &HeaderMap) -> Result<(), Box<Answer>> {
        let epoch = header(headers, EPOCH_HEADER).and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.state();
        if !self.options.checks_epoch || epoch >= state.highest_epoch {
            state.highest_epoch = state.highest_epoch.max(epoch);
            return Ok(());
        }
        state.counts.stale_orders += 1;
        Err(Box::new(refuse(refusal_code::STALE_EPOCH)))
    }

    fn status(&self, headers: &HeaderMap) -> Answer {
        if let Err(answer) = self.check_epoch(headers) {
            return *answer;
        }
        let state = self.state();
        let mut adapters = Vec::new();
        for (name, running) in &state.adapters {
            adapters.push(LoadedBody { name: name.clone(), running: *running });
        }
        let status = StatusBody {
            boot_id: state.boot_id,
            max_running: self.options.max_running,
            max_adapters: self.options.max_adapters,
            adapters,
        };
        json_answer(StatusCode::OK, &json!(status))
    }

    async fn load(&self, request: Request<Incoming>) -> Answer {
        if let Err(answer) = self.check_epoch(request.headers()) {
            return *answer;
        }
        let order: LoraBody = match json_body(request.into_body()).await {
            Ok(order) => order,
            Err(answer) => return answer,
        };
        let boot_id = self.state().boot_id;
        let fault = self.state().fault.clone();
        if fault.load_hangs {
            std::future::pending::<()>().await;
        }
        if !self.fetch(&order.lora_path).await || fault.load_fails {
            let body = json!({"error": {"message": "the weights could not be read"}});
            return json_answer(StatusCode::INTERNAL_SERVER_ERROR, &body);
        }
        let mut state = self.state();
        if state.boot_id != boot_id {
            let body = json!({"error": {"message": "the engine has restarted"}});
            return json_answer(StatusCode::INTERNAL_SERVER_ERROR, &body);
        }
        state.counts.loads += 1;
        if fault.load_lies {
            return json_answer(StatusCode::OK, &json!({}));
        }
        if state.adapters.len() >= self.options.max_adapters as usize {
            return bad_request("every slot is taken");
        }
        state.adapters.entry(order.lora_name).or_insert(0);
        json_answer(StatusCode::OK, &json!({}))
    }

    async fn fetch(&self, path: &str) -> bool {
        let Some(store) = self.options.store else {
            tokio::time::sleep(Duration::from_millis(self.options.load_ms)).await;
            return !path.starts_with("missing");
        };
        let path = format!("/weights/{path}");
        self.client.get(store, &path, 60_000, 1 << 20).await.is_ok()
    }

    async fn unload(&self, request: Request<Incoming>) -> Answer {
        if let Err(answer) = self.check_epoch(request.headers()) {
            return *answer;
        }
        let order: LoraBody = match json_body(request.into_body()).await {
            Ok(order) => order,
            Err(answer) => return answer,
        };
        let mut state = self.state();
        if let Some(running) = state.adapters.remove(&order.lora_name) {
            state.counts.unloads += 1;
            if running > 0 {
                state.counts.unloads_while_running += 1;
            }
        }
        json_answer(StatusCode::OK, &json!({}))
    }

    async fn complete(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        if let Err(answer) = self.check_epoch(request.headers()) {
            return *answer;
        }
        let chat = request.uri().path() == "/v1/chat/completions";
        let body: Value = match json_body(request.into_body()).await {
            Ok(body) => body,
            Err(answer) => return answer,
        };
        let Some(model) = body["model"].as_str() else { return bad_request("no model") };
        let stream = body["stream"].as_bool().unwrap_or(false);
        let allowed = body["max_tokens"].as_u64().unwrap_or(u64::MAX);
        let tokens = self.options.tokens.min(allowed);
        let running = match Running::start(&self, model) {
            Ok(running) => running,
            Err(answer) => return *answer,
        };
        let fault = self.state().fault.clone();
        tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
        let named = fault.answers_as.clone().unwrap_or_else(|| model.to_owned());
        let shape = Shape { chat, model: named };
        if stream {
            return stream_answer(running, shape, tokens, &fault);
        }
        for _ in 0..tokens {
            tokio::time::sleep(Duration::from_millis(self.options.step_ms)).await;
        }
        running.finish();
        json_answer(StatusCode::OK, &shape.whole(tokens))
    }
}

fn refuse(code: &str) -> Answer {
    json_answer(StatusCode::CONFLICT, &json!({"error": {"message": code, "code": code}}))
}

/// A request that runs; counted until it is dropped.
struct Running {
    engine: Arc<Engine>,
    model: String,
    boot_id: u64,
}

impl Running {
    fn start(engine: &Arc<Engine>, model: &str) -> Result<Self, Box<Answer>> {
        let mut state = engine.state();
        if state.fault.refuses || state.running >= engine.options.max_running {
            let body = json!({"error": {"message": "busy", "code": "busy"}});
            return Err(Box::new(json_answer(StatusCode::SERVICE_UNAVAILABLE, &body)));
        }
        let Some(running) = state.adapters.get_mut(model) else {
            return Err(Box::new(refuse(refusal_code::ADAPTER_NOT_LOADED)));
        };
        *running += 1;
        state.running += 1;
        state.counts.started += 1;
        state.counts.most_running = state.counts.most_running.max(state.running);
        let boot_id = state.boot_id;
        Ok(Self { engine: engine.clone(), model: model.to_owned(), boot_id })
    }

    fn finish(&self) {
        self.engine.state().counts.finished += 1;
    }

    /// True while the engine has not restarted under the request.
    fn is_alive(&self) -> bool {
        self.engine.state().boot_id == self.boot_id
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        state.running -= 1;
        if state.boot_id != self.boot_id {
            return;
        }
        if let Some(running) = state.adapters.get_mut(&self.model) {
            *running = running.saturating_sub(1);
        }
    }
}

/// The shape of answers.
struct Shape {
    chat: bool,
    model: String,
}

impl Shape {
    fn whole(&self, tokens: u64) -> Value {
        let text = "tok ".repeat(tokens as usize);
        let choice = if self.chat {
            json!({"index": 0, "finish_reason": "stop",
                   "message": {"role": "assistant", "content": text}})
        } else {
            json!({"index": 0, "finish_reason": "stop", "text": text})
        };
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        json!({"id": "cmpl-0", "object": object, "model": self.model, "choices": [choice],
               "usage": {"prompt_tokens": 1, "completion_tokens": tokens,
                         "total_tokens": tokens + 1}})
    }

    fn chunk(&self) -> String {
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": "tok "}})
        } else {
            json!({"index": 0, "text": "tok "})
        };
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        let chunk =
            json!({"id": "cmpl-0", "object": object, "model": self.model, "choices": [choice]});
        format!("data: {chunk}\n\n")
    }
}

struct Tokens {
    running: Running,
    shape: Shape,
    left: u64,
    cut_after_bytes: Option<usize>,
    sent_bytes: usize,
    ended: bool,
}

type Piece = Result<Frame<Bytes>, std::io::Error>;

fn stream_answer(running: Running, shape: Shape, tokens: u64, fault: &EngineFault) -> Answer {
    let cut_after_bytes = fault.cut_after_bytes;
    let tokens =
        Tokens { running, shape, left: tokens, cut_after_bytes, sent_bytes: 0, ended: false };
    let body = StreamBody::new(stream::unfold(tokens, next_piece));
    let body = body.map_err(|error| Error::io("stream", "engine", error)).boxed();
    let mut answer = Response::new(body);
    let value = http::HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(http::header::CONTENT_TYPE, value);
    if fault.ends_with_connection {
        *answer.version_mut() = Version::HTTP_10;
    }
    answer
}

async fn next_piece(mut tokens: Tokens) -> Option<(Piece, Tokens)> {
    if tokens.ended {
        return None;
    }
    if !tokens.running.is_alive() {
        return None;
    }
    let piece = if tokens.left > 0 {
        let step = Duration::from_millis(tokens.running.engine.options.step_ms);
        tokio::time::sleep(step).await;
        tokens.left -= 1;
        tokens.shape.chunk()
    } else {
        tokens.ended = true;
        tokens.running.finish();
        "data: [DONE]\n\n".to_owned()
    };
    let mut bytes = Bytes::from(piece);
    if let Some(limit) = tokens.cut_after_bytes {
        let left = limit.saturating_sub(tokens.sent_bytes);
        if bytes.len() > left {
            bytes.truncate(left);
            tokens.ended = true;
        }
    }
    tokens.sent_bytes += bytes.len();
    Some((Ok(Frame::data(bytes)), tokens))
}
