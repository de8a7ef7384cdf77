//! State that programs stored before endpoints reported software versions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bincode::config::standard;
use winchvane::control::config::Config;
use winchvane::control::fleet::Fleet;
use winchvane::control::ledger::Ledger;
use winchvane::control::registry::Registry;
use winchvane::control::state::{Command, Operation, State};
use winchvane::message::RegisteredEndpoint;

/// A registration as it was stored: all fields but the software version.
type StoredEndpoint = (Arc<str>, Arc<str>, u64, Arc<str>, SocketAddr, Arc<str>, u32, bool);

fn registered(software_version: &str) -> RegisteredEndpoint {
    RegisteredEndpoint {
        id: "e-1@7".into(),
        name: "e-1".into(),
        born_ms: 7,
        service: "quotes".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: "a".into(),
        slots: 4,
        leaving: false,
        software_version: software_version.into(),
    }
}

fn stored() -> StoredEndpoint {
    let endpoint = registered("");
    let RegisteredEndpoint { id, name, born_ms, service, address, zone, slots, leaving, .. } =
        endpoint;
    (id, name, born_ms, service, address, zone, slots, leaving)
}

/// An older snapshot with one endpoint; `standings` follow the other fields if there are any.
fn snapshot(standings: &[u8]) -> Vec<u8> {
    let endpoints: BTreeMap<Arc<str>, StoredEndpoint> = [("e-1@7".into(), stored())].into();
    let empty = 0_u8;
    let before = (9_u64, Config::default(), Ledger::default(), Fleet::default());
    let routing: Option<u8> = None;
    let registry = (routing, endpoints, empty, empty, empty, empty);
    let mut bytes =
        bincode::serde::encode_to_vec((before, registry), standard()).expect("it is encoded");
    bytes.extend_from_slice(standings);
    bytes
}

fn only_endpoint(registry: &Registry) -> &RegisteredEndpoint {
    assert_eq!(registry.endpoints().len(), 1);
    registry.endpoints().values().next().expect("one endpoint")
}

/// Guards against replicas that cannot read what an older program stored, and lose it.
#[test]
fn older_snapshots_are_read() {
    for standings in [&[0][..], &[]] {
        let state = State::decode(&snapshot(standings)).expect("an older snapshot");
        assert_eq!(state.clock_ms(), 9);
        assert_eq!(only_endpoint(&state.registry), &registered(""));
        assert_eq!(state.registry.sole_software("quotes").map(|version| &**version), Some(""));
        let again = State::decode(&state.encode()).expect("a snapshot of its own");
        assert_eq!(only_endpoint(&again.registry), &registered(""));
    }
}

#[test]
fn older_registrations_in_the_log_are_read() {
    let operation = Operation::RegisterEndpoint(registered(""));
    let bytes = Command { now_ms: 5, operation }.encode();
    let older = &bytes[..bytes.len() - 1];
    let command = Command::decode(older).expect("an older command");
    let mut state = State::new();
    state.apply(1, command);
    assert_eq!(only_endpoint(&state.registry), &registered(""));
}

#[test]
fn other_bytes_are_refused() {
    let whole = snapshot(&[0]);
    assert!(State::decode(&whole[..whole.len() / 2]).is_err());
    let operation = Operation::RegisterEndpoint(registered("v1"));
    let bytes = Command { now_ms: 5, operation }.encode();
    assert!(Command::decode(&bytes[..bytes.len() - 2]).is_err());
}

/// Guards against a version that is taken for the only one while streams of another one may still be
/// resumed.
#[test]
fn a_version_is_remembered_until_it_is_forgotten_on_purpose() {
    let mut registry = Registry::default();
    registry.register(registered("v1"));
    let sole = |registry: &Registry| registry.sole_software("quotes").cloned();
    assert_eq!(sole(&registry), Some("v1".into()));
    let other = RegisteredEndpoint {
        id: "e-2".into(),
        name: "e-2".into(),
        address: ([127, 0, 0, 1], 9_001).into(),
        ..registered("v2")
    };
    registry.register(other);
    assert_eq!(sole(&registry), None);
    registry.deregister(&"e-1@7".into());
    assert_eq!(sole(&registry), None, "streams of v1 may still be resumed");
    registry.forget_software(vec![("quotes".into(), "v2".into())]);
    assert_eq!(sole(&registry), None, "v2 has an endpoint");
    registry.forget_software(vec![("quotes".into(), "v1".into())]);
    assert_eq!(sole(&registry), Some("v2".into()));
    assert_eq!(registry.sole_software("others"), None);
}
