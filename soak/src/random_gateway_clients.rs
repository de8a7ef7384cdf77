//! Clients that send each request to a randomly selected gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;

use crate::client::{ADAPTERS, Try, ask_once};
use crate::record::{End, Kind, Record};

/// The pause before a refused request is retried: longer than the delay that gateways request while
/// weights are loading.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Clients that send each request of a kind to a randomly selected gateway.
#[derive(Debug, Clone)]
pub struct RandomGatewayClients {
    /// The kind of their requests.
    pub kind: Kind,
    /// Gateways; duplicates increase the probability of selection.
    pub gateways: Vec<SocketAddr>,
    /// The number of clients.
    pub clients: u32,
    /// The pause after each answer.
    pub pause: Duration,
    /// True to retry a refused request once, as production clients do.
    pub retries: bool,
    /// The seed of the random selection.
    pub seed: u64,
}

impl RandomGatewayClients {
    /// Starts the clients; `note` is called with each try.
    pub fn start(
        &self,
        record: &Arc<Record>,
        note: &Arc<dyn Fn(Try) + Send + Sync>,
    ) -> Vec<JoinHandle<()>> {
        let mut started = Vec::new();
        for client in 0..self.clients {
            let (config, record, note) = (self.clone(), record.clone(), note.clone());
            started.push(tokio::spawn(async move {
                let mut rng = SmallRng::seed_from_u64(config.seed + u64::from(client));
                loop {
                    let sent_at = Instant::now();
                    let address = config.gateways[rng.random_range(0..config.gateways.len())];
                    let random_adapter = ADAPTERS[rng.random_range(0..ADAPTERS.len())];
                    let adapter = (config.kind == Kind::Adapter).then_some(random_adapter);
                    let body = Bytes::from_static(b"work");
                    let ask = || ask_once(address, config.kind, adapter, body.clone(), &record);
                    let (_, mut end) = ask().await;
                    if config.retries && matches!(end, End::NotRun(_)) {
                        tokio::time::sleep(RETRY_PAUSE).await;
                        (_, end) = ask().await;
                    }
                    note(Try { client, gateway: address, sent_at, end });
                    tokio::time::sleep(config.pause).await;
                }
            }));
        }
        started
    }
}
