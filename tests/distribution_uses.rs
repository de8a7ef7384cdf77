//! Tests of the use of services by workspaces as a distributor relays it.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::zone::{BATCHED_MS, Zone};
use winchvane::message::{SessionDown, UseCounts, WorkspaceUse};

fn workspace_use(workspace: &str, asked: u32, waiting: u32) -> WorkspaceUse {
    let counts = UseCounts { asked, sent: asked / 2, waiting };
    WorkspaceUse { service: "quotes".into(), workspace: workspace.into(), counts }
}

/// The last counts of each workspace in `messages`, and the number of messages with counts.
fn last_uses(messages: Vec<Vec<WorkspaceUse>>) -> (BTreeMap<Arc<str>, WorkspaceUse>, usize) {
    let count = messages.len();
    let uses = messages.into_iter().flatten();
    (uses.map(|used| (used.workspace.clone(), used)).collect(), count)
}

/// Guards against a gateway's own counts in the sums that it gets, counts of ended gateways, and
/// more messages than one per 250 ms.
#[test]
fn workspace_uses_are_summed_for_the_leader_and_exclude_the_receiving_gateways_own() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.welcome(2, "g2");
    zone.advance(2_000);
    assert!(zone.uses_sent_to_leader().is_empty(), "there is nothing to report");
    zone.report_use(1, vec![workspace_use("w1", 400, 3)]);
    zone.advance(20);
    assert_eq!(zone.uses_sent_to_leader(), [vec![workspace_use("w1", 400, 3)]]);
    assert_eq!(zone.uses_received(2), [vec![workspace_use("w1", 400, 3)]]);
    zone.report_use(2, vec![workspace_use("w1", 200, 0), workspace_use("w2", 100, 0)]);
    zone.down(SessionDown::WorkspaceUse(vec![workspace_use("w1", 1_000, 5)]));
    zone.advance(220);
    assert!(zone.uses_sent_to_leader().is_empty(), "sooner than the interval");
    zone.advance(40);
    let expected = vec![workspace_use("w1", 600, 3), workspace_use("w2", 100, 0)];
    assert_eq!(zone.uses_sent_to_leader(), [expected]);
    let expected = vec![workspace_use("w1", 1_200, 5), workspace_use("w2", 100, 0)];
    assert_eq!(zone.uses_received(1), [expected]);
    // Small changes of the sums are not sent.
    zone.report_use(1, vec![workspace_use("w1", 410, 3)]);
    zone.advance(2_000);
    assert!(zone.uses_sent_to_leader().is_empty());
    // The counts of a closed session are dropped.
    zone.distributor.close(2);
    zone.advance(300);
    let (sent, messages) = last_uses(zone.uses_sent_to_leader());
    assert_eq!(messages, 1);
    assert_eq!(sent["w1"], workspace_use("w1", 410, 3));
    assert_eq!(sent["w2"], workspace_use("w2", 0, 0));
    let (received, messages) = last_uses(zone.uses_received(1));
    assert_eq!(messages, 1);
    assert_eq!(received["w1"], workspace_use("w1", 1_000, 5));
    assert_eq!(received["w2"], workspace_use("w2", 0, 0));
}

/// Guards against gateways that forget the other zones when a leader is lost, and against a new
/// leader without the counts of a zone.
#[test]
fn workspace_uses_outlast_the_leader_and_are_reported_to_the_next_one() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.welcome(2, "g2");
    zone.report_use(1, vec![workspace_use("w1", 400, 3)]);
    zone.down(SessionDown::WorkspaceUse(vec![workspace_use("w1", 1_000, 5)]));
    zone.advance(1_100);
    let (received, _) = last_uses(zone.uses_received(2));
    assert_eq!(received["w1"], workspace_use("w1", 1_400, 8));
    zone.distributor.unlinked(zone.now_ms);
    zone.advance(600);
    zone.link();
    zone.advance(100);
    assert_eq!(zone.uses_sent_to_leader(), [vec![workspace_use("w1", 400, 3)]]);
    zone.advance(700);
    assert!(zone.uses_received(2).is_empty(), "the former sums hold until the new ones are whole");
    zone.down(SessionDown::WorkspaceUse(vec![workspace_use("w1", 800, 5)]));
    zone.advance(1_300);
    let (received, _) = last_uses(zone.uses_received(2));
    assert_eq!(received["w1"], workspace_use("w1", 1_200, 8));
}

/// Guards against a session opened later that never gets the sums.
#[test]
fn workspace_uses_are_sent_to_a_new_gateway_within_a_second() {
    let mut zone = Zone::linked();
    zone.welcome(1, "g1");
    zone.report_use(1, vec![workspace_use("w1", 400, 3)]);
    zone.advance(500);
    zone.open(2, "g2", "a");
    zone.advance(BATCHED_MS);
    zone.confirm();
    zone.advance(1_000);
    assert_eq!(zone.uses_received(2), [vec![workspace_use("w1", 400, 3)]]);
}
