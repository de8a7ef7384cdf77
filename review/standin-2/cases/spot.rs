//! A model server that is taken away at short notice while it streams answers without a length.

use std::io;
use std::path::Path;

use super::{ServerArguments, ServerProcess, check_processes, last_event, pause_ms, send, zone};
use crate::record::Record;
use crate::region::Region;

/// One of them, less than a share of .15, is taken away.
const SERVERS: u8 = 7;
const EVENTS: u64 = 73;
const PAUSE_MS: u64 = 60;
/// The time from one request to the next.
const STEP_MS: u64 = 50;
/// The time budget of the requests.
const DEADLINE_MS: u64 = 15_000;
/// How long the server has after its notice.
const NOTICE_MS: u64 = 2_000;

const CONFIGURATION: &str = r#"{"version":3,
"routes":[{"name":"aisle-guide","host":"pick.example","path_prefix":"/guide/","kind":"streaming",
"timeout_ms":15000,"target_latency_ms":600,"priority":1,"service":"pick-llm","retry_attempts":1,
"sticky":true,"resumable":false,"gap_aim_ms":250}],
"services":[{"name":"pick-llm","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv_capacity_tokens":250763,"kv_token_bytes":327680,"models":[{"name":"m0",
"weights_mb":42700.0,"load_s":1.3,"adapters":3000,"adapter_mb":12.0}],"weights_mb":44000.0,
"adapter_slots":9,"loads_per_s":2.8}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"#;

pub fn run(root: &Path, folder: &Path, record: &Record, trouble: bool) -> io::Result<Vec<String>> {
    let mut region = Region::start(root, folder, (5, 3), CONFIGURATION)?;
    let control = region.control_api();
    let (events, pause) = (EVENTS.to_string(), PAUSE_MS.to_string());
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let arguments = ServerArguments {
            id: &format!("i-{number}"),
            service: "pick-llm",
            zone: zone(usize::from(number)),
            address: region.server_address(number),
            control: &control,
            more: &[
                ("--model", "m0"),
                ("--slots", "64"),
                ("--events", &events),
                ("--pause-ms", &pause),
                ("--unframed", "yes"),
            ],
        };
        servers.push(ServerProcess::start(&arguments, record)?);
    }
    pause_ms(4_000);
    let mut requests = Vec::new();
    let mut ask = |number: usize, region: &Region| {
        let headers = vec![
            ("Model", "m0".to_owned()),
            ("Token-Counts", "826,365".to_owned()),
            ("Prompt-Prefix", format!("5c1e07a2:198,{:x}:628", 0x1000 + number)),
        ];
        let id = format!("r{number:04}");
        let path = "/guide/stream";
        requests.push(send(region.front(number), id, path, headers, DEADLINE_MS, record));
    };
    // Twenty requests a second; the first server gets its notice after 2 s.
    let mut number = 0;
    for _ in 0..40 {
        ask(number, &region);
        number += 1;
        pause_ms(STEP_MS);
    }
    if trouble {
        record.note(format!("DISRUPTION: i-1 is told that it is taken away in {NOTICE_MS} ms"));
        servers[0].tell(&format!("spot {NOTICE_MS}"));
    } else {
        servers[0].tell("drain");
    }
    for _ in 0..(NOTICE_MS / STEP_MS) {
        ask(number, &region);
        number += 1;
        pause_ms(STEP_MS);
    }
    if trouble {
        record.note("DISRUPTION: i-1 is gone");
        servers[0].kill();
    }
    for _ in 0..20 {
        ask(number, &region);
        number += 1;
        pause_ms(STEP_MS);
    }
    let mut breaks = Vec::new();
    let (mut whole, mut cut) = (0, 0);
    for request in requests {
        let Ok(sent) = request.join() else { continue };
        let Some(answer) = sent.answer else { continue };
        if answer.status() != 200 || !answer.complete {
            cut += 1;
            continue;
        }
        let last = last_event(&answer);
        if last == EVENTS {
            whole += 1;
            continue;
        }
        breaks.push(format!(
            "request {} got a 200 that ends as complete after event {last} of {EVENTS}, with {}",
            sent.id,
            answer.header("server-stamp")
        ));
    }
    record.note(format!("{whole} streams were whole, {cut} were refused, failed or broken off"));
    check_processes(&mut region)?;
    if whole == 0 {
        return Err(io::Error::other("no stream was served"));
    }
    Ok(breaks)
}
