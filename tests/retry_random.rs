//! The retries of all gateways together under random failures, with fixed seeds: processes are
//! killed and frozen, gateways are cut off from control, added and removed, leaders change, and
//! traffic bursts and stops. After calm periods, while endpoints refuse, every available retry is
//! taken.
//!
//! `WINCHVANE_SEEDS=2000 cargo test --release --test retry_random` runs longer.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use winchvane::relay::{GatewayCount, RetryBudget};

const DEFAULT_SEEDS: u64 = 40;
const STEP_MS: u64 = 5;
const END_MS: u64 = 60_000;
const WINDOW_MS: u64 = 10_000;
const RENEW_MS: u64 = 300;
/// The leader treats a session as lost after this much silence.
const SILENCE_MS: u64 = 900;
const SLOTS_MAX: usize = 12;
/// The most requests that queue at a frozen gateway; its clients send no more until these are
/// answered. Queued requests earn their retries later than they count. The budget also held with
/// 100, over 20,000 seeds each.
const QUEUE_MAX: usize = 30;

/// The process of a gateway.
struct Process {
    budget: RetryBudget,
    gateways: GatewayCount,
    frozen_until_ms: u64,
    queued: usize,
}

impl Process {
    fn may_retry(&mut self, now_ms: u64) -> bool {
        let gateways = self.gateways.divisor(now_ms);
        gateways.is_some_and(|gateways| self.budget.take(now_ms, gateways))
    }
}

/// The place of one gateway, whose process comes and goes.
struct Slot {
    /// False while no gateway is configured here.
    is_used: bool,
    process: Option<Process>,
    starts_at_ms: u64,
    /// The gateway is cut off from control until this time.
    cut_until_ms: u64,
    /// When the process last renewed its session; `None` while the leader does not count it.
    in_touch_at_ms: Option<u64>,
    /// The earliest time at which the leader learns of the process.
    joins_at_ms: u64,
    told: Option<u32>,
}

struct Simulation {
    rng: SmallRng,
    ratio: f64,
    slack: f64,
    slots: Vec<Slot>,
    leads_from_ms: u64,
    usual_in_s: f64,
    requests_in_s: f64,
    traffic_until_ms: u64,
    is_refused: bool,
    refused_until_ms: u64,
    /// The number of requests, and below of retries, in each step.
    sent: Vec<u32>,
    retried: Vec<u32>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let ratio = [0.1, 0.2, 0.5][rng.random_range(0..3)];
        let slack = [20.0, 54.0, 200.0][rng.random_range(0..3)];
        let usual_in_s = [20.0, 100.0, 400.0][rng.random_range(0..3)];
        let used = rng.random_range(1..=SLOTS_MAX);
        let mut slots = Vec::new();
        for index in 0..SLOTS_MAX {
            slots.push(Slot {
                is_used: index < used,
                process: None,
                starts_at_ms: 0,
                cut_until_ms: 0,
                in_touch_at_ms: None,
                joins_at_ms: 0,
                told: None,
            });
        }
        Self {
            rng,
            ratio,
            slack,
            slots,
            leads_from_ms: 0,
            usual_in_s,
            requests_in_s: 0.0,
            traffic_until_ms: 0,
            is_refused: true,
            refused_until_ms: 0,
            sent: Vec::new(),
            retried: Vec::new(),
        }
    }

    fn run(mut self) -> u32 {
        let fault_interval_ms: u64 = [500, 2_000, 8_000][self.rng.random_range(0..3)];
        for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
            self.sent.push(0);
            self.retried.push(0);
            if self.rng.random_bool(STEP_MS as f64 / fault_interval_ms as f64) {
                self.inject_fault(now_ms);
            }
            self.start_processes(now_ms);
            self.follow(now_ms);
            self.serve(now_ms);
        }
        self.check();
        self.retried.iter().sum()
    }

    fn inject_fault(&mut self, now_ms: u64) {
        let kind = self.rng.random_range(0..100);
        // Failures of the leader are rare, and failures of all gateways at once rarer.
        if kind < 4 {
            self.leads_from_ms = now_ms + self.rng.random_range(500..15_000);
            return;
        }
        let share = [0.1, 0.5, 1.0][self.rng.random_range(0..3)];
        for index in 0..self.slots.len() {
            if !self.rng.random_bool(share) {
                continue;
            }
            let for_ms = self.rng.random_range(50..3_000);
            let slot = &mut self.slots[index];
            match kind {
                4..45 => {
                    slot.process = None;
                    slot.starts_at_ms = now_ms + for_ms;
                }
                45..65 => {
                    if let Some(process) = &mut slot.process {
                        process.frozen_until_ms = now_ms + for_ms;
                    }
                }
                65..75 => slot.cut_until_ms = now_ms + for_ms,
                75..85 => slot.cut_until_ms = now_ms + 10 * for_ms,
                _ => {
                    slot.is_used = !slot.is_used;
                    slot.starts_at_ms = now_ms + for_ms;
                }
            }
        }
    }

    fn start_processes(&mut self, now_ms: u64) {
        for slot in &mut self.slots {
            if !slot.is_used {
                slot.process = None;
            }
            if slot.process.is_some() || !slot.is_used || now_ms < slot.starts_at_ms {
                continue;
            }
            slot.process = Some(Process {
                budget: RetryBudget::new(self.ratio, self.slack, WINDOW_MS),
                gateways: GatewayCount::new(WINDOW_MS),
                frozen_until_ms: 0,
                queued: 0,
            });
            slot.in_touch_at_ms = None;
            slot.joins_at_ms = now_ms + self.rng.random_range(20..300);
            slot.told = None;
        }
    }

    /// The leader counts the gateways that were in touch recently and sends them the number.
    fn follow(&mut self, now_ms: u64) {
        if now_ms < self.leads_from_ms {
            for slot in &mut self.slots {
                // The next leader learns of the gateways one by one.
                slot.joins_at_ms = self.leads_from_ms + self.rng.random_range(20..1_000);
                slot.in_touch_at_ms = None;
                slot.told = None;
            }
            return;
        }
        let mut followers = 0;
        for slot in &mut self.slots {
            let is_lost =
                slot.in_touch_at_ms.is_some_and(|at_ms| at_ms + RENEW_MS + SILENCE_MS < now_ms);
            if is_lost || slot.process.is_none() {
                slot.in_touch_at_ms = None;
                slot.told = None;
            }
            let Some(process) = &mut slot.process else { continue };
            let is_reached = slot.cut_until_ms <= now_ms
                && process.frozen_until_ms <= now_ms
                && slot.joins_at_ms <= now_ms;
            if is_reached && slot.in_touch_at_ms.is_none_or(|at_ms| at_ms + RENEW_MS <= now_ms) {
                slot.in_touch_at_ms = Some(now_ms);
                process.gateways.note_confirmed(now_ms);
            }
            followers += u32::from(slot.in_touch_at_ms.is_some());
        }
        for slot in &mut self.slots {
            let is_told = slot.told == Some(followers) || slot.in_touch_at_ms.is_none();
            let Some(process) = &mut slot.process else { continue };
            if is_told || slot.cut_until_ms > now_ms || process.frozen_until_ms > now_ms {
                continue;
            }
            slot.told = Some(followers);
            process.gateways.set_reported(now_ms, followers);
        }
    }

    fn serve(&mut self, now_ms: u64) {
        if self.traffic_until_ms <= now_ms {
            self.traffic_until_ms = now_ms + self.rng.random_range(1_000..15_000);
            let times = [0.0, 1.0, 1.0, 1.0, 4.0][self.rng.random_range(0..5)];
            self.requests_in_s = self.usual_in_s * times;
        }
        if self.refused_until_ms <= now_ms {
            self.is_refused = !self.is_refused;
            self.refused_until_ms = now_ms + self.rng.random_range(1_000..20_000);
        }
        let expected = self.requests_in_s * STEP_MS as f64 / 1_000.0;
        let arriving = expected as u32 + u32::from(self.rng.random_bool(expected.fract()));
        let mut running = Vec::new();
        for (index, slot) in self.slots.iter().enumerate() {
            if slot.process.is_some() {
                running.push(index);
            }
        }
        let step = self.sent.len() - 1;
        self.sent[step] = arriving;
        for _ in 0..arriving {
            if running.is_empty() {
                break;
            }
            let index = running[self.rng.random_range(0..running.len())];
            let Some(process) = &mut self.slots[index].process else { continue };
            let is_frozen = process.frozen_until_ms > now_ms;
            process.queued += usize::from(!is_frozen || process.queued < QUEUE_MAX);
        }
        for slot in &mut self.slots {
            let Some(process) = &mut slot.process else { continue };
            if process.frozen_until_ms > now_ms {
                continue;
            }
            for _ in 0..std::mem::take(&mut process.queued) {
                process.budget.note_request(now_ms);
            }
            while self.is_refused && process.may_retry(now_ms) {
                self.retried[step] += 1;
            }
        }
    }

    /// Checks every window of the run.
    fn check(&self) {
        let sent = sums(&self.sent);
        let retried = sums(&self.retried);
        let steps = (WINDOW_MS / STEP_MS) as usize;
        for from in 0..sent.len() - steps {
            let mut requests = 0;
            for earlier in [0, steps / 2, steps] {
                let (first, end) = (from.saturating_sub(earlier), from + steps - earlier);
                requests = requests.max(sent[end] - sent[first]);
            }
            let allowed = f64::from(requests) * self.ratio + self.slack;
            let retries = retried[from + steps] - retried[from];
            let from_ms = from as u64 * STEP_MS;
            assert!(
                f64::from(retries) <= allowed,
                "{retries} retries, {allowed:.1} allowed in the window from {from_ms} ms"
            );
        }
    }
}

/// Prefix sums of `counts`: the total before each step.
fn sums(counts: &[u32]) -> Vec<u32> {
    let mut sums = vec![0];
    let mut sum = 0;
    for count in counts {
        sum += count;
        sums.push(sum);
    }
    sums
}

#[test]
fn retries_keep_the_common_budget_under_random_failures() {
    let seeds = std::env::var("WINCHVANE_SEEDS").ok().and_then(|text| text.parse().ok());
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    let mut retries = 0;
    for seed in 0..seeds {
        println!("seed {seed}");
        retries += u64::from(Simulation::new(seed).run());
    }
    assert!(retries > 200 * seeds, "the budget can be used: {retries} retries");
}
