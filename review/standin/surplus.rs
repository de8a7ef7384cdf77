//! A surplus answer that says "not run" arrives in the place of the next request's answer.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::control::describe;
use crate::endpoint::{Boot, Endpoint, Runs};
use crate::http::call;
use crate::record::Record;
use crate::system::System;

const GATEWAYS: u8 = 2;
const ENDPOINTS: u8 = 4;
/// `garble` spoils 0.02 of the answers of half of the servers for 5 s, and may come again.
const GARBLED_ENDPOINTS: u8 = 2;
const GARBLED_SHARE: f64 = 0.02;
const GARBLED_FOR: Duration = Duration::from_secs(5);
const GARBLED_EVERY: Duration = Duration::from_secs(10);
const CLIENTS: u64 = 4;
const LOAD: Duration = Duration::from_secs(42);
const PAUSE: Duration = Duration::from_millis(10);
const DEADLINE: Duration = Duration::from_millis(1_000);

/// Runs the case.
pub fn run(repository: &Path, record: &Arc<Record>, trouble: &str) -> Result<Verdict, String> {
    let system = System::start(repository, record, GATEWAYS, false)?;
    system.configure(
        record,
        r#"{"version":1,"routes":[{"name":"order","host":"shop.example","path_prefix":"/order/",
        "kind":"unsafe","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"shop",
        "retry_attempts":1}],"services":[{"name":"shop","health_path":"/health",
        "max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,
        "max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
    )?;
    let runs = Arc::new(Runs::default());
    let mut endpoints = Vec::new();
    for number in 1..=ENDPOINTS {
        let is_garbled = trouble != "0" && number <= GARBLED_ENDPOINTS;
        let boot = Boot {
            id: format!("i-{number}"),
            service: "shop".to_owned(),
            address: system.endpoint(number),
            surplus_share: if is_garbled { GARBLED_SHARE } else { 0.0 },
        };
        let started = Endpoint::start(boot, system.controls(), record.clone(), runs.clone());
        endpoints.push(started.map_err(|error| error.to_string())?);
    }
    system.wait_until_ready()?;
    thread::sleep(Duration::from_secs(3));
    let system = Arc::new(system);
    let answers = Arc::new(Mutex::new(Vec::new()));
    let next = Arc::new(AtomicU64::new(1));
    let until = Instant::now() + LOAD;
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (system, answers, next) = (system.clone(), answers.clone(), next.clone());
        clients.push(thread::spawn(move || {
            while Instant::now() < until {
                let id = format!("{:08x}", next.fetch_add(1, Ordering::SeqCst));
                let gateway = system.clients(client as usize);
                let headers = format!(
                    "Host: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n",
                    DEADLINE.as_millis()
                );
                let result = call(gateway, "POST", "/order/1", &headers, "two pallets", DEADLINE);
                let mut answers = answers.lock().expect("no client panicked with the lock");
                answers.push((id, describe(&result), result.map_or(0, |it| it.status())));
                drop(answers);
                thread::sleep(PAUSE);
            }
        }));
    }
    while Instant::now() + GARBLED_EVERY <= until {
        set_garbled(&endpoints, record, true);
        thread::sleep(GARBLED_FOR);
        set_garbled(&endpoints, record, false);
        thread::sleep(GARBLED_EVERY - GARBLED_FOR);
    }
    for client in clients {
        client.join().map_err(|_| "a client panicked".to_owned())?;
    }
    thread::sleep(Duration::from_secs(1));
    let answers = answers.lock().expect("no client panicked with the lock");
    let (mut served, mut twice, mut refused) = (0, 0, 0);
    for (id, answer, status) in answers.iter() {
        let ran = runs.of(id);
        served += usize::from(*status == 200);
        record.line(&format!("request {id}: answered {answer}, run by [{}]", ran.join(", ")));
        if ran.len() > 1 {
            twice += 1;
            record
                .line(&format!("TWICE: {id} was run by {}, answered {answer}", ran.join(" and ")));
        }
        if matches!(status, 408 | 421 | 429 | 503) && !ran.is_empty() {
            refused += 1;
            record.line(&format!("REFUSED: {id} was run by {}, answered {answer}", ran.join(", ")));
        }
    }
    let surplus: u64 = endpoints.iter().map(|it| it.surplus_sent.load(Ordering::SeqCst)).sum();
    record.tell(&format!(
        "{} requests that may run once: {served} served; {surplus} surplus answers; {twice} run \
         twice; {refused} refused as not run although they ran",
        answers.len()
    ));
    if served * 2 < answers.len() || answers.is_empty() {
        return Err("fewer than half of the requests were served".to_owned());
    }
    Ok(if twice + refused > 0 { Verdict::Broken } else { Verdict::Held })
}

fn set_garbled(endpoints: &[Arc<Endpoint>], record: &Record, garbled: bool) {
    record.line(&format!("endpoints may add surplus answers: {garbled}"));
    for endpoint in endpoints {
        endpoint.is_garbled.store(garbled, Ordering::SeqCst);
    }
}
