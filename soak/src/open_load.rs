//! Clients that send requests at a given rate, whether or not earlier ones were answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;

use crate::client::{ADAPTERS, Try, ask_within};
use crate::record::{Kind, Record};

/// How often due requests are sent.
const STEP: Duration = Duration::from_millis(2);

/// Requests of one kind at a constant mean rate, each at a randomly selected gateway and sent once.
#[derive(Debug, Clone)]
pub struct OpenLoad {
    /// The kind of the requests.
    pub kind: Kind,
    /// The gateways.
    pub gateways: Vec<SocketAddr>,
    /// The mean rate.
    pub per_s: f64,
    /// The time that a request waits for its answer.
    pub deadline_ms: u64,
    /// The seed of the random selection.
    pub seed: u64,
}

impl OpenLoad {
    /// Starts to send; `note` is called with the result of each request.
    pub fn start(
        self,
        record: &Arc<Record>,
        note: &Arc<dyn Fn(Try) + Send + Sync>,
    ) -> JoinHandle<()> {
        let (record, note) = (record.clone(), note.clone());
        tokio::spawn(async move {
            let mut rng = SmallRng::seed_from_u64(self.seed);
            let started = Instant::now();
            let mut due_s = 0.0;
            for client in 0.. {
                // Exponential intervals make the arrivals independent of each other.
                due_s -= (1.0 - rng.random::<f64>()).ln() / self.per_s;
                while started.elapsed().as_secs_f64() < due_s {
                    tokio::time::sleep(STEP).await;
                }
                let gateway = self.gateways[rng.random_range(0..self.gateways.len())];
                let adapter = ADAPTERS[rng.random_range(0..ADAPTERS.len())];
                let adapter = (self.kind == Kind::Adapter).then_some(adapter);
                let (record, note) = (record.clone(), note.clone());
                let (kind, deadline_ms) = (self.kind, self.deadline_ms);
                tokio::spawn(async move {
                    let sent_at = Instant::now();
                    let body = Bytes::from_static(b"work");
                    let end = ask_within(gateway, kind, adapter, body, deadline_ms, &record).await;
                    note(Try { client, gateway, sent_at, end });
                });
            }
        })
    }
}
