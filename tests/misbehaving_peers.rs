//! Callers that keep no rule, at the listeners for other processes: they speak HTTP/2 as processes of the
//! system do, and send messages and heads that don't end, or streams without any. Each process lives,
//! stays within the memory that its settings name, and an ordinary request is answered while they are
//! there.

mod common;
#[path = "common/crowd.rs"]
mod crowd;

use std::future::poll_fn;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use common::region::options;
use crowd::held_bytes;
use h2::SendStream;
use h2::client::SendRequest;
use http::{Request, StatusCode};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use winchvane_standin::region::{Region, RegionOptions, wait_for};
use yare::parameterized;

/// The memory that the settings of the gateway leave to it.
const GATEWAY_MEMORY_BYTES: u64 = 120_000_000;
/// The memory of a control process, which is the default of its settings.
const CONTROL_MEMORY_BYTES: u64 = 256_000_000;
const CALLERS: usize = 20;
/// A message that is far larger than any, and what is sent of it.
const HUGE: Message = Message { callers: 20, announced_bytes: 200 << 20, sent_bytes: 40 << 20 };
/// A message that a process takes, and stops short of its end.
const LARGE: Message = Message { callers: 60, announced_bytes: 8 << 20, sent_bytes: (8 << 20) - 1 };
const STREAMS_PER_CALLER: usize = 4_000;
const CALLERS_WITH_HEADS: usize = 100;
/// What is sent of a head that never ends.
const HEAD_BYTES: usize = 4 << 20;
/// The largest frame of HTTP/2 that each side takes by default.
const FRAME_BYTES: usize = 16 << 10;
/// A caller gives up once it could not send anything for so long.
const STALLED: Duration = Duration::from_secs(1);

/// Whose listener for other processes it is.
#[derive(Debug, Clone, Copy)]
enum Process {
    Gateway,
    Control,
}

impl Process {
    fn listener(self, region: &Region) -> SocketAddr {
        match self {
            Self::Gateway => region.peers(0),
            Self::Control => region.control_peers(0),
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Gateway => "/forward",
            Self::Control => "/session",
        }
    }

    fn check_memory(self, region: &Region) {
        let (process, max_bytes) = match self {
            Self::Gateway => (region.gateways[0].id(), GATEWAY_MEMORY_BYTES),
            Self::Control => (region.controls[0].id(), CONTROL_MEMORY_BYTES),
        };
        let held_bytes = held_bytes(process, self.listener(region));
        println!("{} MB held of {} MB", held_bytes / 1_000_000, max_bytes / 1_000_000);
        assert!(held_bytes <= max_bytes, "{held_bytes} bytes held, {max_bytes} allowed");
    }
}

/// What each caller of a crowd sends.
#[derive(Debug, Clone, Copy)]
struct Message {
    callers: usize,
    announced_bytes: u32,
    sent_bytes: usize,
}

fn run(test: impl Future<Output = ()>) {
    let _alone = crowd::alone();
    tokio::runtime::Runtime::new().expect("a runtime").block_on(test);
}

async fn start() -> Region {
    let more = "memory_max_mb: 120";
    Region::start(RegionOptions { gateways: 1, gateway_settings: more, ..options() }).await
}

async fn check_ordinary_request(region: &Region) {
    wait_for("an ordinary request is answered", async || {
        region.quote(0, "taichung").await.status == StatusCode::OK
    })
    .await;
}

/// A connection of a caller and the task that drives it.
struct Caller {
    requests: SendRequest<Bytes>,
    driver: JoinHandle<()>,
}

impl Caller {
    /// Connects; `None` if the listener takes no more.
    async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let (requests, connection) =
            timeout(STALLED, h2::client::handshake(stream)).await.ok()?.ok()?;
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(Self { requests, driver })
    }

    /// Opens a stream and keeps it open.
    async fn open(&mut self, path: &str) -> Option<SendStream<Bytes>> {
        let request = Request::post(format!("http://h{path}")).header("winchvane-wire", "3");
        let request = request.body(()).expect("valid parts");
        let mut ready = timeout(STALLED, self.requests.clone().ready()).await.ok()?.ok()?;
        let (_, stream) = ready.send_request(request, false).ok()?;
        Some(stream)
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Sends the beginning of a message, as much as the server takes.
async fn send_message(stream: &mut SendStream<Bytes>, message: Message) -> Option<()> {
    let length = Bytes::copy_from_slice(&message.announced_bytes.to_le_bytes());
    stream.send_data(length, false).ok()?;
    let mut left_bytes = message.sent_bytes;
    while left_bytes > 0 {
        stream.reserve_capacity(left_bytes.min(FRAME_BYTES));
        let capacity = timeout(STALLED, poll_fn(|context| stream.poll_capacity(context)));
        let capacity_bytes = capacity.await.ok()??.ok()?.min(left_bytes);
        stream.send_data(vec![0; capacity_bytes].into(), false).ok()?;
        left_bytes -= capacity_bytes;
    }
    Some(())
}

#[parameterized(
    huge_gateway = { Process::Gateway, HUGE },
    huge_control = { Process::Control, HUGE },
    large_gateway = { Process::Gateway, LARGE },
    large_control = { Process::Control, LARGE },
)]
fn messages_that_do_not_end_stay_within_the_memory(process: Process, message: Message) {
    run(async {
        let region = start().await;
        let mut crowd = Vec::new();
        for _ in 0..message.callers {
            let Some(mut caller) = Caller::connect(process.listener(&region)).await else {
                continue;
            };
            let Some(mut stream) = caller.open(process.path()).await else { continue };
            // The server may end the stream or the connection at any time.
            let _ = send_message(&mut stream, message).await;
            crowd.push((caller, stream));
        }
        process.check_memory(&region);
        check_ordinary_request(&region).await;
        drop(crowd);
    });
}

#[parameterized(
    gateway = { Process::Gateway },
    control = { Process::Control },
)]
fn streams_without_messages_stay_within_the_memory(process: Process) {
    run(async {
        let region = start().await;
        let mut crowd = Vec::new();
        for _ in 0..CALLERS {
            let Some(mut caller) = Caller::connect(process.listener(&region)).await else {
                continue;
            };
            let mut streams = Vec::new();
            for _ in 0..STREAMS_PER_CALLER {
                let Some(stream) = caller.open(process.path()).await else { break };
                streams.push(stream);
            }
            crowd.push((caller, streams));
        }
        process.check_memory(&region);
        check_ordinary_request(&region).await;
        drop(crowd);
    });
}

/// A frame of HTTP/2 on the stream 1, or on none if it is one of settings.
fn frame(kind: u8, stream: u8, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    [&length[1..], &[kind, 0, 0, 0, 0, stream], payload].concat()
}

/// Sends the beginning of a head in many frames, none of them the last.
fn send_head(address: SocketAddr) -> io::Result<TcpStream> {
    const SETTINGS: u8 = 4;
    const HEADERS: u8 = 1;
    const CONTINUATION: u8 = 9;
    let mut stream = TcpStream::connect_timeout(&address, STALLED)?;
    stream.set_write_timeout(Some(STALLED))?;
    stream.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")?;
    stream.write_all(&frame(SETTINGS, 0, &[]))?;
    // The name `a` as it is, and a value of 100 bytes as it is.
    let field = [&[0, 1, b'a', 100][..], &[b'x'; 100]].concat();
    let fields = field.repeat(FRAME_BYTES / field.len());
    let mut kind = HEADERS;
    for _ in 0..HEAD_BYTES / fields.len() {
        // A server that has had enough closes the connection.
        if stream.write_all(&frame(kind, 1, &fields)).is_err() {
            break;
        }
        kind = CONTINUATION;
    }
    Ok(stream)
}

#[parameterized(
    gateway = { Process::Gateway },
    control = { Process::Control },
)]
fn heads_that_do_not_end_stay_within_the_memory(process: Process) {
    run(async {
        let region = start().await;
        let address = process.listener(&region);
        let mut crowd = Vec::new();
        for _ in 0..CALLERS_WITH_HEADS {
            crowd.push(send_head(address));
        }
        process.check_memory(&region);
        check_ordinary_request(&region).await;
        drop(crowd);
    });
}
