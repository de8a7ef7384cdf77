//! A faulty plain server that sends more after a whole answer, late.

use std::io;
use std::path::Path;
use std::thread::spawn;

use super::{Sent, ServerArguments, ServerProcess, check_processes, pause_ms, send, zone};
use crate::record::Record;
use crate::region::Region;

/// One of them is faulty, less than a share of .5.
const SERVERS: u8 = 3;
/// One in so many of its answers is followed by more: less than .02.
const EXTRA_EVERY: u64 = 50;
/// The requests that one requester sends, one after the other.
const REQUESTS: usize = 320;
const DEADLINE_MS: u64 = 1_500;
/// The statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

const CONFIGURATION: &str = r#"{"version":3,
"routes":[{"name":"scan-confirm","host":"pick.example","path_prefix":"/scan/","kind":"unsafe",
"timeout_ms":1500,"target_latency_ms":300,"priority":1,"service":"pick-app","retry_attempts":1}],
"services":[{"name":"pick-app","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"#;

/// Plays the case; what the faulty server sends after an answer is named by `extra`.
pub fn run(
    extra: &str,
    root: &Path,
    folder: &Path,
    record: &Record,
    trouble: bool,
) -> io::Result<Vec<String>> {
    let mut region = Region::start(root, folder, (5, 3), CONFIGURATION)?;
    let control = region.control_api();
    let every = EXTRA_EVERY.to_string();
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let mut more = vec![("--slots", "6"), ("--work-ms", "10")];
        if number == 1 && trouble {
            record.note(format!("DISRUPTION: i-1 sends more after one in {EXTRA_EVERY} answers"));
            more.extend([("--extra-every", every.as_str()), ("--extra", extra)]);
        }
        let arguments = ServerArguments {
            id: &format!("i-{number}"),
            service: "pick-app",
            zone: zone(usize::from(number)),
            address: region.server_address(number),
            control: &control,
            more: &more,
        };
        servers.push(ServerProcess::start(&arguments, record)?);
    }
    pause_ms(4_000);
    let mut requesters = Vec::new();
    for requester in 0..3_usize {
        let (front, record) = (region.front(requester), record.clone());
        requesters.push(spawn(move || {
            let mut sent = Vec::new();
            for number in 0..REQUESTS {
                let id = format!("r{requester}{number:04}");
                let request = send(front, id, "/scan/parcel", Vec::new(), DEADLINE_MS, &record);
                sent.extend(request.join());
            }
            sent
        }));
    }
    let mut all_sent = Vec::new();
    for requester in requesters {
        all_sent.extend(requester.join().unwrap_or_default());
    }
    let mut breaks = Vec::new();
    let mut served = 0;
    let lines = record.lines();
    for sent in all_sent {
        let ran = format!("request {} runs at", sent.id);
        let runs = lines.iter().filter(|(_, line)| line.starts_with(&ran)).count();
        served += usize::from(check(&sent, runs, &mut breaks));
    }
    record.note(format!("{served} requests were served"));
    check_processes(&mut region)?;
    if served == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(breaks)
}

/// Checks a request that has run `runs` times; returns true if it got the answer that its server made.
fn check(sent: &Sent, runs: usize, breaks: &mut Vec<String>) -> bool {
    let id = &sent.id;
    if runs > 1 {
        breaks.push(format!("TWICE: request {id}, which may run once, has run {runs} times"));
    }
    let Some(answer) = &sent.answer else { return false };
    let status = answer.status();
    if PROMISES.contains(&status) && runs > 0 {
        breaks.push(format!(
            "REFUSED: request {id} got a {status}, which promises that it has not run, and it has run"
        ));
    }
    if !(200..300).contains(&status) {
        return false;
    }
    let (stamp, body, own) = (answer.header("server-stamp"), answer.text(), format!("done {id}"));
    if body != own || stamp.is_empty() {
        breaks.push(format!(
            "MIXED: request {id} got a {status} with Server-Stamp {stamp:?} and body {body:?}, where its \
             server made {own:?}"
        ));
        return false;
    }
    true
}
