//! The heartbeats of one engine arrive some seconds late, while its adapters change.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::control::describe;
use crate::engine::{ADAPTER_PLACES, Engine, SLOTS};
use crate::http::call;
use crate::record::Record;
use crate::system::System;

const GATEWAYS: u8 = 2;
const ENGINES: u8 = 5;
const ADAPTERS: u64 = 60;
const CLIENTS: u64 = 10;
/// Calm time under load before the disruption.
const CALM: Duration = Duration::from_secs(8);
const LOAD: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_millis(3_000);
/// How late the heartbeats of the engine arrive.
const LATE_MS: u64 = 3_500;

/// Runs the case.
pub fn run(repository: &Path, record: &Arc<Record>, trouble: &str) -> Result<Verdict, String> {
    let system = System::start(repository, record, GATEWAYS, false)?;
    let configuration = format!(
        r#"{{"version":1,"routes":[{{"name":"quote","host":"quote.example","path_prefix":"/quote/",
        "kind":"streaming","timeout_ms":5000,"target_latency_ms":600,"priority":1,"service":"llm",
        "retry_attempts":1,"sticky":true,"resumable":false,"gap_aim_ms":400}}],
        "services":[{{"name":"llm","health_path":"/health","max_connections":230,"protocol":"h1",
        "tls":false,"engine":{{"slots":{SLOTS},"kv_capacity_tokens":219357,"models":[{{"name":"base",
        "weights_mb":65100.0,"load_s":0.6,"adapters":3000,"adapter_mb":12.0}}],
        "weights_mb":67000.0,"adapter_slots":{ADAPTER_PLACES},"loads_per_s":9.3}}}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}}}"#
    );
    system.configure(record, &configuration)?;
    let mut engines = Vec::new();
    for number in 1..=ENGINES {
        let address = system.endpoint(number);
        let id = format!("e-{number}");
        let engine = Engine::start(&id, address, system.controls(), record.clone());
        engines.push(engine.map_err(|error| error.to_string())?);
    }
    system.wait_until_ready()?;
    thread::sleep(Duration::from_secs(3));
    let system = Arc::new(system);
    let (served, sent) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let until = Instant::now() + CALM + LOAD;
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (system, served, sent) = (system.clone(), served.clone(), sent.clone());
        let record = record.clone();
        clients.push(thread::spawn(move || {
            while Instant::now() < until {
                let number = sent.fetch_add(1, Ordering::SeqCst);
                // Steps through the adapters, so that no engine can hold all that are asked for.
                let adapter = (number * 7 + client) % ADAPTERS + 1;
                let headers = format!(
                    "Host: quote.example\r\nRequest-Id: r{number:06}\r\nDeadline-Ms: 3000\r\n\
                     Model: base/a{adapter}\r\nToken-Counts: 100,20\r\n\
                     Prompt-Prefix: {number:x}:100\r\n"
                );
                let gateway = system.clients(client as usize);
                let result = call(gateway, "POST", "/quote/1", &headers, "a part", DEADLINE);
                let answer = describe(&result);
                record.line(&format!("request r{number:06} for a{adapter}: {answer}"));
                if result.is_ok_and(|response| response.status() == 200) {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(PAUSE);
            }
        }));
    }
    thread::sleep(CALM);
    let calm = (served.load(Ordering::SeqCst), sent.load(Ordering::SeqCst));
    record.line(&format!("calm: {} of {} requests were served", calm.0, calm.1));
    if trouble != "0" {
        record.line(&format!("from now on heartbeats of e-1 arrive {LATE_MS} ms late"));
        engines[0].heartbeat_delay_ms.store(LATE_MS, Ordering::SeqCst);
    }
    for client in clients {
        client.join().map_err(|_| "a client panicked".to_owned())?;
    }
    let (served, sent) = (served.load(Ordering::SeqCst), sent.load(Ordering::SeqCst));
    let mut beyond = 0;
    for engine in &engines {
        beyond += engine.loads_beyond.load(Ordering::SeqCst);
    }
    record.tell(&format!(
        "{sent} requests, {served} served; {beyond} orders to load more than the engine can hold"
    ));
    if calm.0 * 2 < calm.1 {
        return Err("fewer than half of the requests were served before the disruption".to_owned());
    }
    Ok(if beyond > 0 { Verdict::Broken } else { Verdict::Held })
}
