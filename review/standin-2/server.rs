//! A model server or a plain server, as a process of its own.
//!
//! It writes what it does to its standard output, a line each, and reads commands from its standard
//! input: `spot MS` (it is taken away in so many milliseconds), `drain`, `end` (it ends once all that it
//! runs has ended).

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::{Engine, Place};
use crate::net::{ControlCaller, Message, read_head, read_request_body};
use crate::record::now_ms;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: Vec<SocketAddr>,
    /// The base model that it holds; empty for a plain server.
    pub model: String,
    /// The adapters that it can hold.
    pub adapter_slots: usize,
    pub slots: u32,
    pub events: u64,
    pub pause: Duration,
    pub work: Duration,
    /// True if its answers have no length and end with their channel.
    pub unframed: bool,
    /// After every so many answers it sends more on the same channel, late; 0 for never.
    pub extra_every: u64,
    pub is_extra_bare: bool,
}

/// What a faulty server sends after a whole answer; it belongs to no request.
const REFUSAL: &[&str] =
    &["HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"];
/// The same, by turns, with nothing in it but a status and a length.
const BARE: &[&str] = &[
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
];

struct Server {
    options: Options,
    leaving_until: Mutex<Option<Instant>>,
    is_leaving: AtomicBool,
    is_acknowledged: AtomicBool,
    running: AtomicU64,
    answered: AtomicU64,
    extras: AtomicU64,
    engine: Mutex<Engine>,
}

pub fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{} {line}", now_ms());
    let _ = out.flush();
}

pub fn run(options: Options) {
    let listener = TcpListener::bind(options.address).expect("the address is free");
    let engine = Engine::new(options.model.clone(), options.adapter_slots);
    let server = Arc::new(Server {
        options,
        engine: Mutex::new(engine),
        leaving_until: Mutex::new(None),
        is_leaving: AtomicBool::new(false),
        is_acknowledged: AtomicBool::new(false),
        running: AtomicU64::new(0),
        answered: AtomicU64::new(0),
        extras: AtomicU64::new(0),
    });
    say(&format!("server {} starts at {}", server.options.id, server.options.address));
    let beating = server.clone();
    std::thread::spawn(move || beating.beat());
    let commanded = server.clone();
    std::thread::spawn(move || commanded.obey());
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        std::thread::spawn(move || server.serve(stream));
    }
}

impl Server {
    fn obey(&self) {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let mut words = line.split(' ');
            match words.next().unwrap_or_default() {
                "spot" => {
                    let ms: u64 = words.next().and_then(|ms| ms.parse().ok()).unwrap_or(0);
                    *self.leaving_until.lock().unwrap() =
                        Some(Instant::now() + Duration::from_millis(ms));
                    self.is_leaving.store(true, Ordering::SeqCst);
                }
                "drain" => self.is_leaving.store(true, Ordering::SeqCst),
                "end" => {
                    while self.running.load(Ordering::SeqCst) > 0 {
                        std::thread::sleep(Duration::from_millis(5));
                    }
                    std::process::exit(0);
                }
                _ => {}
            }
        }
        // Whoever started it has ended.
        std::process::exit(0);
    }

    fn beat(&self) {
        let Options { id, service, zone, address, control, model, slots, .. } = &self.options;
        let mut told_leaving = false;
        let mut sequence = 0;
        let mut caller = ControlCaller::new(control.clone());
        loop {
            sequence += 1;
            let is_leaving = self.is_leaving.load(Ordering::SeqCst);
            let state = if is_leaving { "draining" } else { "ready" };
            let mut body = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\
                 \"sequence\":{sequence}"
            );
            if !model.is_empty() {
                body.push_str(&format!(
                    ",\"stage\":\"both\",\"models\":{}",
                    self.engine.lock().unwrap().models()
                ));
            }
            if let Some(until) = *self.leaving_until.lock().unwrap() {
                let left = until.saturating_duration_since(Instant::now()).as_millis();
                body.push_str(&format!(",\"remaining_ms\":{left}"));
            }
            body.push('}');
            let path = format!("/winchvane/instances/{id}");
            let next = Instant::now() + HEARTBEAT;
            say(&format!("server {id} checks in"));
            match caller.call("PUT", &path, &body) {
                Some(answer) if answer.status() / 100 == 2 => {
                    if is_leaving && !told_leaving {
                        told_leaving = true;
                        self.is_acknowledged.store(true, Ordering::SeqCst);
                        say(&format!("server {id}: draining is acknowledged"));
                    }
                    if sequence == 1 {
                        say(&format!("server {id}: its first check-in is acknowledged"));
                    }
                }
                _ => {
                    say(&format!("server {id}: check-in {sequence} is not acknowledged"));
                    std::thread::sleep(Duration::from_millis(20));
                    continue;
                }
            }
            while Instant::now() < next {
                if self.is_leaving.load(Ordering::SeqCst) && !is_leaving {
                    break;
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        let mut is_extra_due = false;
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_request_body(&mut reader, &mut request).is_err() {
                return;
            }
            if std::mem::take(&mut is_extra_due) {
                let next = request.header("request-id");
                say(&format!(
                    "server {} sends more, late, as request {next} comes",
                    self.options.id
                ));
                let sent = self.extras.fetch_add(1, Ordering::SeqCst) as usize;
                let extra = if self.options.is_extra_bare { BARE } else { REFUSAL };
                if (&stream).write_all(extra[sent % extra.len()].as_bytes()).is_err() {
                    return;
                }
            }
            let every = self.options.extra_every;
            if every > 0 && !request.header("request-id").is_empty() {
                is_extra_due = self.answered.fetch_add(1, Ordering::SeqCst) % every == every - 1;
            }
            if !self.answer(&stream, &request) {
                return;
            }
        }
    }

    /// Answers a request; false if the channel ends with the answer.
    fn answer(&self, stream: &TcpStream, request: &Message) -> bool {
        let options = &self.options;
        let id = request.header("request-id").to_owned();
        if request.path() == "/winchvane/report" {
            let running = self.running.load(Ordering::SeqCst);
            let body = self.engine.lock().unwrap().report(running);
            return write_whole(stream, "200 OK", &[], &body);
        }
        if request.path() == "/health" {
            let leaves = self.is_leaving.load(Ordering::SeqCst);
            let status = if leaves { "503 Service Unavailable" } else { "200 OK" };
            return write_whole(stream, status, &[("Instance-Id", &options.id)], "");
        }
        if request.path() == "/winchvane/order" {
            let expected = request.header("expect-instance");
            if !expected.is_empty() && expected != options.id {
                return write_whole(
                    stream,
                    "421 Misdirected Request",
                    &[("Not-Executed", "1")],
                    "",
                );
            }
            let status = self.engine.lock().unwrap().order(&options.id, &request.text());
            return write_whole(stream, status, &[], "{}");
        }
        if id.is_empty() {
            return write_whole(stream, "400 Bad Request", &[("Not-Executed", "1")], "");
        }
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != options.id {
            say(&format!("request {id} at {} is meant for {expected}: 421", options.id));
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            return write_whole(stream, "421 Misdirected Request", &headers, "");
        }
        let adapter = request.header("model").split_once('/').map(|(_, name)| name.to_owned());
        if let Some(adapter) = &adapter
            && !self.engine.lock().unwrap().begin_use(adapter)
        {
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            return write_whole(stream, "421 Misdirected Request", &headers, "");
        }
        let _place = adapter.map(|adapter| Place { engine: &self.engine, adapter });
        self.running.fetch_add(1, Ordering::SeqCst);
        say(&format!("request {id} runs at {}", options.id));
        let goes_on = if request.path().ends_with("/stream") {
            self.stream(stream, &id, options.events)
        } else if request.path().ends_with("/short") {
            self.stream(stream, &id, 1)
        } else {
            self.respond(stream, &id)
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        goes_on
    }

    fn respond(&self, stream: &TcpStream, id: &str) -> bool {
        std::thread::sleep(self.options.work);
        let body = format!("done {id}");
        let stamp = format!("stamp-{}", self.options.id);
        let headers = [("Request-Id", id), ("Server-Stamp", stamp.as_str())];
        let goes_on = write_whole(stream, "200 OK", &headers, &body);
        say(&format!("request {id} is answered by {}", self.options.id));
        goes_on
    }

    fn stream(&self, mut stream: &TcpStream, id: &str, events: u64) -> bool {
        let options = &self.options;
        let framing =
            if options.unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-{}\r\n\
             Content-Type: text/event-stream\r\nWeights-Versions: 1\r\n{framing}\r\n\r\n",
            options.id
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=events {
            std::thread::sleep(options.pause);
            let event = format!("id: {number}\ndata: {id}\n\n");
            let bytes =
                if options.unframed { event } else { format!("{:x}\r\n{event}\r\n", event.len()) };
            if stream.write_all(bytes.as_bytes()).is_err() {
                say(&format!("request {id} is dropped by {} after {}", options.id, number - 1));
                return false;
            }
        }
        say(&format!("request {id} is answered by {} with {events} events", options.id));
        if options.unframed {
            return false;
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn write_whole(mut stream: &TcpStream, status: &str, headers: &[(&str, &str)], body: &str) -> bool {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).is_ok()
}
