//! Validity and freshness of the gateway's lease, by the gateway's own clock.

use winchvane::gateway::lease::Lease;
use winchvane::settings::LeaseSettings;

const SETTINGS: LeaseSettings =
    LeaseSettings { renew_ms: 500, lease_ms: 2_500, margin_ms: 300, freshness_ms: 5_000 };
const HOUR_MS: u64 = 3_600_000;

fn renew_and_confirm(lease: &Lease, sent_at_ms: u64) {
    lease.renew(sent_at_ms);
    lease.confirm(sent_at_ms);
}

#[test]
fn a_lease_counts_from_the_sending_less_a_margin() {
    let lease = Lease::new(SETTINGS);
    lease.register(7);
    assert!(!lease.is_valid(0) && !lease.is_fresh(0), "nothing is confirmed yet");
    renew_and_confirm(&lease, 1_000);
    assert!(lease.is_valid(3_199) && !lease.is_valid(3_200));
    assert!(lease.is_fresh(5_999) && !lease.is_fresh(6_000));
}

#[test]
fn late_confirmations_shorten_nothing() {
    let lease = Lease::new(SETTINGS);
    renew_and_confirm(&lease, 2_000);
    renew_and_confirm(&lease, 1_000);
    assert!(lease.is_valid(4_199) && lease.is_fresh(6_999));
}

#[test]
fn a_gateway_cut_off_for_an_hour_neither_admits_nor_sends_until_confirmed_anew() {
    let lease = Lease::new(SETTINGS);
    lease.register(7);
    renew_and_confirm(&lease, 1_000);
    for now_ms in [6_000, 60_000, HOUR_MS] {
        assert!(!lease.is_valid(now_ms) && !lease.is_fresh(now_ms));
    }
    // A new registration alone does not start the lease.
    lease.register(8);
    assert!(!lease.is_valid(HOUR_MS));
    renew_and_confirm(&lease, HOUR_MS);
    assert!(lease.is_valid(HOUR_MS + 1) && lease.is_fresh(HOUR_MS + 1));
}

#[test]
fn an_expired_lease_is_invalid_even_before_its_time() {
    let lease = Lease::new(SETTINGS);
    renew_and_confirm(&lease, 1_000);
    lease.expire();
    assert!(!lease.is_valid(1_001));
    // Requests may still be admitted and forwarded to endpoints that other gateways own.
    assert!(lease.is_fresh(1_001));
}

#[test]
fn a_missed_confirmation_is_waited_for_once() {
    let lease = Lease::new(SETTINGS);
    renew_and_confirm(&lease, 1_000);
    // A process that was suspended notices the missing confirmation late; the wait counts from then.
    assert_eq!(lease.note_missing_confirmation(60_000), 60_500);
    assert_eq!(
        lease.note_missing_confirmation(60_400),
        60_500,
        "the same confirmation is still missing"
    );
    assert!(
        lease.note_missing_confirmation(70_000) < 70_000,
        "the wait is over: requests are refused at once"
    );
    renew_and_confirm(&lease, 70_000);
    assert_eq!(
        lease.note_missing_confirmation(80_000),
        80_500,
        "the wait starts again for the next confirmation"
    );
}
