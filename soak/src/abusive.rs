//! Clients that keep no rule; others beside them must be served all the same.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::record::{Kind, Record};

/// How long a connection that is never used as it should be stays open.
const HOLD: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(50);
/// Requests sent at once without an answer read.
const UNREAD: usize = 40;
/// Beyond the limit on headers of every configuration of a run.
const HUGE_BYTES: usize = 200 << 10;
/// The limit on bodies.
const BODY_MAX_BYTES: usize = 4 << 20;
/// Far over the limit on bodies, of gateways and of control.
const LONG_BODY_BYTES: usize = 20 << 20;
const CHUNK_BYTES: usize = 64 << 10;
const TINY_CHUNKS_MAX: usize = 100_000;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Whom the clients abuse.
#[derive(Debug, Clone)]
pub struct Servers {
    /// The listeners of gateways for clients.
    pub gateways: Vec<SocketAddr>,
    /// The interfaces of control's replicas.
    pub control: Vec<SocketAddr>,
}

/// Starts abusive clients; `seed` decides what they do.
pub fn start(
    servers: &Servers,
    clients: u32,
    seed: u64,
    record: &Arc<Record>,
) -> Vec<JoinHandle<()>> {
    let mut started = Vec::new();
    for client in 0..clients {
        let rng = SmallRng::seed_from_u64(seed ^ u64::from(client).rotate_left(32));
        started.push(tokio::spawn(work(servers.clone(), rng, record.clone())));
    }
    started
}

async fn work(servers: Servers, mut rng: SmallRng, record: Arc<Record>) {
    loop {
        let (addresses, text) = if rng.random_range(0..4) == 0 {
            (&servers.control, draw_body(&mut rng, "PUT /winchvane/config"))
        } else {
            (&servers.gateways, draw(&mut rng, &record))
        };
        let address = addresses[rng.random_range(0..addresses.len())];
        if let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            // The gateway may close at any moment, as it should.
            let _ = timeout(HOLD, stream.write_all(&text)).await;
            if rng.random() {
                tokio::time::sleep(HOLD).await;
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// What is written to one connection of a gateway.
fn draw(rng: &mut SmallRng, record: &Record) -> Vec<u8> {
    let head = |headers: &str| format!("POST /any/x HTTP/1.1\r\nhost: soak.example\r\n{headers}");
    match rng.random_range(0..6) {
        0 => (0..rng.random_range(1..4_096)).map(|_| rng.random()).collect(),
        1 => head("request-id: ").into_bytes(),
        2 => head(&format!("x-fill: {}\r\n\r\n", "x".repeat(HUGE_BYTES))).into_bytes(),
        3 => head(&format!("x-fill: {}", "x".repeat(HUGE_BYTES / 4))).into_bytes(),
        4 => draw_body(rng, "POST /any/x"),
        _ => unread(record).into_bytes(),
    }
}

/// A request whose body stops short, comes in tiny chunks or is far over the limit.
fn draw_body(rng: &mut SmallRng, call: &str) -> Vec<u8> {
    let head = format!("{call} HTTP/1.1\r\nhost: soak.example\r\nrequest-id: abusive-body\r\n");
    let by_length = |length: usize| format!("{head}content-length: {length}\r\n\r\n").into_bytes();
    let mut in_chunks = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
    let large_chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
    match rng.random_range(0..5) {
        0 => filled(by_length(BODY_MAX_BYTES), BODY_MAX_BYTES - 1),
        1 => filled(by_length(LONG_BODY_BYTES), rng.random_range(0..LONG_BODY_BYTES)),
        2 => {
            in_chunks.extend(b"1\r\nx\r\n".repeat(rng.random_range(1..TINY_CHUNKS_MAX)));
            in_chunks
        }
        3 => {
            in_chunks.extend(large_chunk.repeat(BODY_MAX_BYTES / CHUNK_BYTES - 1).into_bytes());
            in_chunks
        }
        _ => {
            in_chunks.extend(large_chunk.repeat(LONG_BODY_BYTES / CHUNK_BYTES).into_bytes());
            in_chunks
        }
    }
}

fn filled(mut head: Vec<u8>, body_bytes: usize) -> Vec<u8> {
    head.resize(head.len() + body_bytes, b'x');
    head
}

/// Many valid requests whose answers nobody reads.
fn unread(record: &Record) -> String {
    let mut text = String::new();
    for _ in 0..UNREAD {
        let id = format!("abusive-{}", NEXT.fetch_add(1, Ordering::SeqCst));
        record.sent(&id, Kind::Any);
        text.push_str("GET /any/x HTTP/1.1\r\nhost: soak.example\r\ndeadline-ms: 3000\r\n");
        text.push_str("request-id: ");
        text.push_str(&id);
        text.push_str("\r\n\r\n");
    }
    text
}
