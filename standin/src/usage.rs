//! What a process uses, as the kernel tells it.

use std::fs::read_to_string;

/// Ticks of the kernel's processor times in a second.
const TICKS_PER_S: f64 = 100.0;

/// Processor time of process `id` so far, in microseconds.
pub fn cpu_us(id: u32) -> f64 {
    let stat = read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The second field may hold spaces; what follows its closing bracket does not.
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |position: usize| -> f64 {
        fields.get(position).and_then(|text| text.parse().ok()).unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_S * 1e6
}

/// Resident memory of process `id`, in megabytes.
pub fn memory_mb(id: u32) -> f64 {
    let status = read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    let kilobytes: f64 =
        line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    kilobytes / 1024.0
}
