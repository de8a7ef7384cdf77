//! Guards against messages that pile up for a follower that does not keep up: each version of a large
//! configuration waited for it.

use std::sync::Arc;

use winchvane::control::outbox::{NotQueued, OutboxReceiver, Outgoing, outbox};
use winchvane::control::session::{change_messages, new_change_messages};
use winchvane::message::{Change, NewestVersion, SessionDown, WeightsName};
use winchvane::routing::RoutingConfiguration;

const MAX_BYTES: u64 = 4_000_000;

fn routing(version: u64) -> Change {
    Change::Routing(Arc::new(RoutingConfiguration { version, ..RoutingConfiguration::default() }))
}

fn weights(version: u64) -> Change {
    Change::Version(NewestVersion { name: WeightsName::new("m", None), version })
}

/// What a follower has got: the newest configuration, the newest weights, and the index up to which it
/// has all changes.
#[derive(Debug, Default, PartialEq, Eq)]
struct Known {
    routing: u64,
    weights: u64,
    index: u64,
    renewed_at_ms: u64,
}

impl Known {
    fn apply(&mut self, message: SessionDown) {
        match message {
            SessionDown::Changes { index, complete, changes, .. } => {
                for change in changes {
                    match change {
                        Change::Routing(configuration) => {
                            assert!(configuration.version >= self.routing, "it went back");
                            self.routing = configuration.version;
                        }
                        Change::Version(newest) => self.weights = newest.version,
                        change => panic!("unexpected {change:?}"),
                    }
                }
                if complete {
                    self.index = index;
                }
            }
            SessionDown::Renewed { sent_at_ms, .. } => self.renewed_at_ms = sent_at_ms,
            message => panic!("unexpected {message:?}"),
        }
    }
}

fn take_all(received: &mut OutboxReceiver) -> Vec<SessionDown> {
    std::iter::from_fn(|| received.try_next()).collect()
}

fn renewed(sent_at_ms: u64) -> Arc<Outgoing> {
    let (summaries, load_reports) = (Vec::new(), Vec::new());
    Outgoing::new(SessionDown::Renewed { sent_at_ms, index: 0, summaries, load_reports })
}

fn routings(messages: &[SessionDown]) -> Vec<u64> {
    let mut versions = Vec::new();
    for message in messages {
        let SessionDown::Changes { changes, .. } = message else { continue };
        for change in changes {
            if let Change::Routing(configuration) = change {
                versions.push(configuration.version);
            }
        }
    }
    versions
}

#[test]
fn the_newest_configuration_is_sent_once_to_a_follower_that_stands_still() {
    let (sender, mut received) = outbox(MAX_BYTES);
    for version in 1..=200 {
        for message in new_change_messages(version, vec![routing(version)], None) {
            sender.send(message).expect("there is room");
        }
    }
    let messages = take_all(&mut received);
    assert_eq!(routings(&messages), [200]);
    let mut known = Known::default();
    for message in messages {
        known.apply(message);
    }
    assert_eq!(known, Known { routing: 200, index: 200, ..Known::default() });
}

#[test]
fn a_renewal_is_not_confirmed_before_the_changes_that_came_before_it() {
    let (sender, mut received) = outbox(MAX_BYTES);
    let mut known = Known::default();
    for version in 1..=50 {
        for message in new_change_messages(version, vec![routing(version), weights(version)], None)
        {
            sender.send(message).expect("there is room");
        }
        sender.send(renewed(version)).expect("there is room");
        // It takes a message now and then.
        if version % 7 == 0 {
            known.apply(received.try_next().expect("one waits"));
        }
    }
    for message in take_all(&mut received) {
        known.apply(message);
        assert!(known.routing >= known.renewed_at_ms, "{known:?}");
        assert!(known.routing >= known.index, "{known:?}");
        assert!(known.weights >= known.renewed_at_ms, "{known:?}");
    }
    assert_eq!(known, Known { routing: 50, weights: 50, index: 50, renewed_at_ms: 50 });
}

#[test]
fn a_configuration_among_other_changes_is_not_sent_after_a_newer_one() {
    let (sender, mut received) = outbox(MAX_BYTES);
    let send = |messages: Vec<Arc<Outgoing>>| {
        for message in messages {
            sender.send(message).expect("there is room");
        }
    };
    send(new_change_messages(1, vec![routing(1)], None));
    send(change_messages(2, true, &[weights(1), routing(2)]));
    send(new_change_messages(3, vec![routing(3)], None));
    send(new_change_messages(4, vec![routing(4)], None));
    assert_eq!(routings(&take_all(&mut received)), [1, 2, 4]);
}

#[test]
fn a_message_that_is_being_sent_is_not_replaced() {
    let (sender, mut received) = outbox(MAX_BYTES);
    let send = |version: u64| {
        for message in new_change_messages(version, vec![routing(version)], None) {
            sender.send(message).expect("there is room");
        }
    };
    send(1);
    let first = received.try_next();
    send(2);
    send(3);
    assert_eq!(routings(&first.into_iter().collect::<Vec<_>>()), [1]);
    assert_eq!(routings(&take_all(&mut received)), [3]);
}

#[test]
fn a_follower_for_which_too_many_bytes_wait_is_given_up() {
    let (sender, mut received) = outbox(100_000);
    let changes: Vec<Change> = (0..500).map(weights).collect();
    let mut sent = 0;
    let full = loop {
        let message = change_messages(1, false, &changes).remove(0);
        match sender.send(message) {
            Ok(()) => sent += 1,
            Err(reason) => break reason,
        }
        assert!(sent < 100, "no bound took effect");
    };
    assert_eq!(full, NotQueued::Full);
    // A single message may be larger than the queue, and the whole state has to get there.
    for message in change_messages(1, true, &changes) {
        sender.send_initial(message).expect("it is not refused");
    }
    assert_eq!(take_all(&mut received).len(), sent + 1);
    drop(received);
    assert_eq!(sender.send(renewed(1)), Err(NotQueued::Closed));
}

#[tokio::test]
async fn what_waits_is_sent_when_the_session_is_removed() {
    let (sender, mut received) = outbox(MAX_BYTES);
    sender.send(renewed(1)).expect("there is room");
    drop(sender);
    assert!(received.next().await.is_some());
    assert!(received.next().await.is_none());
}
