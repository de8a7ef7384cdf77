//! A model server whose check-in is held up by a cut from control while adapters are loaded there.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use super::{ServerArguments, ServerProcess, check_processes, pause_ms, send, zone};
use crate::proxy::{self, Cut};
use crate::record::{Record, now_ms};
use crate::region::Region;

const SERVERS: u8 = 5;
/// The adapters that each server can hold.
const ADAPTER_SLOTS: usize = 9;
/// How long the first server is cut off from control.
const CUT_MS: u64 = 4_400;
/// The third part of the addresses of the proxies before control.
const VIA: u8 = 6;
/// When requests for ever other adapters begin, after the cut has begun.
const OTHERS_FROM_MS: u64 = 3_700;
/// How long after a check-in the cut begins.
const SINCE_CHECK_IN_MS: u64 = 350;
const CHECKS_IN: &str = "server i-1 checks in";

const CONFIGURATION: &str = r#"{"version":3,
"routes":[{"name":"aisle-guide","host":"pick.example","path_prefix":"/guide/","kind":"streaming",
"timeout_ms":5000,"target_latency_ms":600,"priority":1,"service":"pick-llm","retry_attempts":1,
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
    let cut = Cut::default();
    for address in &control {
        let at = crate::net::through(*address, VIA);
        proxy::start(at, *address, cut.clone(), record.clone())?;
    }
    let (slots, via) = (ADAPTER_SLOTS.to_string(), VIA.to_string());
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let mut more = vec![
            ("--model", "m0"),
            ("--slots", "64"),
            ("--adapter-slots", &slots),
            ("--events", "25"),
            ("--pause-ms", "40"),
        ];
        if number == 1 {
            more.push(("--via", &via));
        }
        let arguments = ServerArguments {
            id: &format!("i-{number}"),
            service: "pick-llm",
            zone: zone(usize::from(number)),
            address: region.server_address(number),
            control: &control,
            more: &more,
        };
        servers.push(ServerProcess::start(&arguments, record)?);
    }
    pause_ms(4_000);
    wait_for_check_in(record, now_ms());
    pause_ms(SINCE_CHECK_IN_MS);
    let (began, cut_at_ms) = (Instant::now(), now_ms());
    if trouble {
        record.note(format!("DISRUPTION: i-1 is cut off from control for {CUT_MS} ms"));
        cut.set(true);
    }
    // The check-in that the cut holds up tells what the server holds before the requests begin.
    wait_for_check_in(record, cut_at_ms);
    let mut requests = Vec::new();
    let mut number = 0;
    let mut is_cut = true;
    while began.elapsed() < Duration::from_millis(CUT_MS + 3_000) {
        let elapsed_ms = began.elapsed().as_millis() as u64;
        if trouble && is_cut && elapsed_ms >= CUT_MS {
            record.note("DISRUPTION: the cut has ended");
            cut.set(false);
            is_cut = false;
        }
        // As many adapters as all servers have places for, the same again, and then ever others.
        let places = usize::from(SERVERS) * ADAPTER_SLOTS;
        let adapter = if elapsed_ms < OTHERS_FROM_MS { number % places } else { number + places };
        let headers = vec![
            ("Model", format!("m0/a{}", adapter + 1)),
            ("Token-Counts", "826,25".to_owned()),
            ("Prompt-Prefix", format!("5c1e07a2:198,{:x}:628", 0x1000 + number)),
        ];
        let id = format!("r{number:04}");
        let to = region.front(number);
        requests.push(send(to, id, "/guide/stream", headers, 5_000, record));
        number += 1;
        pause_ms(if number < places { 10 } else { 50 });
    }
    let mut served = 0;
    for request in requests {
        let Ok(sent) = request.join() else { continue };
        let is_served = |answer: &crate::net::Message| answer.status() == 200 && answer.complete;
        served += usize::from(sent.answer.as_ref().is_some_and(is_served));
    }
    record.note(format!("{served} of {number} requests were served"));
    check_processes(&mut region)?;
    if served == 0 {
        return Err(io::Error::other("no request was served"));
    }
    let lines = record.lines();
    let breaks = lines.iter().filter(|(_, line)| line.starts_with("LIMIT"));
    Ok(breaks.map(|(_, line)| line.clone()).collect())
}

/// Waits until the first server has sent a check-in since `since_ms`.
fn wait_for_check_in(record: &Record, since_ms: u128) {
    while !record.lines().iter().any(|(at_ms, line)| *at_ms >= since_ms && line == CHECKS_IN) {
        pause_ms(5);
    }
}
