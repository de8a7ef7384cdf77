//! The platform's list of instances: it says what it was last told, however long ago that was.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use winchvane::control::listing::PlatformInstance;
use winchvane::http::{Answer, json_answer};

use crate::server::{FnHandler, json_body, start};

/// The list.
#[derive(Default)]
pub struct Platform {
    instances: Mutex<Vec<PlatformInstance>>,
}

impl Platform {
    /// A list with these instances.
    pub fn new(instances: Vec<PlatformInstance>) -> Arc<Self> {
        Arc::new(Self { instances: Mutex::new(instances) })
    }

    /// Replaces the list.
    pub fn set(&self, instances: Vec<PlatformInstance>) {
        *self.instances.lock().expect("no holder panics") = instances;
    }

    /// Serves `GET` and `PUT /instances`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let platform = self.clone();
        let handler = FnHandler(move |request| {
            let platform = platform.clone();
            async move { platform.answer(request).await }
        });
        start(address, Arc::new(handler)).await
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/instances") => {
                let instances = self.instances.lock().expect("no holder panics").clone();
                json_answer(StatusCode::OK, &json!(instances))
            }
            (&Method::PUT, "/instances") => match json_body(request.into_body()).await {
                Ok(instances) => {
                    self.set(instances);
                    json_answer(StatusCode::OK, &json!({}))
                }
                Err(answer) => answer,
            },
            _ => json_answer(StatusCode::NOT_FOUND, &json!({"error": "unknown path"})),
        }
    }
}
