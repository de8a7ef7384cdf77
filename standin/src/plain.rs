//! A plain service: it takes orders and counts how often each one ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use winchvane::http::{Answer, header, json_answer};

use crate::server::{FnHandler, json_body, read_body, start};

/// How the service misbehaves.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainFault {
    /// Every call takes this long.
    pub delay_ms: u64,
    /// Each call takes up to this much longer, by its path, so that answers come out of order.
    pub scatter_ms: u64,
    /// Calls run, and then no answer comes.
    pub runs_without_answer: bool,
    /// Each answer carries this many bytes of padding.
    pub padding_bytes: usize,
}

/// A plain service.
#[derive(Default)]
pub struct Plain {
    fault: Mutex<PlainFault>,
    runs: Mutex<BTreeMap<String, u64>>,
}

impl Plain {
    /// A service that works.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Makes the service misbehave from now on.
    pub fn set_fault(&self, fault: PlainFault) {
        *self.fault.lock().expect("no holder panics") = fault;
    }

    /// How often calls with each idempotency key ran; the empty key stands for calls without one.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.runs.lock().expect("no holder panics").clone()
    }

    /// Serves any path; `GET /counts` and `PUT /fault` are for tests.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let plain = self.clone();
        let handler = FnHandler(move |request| {
            let plain = plain.clone();
            async move { plain.answer(request).await }
        });
        start(address, Arc::new(handler)).await
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health") => return json_answer(StatusCode::OK, &json!({})),
            (&Method::GET, "/counts") => {
                return json_answer(StatusCode::OK, &json!({"runs": self.runs()}));
            }
            (&Method::PUT, "/fault") => {
                return match json_body(request.into_body()).await {
                    Ok(fault) => {
                        self.set_fault(fault);
                        json_answer(StatusCode::OK, &json!({}))
                    }
                    Err(answer) => answer,
                };
            }
            _ => {}
        }
        let key = header(request.headers(), "idempotency-key").unwrap_or("").to_owned();
        let path = request.uri().path().to_owned();
        let Ok(body) = read_body(request.into_body()).await else {
            return json_answer(StatusCode::BAD_REQUEST, &json!({"error": "no whole body"}));
        };
        let number = {
            let mut runs = self.runs.lock().expect("no holder panics");
            let count = runs.entry(key).or_insert(0);
            *count += 1;
            runs.values().sum::<u64>()
        };
        let fault = self.fault.lock().expect("no holder panics").clone();
        let scatter: u64 = path.bytes().map(u64::from).sum();
        let scatter_ms = scatter * 7 % (fault.scatter_ms + 1);
        tokio::time::sleep(Duration::from_millis(fault.delay_ms + scatter_ms)).await;
        if fault.runs_without_answer {
            std::future::pending::<()>().await;
        }
        let padding = "x".repeat(fault.padding_bytes);
        let echo =
            json!({"path": path, "number": number, "body_bytes": body.len(), "padding": padding});
        json_answer(StatusCode::OK, &echo)
    }
}
