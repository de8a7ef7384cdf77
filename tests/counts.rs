//! Tests of how loads are summed and how often they are reported.

use std::collections::BTreeMap;
use std::sync::Arc;

use winchvane::control::counts::Counts;
use winchvane::control::distribution::hello;
use winchvane::control::outbox::outbox;
use winchvane::control::session::Session;
use winchvane::message::{EndpointLoad, Load};
use winchvane::policy::counts::{is_worth_reporting, period_ms};

fn session() -> Session {
    let address = ([127, 0, 0, 1], 9).into();
    Session::new(0, hello("g".into(), 1, "a".into(), address), outbox(u64::MAX).0)
}

fn running(endpoint: &str, running: u32) -> EndpointLoad {
    EndpointLoad { endpoint: endpoint.into(), load: Load { running, ..Load::default() } }
}

/// Returns the running requests in the sums that are due, by endpoint.
fn due(counts: &mut Counts, now_ms: u64, sessions: &[Session]) -> BTreeMap<String, u32> {
    let other_endpoints: [Arc<str>; 0] = [];
    let mut due = BTreeMap::new();
    for (endpoint, load) in counts.totals(now_ms, sessions.iter(), other_endpoints.iter()) {
        due.insert(endpoint.to_string(), load.running);
    }
    due
}

#[test]
fn only_changed_loads_are_summed_between_full_sums() {
    let mut counts = Counts::new();
    let mut sessions = [session(), session()];
    counts.update(&mut sessions[0], vec![running("e1", 1), running("e2", 2)]);
    counts.update(&mut sessions[1], vec![running("e1", 4)]);
    let all = BTreeMap::from([("e1".to_owned(), 5), ("e2".to_owned(), 2)]);
    assert_eq!(due(&mut counts, 0, &sessions), all);
    counts.update(&mut sessions[1], vec![running("e1", 0)]);
    assert_eq!(due(&mut counts, 60, &sessions), BTreeMap::from([("e1".to_owned(), 1)]));
    assert!(due(&mut counts, 120, &sessions).is_empty());
    assert_eq!(
        due(&mut counts, 1_000, &sessions).len(),
        2,
        "all endpoints are summed periodically"
    );
}

#[test]
fn loads_of_an_ended_session_are_dropped() {
    let mut counts = Counts::new();
    let mut sessions = vec![session(), session()];
    counts.update(&mut sessions[1], vec![running("e1", 4)]);
    due(&mut counts, 0, &sessions);
    let ended = sessions.pop().expect("there are two sessions");
    counts.mark_session_ended(&ended);
    assert_eq!(due(&mut counts, 60, &sessions), BTreeMap::from([("e1".to_owned(), 0)]));
    // Loads are dropped also when the end of their session was not reported.
    let mut sessions = vec![session(), session()];
    counts.update(&mut sessions[1], vec![running("e3", 4)]);
    due(&mut counts, 1_000, &sessions);
    sessions.pop();
    assert_eq!(due(&mut counts, 2_000, &sessions).get("e3"), Some(&0));
    assert_eq!(due(&mut counts, 3_000, &sessions).get("e3"), None);
}

#[test]
fn reporting_period_grows_with_the_number_of_gateways() {
    assert_eq!(period_ms(0), 40);
    assert_eq!(period_ms(6), 40);
    assert_eq!(period_ms(75), 105);
    assert_eq!(period_ms(740), 200);
    for gateways in 1..140 {
        assert!(gateways as u64 * 1_000 / period_ms(gateways) <= 740, "{gateways} gateways");
    }
}

#[test]
fn insignificant_load_differences_are_not_reported() {
    let load =
        |running, waiting_ms, late_ms| Load { running, waiting_ms, late_ms, ..Load::default() };
    assert!(!is_worth_reporting(load(3, 100, 0), load(3, 100, 0)));
    assert!(!is_worth_reporting(load(3, 100, 0), load(4, 112, 5)));
    assert!(is_worth_reporting(load(3, 100, 0), load(5, 100, 0)));
    assert!(is_worth_reporting(load(3, 100, 0), load(3, 80, 0)));
    assert!(is_worth_reporting(load(3, 100, 40), load(3, 100, 0)));
}
