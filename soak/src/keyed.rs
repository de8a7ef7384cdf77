//! Clients with keys: one that always holds, one that changes with each configuration, and one whose workspace
//! asks for far more than its quota; and what endpoints may see of them.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::HeaderMap;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::client::ask_keyed;
use crate::endpoint::text;
use crate::record::{End, Record};

/// The route on which keys are needed.
pub const ROUTE: &str = "keyed";
/// How long after a key was taken away a request with it may still have been sent.
pub const REVOKED_WITHIN_MS: u64 = 3_000;
/// The window in which quotas are counted, and what is allowed above them.
pub const QUOTA_WINDOW_MS: u64 = 4_000;
/// The share of a quota that may be used above it.
pub const QUOTA_OVERRUN: f64 = 0.1;
/// Requests that may be run above that.
pub const QUOTA_SLACK: f64 = 30.0;

const HELD_KEY: &str = "held-key-4711";
const GREEDY_KEY: &str = "greedy-key-4712";
const GREEDY_RATE_PER_S: f64 = 20.0;
const GREEDY_BURST: f64 = 20.0;
const PAUSE: Duration = Duration::from_millis(30);
const GREEDY_PAUSE: Duration = Duration::from_millis(5);

/// The key of the workspace that has another one in each configuration.
fn changing_key(version: u64) -> String {
    format!("changing-key-{version}")
}

/// The workspaces of the configuration under `version`.
pub fn workspaces(version: u64) -> Value {
    json!([
        {"name": "held", "api_keys": [HELD_KEY]},
        {"name": "changing", "api_keys": [changing_key(version)]},
        {"name": "greedy", "api_keys": [GREEDY_KEY], "rate_per_s": GREEDY_RATE_PER_S,
            "burst": GREEDY_BURST},
    ])
}

/// A request with a key.
struct Sent {
    workspace: &'static str,
    at: Instant,
    /// The configuration whose key it carries, for the workspace that changes it.
    version: u64,
}

#[derive(Default)]
struct Seen {
    sent: HashMap<String, Sent>,
    acknowledged: Vec<(u64, Instant)>,
    /// When requests of the greedy workspace were sent that ran within the last window.
    greedy_runs: VecDeque<(Instant, Instant)>,
}

/// Requests with keys, as clients sent them and endpoints saw them.
#[derive(Default)]
pub struct KeyRecord(Mutex<Seen>);

impl KeyRecord {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A configuration was acknowledged.
    pub fn acknowledged(&self, version: u64) {
        self.seen().acknowledged.push((version, Instant::now()));
    }

    fn newest(&self) -> u64 {
        self.seen().acknowledged.iter().map(|(version, _)| *version).max().unwrap_or(1)
    }

    fn sent(&self, id: &str, workspace: &'static str, version: u64) {
        let sent = Sent { workspace, at: Instant::now(), version };
        self.seen().sent.insert(id.to_owned(), sent);
    }

    /// What is wrong with a request that an endpoint begins.
    pub fn run(&self, id: &str, headers: &HeaderMap) -> Option<String> {
        let named = text(headers, "tenant");
        if headers.contains_key("authorization") {
            return Some(format!("request {id} reached an endpoint with a key"));
        }
        let mut seen = self.seen();
        let Some(sent) = seen.sent.get(id) else {
            return (!named.is_empty()).then(|| format!("request {id} was run as one of {named}"));
        };
        let Sent { workspace, at, version } = *sent;
        if named != workspace {
            return Some(format!("request {id} of {workspace} was run as one of {named}"));
        }
        if workspace == "changing" {
            let taken_at = seen.acknowledged.iter().filter(|(it, _)| *it > version);
            let taken_at = taken_at.map(|(_, at)| *at).min()?;
            let after = at.saturating_duration_since(taken_at);
            return (after > Duration::from_millis(REVOKED_WITHIN_MS)).then(|| {
                format!(
                    "request {id} ran, sent {} ms after its key was taken away",
                    after.as_millis()
                )
            });
        }
        if workspace != "greedy" {
            return None;
        }
        let now = Instant::now();
        let window = Duration::from_millis(QUOTA_WINDOW_MS);
        seen.greedy_runs.push_back((at, now));
        seen.greedy_runs.retain(|(_, ran_at)| *ran_at + window > now);
        let runs = seen.greedy_runs.iter().filter(|(sent_at, _)| *sent_at + window > now).count();
        let window_s = window.as_secs_f64();
        let most =
            (GREEDY_RATE_PER_S * window_s + GREEDY_BURST) * (1.0 + QUOTA_OVERRUN) + QUOTA_SLACK;
        (runs as f64 > most)
            .then(|| format!("{runs} requests of {workspace} in a window, {most} allowed"))
    }
}

/// Starts `clients` of each of the workspaces.
pub fn start(gateways: &[SocketAddr], clients: u32, record: &Arc<Record>) -> Vec<JoinHandle<()>> {
    let mut started = Vec::new();
    for client in 0..clients {
        for workspace in ["held", "changing", "greedy"] {
            let (gateways, record) = (gateways.to_vec(), record.clone());
            started.push(tokio::spawn(work(workspace, client as usize, gateways, record)));
        }
    }
    started
}

async fn work(
    workspace: &'static str,
    client: usize,
    gateways: Vec<SocketAddr>,
    record: Arc<Record>,
) {
    for turn in client.. {
        let newest = record.keys.newest();
        // Now and then with the key of an earlier configuration.
        let version = if turn % 3 == 0 { newest.saturating_sub(2) } else { newest };
        let (key, pause) = match workspace {
            "held" => (HELD_KEY.to_owned(), PAUSE),
            "greedy" => (GREEDY_KEY.to_owned(), GREEDY_PAUSE),
            _ => (changing_key(version), PAUSE),
        };
        let address = gateways[turn % gateways.len()];
        let path = format!("/{ROUTE}/x");
        let (id, end) =
            ask_keyed(address, &path, &key, &record, |id| record.keys.sent(id, workspace, version))
                .await;
        if workspace == "held" && end == End::Unknown("401 Unauthorized".to_owned()) {
            record.breach(format!("request {id} got 401 though its key always stood"));
        }
        tokio::time::sleep(pause).await;
    }
}
