//! Whether the processes stay within the memory of the instances that they are made for.

use std::fs;
use std::sync::atomic::Ordering;

use crate::region::Program;

/// The memory of the smallest instance that runs a gateway.
const GATEWAY_MAX_KB: u64 = 120_000;
/// The memory of the smallest instance that runs control.
const CONTROL_MAX_KB: u64 = 256_000;

/// The processes that have taken more memory than they may, since they were started last.
pub fn breaches(programs: &[Program]) -> Vec<String> {
    let mut breaches = Vec::new();
    for program in programs {
        let max_kb = if program.is_control { CONTROL_MAX_KB } else { GATEWAY_MAX_KB };
        let process = program.process.load(Ordering::SeqCst);
        let Some(peak_kb) = status_kb(process, "VmHWM:") else { continue };
        if peak_kb > max_kb {
            breaches.push(format!("{} took {peak_kb} of {max_kb} kB of memory", program.name));
        }
    }
    breaches
}

/// A line of a process's status that tells an amount of memory; `None` if it does not run.
pub(crate) fn status_kb(process: u32, field: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
