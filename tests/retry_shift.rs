//! The retry budget when the traffic of a service moves from one gateway to another.

use winchvane::relay::RetryBudget;

const RATIO: f64 = 0.2;
const SLACK: f64 = 20.0;
const WINDOW_MS: u64 = 10_000;
const REQUEST_MS: u64 = 10;
/// When the traffic moves and endpoints begin to refuse.
const MOVED_MS: u64 = 30_000;

fn take_all(budget: &mut RetryBudget, now_ms: u64) -> usize {
    std::iter::from_fn(|| budget.take(now_ms, 2).then_some(())).count()
}

/// Guards against a budget that counts the same requests' retries twice: those that one gateway has
/// saved up for the requests of the previous window, and those that another earns in this one.
#[test]
fn traffic_that_moves_to_another_gateway_keeps_the_common_budget() {
    let mut left = RetryBudget::new(RATIO, SLACK, WINDOW_MS);
    let mut entered = RetryBudget::new(RATIO, SLACK, WINDOW_MS);
    for now_ms in (0..MOVED_MS).step_by(REQUEST_MS as usize) {
        left.note_request(now_ms);
    }
    let mut retries = take_all(&mut left, MOVED_MS);
    for now_ms in (MOVED_MS..MOVED_MS + WINDOW_MS).step_by(REQUEST_MS as usize) {
        entered.note_request(now_ms);
        retries += take_all(&mut entered, now_ms);
    }
    let requests = WINDOW_MS / REQUEST_MS;
    let allowed = requests as f64 * RATIO + SLACK;
    assert!(retries as f64 <= allowed, "{retries} of {allowed}");
}
