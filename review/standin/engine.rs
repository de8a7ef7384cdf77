//! Engines that speak the users' protocol: they hold a base model and adapters, and take orders.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::control::call_control;
use crate::endpoint::unix_ms;
use crate::http::{Head, read_body, read_head};
use crate::record::Record;

/// Adapters that an engine holds at once.
pub const ADAPTER_PLACES: usize = 8;
pub const SLOTS: u32 = 32;
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(1_200);
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// A call without an answer for this long goes to the next replica.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const STORE_LOAD: Duration = Duration::from_millis(250);
const COPY_LOAD: Duration = Duration::from_millis(25);
const COPIES: usize = 96;
const FIRST_EVENT: Duration = Duration::from_millis(40);
const EVENT_PAUSE: Duration = Duration::from_millis(30);
const EVENTS: u32 = 4;

/// An adapter that an engine holds or loads.
struct Held {
    ready_at: Instant,
    running: u32,
    leaves: bool,
}

#[derive(Default)]
struct Weights {
    /// Orders taken.
    sequence: u64,
    adapters: BTreeMap<String, Held>,
    copies: VecDeque<String>,
}

impl Weights {
    fn ready(&self) -> Vec<String> {
        let now = Instant::now();
        let is_ready = |(_, held): &(&String, &Held)| held.ready_at <= now;
        self.adapters.iter().filter(is_ready).map(|(name, _)| format!("\"{name}@1\"")).collect()
    }

    fn coming(&self) -> Vec<String> {
        let now = Instant::now();
        let is_coming = |(_, held): &(&String, &Held)| held.ready_at > now;
        let coming = self.adapters.iter().filter(is_coming);
        coming.map(|(name, _)| format!("\"base/{name}@1\"")).collect()
    }

    fn is_busy(&self) -> bool {
        self.adapters.values().any(|held| held.leaves)
    }

    fn models(&self) -> String {
        let adapters = self.ready().join(",");
        format!("[{{\"name\":\"base\",\"version\":1,\"adapters\":[{adapters}]}}]")
    }

    fn load(&mut self, name: &str) -> u16 {
        if let Some(held) = self.adapters.get(name) {
            return if held.ready_at <= Instant::now() { 200 } else { 202 };
        }
        self.sequence += 1;
        let has_copy = self.copies.iter().any(|copy| copy == name);
        self.copies.retain(|copy| copy != name);
        self.copies.push_back(name.to_owned());
        if self.copies.len() > COPIES {
            self.copies.pop_front();
        }
        let ready_at = Instant::now() + if has_copy { COPY_LOAD } else { STORE_LOAD };
        self.adapters.insert(name.to_owned(), Held { ready_at, running: 0, leaves: false });
        202
    }

    fn unload(&mut self, name: &str) -> u16 {
        // What is not here is unloaded already.
        let Some(held) = self.adapters.get_mut(name) else { return 200 };
        self.sequence += 1;
        if held.running > 0 {
            held.leaves = true;
            return 202;
        }
        self.adapters.remove(name);
        200
    }

    fn end(&mut self, name: &str) {
        let Some(held) = self.adapters.get_mut(name) else { return };
        held.running = held.running.saturating_sub(1);
        if held.running == 0 && held.leaves {
            self.adapters.remove(name);
        }
    }
}

/// One incarnation of an engine.
pub struct Engine {
    id: String,
    address: SocketAddr,
    /// The Unix time of its start.
    born_ms: u64,
    record: Arc<Record>,
    /// How late its heartbeats arrive.
    pub heartbeat_delay_ms: AtomicU64,
    weights: Mutex<Weights>,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Orders to load more than it can hold.
    pub loads_beyond: AtomicU64,
}

impl Engine {
    /// Serves requests and orders, and sends heartbeats to `controls`, until it ends.
    pub fn start(
        id: &str,
        address: SocketAddr,
        controls: Vec<SocketAddr>,
        record: Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address,
            born_ms: unix_ms(),
            record,
            heartbeat_delay_ms: AtomicU64::new(0),
            weights: Mutex::default(),
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
            loads_beyond: AtomicU64::new(0),
        });
        let accepting = engine.clone();
        thread::spawn(move || accepting.accept(&listener));
        let beating = engine.clone();
        thread::spawn(move || beating.beat(&controls));
        Ok(engine)
    }

    fn weights(&self) -> MutexGuard<'_, Weights> {
        self.weights.lock().expect("no thread panicked while it held the lock")
    }

    fn ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    fn fall(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        let mut connections = self.connections.lock().expect("no thread panicked with the lock");
        for connection in connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while !self.ended() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let Ok(kept) = stream.try_clone() else { continue };
            self.connections.lock().expect("no thread panicked with the lock").push(kept);
            let engine = self.clone();
            thread::spawn(move || {
                // A connection that breaks is of no interest here.
                let _ = engine.serve(stream);
            });
        }
    }

    fn heartbeat(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
             \"models\":{},\"born\":{},\"sequence\":{sequence}}}",
            self.address,
            self.weights().models(),
            self.born_ms
        )
    }

    fn beat(self: Arc<Self>, controls: &[SocketAddr]) {
        let path = format!("/winchvane/instances/{}", self.id);
        let (mut sequence, mut turn) = (0, 0);
        while !self.ended() {
            sequence += 1;
            let address = controls[turn % controls.len()];
            let body = self.heartbeat(sequence);
            let delay = Duration::from_millis(self.heartbeat_delay_ms.load(Ordering::SeqCst));
            if delay.is_zero() {
                match call_control(address, "PUT", &path, &body) {
                    Ok(response) if response.status() == 200 => thread::sleep(HEARTBEAT_PAUSE),
                    _ => {
                        turn += 1;
                        thread::sleep(Duration::from_millis(100));
                    }
                }
                continue;
            }
            // It is on its way for so long; the engine goes on to the next replica after a second.
            let (late, path) = (self.clone(), path.clone());
            thread::spawn(move || {
                thread::sleep(delay);
                let result = call_control(address, "PUT", &path, &body);
                let answer = crate::control::describe(&result);
                late.record.line(&format!(
                    "heartbeat {sequence} of {} arrives {} ms late: {answer}",
                    late.id,
                    delay.as_millis()
                ));
            });
            turn += 1;
            thread::sleep(ANSWER_TIMEOUT);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head)?;
            if self.ended() {
                return Ok(());
            }
            let expected = head.header("expect-instance");
            if !expected.is_empty() && expected != self.id {
                writer.write_all(&answer(421, &head, "Not-Executed: 1\r\n", ""))?;
                continue;
            }
            match head.path() {
                "/winchvane/report" => {
                    let text = self.report();
                    writer.write_all(&answer(200, &head, "", &text))?;
                }
                "/winchvane/order" => {
                    let Some(status) = self.take_order(&String::from_utf8_lossy(&body)) else {
                        return Ok(());
                    };
                    writer.write_all(&answer(status, &head, "", "{}"))?;
                }
                _ if head.header("request-id").is_empty() => {
                    writer.write_all(&answer(400, &head, "Not-Executed: 1\r\n", ""))?;
                }
                _ => self.run(&mut writer, &head)?,
            }
        }
        Ok(())
    }

    fn report(&self) -> String {
        let weights = self.weights();
        format!(
            "{{\"stage\":\"both\",\"models\":{},\"busy\":{},\"sequence\":{},\"queue_depth\":0,\
             \"running\":0,\"kv_used\":0,\"kv_total\":219357,\"handles\":0,\
             \"born\":{},\"coming\":[{}]}}",
            weights.models(),
            weights.is_busy(),
            weights.sequence,
            self.born_ms,
            weights.coming().join(",")
        )
    }

    /// Takes an order; `None` if the engine falls.
    fn take_order(&self, body: &str) -> Option<u16> {
        let mut weights = self.weights();
        let expected = field(body, "expected").and_then(|text| text.parse::<u64>().ok());
        let (Some(adapter), Some(operation)) = (field(body, "adapter"), field(body, "operation"))
        else {
            // The base model is here from the start.
            return Some(if body.contains("\"loading\"") { 200 } else { 400 });
        };
        if expected.is_some_and(|expected| expected != weights.sequence) || weights.is_busy() {
            return Some(409);
        }
        if operation != "loading" {
            let status = weights.unload(adapter);
            self.record.line(&format!("{} unload {adapter}: {status}", self.id));
            return Some(status);
        }
        let is_new = !weights.adapters.contains_key(adapter);
        if is_new && weights.adapters.len() >= ADAPTER_PLACES {
            self.loads_beyond.fetch_add(1, Ordering::SeqCst);
            let held: Vec<String> = weights.adapters.keys().cloned().collect();
            drop(weights);
            self.record.line(&format!(
                "LIMIT: {} is ordered to load {adapter}, and holds {} in {ADAPTER_PLACES} places \
                 ({}); it falls. The order: {body}",
                self.id,
                held.len(),
                held.join(" ")
            ));
            self.fall();
            return None;
        }
        let status = weights.load(adapter);
        if is_new {
            let count = weights.adapters.len();
            self.record.line(&format!("{} load {adapter}: {status}, {count} places", self.id));
        }
        Some(status)
    }

    fn run(&self, writer: &mut TcpStream, head: &Head) -> io::Result<()> {
        let id = head.header("request-id");
        let adapter = head.header("model").trim_start_matches("base/").to_owned();
        let refusal = {
            let mut weights = self.weights();
            match weights.adapters.get_mut(&adapter) {
                None => Some(421),
                Some(held) if held.leaves || held.ready_at > Instant::now() => Some(503),
                Some(held) => {
                    held.running += 1;
                    None
                }
            }
        };
        if let Some(status) = refusal {
            return writer.write_all(&answer(status, head, "Not-Executed: 1\r\n", ""));
        }
        self.record.line(&format!("{} runs {id} on {adapter}", self.id));
        let streamed = stream(writer, id);
        self.weights().end(&adapter);
        streamed
    }
}

fn stream(writer: &mut TcpStream, id: &str) -> io::Result<()> {
    thread::sleep(FIRST_EVENT);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-{id}\r\n\
         Weights-Versions: 1\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: {id}\n\n");
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(EVENT_PAUSE);
    }
    writer.write_all(b"0\r\n\r\n")
}

fn answer(status: u16, head: &Head, headers: &str, body: &str) -> Vec<u8> {
    let id = head.header("request-id");
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-{id}\r\n{headers}\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// The text or number of a field of a flat JSON object.
fn field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    if let Some(text) = rest.strip_prefix('"') {
        return text.split('"').next();
    }
    rest.split([',', '}']).next()
}
