//! How long each version of updated weights may be used.

use winchvane::message::WeightsName;
use winchvane::policy::versions::Versions;

fn name() -> WeightsName {
    WeightsName::new("base", Some("shop"))
}

#[test]
fn each_version_becomes_due_by_its_own_age() {
    let mut versions = Versions::new(1_000);
    assert_eq!(versions.known_version(0, &name()), None);
    versions.record(100, name(), 2);
    versions.record(600, name(), 5);
    versions.record(700, name(), 4);
    let due: Vec<u64> = [1_099, 1_100, 1_599, 1_600].map(|at| versions.due(at, &name())).into();
    assert_eq!(due, [0, 2, 2, 5], "a version older than the newest changes nothing");
    assert_eq!(versions.known_version(900, &name()).map(|known| known.known_for_ms), Some(300));
}

#[test]
fn a_version_that_is_due_stays_due_when_a_newer_one_is_named() {
    let mut versions = Versions::new(1_000);
    versions.record(0, name(), 2);
    assert_eq!(versions.due(1_500, &name()), 2);
    versions.record(4_500, name(), 3);
    assert_eq!(versions.due(4_500, &name()), 2, "version 1 stays unusable");
}

#[test]
fn a_version_of_unknown_age_is_due_at_once_and_a_known_one_keeps_its_age() {
    let mut versions = Versions::new(1_000);
    versions.record(100, name(), 2);
    versions.record_with_unknown_age(500, name(), 2);
    assert_eq!(versions.due(500, &name()), 0, "the repeated version keeps its age");
    versions.record_with_unknown_age(600, name(), 3);
    assert_eq!(versions.due(600, &name()), 3);
}

#[test]
fn frequent_versions_become_due_on_time_and_use_bounded_memory() {
    let mut versions = Versions::new(1_000);
    let mut named = Vec::new();
    for now_ms in 0..5_000 {
        versions.record(now_ms, name(), now_ms + 2);
        named.push((now_ms, now_ms + 2));
        let mut old_enough = 0;
        for (at_ms, version) in &named {
            if at_ms + 1_000 <= now_ms {
                old_enough = *version;
            }
        }
        assert!(versions.due(now_ms, &name()) >= old_enough, "at {now_ms} ms");
        let kept = format!("{versions:?}").matches("due_at_ms").count();
        assert!(kept <= 9, "{kept} versions are kept at {now_ms} ms");
    }
}

#[test]
fn frequent_versions_become_due_only_slightly_early() {
    for (usable_ms, every_ms) in [(1_000, 1), (1_250, 100), (3_500, 100), (3_500, 400)] {
        let mut versions = Versions::new(usable_ms);
        for now_ms in 0..20_000 {
            if now_ms % every_ms == 0 {
                versions.record(now_ms, name(), now_ms + 2);
            }
            let due = versions.due(now_ms, &name());
            let age_ms = now_ms + 2 - due;
            assert!(
                due == 0 || age_ms >= usable_ms * 7 / 8,
                "every {every_ms} ms: due {age_ms} ms after it was named, {usable_ms} are allowed"
            );
        }
    }
}
