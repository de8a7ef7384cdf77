//! What a gateway has followed: services by name and by adapter.

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
