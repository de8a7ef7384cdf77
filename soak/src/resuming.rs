//! Clients that resume broken streams at any gateway, and check that each stream holds every event
//! once, of one software version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::client::{ADAPTERS, Ask, connect, next_id};
use crate::endpoint::EVENTS;
use crate::record::{End, Kind, Record};

const TRIES_MAX: u32 = 8;
const PAUSE: Duration = Duration::from_millis(150);
const TRY_TIMEOUT: Duration = Duration::from_secs(11);

/// A stream, over all tries of its client.
#[derive(Default)]
struct Stream {
    first_id: Option<String>,
    software: String,
    last_event: u64,
}

/// Starts clients that ask for streams of engines, one after the other.
pub fn start(
    gateways: &[SocketAddr],
    clients: u32,
    seed: u64,
    record: &Arc<Record>,
) -> Vec<JoinHandle<()>> {
    let mut started = Vec::new();
    for client in 0..clients {
        let (gateways, record) = (gateways.to_vec(), record.clone());
        let mut rng = SmallRng::seed_from_u64(seed + u64::from(client));
        started.push(tokio::spawn(async move {
            loop {
                run_stream(&gateways, &mut rng, &record).await;
                tokio::time::sleep(PAUSE).await;
            }
        }));
    }
    started
}

async fn run_stream(gateways: &[SocketAddr], rng: &mut SmallRng, record: &Record) {
    let mut stream = Stream::default();
    let adapter = ADAPTERS[rng.random_range(0..ADAPTERS.len())];
    for _ in 0..TRIES_MAX {
        let gateway = gateways[rng.random_range(0..gateways.len())];
        let id = next_id();
        record.sent(&id, Kind::Adapter);
        let last_event = stream.last_event;
        let is_undisturbed = record.disturbance_state().is_undisturbed;
        let tried = timeout(TRY_TIMEOUT, stream.try_once(gateway, adapter, &id, record));
        let end = tried.await.unwrap_or_else(|_| End::Unknown("no answer in time".to_owned()));
        record.ended(&id, end.clone());
        if last_event > 0 && is_undisturbed && record.disturbance_state().is_undisturbed {
            record.resumed(stream.last_event > last_event || end == End::Served);
        }
        if end == End::Served {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

impl Stream {
    async fn try_once(&mut self, at: SocketAddr, adapter: &str, id: &str, record: &Record) -> End {
        let Some(mut open) = connect(at).await else { return End::Unknown("no link".to_owned()) };
        let ask = Ask { adapter: Some(adapter), ..Ask::new(at, id, Kind::Adapter) };
        let mut request = ask.request(Bytes::from_static(b"work"));
        if let Some(first) = &self.first_id {
            let headers = request.headers_mut();
            headers.insert("last-event-id", self.last_event.into());
            headers.insert("resumes", first.parse().expect("an id is valid in a header"));
        }
        let response = match open.send_request(request).await {
            Ok(response) => response,
            Err(error) => return End::Unknown(error.to_string()),
        };
        if !response.status().is_success() {
            return match response.status().as_u16() {
                code @ (408 | 421 | 429 | 503) => End::NotRun(code),
                code => End::Unknown(code.to_string()),
            };
        }
        let mut body = response.into_body();
        let mut received = Vec::new();
        let is_whole = loop {
            match body.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => {
                    received.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
                }
            }
        };
        self.note(id, &String::from_utf8_lossy(&received), record);
        if !is_whole {
            return End::Unknown("broken off".to_owned());
        }
        if self.last_event < EVENTS {
            let last = self.last_event;
            record.breach(format!("stream {id} is framed as complete after event {last}"));
        }
        End::Served
    }

    /// Notes the events of one try.
    fn note(&mut self, id: &str, body: &str, record: &Record) {
        for event in body.split_inclusive("\n\n") {
            let software = event.lines().next().unwrap_or_default();
            let expected = format!("{software}\nid: {}\ndata: {id}\n\n", self.last_event + 1);
            if event != expected {
                record.breach(format!("stream {id} got {event:?} in place of {expected:?}"));
                return;
            }
            if self.first_id.is_none() {
                self.first_id = Some(id.to_owned());
                software.clone_into(&mut self.software);
            }
            if self.software != software {
                let began = &self.software;
                record.breach(format!("stream {id} began at {began} and has events of {software}"));
                return;
            }
            self.last_event += 1;
        }
    }
}
