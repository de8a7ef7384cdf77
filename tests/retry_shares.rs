//! The common slack of the retry budget is not handed out twice: most gateways are cut off from
//! control with all the tokens that they can save up, while the others restart and learn only of
//! each other.

use winchvane::relay::{GatewayCount, RetryBudget};

const RATIO: f64 = 0.2;
const SLACK: f64 = 54.0;
const WINDOW_MS: u64 = 10_000;
const GATEWAYS: u32 = 7;
/// The time between two requests at one gateway, and below between two renewals.
const REQUEST_MS: u64 = 32;
const RENEW_MS: u64 = 320;
/// The time at which gateways are cut off or restart.
const FAULT_MS: u64 = 20_000;
/// Endpoints refuse from this time on, and every available retry is taken.
const REFUSED_FROM_MS: u64 = 29_500;

struct Gateway {
    budget: RetryBudget,
    count: GatewayCount,
}

impl Gateway {
    fn new() -> Self {
        Self {
            budget: RetryBudget::new(RATIO, SLACK, WINDOW_MS),
            count: GatewayCount::new(WINDOW_MS),
        }
    }

    fn read_requests(&mut self, from_ms: u64, until_ms: u64) -> u32 {
        let mut requests = 0;
        for now_ms in (from_ms..until_ms).step_by(REQUEST_MS as usize) {
            self.budget.note_request(now_ms);
            requests += 1;
        }
        requests
    }

    fn follow(&mut self, from_ms: u64, until_ms: u64) {
        for sent_at_ms in (from_ms..until_ms).step_by(RENEW_MS as usize) {
            self.count.note_confirmed(sent_at_ms);
        }
    }

    /// Takes every available retry in one window, in which the gateway reads requests or does not.
    fn take_all(&mut self, reads_requests: bool) -> u32 {
        let mut retries = 0;
        for now_ms in (REFUSED_FROM_MS..REFUSED_FROM_MS + WINDOW_MS).step_by(REQUEST_MS as usize) {
            if reads_requests {
                self.budget.note_request(now_ms);
            }
            while self.count.divisor(now_ms).is_some_and(|most| self.budget.take(now_ms, most)) {
                retries += 1;
            }
        }
        retries
    }
}

/// Returns the retries of all gateways, and the requests of the restarted ones. Those that are cut
/// off know of all seven gateways.
fn simulate(cut_off: usize, started: u32) -> (u32, u32) {
    let mut retries = 0;
    for _ in 0..cut_off {
        let mut gateway = Gateway::new();
        gateway.count.set_reported(0, GATEWAYS);
        gateway.follow(0, FAULT_MS);
        gateway.read_requests(0, FAULT_MS);
        retries += gateway.take_all(false);
    }
    let mut requests = 0;
    for _ in 0..started {
        let mut gateway = Gateway::new();
        for known in 1..=started {
            gateway.count.set_reported(FAULT_MS, known);
        }
        gateway.follow(FAULT_MS, REFUSED_FROM_MS);
        requests += gateway.read_requests(FAULT_MS, REFUSED_FROM_MS);
        retries += gateway.take_all(true);
    }
    (retries, requests)
}

#[test]
fn gateways_that_start_while_others_are_cut_off_add_nothing_to_the_slack() {
    for started in 1..GATEWAYS {
        let (retries, requests) = simulate((GATEWAYS - started) as usize, started);
        let in_window = f64::from(started) * (WINDOW_MS / REQUEST_MS) as f64;
        let allowed = in_window.max(f64::from(requests)) * RATIO + SLACK;
        assert!(f64::from(retries) <= allowed, "{started} start: {retries} of {allowed}");
    }
}
