//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The first line and the headers of a message.
#[derive(Debug, Clone)]
pub struct Head {
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header whose name is given in lower case; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// A whole response.
#[derive(Debug, Clone)]
pub struct Response {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Response {
    /// The status.
    pub fn status(&self) -> u16 {
        self.head.status()
    }
}

/// Reads a head; `None` if the connection ends before it begins.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            let first_line = first_line.trim_end().to_owned();
            return Ok(Some(Head { first_line, headers }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a body; `None` after the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok((size > 0).then_some(data))
}

/// Reads the body that belongs to `head`.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
        return Ok(body);
    }
    body.resize(head.header("content-length").parse().unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Connects, and lets reads fail after `timeout`.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(stream)
}

/// Writes a request; `headers` are whole lines.
pub fn write_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> io::Result<()> {
    let length = body.len();
    let text =
        format!("{method} {path} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// Sends a request on a new connection and reads the whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Response> {
    let mut stream = connect(address, timeout)?;
    write_request(&mut stream, method, path, &format!("{headers}Connection: close\r\n"), body)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head)?;
    Ok(Response { head, body })
}
