//! Which connections are closed when a process needs room, and what is refused.

use winchvane::policy::resource_limiter::{
    Closed, ConnectionId, ListenerClass, NoRoom, Purpose, ResourceLimiter, ResourceLimits, Stage,
};
use yare::parameterized;

const KIB: u64 = 1 << 10;
const LIMITS: ResourceLimits = ResourceLimits {
    clients_max: 3,
    operators_max: 1,
    peers_max: 1,
    requests_max_bytes: 1_000 * KIB,
    small_kept_bytes: 250 * KIB,
    answers_max_bytes: 100 * KIB,
    streams_max_bytes: 400 * KIB,
    messages_kept_bytes: 400 * KIB,
    messages_max_bytes: 1_000 * KIB,
};

fn connect(limiter: &mut ResourceLimiter, now_ms: u64) -> ConnectionId {
    let (id, closed) = limiter.connect(now_ms, ListenerClass::Clients).expect("there is room");
    assert_eq!(closed, None);
    id
}

fn take(limiter: &mut ResourceLimiter, now_ms: u64, id: ConnectionId, bytes: u64) -> Vec<Closed> {
    let mut closed = Vec::new();
    limiter.take(now_ms, id, Purpose::Request, bytes, &mut closed).expect("there is room");
    closed
}

fn is_refused(limiter: &mut ResourceLimiter, now_ms: u64, id: ConnectionId, bytes: u64) -> bool {
    let mut closed = Vec::new();
    let refused = limiter.take(now_ms, id, Purpose::Request, bytes, &mut closed) == Err(NoRoom);
    assert!(!refused || closed.is_empty(), "{closed:?} closed in vain");
    refused
}

#[test]
fn the_oldest_idle_connection_is_closed_for_a_new_one() {
    let mut limiter = ResourceLimiter::new(LIMITS);
    let first = connect(&mut limiter, 0);
    let second = connect(&mut limiter, 1);
    connect(&mut limiter, 2);
    limiter.set_stage(3, first, Stage::Running);
    limiter.set_stage(4, first, Stage::Idle);
    let (_, closed) = limiter.connect(5, ListenerClass::Clients).expect("there is room");
    assert_eq!(closed, Some(Closed { id: second, stage: Stage::Idle }));
    assert_eq!(limiter.open_connections(), 3);
    limiter.end(second);
    assert_eq!(limiter.open_connections(), 3, "it was not counted any more");
}

#[parameterized(
    heads = { Stage::Head, 0, true },
    bodies_that_arrive = { Stage::Body, 100, false },
    bodies_that_stopped = { Stage::Body, 200, true },
    discarded_bodies = { Stage::Discarding, 0, true },
    running = { Stage::Running, 600_000, false },
    answers_under_way = { Stage::Unread, 1_000, false },
    answers_nobody_reads = { Stage::Unread, 2_000, true },
)]
fn connections_in_use_are_not_closed(stage: Stage, after_ms: u64, is_closed: bool) {
    let mut limiter = ResourceLimiter::new(LIMITS);
    for _ in 0..LIMITS.clients_max {
        let id = connect(&mut limiter, 0);
        limiter.set_stage(0, id, stage);
    }
    let connected = limiter.connect(after_ms, ListenerClass::Clients);
    assert_eq!(connected.is_ok_and(|(_, closed)| closed.is_some()), is_closed);
    assert_eq!(limiter.open_connections(), LIMITS.clients_max);
}

#[test]
fn a_crowd_at_one_listener_leaves_the_others_their_connections() {
    let mut limiter = ResourceLimiter::new(LIMITS);
    for now_ms in 0..10 {
        let connected = limiter.connect(now_ms, ListenerClass::Clients);
        connected.expect("an idle one is closed");
    }
    for class in [ListenerClass::Operators, ListenerClass::Peers] {
        let (_, closed) = limiter.connect(20, class).expect("it has a connection of its own");
        assert_eq!(closed, None);
    }
    let only = limiter.connect(21, ListenerClass::Peers).expect("the older one is idle").0;
    limiter.set_stage(22, only, Stage::Running);
    assert_eq!(limiter.connect(9_000, ListenerClass::Peers), Err(NoRoom));
}

#[test]
fn the_request_that_stopped_first_is_given_up_for_another_one() {
    let mut limiter = ResourceLimiter::new(LIMITS);
    let (stopped, slow, new) =
        (connect(&mut limiter, 0), connect(&mut limiter, 0), connect(&mut limiter, 0));
    for id in [stopped, slow, new] {
        limiter.set_stage(0, id, Stage::Body);
    }
    take(&mut limiter, 0, stopped, 300 * KIB);
    take(&mut limiter, 0, slow, 300 * KIB);
    assert!(is_refused(&mut limiter, 100, new, 300 * KIB), "the others still arrive");
    limiter.note_progress(150, slow);
    let closed = take(&mut limiter, 250, new, 300 * KIB);
    assert_eq!(closed, [Closed { id: stopped, stage: Stage::Body }]);
    assert!(is_refused(&mut limiter, 250, stopped, 1), "it was given up");
    limiter.give_back(stopped, Purpose::Request, 300 * KIB);
    limiter.end(stopped);
    assert_eq!(limiter.held_bytes(Purpose::Request), 600 * KIB);
}

#[test]
fn a_whole_request_is_never_given_up() {
    let mut limiter = ResourceLimiter::new(LIMITS);
    let (whole, new) = (connect(&mut limiter, 0), connect(&mut limiter, 0));
    limiter.set_stage(0, whole, Stage::Body);
    take(&mut limiter, 0, whole, 700 * KIB);
    limiter.set_stage(10, whole, Stage::Running);
    limiter.set_stage(10, new, Stage::Body);
    assert!(is_refused(&mut limiter, 60_000, new, 100 * KIB));
    limiter.give_back(whole, Purpose::Request, 700 * KIB);
    assert_eq!(take(&mut limiter, 60_001, new, 100 * KIB), []);
}

#[test]
fn large_requests_leave_a_part_to_small_ones() {
    let mut limiter = ResourceLimiter::new(LIMITS);
    let (large, other, small) =
        (connect(&mut limiter, 0), connect(&mut limiter, 0), connect(&mut limiter, 0));
    take(&mut limiter, 0, large, 750 * KIB);
    assert!(is_refused(&mut limiter, 0, large, KIB));
    assert!(is_refused(&mut limiter, 0, other, 65 * KIB));
    assert_eq!(take(&mut limiter, 0, small, 64 * KIB), []);
    assert!(is_refused(&mut limiter, 0, small, KIB), "it is large now");
}

#[test]
fn memory_that_outlives_its_connection_is_counted_until_it_is_given_back() {
    let mut limiter = ResourceLimiter::new(LIMITS);
    let id = connect(&mut limiter, 0);
    take(&mut limiter, 0, id, 100 * KIB);
    limiter.set_stage(0, id, Stage::Running);
    limiter.end(id);
    assert_eq!((limiter.open_connections(), limiter.held_bytes(Purpose::Request)), (0, 100 * KIB));
    limiter.give_back(id, Purpose::Request, 100 * KIB);
    assert_eq!(limiter.held_bytes(Purpose::Request), 0);
}

fn take_for_answer(
    limiter: &mut ResourceLimiter,
    now_ms: u64,
    id: ConnectionId,
    bytes: u64,
) -> Result<Vec<Closed>, NoRoom> {
    let mut closed = Vec::new();
    limiter.take(now_ms, id, Purpose::Answer, bytes, &mut closed).map(|()| closed)
}

#[test]
fn requests_leave_the_memory_of_answers_to_them() {
    let mut limiter = ResourceLimiter::new(LIMITS);
    let (large, other) = (connect(&mut limiter, 0), connect(&mut limiter, 0));
    take(&mut limiter, 0, large, 750 * KIB);
    limiter.set_stage(0, large, Stage::Running);
    limiter.set_stage(0, other, Stage::Running);
    assert_eq!(take_for_answer(&mut limiter, 0, large, 100 * KIB), Ok(Vec::new()));
    assert_eq!(take_for_answer(&mut limiter, 10_000, other, KIB), Err(NoRoom), "it may be read");
    limiter.give_back(large, Purpose::Answer, 100 * KIB);
    assert_eq!(take_for_answer(&mut limiter, 10_000, other, 100 * KIB), Ok(Vec::new()));
    assert_eq!(limiter.held_bytes(Purpose::Request), 750 * KIB);
}

#[parameterized(
    a_moment_ago = { Stage::Unread, 199, false },
    for_a_while = { Stage::Unread, 200, true },
    not_sent_yet = { Stage::Running, 10_000, false },
)]
fn an_answer_that_is_not_read_is_given_up_for_another_one(
    stage: Stage,
    after_ms: u64,
    is_closed: bool,
) {
    let mut limiter = ResourceLimiter::new(LIMITS);
    let (unread, other) = (connect(&mut limiter, 0), connect(&mut limiter, 0));
    assert_eq!(take_for_answer(&mut limiter, 0, unread, 60 * KIB), Ok(Vec::new()));
    limiter.set_stage(0, unread, stage);
    limiter.set_stage(0, other, Stage::Running);
    let expected = if is_closed { Ok(vec![Closed { id: unread, stage }]) } else { Err(NoRoom) };
    assert_eq!(take_for_answer(&mut limiter, after_ms, other, 60 * KIB), expected);
    // What a request lacks is no reason to give up an answer.
    take(&mut limiter, after_ms, other, 750 * KIB);
    assert!(is_refused(&mut limiter, after_ms, other, KIB));
}

#[test]
fn what_a_request_can_do_without_is_taken_while_there_is_much_left() {
    let mut limiter = ResourceLimiter::new(LIMITS);
    let (first, second) = (connect(&mut limiter, 0), connect(&mut limiter, 0));
    assert_eq!(limiter.take_spare(first, 200 * KIB), Ok(()));
    assert_eq!(limiter.take_spare(second, 51 * KIB), Err(NoRoom));
    assert_eq!(limiter.take_spare(second, 50 * KIB), Ok(()));
    limiter.give_back(first, Purpose::Request, 200 * KIB);
    take(&mut limiter, 0, first, 201 * KIB);
    assert_eq!(limiter.take_spare(second, KIB), Err(NoRoom));
    assert_eq!(limiter.held_bytes(Purpose::Request), 251 * KIB);
}

/// The smallest instance that runs a gateway, one with much memory for its descriptors, and one that runs
/// control.
#[parameterized(
    gateway = { 120, 3_075, 4 << 20, 16 },
    gateway_with_few_descriptors = { 400, 2_875, 4 << 20, 16 },
    control = { 256, 4_096, 16 << 20, 16 },
)]
fn the_limits_of_an_instance_fit_into_it(
    memory_mb: u64,
    descriptors: usize,
    body_bytes: u64,
    base_mb: u64,
) {
    let limits = ResourceLimits::new(memory_mb * 1_000_000, descriptors);
    let connections = limits.clients_max + limits.operators_max + limits.peers_max;
    assert!(connections < descriptors * 9 / 10, "{limits:?}");
    // Each request that runs has a connection to its endpoint.
    assert!(connections + limits.clients_max < descriptors * 96 / 100, "{limits:?}");
    let connections_bytes = limits.clients_max as u64 * 78 * KIB + 6_000_000;
    let peers_bytes = limits.streams_max_bytes + limits.messages_kept_bytes;
    let held_bytes = limits.requests_max_bytes + limits.answers_max_bytes + peers_bytes;
    let used_bytes = base_mb * 1_000_000 + connections_bytes + held_bytes;
    assert!(used_bytes < memory_mb * 900_000, "{limits:?}");
    assert!(limits.request_max_bytes() >= body_bytes, "{limits:?}");
}

fn take_for_message(
    limiter: &mut ResourceLimiter,
    now_ms: u64,
    id: ConnectionId,
    bytes: u64,
) -> Result<Vec<Closed>, NoRoom> {
    let mut closed = Vec::new();
    limiter.take(now_ms, id, Purpose::Message, bytes, &mut closed).map(|()| closed)
}

/// A snapshot is one message, for which the memory that is kept for messages may be too little.
#[test]
fn messages_may_have_the_memory_that_requests_do_not_use() {
    let mut limiter = ResourceLimiter::new(LIMITS);
    let [first, second, third] = [(); 3].map(|()| connect(&mut limiter, 0));
    assert_eq!(take_for_message(&mut limiter, 0, first, 750 * KIB), Ok(Vec::new()));
    assert_eq!(take_for_message(&mut limiter, 0, first, KIB), Err(NoRoom), "no message is larger");
    assert_eq!(take_for_message(&mut limiter, 0, second, 65 * KIB), Err(NoRoom), "not a small one");
    assert_eq!(take_for_message(&mut limiter, 0, second, 64 * KIB), Ok(Vec::new()));
    // 414 KiB are those of requests.
    take(&mut limiter, 0, third, 336 * KIB);
    assert!(is_refused(&mut limiter, 0, third, KIB), "the rest is for small ones");
    limiter.give_back(first, Purpose::Message, 750 * KIB);
    take(&mut limiter, 0, third, 414 * KIB);
    assert_eq!(take_for_message(&mut limiter, 0, first, 236 * KIB), Ok(Vec::new()), "it is kept");
    assert_eq!(take_for_message(&mut limiter, 0, first, KIB), Err(NoRoom));
}

#[parameterized(
    message = { Purpose::Message, 250 * KIB, Stage::Running },
    request = { Purpose::Request, 350 * KIB, Stage::Body },
)]
fn what_does_not_arrive_is_given_up_for_a_message(purpose: Purpose, bytes: u64, stage: Stage) {
    let mut limiter = ResourceLimiter::new(LIMITS);
    let [first, stopped, other] = [(); 3].map(|()| connect(&mut limiter, 0));
    for (id, stage) in [(first, Stage::Running), (stopped, stage), (other, Stage::Running)] {
        limiter.set_stage(0, id, stage);
    }
    assert_eq!(take_for_message(&mut limiter, 0, first, 500 * KIB), Ok(Vec::new()));
    let mut closed = Vec::new();
    limiter.take(0, stopped, purpose, bytes, &mut closed).expect("there is room");
    limiter.note_progress(100, first);
    limiter.note_progress(0, stopped);
    assert_eq!(take_for_message(&mut limiter, 199, other, 450 * KIB), Err(NoRoom));
    let closed = vec![Closed { id: stopped, stage }];
    assert_eq!(take_for_message(&mut limiter, 200, other, 250 * KIB), Ok(closed));
    // One that can never arrive is no reason to give up others.
    assert_eq!(take_for_message(&mut limiter, 900, other, 800 * KIB), Err(NoRoom));
    assert_eq!(limiter.open_connections(), 2);
}

#[test]
fn streams_leave_a_part_to_peers_with_few_of_them() {
    let mut limiter = ResourceLimiter::new(LIMITS);
    let [many, more, few] = [(); 3].map(|()| connect(&mut limiter, 0));
    let mut closed = Vec::new();
    for (id, bytes, expected) in [
        (many, 300 * KIB, Ok(())),
        (many, 4 * KIB, Err(NoRoom)),
        (more, 60 * KIB, Ok(())),
        (more, 8 * KIB, Err(NoRoom)),
        (few, 40 * KIB, Ok(())),
        (few, 4 * KIB, Err(NoRoom)),
    ] {
        let taken = limiter.take(9_000, id, Purpose::Stream, bytes, &mut closed);
        assert_eq!(taken, expected, "{id:?}, {bytes} bytes");
    }
    assert_eq!(closed, [], "no stream is given up for another one");
}
