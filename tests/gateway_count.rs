//! The number of gateways that share the slack of a retry budget.

use winchvane::relay::{GatewayCount, NO_SHARE};
use yare::parameterized;

const WINDOW_MS: u64 = 10_000;

/// The send times of the first and the last of a series of confirmed renewals.
struct InTouch(u64, u64);

/// Returns the count after the leader sent the numbers `told` and confirmed the renewals
/// `in_touch`.
fn most(told: &[(u64, u32)], in_touch: &[InTouch], now_ms: u64) -> Option<u32> {
    let mut count = GatewayCount::new(WINDOW_MS);
    for &(at_ms, gateways) in told {
        count.set_reported(at_ms, gateways);
    }
    for InTouch(first_ms, last_ms) in in_touch {
        for sent_at_ms in (*first_ms..=*last_ms).step_by(100) {
            count.note_confirmed(sent_at_ms);
        }
    }
    count.divisor(now_ms)
}

#[parameterized(
    nothing_was_told = { &[], 30_000, None },
    one_number = { &[(0, 7)], 60_000, Some(7) },
    fewer_count_not_at_once = { &[(0, 7), (20_000, 4)], 30_000, Some(7) },
    fewer_count_after_a_window = { &[(0, 7), (20_000, 4)], 30_001, Some(4) },
    more_count_at_once = { &[(0, 4), (20_000, 7)], 20_000, Some(7) },
    a_new_leader_tells_them_one_by_one = {
        &[(0, 7), (20_000, 1), (20_010, 2), (20_020, 3), (20_050, 6)], 30_005, Some(6)
    },
    a_smaller_peak_outlasts_a_larger_one = {
        &[(0, 9), (1_000, 6), (5_000, 8), (6_000, 2)], 15_500, Some(8)
    },
    the_last_peak_ends_too = { &[(0, 9), (1_000, 6), (5_000, 8), (6_000, 2)], 16_001, Some(2) },
)]
fn the_most_of_the_last_window_count(told: &[(u64, u32)], now_ms: u64, expected: Option<u32>) {
    assert_eq!(most(told, &[InTouch(0, now_ms)], now_ms), expected);
}

#[parameterized(
    nobody_confirmed_anything = { &[], 30_000, NO_SHARE },
    it_has_just_started = { &[InTouch(20_000, 29_900)], 29_900, NO_SHARE },
    it_has_followed_for_a_window = { &[InTouch(20_000, 30_000)], 30_000, 7 },
    it_was_cut_off_for_less_than_a_window = { &[InTouch(0, 20_000), InTouch(29_000, 31_000)], 31_000, 7 },
    it_is_cut_off_for_a_window = { &[InTouch(0, 20_000)], 30_000, 7 },
    it_is_cut_off_for_more = { &[InTouch(0, 20_000)], 30_001, NO_SHARE },
    it_is_back_after_more = { &[InTouch(0, 20_000), InTouch(31_000, 40_000)], 40_000, NO_SHARE },
    it_has_been_back_for_a_window = { &[InTouch(0, 20_000), InTouch(31_000, 41_000)], 41_000, 7 },
)]
fn a_share_needs_a_window_in_touch(in_touch: &[InTouch], now_ms: u64, expected: u32) {
    assert_eq!(most(&[(0, 7)], in_touch, now_ms), Some(expected));
}

#[test]
fn an_older_confirmation_takes_nothing_back() {
    let told = &[(0, 3)];
    let in_touch = &[InTouch(0, 20_000), InTouch(1_000, 1_000)];
    assert_eq!(most(told, in_touch, 25_000), Some(3));
}
