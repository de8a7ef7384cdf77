//! What is remembered of the software versions at which streams began.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use winchvane::control::registry::Registry;
use winchvane::control::software::{SoftwareVersions, UnusedSoftware};
use winchvane::message::{BegunStreams, RegisteredEndpoint, StreamKey, StreamOrigin};
use winchvane::policy::stream_origins::{StreamOrigins, group_by_origin, merge_by_origin};
use winchvane::routing::RoutingConfiguration;

/// Longer than a stream is remembered at most.
const LONG_MS: u64 = 61_000;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: "s".into(), software_version: version.into() }
}

fn key(attempt: &str) -> StreamKey {
    StreamKey::new(None, attempt)
}

fn begun(version: &str, attempts: &[&str]) -> BegunStreams {
    let streams = attempts.iter().map(|attempt| key(attempt)).collect();
    BegunStreams { origin: origin(version), streams }
}

#[test]
fn a_stream_of_another_workspace_is_another_stream() {
    let keys = [
        StreamKey::new(None, "a"),
        StreamKey::new(Some("w"), "a"),
        StreamKey::new(Some("wa"), ""),
        StreamKey::new(Some("v"), "a"),
        StreamKey::new(None, "b"),
    ];
    assert_eq!(keys.iter().collect::<BTreeSet<_>>().len(), keys.len());
}

#[test]
fn a_stream_is_known_for_a_while_after_it_began_or_was_continued() {
    let mut origins = StreamOrigins::new();
    origins.record(0, &begun("v1", &["a", "b"]));
    origins.record(29_000, &begun("v1", &["c"]));
    assert_eq!(origins.get(&key("a")), Some(&origin("v1")));
    origins.record(31_000, &begun("v1", &["b"]));
    assert_eq!(origins.get(&key("a")), Some(&origin("v1")), "at least 30 s");
    origins.record(LONG_MS, &begun("v2", &["d"]));
    assert_eq!(origins.get(&key("a")), None);
    assert_eq!(origins.get(&key("b")), Some(&origin("v1")), "it was continued");
    assert_eq!(origins.get(&key("d")), Some(&origin("v2")));
}

/// Guards against a client that uses an id again: its stream of the other version is not taken for
/// the first one.
#[test]
fn an_id_that_was_used_at_two_versions_is_unknown() {
    let mut origins = StreamOrigins::new();
    origins.record(0, &begun("v1", &["a"]));
    origins.record(1, &begun("v2", &["a"]));
    assert_eq!(origins.get(&key("a")), None);
    origins.record(2, &begun("v1", &["a"]));
    assert_eq!(origins.get(&key("a")), None);
    assert!(origins.all().iter().all(|begun| begun.streams.is_empty()));
}

/// Guards against a stream of one service that is taken for one of another service with the same version
/// names.
#[test]
fn versions_of_the_same_name_of_two_services_are_different() {
    let of_service = |service: &str, attempts: &[&str]| BegunStreams {
        origin: StreamOrigin { service: service.into(), software_version: "v1".into() },
        streams: attempts.iter().map(|attempt| key(attempt)).collect(),
    };
    let (first, second) = (of_service("s", &["a"]), of_service("t", &["b"]));
    let mut origins = StreamOrigins::new();
    for begun in merge_by_origin(vec![first.clone(), second.clone()]) {
        origins.record(0, &begun);
    }
    assert_eq!(origins.get(&key("a")), Some(&first.origin));
    assert_eq!(origins.get(&key("b")), Some(&second.origin));
    origins.record(1, &of_service("t", &["a"]));
    assert_eq!(origins.get(&key("a")), None, "an id that was used at two services");
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut origins = StreamOrigins::new();
    for number in 0..1_200_000_u32 {
        let streams = vec![key(&number.to_string())];
        origins.record(0, &BegunStreams { origin: origin("v1"), streams });
    }
    assert!(origins.len() <= 1_000_000, "{}", origins.len());
    assert!(origins.get(&key("1199999")).is_some());
    assert!(origins.get(&key("0")).is_none());
}

#[test]
fn all_that_is_known_can_be_told_again() {
    let mut origins = StreamOrigins::new();
    origins.record(0, &begun("v1", &["a"]));
    origins.record(40_000, &begun("v2", &["b", "c"]));
    let mut other = StreamOrigins::new();
    for begun in origins.all() {
        other.record(0, &begun);
    }
    assert_eq!(other.len(), 3);
    assert_eq!(other.get(&key("a")), Some(&origin("v1")));
    assert_eq!(other.get(&key("c")), Some(&origin("v2")));
}

#[test]
fn messages_name_each_origin_once() {
    let streams =
        vec![(key("a"), origin("v2")), (key("b"), origin("v1")), (key("c"), origin("v2"))];
    let grouped = group_by_origin(streams);
    assert_eq!(grouped, [begun("v1", &["b"]), begun("v2", &["a", "c"])]);
    let merged = merge_by_origin([grouped, vec![begun("v1", &["d"])]].concat());
    assert_eq!(merged, [begun("v1", &["b", "d"]), begun("v2", &["a", "c"])]);
}

fn endpoint(version: &str) -> RegisteredEndpoint {
    endpoint_of("s", version, 1)
}

fn endpoint_of(service: &str, version: &str, port: u16) -> RegisteredEndpoint {
    let id: Arc<str> = format!("{service}-{version}").into();
    RegisteredEndpoint {
        id: id.clone(),
        name: id,
        born_ms: 0,
        service: service.into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        slots: 1,
        leaving: false,
        software_version: version.into(),
    }
}

#[test]
fn a_version_is_forgotten_once_it_had_no_endpoint_for_long() {
    let versions: BTreeSet<Arc<str>> = ["v1".into(), "v2".into()].into();
    let remembered: SoftwareVersions = BTreeMap::from([("s".into(), versions)]);
    let mut unused = UnusedSoftware::new();
    let both = [endpoint("v1"), endpoint("v2")];
    let mut take = |now_ms, endpoints: &[RegisteredEndpoint]| {
        let routing: Option<&RoutingConfiguration> = None;
        unused.take(now_ms, &remembered, endpoints.iter(), routing)
    };
    assert_eq!(take(0, &both), []);
    assert_eq!(take(100_000, &both[1..]), []);
    assert_eq!(take(150_000, &both[1..]), []);
    assert_eq!(take(155_000, &both), [], "it is used again");
    assert_eq!(take(156_000, &both[1..]), []);
    assert_eq!(take(215_000, &both[1..]), []);
    assert_eq!(take(216_000, &both[1..]), [("s".into(), "v1".into())]);
}

/// Guards against a version that is kept, or taken for the only one, because another service uses its
/// name.
#[test]
fn a_version_is_in_use_by_its_own_service_only() {
    let mut registry = Registry::default();
    let endpoints =
        [endpoint_of("s", "v1", 1), endpoint_of("s", "v2", 2), endpoint_of("t", "v1", 3)];
    for endpoint in endpoints.clone() {
        registry.register(endpoint);
    }
    let sole = |registry: &Registry, service| registry.sole_software(service).cloned();
    assert_eq!(sole(&registry, "s"), None);
    assert_eq!(sole(&registry, "t"), Some("v1".into()));
    registry.deregister(&endpoints[0].id);
    let mut unused = UnusedSoftware::new();
    let mut take = |now_ms, registry: &Registry| {
        unused.take(now_ms, registry.software(), registry.endpoints().values(), None)
    };
    assert_eq!(take(0, &registry), []);
    let forgotten = take(60_000, &registry);
    assert_eq!(forgotten, [("s".into(), "v1".into())]);
    registry.forget_software(forgotten);
    assert_eq!(sole(&registry, "s"), Some("v2".into()));
    assert_eq!(sole(&registry, "t"), Some("v1".into()), "its own endpoint uses it");
}
