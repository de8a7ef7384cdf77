//! The cases.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

use crate::net::{Message, read_answer, write_request};
use crate::record::Record;
use crate::region::{Region, ZONES};

mod extra;
mod spot;
mod storm;

/// Plays a case, with its files in `folder`; returns the exit code.
pub fn run(name: &str, root: &Path, record_path: &Path, folder: &Path, trouble: bool) -> i32 {
    let record = Record::default();
    let result = match name {
        "extra-refusal" => extra::run("refusal", root, folder, &record, trouble),
        "extra-bare" => extra::run("bare", root, folder, &record, trouble),
        "storm" => storm::run(root, folder, &record, trouble),
        "spot" => spot::run(root, folder, &record, trouble),
        _ => Err(io::Error::other("there is no such case")),
    };
    let code = match result {
        Ok(breaks) if breaks.is_empty() => {
            record.note("RESULT: the rule held");
            0
        }
        Ok(breaks) => {
            for line in &breaks {
                record.note(format!("BREAK: {line}"));
            }
            record.note(format!("RESULT: the rule was broken {} times", breaks.len()));
            1
        }
        Err(error) => {
            record.note(format!("RESULT: the case could not run: {error}"));
            2
        }
    };
    record.write(record_path);
    code
}

/// A server process, whose output goes to the record.
pub struct ServerProcess {
    child: Child,
}

/// What a server is started with.
pub struct ServerArguments<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub address: SocketAddr,
    pub control: &'a [SocketAddr],
    pub more: &'a [(&'a str, &'a str)],
}

impl ServerProcess {
    pub fn start(arguments: &ServerArguments<'_>, record: &Record) -> io::Result<Self> {
        let control: Vec<String> = arguments.control.iter().map(ToString::to_string).collect();
        let program: PathBuf = std::env::current_exe()?;
        let mut command = Command::new(program);
        command.arg("server");
        command.args(["--id", arguments.id, "--service", arguments.service]);
        command.args(["--zone", arguments.zone, "--address", &arguments.address.to_string()]);
        command.args(["--control", &control.join(",")]);
        for (name, value) in arguments.more {
            command.args([name, value]);
        }
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let output = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
        let record = record.clone();
        spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Some((at_ms, line)) = line.split_once(' ') {
                    record.note_at(at_ms.parse().unwrap_or(0), line);
                }
            }
        });
        Ok(Self { child })
    }

    pub fn tell(&mut self, line: &str) {
        if let Some(input) = &mut self.child.stdin {
            let _ = writeln!(input, "{line}");
        }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A request that was sent, and its answer.
pub struct Sent {
    pub id: String,
    pub answer: Option<Message>,
}

/// Sends a request on a channel of its own and waits for the whole answer.
pub fn send(
    address: SocketAddr,
    id: String,
    path: &str,
    headers: Vec<(&'static str, String)>,
    deadline_ms: u64,
    record: &Record,
) -> JoinHandle<Sent> {
    let (path, record) = (path.to_owned(), record.clone());
    spawn(move || {
        record.note(format!("request {id} is sent to {address}"));
        let answer = exchange(address, &id, &path, headers, deadline_ms);
        match &answer {
            Some(answer) => record.note(format!(
                "request {id} is answered with {}, {} bytes, {}",
                answer.status(),
                answer.body.len(),
                if answer.complete { "complete" } else { "broken off" }
            )),
            None => record.note(format!("request {id} got no answer")),
        }
        Sent { id, answer }
    })
}

fn exchange(
    address: SocketAddr,
    id: &str,
    path: &str,
    mut headers: Vec<(&'static str, String)>,
    deadline_ms: u64,
) -> Option<Message> {
    headers.push(("Host", "pick.example".to_owned()));
    headers.push(("Request-Id", id.to_owned()));
    headers.push(("Deadline-Ms", deadline_ms.to_string()));
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1_000))).ok()?;
    write_request(&stream, "POST", path, &headers, b"{\"ask\":1}").ok()?;
    read_answer(&mut BufReader::new(stream)).ok()?
}

/// The largest id of an event in an answer.
pub fn last_event(answer: &Message) -> u64 {
    let text = answer.text();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).max().unwrap_or(0)
}

/// Ends the wait early if a program of the project has ended by itself.
pub fn check_processes(region: &mut Region) -> io::Result<()> {
    match region.ended().first() {
        Some(ended) => Err(io::Error::other(ended.clone())),
        None => Ok(()),
    }
}

pub fn pause_ms(ms: u64) {
    sleep(Duration::from_millis(ms));
}

pub fn zone(number: usize) -> &'static str {
    ZONES[number % ZONES.len()]
}
