//! The open connections between the replicas of control go silent for good; new ones work.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::control::{call_control, describe};
use crate::record::Record;
use crate::system::System;

const GATEWAYS: u8 = 2;
/// Calm time before the disruption.
const CALM: Duration = Duration::from_secs(5);
/// How often the open connections go silent, and the time between: that within which service has to
/// be back (`recovery_s`).
const TIMES: u32 = 3;
const BETWEEN: Duration = Duration::from_secs(12);
/// How long the operator tries to read the configuration back at the end; at least `contact_ms`.
const READ_BACK: Duration = Duration::from_secs(45);
/// The read-back begins once the machines are in touch again.
const CONTACT: Duration = Duration::from_millis(3_000);
const PAUSE: Duration = Duration::from_millis(250);

const FIRST: &str = r#"{"version":1,"routes":[{"name":"order","host":"shop.example",
"path_prefix":"/order/","kind":"unsafe","timeout_ms":1000,"target_latency_ms":150,"priority":2,
"service":"shop","retry_attempts":1}],"services":[{"name":"shop","health_path":"/health",
"max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,
"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Runs the case. `TROUBLE=close` closes the connections in place of silencing them.
pub fn run(repository: &Path, record: &Arc<Record>, trouble: &str) -> Result<Verdict, String> {
    let system = System::start(repository, record, GATEWAYS, true)?;
    system.configure(record, FIRST)?;
    system.wait_until_ready()?;
    thread::sleep(CALM);
    let before = call_control(system.control(0), "GET", "/winchvane/config", "");
    record.line(&format!("read before the disruption: {}", describe(&before)));
    if !before.is_ok_and(|response| response.status() == 200) {
        return Err("the configuration could not be read before the disruption".to_owned());
    }
    for time in 1..=TIMES {
        disrupt(&system, record, trouble, time);
        thread::sleep(BETWEEN);
        let read = call_control(system.control(0), "GET", "/winchvane/config", "");
        record.line(&format!("read {BETWEEN:?} after disruption {time}: {}", describe(&read)));
    }
    thread::sleep(CONTACT);
    let (from, mut turn, mut first_read) = (Instant::now(), 0, None);
    while from.elapsed() < READ_BACK {
        let result = call_control(system.control(turn), "GET", "/winchvane/config", "");
        record.line(&format!("read from replica {}: {}", turn % 5 + 1, describe(&result)));
        if result
            .is_ok_and(|response| response.status() == 200 && response.body == FIRST.as_bytes())
        {
            first_read = Some(from.elapsed());
            break;
        }
        turn += 1;
        thread::sleep(PAUSE);
    }
    // A change shows whether anything is committed.
    let second = FIRST.replace("\"version\":1,", "\"version\":2,");
    let change = call_control(system.control(turn), "PUT", "/winchvane/config", &second);
    record.line(&format!("change sent to replica {}: {}", turn % 5 + 1, describe(&change)));
    match first_read {
        Some(after) => {
            record.tell(&format!("the configuration came back after {} ms", after.as_millis()));
            Ok(Verdict::Held)
        }
        None => {
            record.tell(&format!(
                "CONFIG: in {} s and {turn} reads at all five replicas, the acknowledged \
                 configuration did not come",
                READ_BACK.as_secs()
            ));
            Ok(Verdict::Broken)
        }
    }
}

/// Disrupts all connections between the replicas, and those of gateways, that are open now.
fn disrupt(system: &System, record: &Record, trouble: &str, time: u32) {
    let mut connections = 0;
    for proxy in &system.proxies {
        connections += match trouble {
            "0" => 0,
            "close" => proxy.close_open(),
            _ => proxy.silence_open(),
        };
    }
    record.line(&format!("disruption {time}: {connections} connections were opened up to now"));
}
