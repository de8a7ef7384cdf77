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

/// The routes that the configuration has, and by how many it grows how often.
const ROUTES_BEFORE: usize = 5;
const ROUTES: usize = 1_400;
const GROWTHS: usize = 4;
/// The series of changes, and how many changes each has.
const SERIES: u64 = 36;
const CHANGES: u64 = 25;
/// The time from one change to the next, and from one series to the next.
const GAP: Duration = Duration::from_millis(60);
const PAUSE_MS: u64 = 700;
/// The series stop after this time.
const TIME: Duration = Duration::from_secs(85);
/// The memory of a machine of the core: a process over it is killed, and starts again after a short delay.
const MEMORY_MB: u64 = 256;
const DELAY: Duration = Duration::from_secs(1);
/// The rule counts a machine whose process has ended so often.
const ENDS: usize = 3;

pub fn run(root: &Path, folder: &Path, record: &Record, trouble: bool) -> io::Result<Vec<String>> {
    let mut region = Region::start(root, folder, (5, 3), &configuration(3, ROUTES_BEFORE))?;
    let mut platform =
        Platform { record: record.clone(), ends: BTreeMap::new(), starts: Vec::new() };
    let control = region.control_api();
    let (mut version, mut routes, mut acknowledged) = (3, ROUTES_BEFORE, 0);
    let put = |version: u64, routes: usize| {
        let text = configuration(version, routes);
        let until = Instant::now() + Duration::from_secs(2);
        let answer = call_control(&control, "PUT", "/winchvane/config", &text, until);
        usize::from(answer.is_some_and(|answer| answer.status() == 200))
    };
    for _ in 0..GROWTHS {
        version += 2;
        if trouble {
            record.note(format!("DISRUPTION: the configuration grows by {ROUTES} routes"));
            routes += ROUTES;
        }
        acknowledged += put(version, routes);
        pause_ms(1_000);
    }
    let begun = Instant::now();
    for series in 1..=SERIES {
        for _ in 0..CHANGES {
            if begun.elapsed() > TIME {
                break;
            }
            let next = Instant::now() + GAP;
            version += 2;
            acknowledged += put(version, routes);
            platform.look(&mut region)?;
            pause_ms(next.saturating_duration_since(Instant::now()).as_millis() as u64);
        }
        pause_ms(PAUSE_MS);
        let sizes_mb = platform.look(&mut region)?;
        record.note(format!(
            "series {series}: {acknowledged} changes are acknowledged; the processes of control have \
             {sizes_mb:?} MB"
        ));
        if begun.elapsed() > TIME {
            break;
        }
    }
    check_processes(&mut region)?;
    if acknowledged < 50 {
        return Err(io::Error::other("most changes were not acknowledged"));
    }
    let ended = platform.ends.into_iter().filter(|(_, ends)| *ends >= ENDS);
    let ended: Vec<String> = ended
        .map(|(name, ends)| format!("{name} went over its {MEMORY_MB} MB {ends} times"))
        .collect();
    // The rule asks for half of the core.
    if ended.len() * 2 < region.control.len() { Ok(Vec::new()) } else { Ok(ended) }
}

/// Kills processes of control that are over their memory, and starts them again.
struct Platform {
    record: Record,
    ends: BTreeMap<String, usize>,
    starts: Vec<(Instant, usize)>,
}

impl Platform {
    /// Returns the memory of each process.
    fn look(&mut self, region: &mut Region) -> io::Result<Vec<u64>> {
        let now = Instant::now();
        for (at, number) in std::mem::take(&mut self.starts) {
            if at > now {
                self.starts.push((at, number));
            } else {
                region.control[number].start()?;
                self.record.note(format!("{} starts again", region.control[number].name));
            }
        }
        let mut sizes_mb = Vec::new();
        for (number, machine) in region.control.iter_mut().enumerate() {
            let Some(pid) = machine.pid() else { continue };
            let size_mb = resident_mb(pid);
            sizes_mb.push(size_mb);
            if size_mb > MEMORY_MB {
                machine.kill();
                let ends = self.ends.entry(machine.name.clone()).or_default();
                *ends += 1;
                self.record.note(format!(
                    "{} is killed: it has {size_mb} MB, more than {MEMORY_MB} (end {ends} of it)",
                    machine.name
                ));
                self.starts.push((now + DELAY, number));
            }
        }
        Ok(sizes_mb)
    }
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
