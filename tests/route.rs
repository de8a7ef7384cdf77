//! Endpoint selection and the retry budget.

use std::sync::Arc;

use winchvane::message::{AdapterKey, Summary};
use winchvane::policy::retry::RetryBudget;
use winchvane::policy::route::Router;
use winchvane::settings::PolicySettings;

const PLACES: u32 = 4;

fn router(count: usize) -> Router {
    let mut router = Router::new(PolicySettings::default());
    for number in 0..count {
        let name: Arc<str> = format!("e{number}").into();
        let owner = format!("g{number}");
        router.put(&name, &"pool".into(), Some(owner.into()), 1, false, 1);
        router.observe(summary(number, 1, 0, &[]));
    }
    router
}

fn summary(number: usize, sequence: u64, running: u32, adapters: &[&str]) -> Summary {
    Summary {
        endpoint: format!("e{number}").into(),
        epoch: 1,
        sequence,
        healthy: true,
        adapters: Some(adapters.iter().map(|name| adapter(name)).collect()),
        running,
        queued: 0,
        places: PLACES,
        slots: 2,
        coldest_rate: 0.0,
    }
}

fn adapter(name: &str) -> AdapterKey {
    AdapterKey::new(name, 1)
}

fn chosen(router: &Router, name: &str) -> Option<String> {
    chosen_at(router, 0, name, &[])
}

fn chosen_at(router: &Router, now_ms: u64, name: &str, tried: &[Arc<str>]) -> Option<String> {
    router.choose(now_ms, "pool", Some(&adapter(name)), tried).map(|place| place.name.to_string())
}

#[test]
fn an_adapter_is_used_where_it_is_loaded() {
    let mut router = router(8);
    for number in 0..8 {
        router.observe(summary(number, 2, 0, &["a"]));
        assert_eq!(chosen(&router, "a"), Some(format!("e{number}")));
        router.observe(summary(number, 3, 0, &[]));
    }
}

#[test]
fn all_gateways_load_an_adapter_at_the_same_endpoint() {
    let (one, other) = (router(8), router(8));
    for number in 0..50 {
        let name = format!("adapter-{number}");
        assert_eq!(chosen(&one, &name), chosen(&other, &name));
    }
}

#[test]
fn requests_follow_the_first_one_before_any_summary() {
    let mut router = router(8);
    let first = chosen(&router, "a").expect("an endpoint");
    router.note_sent(&first, Some(&adapter("a")));
    // Another endpoint is emptier, but this one is already loading the adapter.
    assert_eq!(chosen(&router, "a"), Some(first));
}

#[test]
fn a_second_endpoint_is_used_only_when_the_first_is_overloaded() {
    let mut router = router(8);
    router.observe(summary(3, 2, PLACES, &["a"]));
    assert_eq!(chosen(&router, "a").as_deref(), Some("e3"));
    router.observe(summary(3, 3, PLACES * 4, &["a"]));
    assert_ne!(chosen(&router, "a").as_deref(), Some("e3"));
}

#[test]
fn endpoints_that_cannot_take_work_are_left_out() {
    let mut router = router(2);
    router.observe(summary(0, 2, 0, &["a"]));
    assert_eq!(chosen(&router, "a").as_deref(), Some("e0"));
    assert_eq!(chosen_at(&router, 0, "a", &["e0".into()]).as_deref(), Some("e1"), "tried");
    router.note_owner_down(0, "g0");
    assert_eq!(chosen(&router, "a").as_deref(), Some("e1"), "its owner does not answer");
    assert_eq!(chosen_at(&router, 1_000, "a", &[]).as_deref(), Some("e0"), "only for a while");
    router.put(&"e0".into(), &"pool".into(), Some("g0".into()), 1, true, 1);
    assert_eq!(chosen_at(&router, 1_000, "a", &[]).as_deref(), Some("e1"), "leaving");
    router.observe(Summary { healthy: false, ..summary(1, 2, 0, &[]) });
    assert_eq!(chosen_at(&router, 1_000, "a", &[]), None, "none is left");
    router.remove("e1");
    router.put(&"e0".into(), &"pool".into(), None, 2, false, 1);
    assert_eq!(chosen_at(&router, 1_000, "a", &[]), None, "nobody owns it");
    assert_eq!(router.choose(0, "other", None, &[]).map(|place| place.epoch), None);
}

#[test]
fn old_summaries_change_nothing() {
    let mut router = router(8);
    router.observe(summary(3, 5, 0, &["a"]));
    router.observe(summary(3, 4, 0, &[]));
    assert_eq!(chosen(&router, "a").as_deref(), Some("e3"));
    // A new owner restarts the sequence, and summaries of the old owner are ignored.
    router.put(&"e3".into(), &"pool".into(), Some("g1".into()), 2, false, 1);
    router.observe(Summary { epoch: 2, ..summary(3, 1, 0, &["b"]) });
    router.observe(summary(3, 6, 0, &["a"]));
    assert_eq!(chosen(&router, "b").as_deref(), Some("e3"));
}

#[test]
fn plain_services_go_to_the_least_loaded() {
    let mut router = router(3);
    for (number, running) in [(0, 3), (1, 1), (2, 2)] {
        router.observe(summary(number, 2, running, &[]));
    }
    let settings = PolicySettings { batch_efficiency_weight: 0.0, ..PolicySettings::default() };
    let mut plain = Router::new(settings);
    for number in 0..3 {
        let name: Arc<str> = format!("e{number}").into();
        plain.put(&name, &"pool".into(), Some("g".into()), 1, false, 4);
    }
    for name in ["e0", "e0", "e2"] {
        plain.note_sent(name, None);
    }
    assert_eq!(plain.choose(0, "pool", None, &[]).map(|place| &*place.name), Some("e1"));
    plain.note_ended("e0");
    plain.note_ended("e0");
    plain.note_sent("e1", None);
    assert_eq!(plain.choose(0, "pool", None, &[]).map(|place| &*place.name), Some("e0"));
}

#[test]
fn retries_are_a_fraction_of_the_requests() {
    let mut budget = RetryBudget::new(0.2, 5.0);
    let burst = (0..20).filter(|_| budget.take()).count();
    assert_eq!(burst, 5);
    for _ in 0..100 {
        budget.note_request();
    }
    let allowed = (0..100).filter(|_| budget.take()).count();
    assert_eq!(allowed, 5, "unused retries do not add up beyond the burst");
    let mut taken = 0;
    for _ in 0..1_000 {
        budget.note_request();
        taken += usize::from(budget.take());
    }
    assert!((199..=201).contains(&taken), "{taken}");
}
