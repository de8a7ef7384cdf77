//! Crowds of clients that keep no rule, and what a process holds for them.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How long a client tries to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);
/// The pause after each client has sent a piece, in which a server reads it.
const TURN_PAUSE: Duration = Duration::from_millis(2);
/// How long one write or read of a client may take; a server may close its connection instead.
const SOCKET_TIMEOUT: Duration = Duration::from_secs(10);
/// What a process holds is read at this interval, until it has not grown for some samples.
const SAMPLE_PAUSE: Duration = Duration::from_millis(50);
const STEADY_SAMPLES: u32 = 10;
const SAMPLES_MAX: u32 = 200;
/// What a client sends at most that goes on until it is closed.
const ENDLESS_BYTES: usize = 64 << 20;
/// The bytes of a large chunk.
pub const LARGE_CHUNK_BYTES: usize = 64 << 10;

/// One test at a time: what a process holds depends on what the machine does beside it.
static ALONE: Mutex<()> = Mutex::new(());

/// Waits until no other test of this program runs.
pub fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What each client of a crowd sends before it stops and keeps its connection open.
#[derive(Debug, Clone, Copy)]
pub enum Sent {
    /// Nothing.
    Nothing,
    /// A part of a head.
    HalfHead,
    /// A head of this size that does not end.
    EndlessHead(usize),
    /// A body with a length that lacks one byte of this size.
    ShortByLength(usize),
    /// A body of this size in large chunks that lacks its last chunk.
    ShortInChunks(usize),
    /// A whole body of this size.
    Whole(usize),
    /// A request without a body, and behind it one with a body of this size.
    Pipelined(usize),
    /// A whole request whose head has this size.
    WholeHead(usize),
    /// A chunk whose extension has this size and does not end.
    EndlessExtension(usize),
    /// Trailers of this size that do not end.
    EndlessTrailers(usize),
    /// A body that announces 1 GiB, until the connection is closed.
    EndlessByLength,
    /// A body in large chunks, until the connection is closed.
    EndlessInChunks,
}

impl Sent {
    /// Sends all of it as a request for `method` and `path`.
    fn send(self, stream: &mut TcpStream, method: &str, path: &str) -> io::Result<()> {
        let head = format!("{method} {path} HTTP/1.1\r\nhost: h\r\nrequest-id: 7f\r\n");
        match self {
            Self::Nothing => Ok(()),
            Self::HalfHead => stream.write_all(head.as_bytes()),
            Self::EndlessHead(bytes) => {
                // A head of many lines would be refused for their number.
                let filler = "x".repeat(bytes - head.len());
                stream.write_all(format!("{head}x-long: {filler}").as_bytes())
            }
            Self::ShortByLength(bytes) => {
                stream.write_all(with_length(&head, bytes).as_bytes())?;
                stream.write_all(&vec![b'x'; bytes - 1])
            }
            Self::Whole(bytes) => {
                stream.write_all(with_length(&head, bytes).as_bytes())?;
                stream.write_all(&vec![b'x'; bytes])
            }
            Self::Pipelined(bytes) => {
                stream.write_all(with_length(&head, 0).as_bytes())?;
                stream.write_all(with_length(&head, bytes).as_bytes())?;
                stream.write_all(&vec![b'x'; bytes])
            }
            Self::WholeHead(bytes) => {
                let filler = "x".repeat(bytes - head.len());
                stream.write_all(with_length(&format!("{head}x-long: {filler}\r\n"), 0).as_bytes())
            }
            Self::ShortInChunks(bytes) => {
                stream.write_all(in_chunks(&head).as_bytes())?;
                send_chunks(stream, LARGE_CHUNK_BYTES, bytes)
            }
            Self::EndlessExtension(bytes) => {
                let extension = "x".repeat(bytes);
                stream.write_all(format!("{}1;{extension}", in_chunks(&head)).as_bytes())
            }
            Self::EndlessTrailers(bytes) => {
                let trailers = "x".repeat(bytes);
                stream.write_all(format!("{}0\r\nx-long: {trailers}", in_chunks(&head)).as_bytes())
            }
            Self::EndlessByLength => {
                stream.write_all(with_length(&head, 1 << 30).as_bytes())?;
                stream.write_all(&vec![b'x'; ENDLESS_BYTES])
            }
            Self::EndlessInChunks => {
                stream.write_all(in_chunks(&head).as_bytes())?;
                send_chunks(stream, LARGE_CHUNK_BYTES, ENDLESS_BYTES)
            }
        }
    }
}

fn with_length(head: &str, bytes: usize) -> String {
    format!("{head}content-length: {bytes}\r\n\r\n")
}

/// The head of a request whose body comes in chunks.
pub fn in_chunks(head: &str) -> String {
    format!("{head}transfer-encoding: chunked\r\n\r\n")
}

/// One chunk of a body.
pub fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = String::new();
    // Writing to a string cannot fail.
    let _ = write!(chunk, "{bytes:x}\r\n{}\r\n", "x".repeat(bytes));
    chunk.into_bytes()
}

/// Sends chunks of a body without the last one, `bytes` of body in all.
fn send_chunks(stream: &mut TcpStream, chunk_bytes: usize, bytes: usize) -> io::Result<()> {
    let chunk = chunk(chunk_bytes);
    for _ in 0..bytes / chunk_bytes {
        stream.write_all(&chunk)?;
    }
    Ok(())
}

/// Clients that have sent something and keep their connections open.
pub struct Crowd {
    connections: Vec<TcpStream>,
}

impl Crowd {
    /// Connects `clients` clients, which all send at the same time.
    pub fn send(address: SocketAddr, clients: usize, method: &str, path: &str, sent: Sent) -> Self {
        let connections = connect(address, clients);
        let connections = thread::scope(|scope| {
            let mut senders = Vec::new();
            for mut stream in connections {
                senders.push(scope.spawn(move || {
                    // The server may close the connection at any time.
                    let _ = sent.send(&mut stream, method, path);
                    stream
                }));
            }
            let mut connections = Vec::new();
            for sender in senders {
                connections.push(sender.join().expect("a client does not panic"));
            }
            connections
        });
        Self { connections }
    }

    /// Connects clients that send bodies of `chunks` chunks of one byte without the last one. Each chunk
    /// arrives by itself, since it is sent only when those of all other clients have been sent.
    pub fn send_in_turns(
        address: SocketAddr,
        clients: usize,
        method: &str,
        path: &str,
        chunks: usize,
    ) -> Self {
        let mut connections = connect(address, clients);
        let head = in_chunks(&format!("{method} {path} HTTP/1.1\r\nhost: h\r\nrequest-id: 7f\r\n"));
        for stream in &mut connections {
            // The server may close the connection at any time.
            let _ = stream.write_all(head.as_bytes());
        }
        let tiny = chunk(1);
        for _ in 0..chunks {
            for stream in &mut connections {
                let _ = stream.write_all(&tiny);
            }
            thread::sleep(TURN_PAUSE);
        }
        Self { connections }
    }

    /// The statuses of those that were answered, in any order; the others are still open or closed.
    pub fn statuses(&mut self) -> Vec<u16> {
        let mut statuses = Vec::new();
        for stream in &mut self.connections {
            let mut start = [0; 12];
            if stream.read_exact(&mut start).is_err() {
                continue;
            }
            let text = String::from_utf8_lossy(&start);
            statuses.push(text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0));
        }
        statuses
    }
}

fn connect(address: SocketAddr, clients: usize) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    for _ in 0..clients {
        // The queue of the listener may be full, which is as good as refused.
        let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else { continue };
        stream.set_nodelay(true).expect("a connected socket");
        stream.set_write_timeout(Some(SOCKET_TIMEOUT)).expect("a valid time");
        stream.set_read_timeout(Some(SOCKET_TIMEOUT)).expect("a valid time");
        connections.push(stream);
    }
    connections
}

/// The most that a process has held: its memory at its peak, and what has arrived and is not read. Ends
/// once that has stopped growing, since clients' own buffers hold what they have sent for a while.
pub fn held_bytes(process: u32, listener: SocketAddr) -> u64 {
    let mut held_max_bytes = 0;
    let mut last_growth = 0;
    for sample in 0..SAMPLES_MAX {
        let held_bytes = peak_bytes(process) + unread_bytes(listener);
        if held_bytes > held_max_bytes {
            held_max_bytes = held_bytes;
            last_growth = sample;
        }
        if sample - last_growth >= STEADY_SAMPLES {
            break;
        }
        thread::sleep(SAMPLE_PAUSE);
    }
    held_max_bytes
}

/// The most descriptors that a process has open, until their number has stopped growing.
pub fn open_descriptors(process: u32) -> usize {
    let mut open_max = 0;
    for _ in 0..2 * STEADY_SAMPLES {
        let open = fs::read_dir(format!("/proc/{process}/fd"));
        open_max = open_max.max(open.expect("the process lives").count());
        thread::sleep(SAMPLE_PAUSE);
    }
    open_max
}

/// The most memory that a process has held.
pub fn peak_bytes(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the process lives");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a peak of memory");
    let kib: u64 = line.split_whitespace().nth(1).and_then(|it| it.parse().ok()).expect("a number");
    kib << 10
}

/// What has arrived on connections of `listener` and is not read yet.
pub fn unread_bytes(listener: SocketAddr) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").expect("Linux lists connections");
    let port = format!(":{:04X}", listener.port());
    let mut unread = 0;
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, _, state, queues, ..] = fields[..] else { continue };
        // The queue of a listening socket counts connections.
        if !local.ends_with(&port) || state == "0A" {
            continue;
        }
        let Some((_, received)) = queues.split_once(':') else { continue };
        unread += u64::from_str_radix(received, 16).unwrap_or(0);
    }
    unread
}
