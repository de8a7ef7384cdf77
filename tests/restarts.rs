//! The leader's handling of endpoints that restart under their name.

mod common;

use std::sync::Arc;

use ractor::RpcReplyPort;
use winchvane::control::raft::Timing;
use winchvane::control::replica::Replica;
use winchvane::control::state::State;
use winchvane::message::{
    ControlReply, ControlRequest, EndpointEnd, Heartbeat, RegisteredEndpoint,
};
use winchvane::routing::{RoutingConfiguration, ServiceSpec};

/// Longer than two heartbeat periods and a late heartbeat.
const SILENCE_MS: u64 = 4_500;

/// A leader of a group of one, with its clock.
struct Leader {
    replica: Replica,
    now_ms: u64,
}

impl Leader {
    fn new() -> Self {
        Self::with_state(State::new())
    }

    /// The next leader, which knows only the committed state.
    fn next(&self) -> Self {
        Self::with_state(self.replica.state().clone())
    }

    fn with_state(state: State) -> Self {
        let address = ([127, 0, 0, 1], 9).into();
        let replica = common::replica::alone_with(state, address, Timing::default(), 0);
        let mut leader = Self { replica, now_ms: 0 };
        while !leader.replica.is_leading() {
            leader.pass(50);
        }
        leader
    }

    /// Advances the clock, then stores and applies the output.
    fn pass(&mut self, duration_ms: u64) {
        self.now_ms += duration_ms;
        self.replica.tick(self.now_ms, self.now_ms);
        loop {
            let mut output = self.replica.raft.take_output(self.now_ms);
            let is_idle = !output.must_store() && output.committed.is_empty();
            self.replica.raft.mark_persisted(self.replica.raft.last_index());
            self.replica.apply(&mut output).expect("entries are readable");
            self.replica.check_leadership(self.now_ms, self.now_ms);
            if is_idle {
                return;
            }
        }
    }

    fn call(&mut self, request: ControlRequest) {
        let (reply, _) = ractor::concurrency::oneshot::<ControlReply>();
        let reply = RpcReplyPort::from(reply).into();
        self.replica.call(self.now_ms, self.now_ms, request, reply);
        self.pass(1);
    }

    fn heartbeat(&mut self, incarnation: &RegisteredEndpoint, sequence: u64) {
        let heartbeat = Heartbeat { endpoint: incarnation.clone(), sequence, holds: None };
        self.call(ControlRequest::Heartbeat(heartbeat));
    }

    /// Receives a deregistration without a birth time.
    fn deregister(&mut self) {
        self.call(ControlRequest::Deregister(EndpointEnd { name: "e-1".into(), born_ms: None }));
    }

    /// True while gateways may send requests to the incarnation with this birth time.
    fn takes_requests(&self, born_ms: u64) -> bool {
        let id = RegisteredEndpoint::incarnation_id("e-1", born_ms);
        let endpoints = self.replica.state().registry.endpoints();
        endpoints.get(&id).is_some_and(|endpoint| !endpoint.leaving)
    }

    /// The ids of the registered incarnations.
    fn registered(&self) -> Vec<Arc<str>> {
        self.replica.state().registry.endpoints().keys().cloned().collect()
    }
}

/// The incarnation of an endpoint with this birth time.
fn incarnation(born_ms: u64, port: u16) -> RegisteredEndpoint {
    RegisteredEndpoint {
        id: RegisteredEndpoint::incarnation_id("e-1", born_ms),
        name: "e-1".into(),
        born_ms,
        service: "quotes".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        slots: 4,
        leaving: false,
        software_version: "v1".into(),
    }
}

#[test]
fn a_later_incarnation_is_registered_although_its_heartbeats_start_at_one() {
    let mut leader = Leader::new();
    leader.heartbeat(&incarnation(100, 7_001), 20);
    leader.heartbeat(&incarnation(200, 7_002), 1);
    assert_eq!(leader.registered(), ["e-1@200".into()]);
}

#[test]
fn late_calls_of_the_former_incarnation_change_nothing() {
    let mut leader = Leader::new();
    leader.heartbeat(&incarnation(100, 7_001), 20);
    leader.heartbeat(&incarnation(200, 7_002), 1);
    leader.heartbeat(&RegisteredEndpoint { leaving: true, ..incarnation(100, 7_001) }, 21);
    // An incarnation that was never registered has ended as well.
    leader.heartbeat(&incarnation(150, 7_003), 4);
    let end = EndpointEnd { name: "e-1".into(), born_ms: Some(100) };
    leader.call(ControlRequest::Deregister(end));
    assert_eq!(leader.registered(), ["e-1@200".into()]);
}

#[test]
fn an_earlier_birth_time_is_accepted_once_the_registered_incarnation_is_silent() {
    let mut leader = Leader::new();
    leader.heartbeat(&incarnation(200, 7_001), 20);
    leader.heartbeat(&incarnation(150, 7_002), 1);
    assert_eq!(leader.registered(), ["e-1@200".into()], "the registered incarnation may still run");
    leader.pass(SILENCE_MS);
    leader.heartbeat(&incarnation(150, 7_002), 2);
    assert_eq!(leader.registered(), ["e-1@150".into()], "the registered incarnation is silent");
}

#[test]
fn a_heartbeat_without_a_birth_time_replaces_no_incarnation_with_one() {
    let mut leader = Leader::new();
    leader.heartbeat(&incarnation(200, 7_001), 20);
    leader.pass(SILENCE_MS);
    leader.heartbeat(&incarnation(0, 7_002), 21);
    assert_eq!(leader.registered(), ["e-1@200".into()]);
}

#[test]
fn an_end_without_a_birth_time_right_after_a_restart_ends_no_running_incarnation() {
    let end = || EndpointEnd { name: "e-1".into(), born_ms: None };
    let mut leader = Leader::new();
    leader.heartbeat(&incarnation(100, 7_001), 20);
    leader.heartbeat(&incarnation(200, 7_002), 1);
    leader.call(ControlRequest::Deregister(end()));
    assert_eq!(leader.registered(), ["e-1@200".into()], "the deregistration may be late");
    leader.pass(10_000);
    leader.call(ControlRequest::Deregister(end()));
    assert!(
        leader.registered().is_empty(),
        "the deregistration is the registered incarnation's own"
    );

    leader.heartbeat(&incarnation(300, 7_003), 1);
    leader.heartbeat(&incarnation(400, 7_004), 1);
    leader.heartbeat(&RegisteredEndpoint { leaving: true, ..incarnation(400, 7_004) }, 2);
    leader.call(ControlRequest::Deregister(end()));
    assert!(leader.registered().is_empty(), "the incarnation had announced its stop");
}

/// A registration by another writer under the endpoint's name neither replaces it nor makes its
/// deregistration look late.
#[test]
fn an_entry_with_an_unknown_service_under_a_known_name_changes_nothing() {
    let mut leader = Leader::new();
    let service = ServiceSpec { name: "quotes".into(), connections_max: 9, engine: None };
    let configuration =
        RoutingConfiguration { version: 1, services: vec![service], ..Default::default() };
    leader.call(ControlRequest::PutRouting {
        configuration: Arc::new(configuration),
        document: "one".into(),
    });
    leader.heartbeat(&incarnation(100, 7_001), 20);
    leader.heartbeat(
        &RegisteredEndpoint { service: "unheard-of".into(), ..incarnation(300, 7_009) },
        1,
    );
    leader.heartbeat(
        &RegisteredEndpoint { service: "unheard-of".into(), ..incarnation(100, 7_001) },
        30,
    );
    leader.heartbeat(&incarnation(100, 7_001), 21);
    assert_eq!(leader.registered(), ["e-1@100".into()]);
    leader.call(ControlRequest::Deregister(EndpointEnd { name: "e-1".into(), born_ms: None }));
    assert!(leader.registered().is_empty(), "its own deregistration is accepted");
}

/// Guards against requests to an endpoint that restarts under its id, is served, and deregisters
/// without a birth time 0.3 s later: of the next 40 requests, 15 to 20 still went to it although
/// another endpoint had taken over. A deregistration without a birth time within 10 s of a restart
/// may belong to the previous incarnation, and was ignored.
#[test]
fn an_end_without_a_birth_time_right_after_a_restart_stops_new_requests() {
    let mut leader = Leader::new();
    leader.heartbeat(&incarnation(100, 7_001), 20);
    leader.heartbeat(&incarnation(200, 7_002), 1);
    assert!(leader.takes_requests(200));
    leader.deregister();
    assert!(!leader.takes_requests(200), "the deregistration may be its own");
}

#[test]
fn an_incarnation_that_runs_after_a_late_end_of_the_former_one_is_used_again() {
    let mut leader = Leader::new();
    leader.heartbeat(&incarnation(100, 7_001), 20);
    leader.heartbeat(&incarnation(200, 7_002), 1);
    leader.deregister();
    leader.heartbeat(&incarnation(200, 7_002), 2);
    assert!(
        !leader.takes_requests(200),
        "this heartbeat may have been sent before the deregistration"
    );
    leader.heartbeat(&incarnation(200, 7_002), 3);
    assert!(leader.takes_requests(200), "this heartbeat was sent after the deregistration");
}

#[test]
fn an_endpoint_that_announced_its_stop_is_not_used_again_after_an_end() {
    let mut leader = Leader::new();
    leader.heartbeat(&incarnation(100, 7_001), 20);
    leader.heartbeat(&incarnation(200, 7_002), 1);
    leader.deregister();
    leader.heartbeat(&RegisteredEndpoint { leaving: true, ..incarnation(200, 7_002) }, 2);
    for sequence in 3..9 {
        leader.heartbeat(&incarnation(200, 7_002), sequence);
        assert!(!leader.takes_requests(200), "heartbeat {sequence}");
    }
}

/// Guards against a late deregistration of the previous incarnation that ends the running one for
/// good after a change of leader: restarts were known only in the memory of the previous leader.
#[test]
fn a_late_end_that_reaches_the_next_leader_ends_no_running_incarnation() {
    let mut leader = Leader::new();
    leader.heartbeat(&incarnation(100, 7_001), 20);
    leader.heartbeat(&incarnation(200, 7_002), 1);
    let mut next = leader.next();
    next.deregister();
    assert_eq!(next.registered(), ["e-1@200".into()]);
    for sequence in 2..5 {
        next.heartbeat(&incarnation(200, 7_002), sequence);
    }
    assert!(next.takes_requests(200));
}

#[test]
fn the_next_leader_after_a_late_end_uses_the_endpoint_again() {
    let mut leader = Leader::new();
    leader.heartbeat(&incarnation(100, 7_001), 20);
    leader.heartbeat(&incarnation(200, 7_002), 1);
    leader.deregister();
    let mut next = leader.next();
    for sequence in 2..5 {
        assert!(!next.takes_requests(200), "heartbeat {sequence}");
        next.heartbeat(&incarnation(200, 7_002), sequence);
    }
    assert!(
        next.takes_requests(200),
        "two heartbeats were sent after the first that the leader received"
    );
}

#[test]
fn the_next_leader_accepts_the_end_of_an_endpoint_that_never_restarted() {
    let mut leader = Leader::new();
    leader.heartbeat(&incarnation(100, 7_001), 20);
    let mut next = leader.next();
    next.deregister();
    assert!(next.registered().is_empty());
}

/// A deregistration is resent if its answer is lost. Guards against the second one finding the
/// endpoint leaving and ending it for good although it is running.
#[test]
fn a_resent_end_ends_no_running_incarnation() {
    let mut leader = Leader::new();
    leader.heartbeat(&incarnation(100, 7_001), 20);
    leader.heartbeat(&incarnation(200, 7_002), 1);
    leader.deregister();
    leader.pass(1_000);
    leader.deregister();
    let mut next = leader.next();
    next.deregister();
    for leader in [&mut leader, &mut next] {
        assert_eq!(leader.registered(), ["e-1@200".into()]);
        for sequence in 2..5 {
            leader.heartbeat(&incarnation(200, 7_002), sequence);
        }
        assert!(leader.takes_requests(200));
    }
}
