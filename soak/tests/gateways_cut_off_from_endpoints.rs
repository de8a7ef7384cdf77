//! Gateways that cannot reach any endpoint, while clients, control and the other gateways can.

mod common;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::System;
use winchvane_soak::client::Try;
use winchvane_soak::cut::Cut;
use winchvane_soak::random_gateway_clients::RandomGatewayClients;
use winchvane_soak::record::{End, Kind};
use winchvane_soak::region::Size;

const GATEWAYS: u8 = 3;
const CLIENTS_OF_A_KIND: u32 = 8;
/// The time after which a cut must no longer show.
const ADJUSTED_AFTER: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(12);
const RECOVERED_AFTER: Duration = Duration::from_secs(2);
const RECOVERY_LENGTH: Duration = Duration::from_secs(4);
/// The share of first tries that may fail where endpoints are idle, and a few more.
const FAILED_MAX_SHARE: f64 = 0.02;
const FAILED_MAX: f64 = 2.0;

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_serves_its_clients_while_endpoints_are_silent_to_it() {
    check_cut(100, &[1], Cut::Silent, "cut-silent").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_serves_its_clients_while_endpoints_reset_its_connections() {
    check_cut(101, &[1], Cut::Reset, "cut-reset").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_serves_its_clients_while_endpoints_reset_its_new_connections() {
    check_cut(102, &[1], Cut::NewReset, "cut-new-reset").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_of_three_gateways_serve_their_clients_while_endpoints_are_silent_to_them() {
    check_cut(103, &[1, 2], Cut::Silent, "cut-two-silent").await;
}

/// The tests run one after the other, since each has eight processes.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

async fn check_cut(block: u8, cut_gateways: &[u8], cut: Cut, name: &str) {
    let _turn = TURN.lock().await;
    let size = Size { gateways: GATEWAYS, endpoints: 4, engines: 6, block };
    let system = System::start_with(size, 2).await;
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let noted = tries.clone();
    let note: Arc<dyn Fn(Try) + Send + Sync> =
        Arc::new(move |tried| noted.lock().expect("the lock is not poisoned").push(tried));
    let gateways = system.region.gateway_addresses();
    let mut clients = Vec::new();
    for kind in [Kind::Once, Kind::Any, Kind::Stream, Kind::Adapter] {
        let random_clients = RandomGatewayClients {
            kind,
            gateways: gateways.clone(),
            clients: CLIENTS_OF_A_KIND,
            pause: Duration::from_millis(50),
            retries: false,
            seed: block.into(),
        };
        clients.extend(random_clients.start(&system.record, &note));
    }
    // Until several engines hold each adapter.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let cut_at = Instant::now();
    for gateway in cut_gateways {
        system.region.cut(*gateway, Some(cut));
    }
    tokio::time::sleep(LENGTH).await;
    let ended_at = Instant::now();
    for gateway in cut_gateways {
        system.region.cut(*gateway, None);
    }
    tokio::time::sleep(RECOVERED_AFTER + RECOVERY_LENGTH).await;
    let recovered_until = Instant::now();
    // Until the last requests have ended.
    tokio::time::sleep(Duration::from_secs(1)).await;
    for client in clients {
        client.abort();
    }
    let tries = tries.lock().expect("the lock is not poisoned").clone();
    let is_cut =
        |tried: &Try| cut_gateways.iter().any(|it| gateways[usize::from(*it) - 1] == tried.gateway);
    let mut spans = Vec::new();
    for (when, from, until) in [
        ("during the cut", cut_at + ADJUSTED_AFTER, ended_at),
        ("after the cut", ended_at + RECOVERED_AFTER, recovered_until),
    ] {
        for at_cut in [true, false] {
            let of_span: Vec<&Try> = tries
                .iter()
                .filter(|it| is_cut(it) == at_cut && it.sent_at >= from && it.sent_at < until)
                .collect();
            let failed: Vec<&End> =
                of_span.iter().map(|it| &it.end).filter(|end| **end != End::Served).collect();
            println!(
                "{name}: {when}, cut off {at_cut}: {} of {} failed",
                failed.len(),
                of_span.len()
            );
            spans.push((
                when,
                at_cut,
                of_span.len(),
                failed.into_iter().cloned().collect::<Vec<_>>(),
            ));
        }
    }
    let breaches = system.record.seen_breaches();
    system.stop(name);
    assert!(breaches.is_empty(), "{breaches:?}");
    for (when, at_cut, sent, failed) in spans {
        assert!(sent > 20, "{sent} first tries {when}, cut off {at_cut}");
        let failed_max = sent as f64 * FAILED_MAX_SHARE + FAILED_MAX;
        assert!(
            failed.len() as f64 <= failed_max,
            "{} of {sent} first tries failed {when}, cut off {at_cut}: {failed:?}",
            failed.len()
        );
    }
}
