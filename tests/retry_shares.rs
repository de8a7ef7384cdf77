//! The common slack of retries is not shared out twice: most gateways are cut off from control with all that
//! they may save up, and the others start anew and are told of themselves only.

use winchvane::relay::{GatewayCount, RetryBudget};

const RATIO: f64 = 0.2;
const SLACK: f64 = 54.0;
const WINDOW_MS: u64 = 10_000;
const GATEWAYS: u32 = 7;
/// Between two requests at one gateway, and between two renewals.
const REQUEST_MS: u64 = 32;
const RENEW_MS: u64 = 320;
/// Gateways are cut off or start anew at this time.
const TROUBLE_MS: u64 = 20_000;
/// Every retry that can be had is taken from here on.
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
            self.count.confirmed(sent_at_ms);
        }
    }

    /// Takes all that can be had in a window in which it reads requests or does not.
    fn take_all(&mut self, is_asked: bool) -> u32 {
        let mut retries = 0;
        for now_ms in (REFUSED_FROM_MS..REFUSED_FROM_MS + WINDOW_MS).step_by(REQUEST_MS as usize) {
            if is_asked {
                self.budget.note_request(now_ms);
            }
            while self.count.most(now_ms).is_some_and(|most| self.budget.take(now_ms, most)) {
                retries += 1;
            }
        }
        retries
    }
}

/// What gateways take that were told of all seven, and all requests that are read in the window.
fn play(cut_off: usize, started: u32) -> (u32, u32) {
    let mut retries = 0;
    for _ in 0..cut_off {
        let mut gateway = Gateway::new();
        gateway.count.told(0, GATEWAYS);
        gateway.follow(0, TROUBLE_MS);
        gateway.read_requests(0, TROUBLE_MS);
        retries += gateway.take_all(false);
    }
    let mut requests = 0;
    for _ in 0..started {
        let mut gateway = Gateway::new();
        for known in 1..=started {
            gateway.count.told(TROUBLE_MS, known);
        }
        gateway.follow(TROUBLE_MS, REFUSED_FROM_MS);
        requests += gateway.read_requests(TROUBLE_MS, REFUSED_FROM_MS);
        retries += gateway.take_all(true);
    }
    (retries, requests)
}

#[test]
fn gateways_that_start_while_others_are_cut_off_add_nothing_to_the_slack() {
    for started in 1..GATEWAYS {
        let (retries, requests) = play((GATEWAYS - started) as usize, started);
        let in_window = f64::from(started) * (WINDOW_MS / REQUEST_MS) as f64;
        let allowed = in_window.max(f64::from(requests)) * RATIO + SLACK;
        assert!(f64::from(retries) <= allowed, "{started} start: {retries} of {allowed}");
    }
}
