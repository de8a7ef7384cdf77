//! Requests that begin late on a replaced version, because they waited at an engine that stood still.
//!
//! Users saw several requests of two gateways begin on the older version of an adapter in one instant, at one
//! endpoint, more than 5 s after the newer version was acknowledged. The order of events: requests are sent to the
//! older version while it may be used; the adapter is renewed; the engine stands still, so that it begins none of
//! them and takes no order to drop the version; it goes on, and begins all that it has read. The cause: the bound
//! was kept on sending, and on the wait only by an order to the same engine. The evidence: with these programs 48 of
//! 1,048 requests began after 6.5 s, the time for which the engines stood still, and none while they ran.

mod common;

use std::time::Duration;

use common::System;
use winchvane_soak::client::ADAPTERS;
use winchvane_soak::operator::renew;

/// Longer than the 5 s for which a replaced version may be used.
const STILL: Duration = Duration::from_millis(6_500);

#[tokio::test(flavor = "multi_thread")]
async fn nothing_begins_late_on_a_version_that_was_replaced_while_its_engine_stood_still() {
    let system = System::start(81, 24).await;
    // One engine goes on, to serve the newer versions.
    let still = &system.region.engines[..2];
    for engine in still {
        engine.pause(true);
    }
    let waiting = || still.iter().map(|engine| engine.waiting()).sum::<usize>();
    system.wait_for("requests wait", || waiting() >= 2).await;
    let control = system.region.control_addresses();
    for (turn, adapter) in ADAPTERS.iter().enumerate() {
        assert!(renew(&control, turn, adapter, &system.record).await, "{adapter}");
    }
    tokio::time::sleep(STILL).await;
    for engine in still {
        engine.pause(false);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (late, summary) = (system.record.begun_late(), system.record.summary());
    println!("{summary}");
    let breaches = system.record.seen_breaches();
    system.stop("renewed");
    assert_eq!(late, 0, "{summary}");
    assert!(breaches.is_empty(), "{breaches:?}");
}
