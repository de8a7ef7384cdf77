//! HTTP/1.1 over plain sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a message, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// True if the body has ended as its head announces.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.first)? == 0 {
        return Ok(None);
    }
    message.first = message.first.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request, which has a length or chunks.
pub fn read_request_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
) -> io::Result<()> {
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        return read_chunks(reader, message);
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    message.body = body;
    message.complete = true;
    Ok(())
}

fn read_chunks(reader: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let Ok(length) = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
        else {
            return Ok(());
        };
        if length == 0 {
            let mut end = String::new();
            reader.read_line(&mut end)?;
            message.complete = end == "\r\n";
            return Ok(());
        }
        let mut chunk = vec![0; length];
        reader.read_exact(&mut chunk)?;
        message.body.extend_from_slice(&chunk);
        let mut end = [0; 2];
        reader.read_exact(&mut end)?;
    }
}

/// Reads an answer; what has arrived of it is kept if it breaks off.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        // An error leaves the answer incomplete.
        let _ = read_chunks(reader, &mut message);
        return Ok(Some(message));
    }
    if let Ok(length) = message.header("content-length").parse::<u64>() {
        let mut body = Vec::new();
        let read = reader.take(length).read_to_end(&mut body);
        message.complete = read.is_ok() && body.len() as u64 == length;
        message.body = body;
        return Ok(Some(message));
    }
    let mut body = Vec::new();
    message.complete = reader.read_to_end(&mut body).is_ok();
    message.body = body;
    Ok(Some(message))
}

/// A call with its answer on a connection of its own; `None` without an answer within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    write_request(&stream, method, path, headers, body).ok()?;
    read_answer(&mut BufReader::new(stream)).ok()?
}

pub fn write_request(
    mut stream: &TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str("Host: control.example\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Calls control as the platform's callers do: it follows redirects twice and goes on to the next replica.
pub fn call_control(
    control: &[SocketAddr],
    method: &str,
    path: &str,
    body: &str,
    until: Instant,
) -> Option<Message> {
    let headers = [("Content-Type", "application/json".to_owned())];
    let mut turn = 0;
    while Instant::now() < until {
        let mut address = control[turn % control.len()];
        turn += 1;
        for _ in 0..3 {
            let limit = Duration::from_millis(1_000);
            let answer = call(address, method, path, &headers, body.as_bytes(), limit);
            let Some(answer) = answer else { break };
            if answer.status() == 307 {
                let to = answer.header("location").trim_start_matches("http://");
                match to.split('/').next().unwrap_or_default().parse() {
                    Ok(next) => address = next,
                    Err(_) => break,
                }
                continue;
            }
            if answer.status() < 500 && answer.status() != 408 && answer.status() != 429 {
                return Some(answer);
            }
            break;
        }
        std::thread::sleep(Duration::from_millis(60));
    }
    None
}

/// The check-ins of one server: on a channel that is kept, and on new ones to the next daemons after a
/// second without an answer.
pub struct ControlCaller {
    control: Vec<SocketAddr>,
    turn: usize,
    kept: Option<(SocketAddr, TcpStream)>,
}

impl ControlCaller {
    pub fn new(control: Vec<SocketAddr>) -> Self {
        Self { control, turn: 0, kept: None }
    }

    /// Calls one daemon, and those that it redirects to; `None` without a clear answer within a second.
    pub fn call(&mut self, method: &str, path: &str, body: &str) -> Option<Message> {
        let mut address = match &self.kept {
            Some((address, _)) => *address,
            None => self.control[self.turn % self.control.len()],
        };
        for _ in 0..3 {
            let answer = self.call_at(address, method, path, body);
            let Some(answer) = answer.filter(|answer| answer.status() < 500) else {
                self.kept = None;
                self.turn += 1;
                return None;
            };
            if answer.status() != 307 {
                return Some(answer);
            }
            self.kept = None;
            let to = answer.header("location").trim_start_matches("http://").to_owned();
            address = to.split('/').next().unwrap_or_default().parse().ok()?;
        }
        None
    }

    fn call_at(
        &mut self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<Message> {
        let limit = Duration::from_secs(1);
        if self.kept.as_ref().is_none_or(|(known, _)| *known != address) {
            let stream = TcpStream::connect_timeout(&address, limit).ok()?;
            stream.set_nodelay(true).ok()?;
            self.kept = Some((address, stream));
        }
        let (_, stream) = self.kept.as_ref()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        let headers = [("Content-Type", "application/json".to_owned())];
        write_request(stream, method, path, &headers, body.as_bytes()).ok()?;
        read_answer(&mut BufReader::new(stream.try_clone().ok()?)).ok()?
    }
}
