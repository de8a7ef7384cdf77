//! A faulty plain server that sends more after a whole answer, late.

use std::io;
use std::path::Path;
use std::thread::spawn;

use super::{ServerArguments, ServerProcess, check_processes, pause_ms, send, zone};
use crate::record::Record;
use crate::region::Region;

/// One of them is faulty, less than a share of .5.
const SERVERS: u8 = 3;
/// One in so many of its answers is followed by more: less than .02.
const EXTRA_EVERY: u64 = 50;
/// The requests that one requester sends, one after the other.
const REQUESTS: usize = 250;
const DEADLINE_MS: u64 = 1_500;

const CONFIGURATION: &str = r#"{"version":3,
"routes":[{"name":"scan-confirm","host":"pick.example","path_prefix":"/scan/","kind":"unsafe",
"timeout_ms":1500,"target_latency_ms":300,"priority":1,"service":"pick-app","retry_attempts":1}],
"services":[{"name":"pick-app","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"#;

pub fn run(root: &Path, folder: &Path, record: &Record, trouble: bool) -> io::Result<Vec<String>> {
    let mut region = Region::start(root, folder, (5, 3), CONFIGURATION)?;
    let control = region.control_api();
    let every = EXTRA_EVERY.to_string();
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let mut more = vec![("--slots", "6"), ("--work-ms", "10")];
        if number == 1 && trouble {
            record.note(format!("DISRUPTION: i-1 sends more after one in {EXTRA_EVERY} answers"));
            more.push(("--extra-every", &every));
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
    let mut breaks = Vec::new();
    let mut served = 0;
    for requester in requesters {
        for sent in requester.join().unwrap_or_default() {
            let Some(answer) = sent.answer else { continue };
            let ran = format!("request {} runs at", sent.id);
            let has_run = || record.lines().iter().any(|(_, line)| line.starts_with(&ran));
            if [408, 421, 429, 503].contains(&answer.status()) && has_run() {
                breaks.push(format!(
                    "REFUSED: request {} got a {}, which promises that it has not run, and it has run",
                    sent.id,
                    answer.status()
                ));
            }
            if !(200..300).contains(&answer.status()) {
                continue;
            }
            let own = format!("done {}", sent.id);
            if answer.text() == own && !answer.header("server-stamp").is_empty() {
                served += 1;
                continue;
            }
            breaks.push(format!(
                "MIXED: request {} got a {} with Server-Stamp {:?} and body {:?}, where its server made {own:?}",
                sent.id,
                answer.status(),
                answer.header("server-stamp"),
                answer.text()
            ));
        }
    }
    record.note(format!("{served} requests were served"));
    check_processes(&mut region)?;
    if served == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(breaks)
}
