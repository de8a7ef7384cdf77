//! Endpoints that speak the users' protocol and note what they run.

use std::collections::HashMap;
use std::io::{self, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::control::call_control;
use crate::http::{Head, read_body, read_head};
use crate::record::Record;

const HEARTBEAT_PAUSE: Duration = Duration::from_millis(1_200);
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
const WORK: Duration = Duration::from_millis(30);
/// How long it has worked on a request when a surplus answer goes out in the place of its answer.
const WORK_BEFORE_SURPLUS: Duration = Duration::from_millis(20);
/// Requests that run at once, and those that wait besides.
const SLOTS: u32 = 32;
const QUEUE: u32 = 96;

/// What endpoints began to run, by request.
#[derive(Default)]
pub struct Runs(Mutex<HashMap<String, Vec<String>>>);

impl Runs {
    fn begin(&self, request: &str, endpoint: &str) {
        let mut runs = self.0.lock().expect("no thread panicked while it held the lock");
        runs.entry(request.to_owned()).or_default().push(endpoint.to_owned());
    }

    /// The endpoints that began to run a request.
    pub fn of(&self, request: &str) -> Vec<String> {
        let runs = self.0.lock().expect("no thread panicked while it held the lock");
        runs.get(request).cloned().unwrap_or_default()
    }
}

/// How an endpoint starts.
#[derive(Clone)]
pub struct Boot {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// The share of whole answers after which a surplus answer follows, while it is garbled.
    pub surplus_share: f64,
}

/// An endpoint of a plain service.
pub struct Endpoint {
    boot: Boot,
    /// The Unix time of its start.
    born_ms: u64,
    record: Arc<Record>,
    runs: Arc<Runs>,
    present: AtomicU32,
    answers_while_garbled: AtomicU64,
    /// True while it adds surplus answers.
    pub is_garbled: AtomicBool,
    /// Surplus answers that were sent.
    pub surplus_sent: AtomicU64,
}

impl Endpoint {
    /// Serves requests, and sends heartbeats to `controls`, until the run ends.
    pub fn start(
        boot: Boot,
        controls: Vec<SocketAddr>,
        record: Arc<Record>,
        runs: Arc<Runs>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(boot.address)?;
        listener.set_nonblocking(true)?;
        let endpoint = Arc::new(Self {
            boot,
            born_ms: unix_ms(),
            record,
            runs,
            present: AtomicU32::new(0),
            answers_while_garbled: AtomicU64::new(0),
            is_garbled: AtomicBool::new(false),
            surplus_sent: AtomicU64::new(0),
        });
        endpoint.record.line(&format!("{} starts at {}", endpoint.boot.id, endpoint.boot.address));
        let accepting = endpoint.clone();
        thread::spawn(move || accepting.accept(&listener));
        let beating = endpoint.clone();
        thread::spawn(move || beating.beat(&controls));
        Ok(endpoint)
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let endpoint = self.clone();
            thread::spawn(move || {
                // A connection that breaks is of no interest here.
                let _ = endpoint.serve(stream);
            });
        }
    }

    fn heartbeat(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{},\
             \"sequence\":{sequence}}}",
            self.boot.service, self.boot.address, self.born_ms
        )
    }

    fn beat(&self, controls: &[SocketAddr]) {
        let path = format!("/winchvane/instances/{}", self.boot.id);
        let (mut sequence, mut turn, mut named) = (0, 0, None);
        loop {
            sequence += 1;
            let address = named.unwrap_or(controls[turn % controls.len()]);
            let result = call_control(address, "PUT", &path, &self.heartbeat(sequence));
            match result {
                Ok(response) if response.status() == 200 => {
                    named = heartbeat_address(&response.body);
                    thread::sleep(HEARTBEAT_PAUSE);
                }
                _ => {
                    named = None;
                    turn += 1;
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let mut surplus = None;
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head)?;
            let id = head.header("request-id").to_owned();
            if id.is_empty() {
                writer.write_all(&answer("400 Bad Request", "", "Not-Executed: 1\r\n", ""))?;
                continue;
            }
            if head.header("expect-instance") != self.boot.id {
                let name = "421 Misdirected Request";
                writer.write_all(&answer(name, &id, "Not-Executed: 1\r\n", ""))?;
                continue;
            }
            if self.present.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
                self.present.fetch_sub(1, Ordering::SeqCst);
                let name = "503 Service Unavailable";
                writer.write_all(&answer(name, &id, "Not-Executed: 1\r\n", ""))?;
                continue;
            }
            let served = self.run(&mut writer, &reader, &head, &body, &mut surplus);
            self.present.fetch_sub(1, Ordering::SeqCst);
            served?;
        }
        Ok(())
    }

    fn run(
        &self,
        writer: &mut TcpStream,
        reader: &BufReader<TcpStream>,
        head: &Head,
        body: &[u8],
        surplus: &mut Option<String>,
    ) -> io::Result<()> {
        let id = head.header("request-id");
        self.runs.begin(id, &self.boot.id);
        let begun_at = Instant::now();
        if let Some(earlier) = surplus.take() {
            // The late second answer to an earlier request, in the place of this one's answer.
            thread::sleep(WORK_BEFORE_SURPLUS);
            self.surplus_sent.fetch_add(1, Ordering::SeqCst);
            self.record.line(&format!(
                "{} runs {id}, and sends a surplus answer to {earlier} before its answer",
                self.boot.id
            ));
            let name = "503 Service Unavailable";
            writer.write_all(&answer(name, &earlier, "Not-Executed: 1\r\n", ""))?;
        }
        if is_closed_within(reader.get_ref(), WORK.saturating_sub(begun_at.elapsed()))? {
            let after_ms = begun_at.elapsed().as_millis();
            self.record.line(&format!(
                "{} drops {id} after {after_ms} ms of work: its connection was closed",
                self.boot.id
            ));
            return Err(ErrorKind::ConnectionAborted.into());
        }
        let text = format!("{} did {id}, {} bytes", self.boot.id, body.len());
        writer.write_all(&answer("200 OK", id, "", &text))?;
        if self.is_due() {
            *surplus = Some(id.to_owned());
        }
        Ok(())
    }

    /// True for every answer with which the surplus answers reach their share.
    fn is_due(&self) -> bool {
        let share = self.boot.surplus_share;
        if share <= 0.0 || !self.is_garbled.load(Ordering::SeqCst) {
            return false;
        }
        let interval = (1.0 / share).ceil() as u64;
        (self.answers_while_garbled.fetch_add(1, Ordering::SeqCst) + 1) % interval == 0
    }
}

/// The Unix time.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("the time is after 1970");
    since.as_millis() as u64
}

/// True if the peer closes the connection within `time`.
fn is_closed_within(stream: &TcpStream, time: Duration) -> io::Result<bool> {
    // A time of zero isn't allowed.
    stream.set_read_timeout(Some(time.max(Duration::from_millis(1))))?;
    let peeked = stream.peek(&mut [0]);
    stream.set_read_timeout(None)?;
    match peeked {
        Ok(0) => Ok(true),
        Ok(_) => Ok(false),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            Ok(false)
        }
        Err(_) => Ok(true),
    }
}

fn answer(status: &str, id: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-{id}\r\n{headers}\
         Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// The address that the answer to a heartbeat names for the next ones.
fn heartbeat_address(body: &[u8]) -> Option<SocketAddr> {
    let text = String::from_utf8_lossy(body);
    let (_, rest) = text.split_once("\"heartbeat_addr\"")?;
    rest.split('"').nth(1)?.parse().ok()
}
