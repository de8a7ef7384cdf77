//! How often counts of what is under way are told.

use winchvane::policy::counts::period_ms;

#[test]
fn few_gateways_tell_counts_often_and_many_do_not_flood_the_leader() {
    assert_eq!(period_ms(0), 40);
    assert_eq!(period_ms(6), 40);
    assert_eq!(period_ms(75), 105);
    assert_eq!(period_ms(740), 200);
    for gateways in 1..140 {
        assert!(gateways as u64 * 1_000 / period_ms(gateways) <= 740, "{gateways} gateways");
    }
}
