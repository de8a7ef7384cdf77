//! The gateway's directory: lookup of services by name and by adapter, and full replacement.

use winchvane::gateway::directory::Directory;
use winchvane::message::{AdapterKey, Change, NotRepeatable, Priority, Service};

fn service(name: &str, adapter: &str) -> Change {
    Change::Service(Service {
        name: name.into(),
        workspace: "w".into(),
        pool: "p".into(),
        adapter: AdapterKey::parse(adapter),
        priority: Priority::Standard,
        deadline_ms: 1,
        max_tokens: 1,
        not_repeatable: NotRepeatable::None,
    })
}

#[test]
fn an_adapter_is_found_while_any_service_has_it() {
    let mut directory = Directory::new();
    let adapter = AdapterKey::new("shop", 1);
    for name in ["one", "two", "three"] {
        directory.apply(service(name, "shop@1"));
    }
    for (name, left) in [("two", true), ("one", true), ("three", false)] {
        assert!(directory.service_of(&adapter).is_some());
        directory.apply(Change::ServiceRetired(name.into()));
        assert!(directory.service(name).is_none());
        assert_eq!(directory.service_of(&adapter).is_some(), left, "after {name}");
    }
}

#[test]
fn a_changed_service_has_its_new_adapter_only() {
    let mut directory = Directory::new();
    directory.apply(service("one", "shop@1"));
    directory.apply(service("one", "shop@2"));
    assert!(directory.service_of(&AdapterKey::new("shop", 1)).is_none());
    assert!(directory.service_of(&AdapterKey::new("shop", 2)).is_some());
    assert_eq!(directory.services().len(), 1);
}

/// Guards against 404 for services in force: a gateway that was far behind receives a full replacement
/// in parts and once applied each part at once, while it admitted requests.
#[test]
fn a_full_replacement_takes_effect_only_once_it_is_complete() {
    let mut directory = Directory::new();
    directory.follow(5, true, true, vec![service("one", "a@1"), service("two", "b@1")]);
    directory.follow(9, true, false, vec![service("three", "c@1")]);
    assert!(directory.service("one").is_some() && directory.service("three").is_none());
    assert_eq!(directory.index(), 5);
    directory.follow(9, false, true, vec![service("two", "b@2")]);
    let names: Vec<bool> =
        ["one", "two", "three"].map(|name| directory.service(name).is_some()).to_vec();
    assert_eq!(names, [false, true, true]);
    assert_eq!(directory.index(), 9);
    // A full replacement that its session did not complete has no effect.
    directory.follow(12, true, false, vec![service("four", "d@1")]);
    directory.drop_staged();
    directory.follow(10, false, true, vec![service("five", "e@1")]);
    assert!(directory.service("two").is_some() && directory.service("four").is_none());
}
