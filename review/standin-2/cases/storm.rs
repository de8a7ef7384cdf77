//! Many changes of a configuration that has grown by many routes.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use super::{check_processes, pause_ms};
use crate::net::call_control;
use crate::record::Record;
use crate::region::Region;

/// The routes that the configuration grows by.
const ROUTES: usize = 1_776;
/// The routes that it has before.
const ROUTES_BEFORE: usize = 5;
/// The series of changes, and how many changes each has.
const SERIES: u64 = 18;
const CHANGES: u64 = 25;
/// The time from one change to the next, and from one series to the next.
const GAP: Duration = Duration::from_millis(60);
const PAUSE_MS: u64 = 2_000;
/// The memory of a machine of the core: a process over it is killed.
const MEMORY_MB: u64 = 256;

pub fn run(root: &Path, folder: &Path, record: &Record, trouble: bool) -> io::Result<Vec<String>> {
    let mut region = Region::start(root, folder, (5, 3), &configuration(3, ROUTES_BEFORE))?;
    let control = region.control_api();
    let mut routes = ROUTES_BEFORE;
    if trouble {
        record.note(format!("DISRUPTION: the configuration grows by {ROUTES} routes"));
        routes += ROUTES;
    }
    let (mut version, mut acknowledged) = (3, 0);
    let mut over = BTreeMap::new();
    for series in 1..=SERIES {
        for _ in 0..CHANGES {
            let next = Instant::now() + GAP;
            version += 2;
            let text = configuration(version, routes);
            let until = Instant::now() + Duration::from_secs(5);
            let answer = call_control(&control, "PUT", "/winchvane/config", &text, until);
            acknowledged += usize::from(answer.is_some_and(|answer| answer.status() == 200));
            pause_ms(next.saturating_duration_since(Instant::now()).as_millis() as u64);
        }
        pause_ms(PAUSE_MS);
        let mut sizes_mb = Vec::new();
        for (name, pid) in region.control_processes() {
            let size_mb = resident_mb(pid);
            sizes_mb.push(size_mb);
            if size_mb > MEMORY_MB {
                over.entry(name).or_insert(acknowledged);
            }
        }
        record.note(format!(
            "series {series}: {acknowledged} changes are acknowledged; the processes of control have \
             {sizes_mb:?} MB"
        ));
    }
    check_processes(&mut region)?;
    if acknowledged < (SERIES * CHANGES) as usize / 2 {
        return Err(io::Error::other("most changes were not acknowledged"));
    }
    // The rule counts processes that end on half of the core, for which this counts as well.
    if over.len() * 2 < control.len() {
        return Ok(Vec::new());
    }
    let ended = |(name, changes)| {
        format!("{name} was over its {MEMORY_MB} MB, at the latest after {changes} changes")
    };
    Ok(over.into_iter().map(ended).collect())
}

fn resident_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1024
}

fn configuration(version: u64, routes: usize) -> String {
    let mut list = Vec::new();
    for route in 0..routes {
        list.push(format!(
            "{{\"name\":\"r-{route:06}\",\"host\":\"ficu{}.example\",\"path_prefix\":\"/pufi{route}/\",\
             \"kind\":\"streaming\",\"timeout_ms\":{},\"target_latency_ms\":1000,\"priority\":0,\
             \"service\":\"pick-app\",\"retry_attempts\":2,\"sticky\":true,\"resumable\":true,\
             \"gap_aim_ms\":400}}",
            route % 40,
            12_000 + version
        ));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pick-app\",\
         \"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        list.join(",")
    )
}
