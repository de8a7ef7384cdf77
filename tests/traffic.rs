//! The metrics of the messages that a process sends to other processes of the system.

use winchvane::message::{SessionDown, SessionUp};
use winchvane::metrics::Metrics;
use winchvane::traffic;

#[test]
fn messages_and_their_bytes_are_counted_by_kind() {
    let up = SessionUp::Leave;
    let down = SessionDown::Expired;
    traffic::count(up.kind(), 5);
    traffic::count(up.kind(), 7);
    traffic::count(down.kind(), 4);
    let text = Metrics::local().text();
    assert!(text.contains("winchvane_peer_messages{message=\"session_leave\"} 2\n"), "{text}");
    assert!(text.contains("winchvane_peer_bytes{message=\"session_leave\"} 12\n"), "{text}");
    assert!(text.contains("winchvane_peer_bytes{message=\"session_expired\"} 4\n"), "{text}");
}
