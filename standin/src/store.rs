//! The weight store: hands adapters out at a limited rate.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::Semaphore;
use winchvane::http::{Answer, json_answer};

use crate::server::{FnHandler, start};

/// What the store allows.
#[derive(Debug, Clone, Copy)]
pub struct StoreOptions {
    /// How long one load takes at full speed.
    pub load_ms: u64,
    /// Loads that run at full speed at once; more wait.
    pub concurrent_loads: usize,
    /// Loads that start in a second.
    pub loads_per_s: f64,
}

/// A weight store that keeps to its limits.
pub struct Store {
    options: StoreOptions,
    places: Semaphore,
    next_start: Mutex<Instant>,
    counts: Mutex<Counts>,
}

#[derive(Default)]
struct Counts {
    loads: u64,
    running: usize,
    most_running: usize,
}

impl Store {
    /// A store with these limits.
    pub fn new(options: StoreOptions) -> Arc<Self> {
        Arc::new(Self {
            options,
            places: Semaphore::new(options.concurrent_loads),
            next_start: Mutex::new(Instant::now()),
            counts: Mutex::default(),
        })
    }

    /// Serves `GET /weights/NAME/VERSION` and `GET /counts`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let store = self.clone();
        let handler = FnHandler(move |request| {
            let store = store.clone();
            async move { store.answer(request).await }
        });
        start(address, Arc::new(handler)).await
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path();
        if request.method() == Method::GET && path == "/counts" {
            let counts = self.counts.lock().expect("no holder panics");
            let body = json!({"loads": counts.loads, "most_running": counts.most_running});
            return json_answer(StatusCode::OK, &body);
        }
        let Some(adapter) = path.strip_prefix("/weights/") else {
            return json_answer(StatusCode::NOT_FOUND, &json!({"error": "unknown path"}));
        };
        if adapter.starts_with("missing") {
            return json_answer(StatusCode::NOT_FOUND, &json!({"error": "unknown adapter"}));
        }
        self.load().await;
        json_answer(StatusCode::OK, &json!({"adapter": adapter}))
    }

    async fn load(&self) {
        {
            let mut counts = self.counts.lock().expect("no holder panics");
            counts.running += 1;
            counts.most_running = counts.most_running.max(counts.running);
        }
        let _place = self.places.acquire().await;
        let wait = {
            let mut next = self.next_start.lock().expect("no holder panics");
            let now = Instant::now();
            let start = (*next).max(now);
            *next = start + Duration::from_secs_f64(1.0 / self.options.loads_per_s);
            start - now
        };
        tokio::time::sleep(wait + Duration::from_millis(self.options.load_ms)).await;
        let mut counts = self.counts.lock().expect("no holder panics");
        counts.running -= 1;
        counts.loads += 1;
    }
}
