//! Clients that keep no rule, at the listeners of `winchvane-gateway`: its process lives, stays within
//! the memory that its settings name by default, and answers an ordinary request while they are there.

mod common;
#[path = "common/crowd.rs"]
mod crowd;

use std::net::SocketAddr;

use common::region::options;
use crowd::{Crowd, Sent, held_bytes, open_descriptors};
use http::StatusCode;
use winchvane_standin::region::{Region, RegionOptions, wait_for};
use yare::parameterized;

/// The memory of a gateway.
const MEMORY_BYTES: u64 = 512_000_000;
/// The largest body, where the settings allow 16 MiB.
const BODY_BYTES: usize = 16 << 20;
const DESCRIPTORS_MAX: usize = 256;
/// What a process may use of them for what it accepts; endpoints and control need some too.
const USED_DESCRIPTORS_MAX: usize = 240;
const CONNECTIONS: usize = 400;

/// A listener of a gateway.
#[derive(Debug, Clone, Copy)]
enum Listener {
    Callers,
    Admin,
    Peers,
}

impl Listener {
    fn address(self, region: &Region) -> SocketAddr {
        match self {
            Self::Callers => region.callers(0),
            Self::Admin => region.admin(0),
            Self::Peers => region.peers(0),
        }
    }
}

fn run(test: impl Future<Output = ()>) {
    let _alone = crowd::alone();
    tokio::runtime::Runtime::new().expect("a runtime").block_on(test);
}

async fn start() -> Region {
    let more = "limits: {body_max_bytes: 16777216}";
    Region::start(RegionOptions { gateways: 1, gateway_settings: more, ..options() }).await
}

async fn check_ordinary_request(region: &Region) {
    wait_for("an ordinary request is answered", async || {
        region.quote(0, "taichung").await.status == StatusCode::OK
    })
    .await;
}

#[parameterized(
    by_length = { Listener::Callers, "/services/shop/x", Sent::ShortByLength(BODY_BYTES) },
    in_chunks = { Listener::Callers, "/services/shop/x", Sent::ShortInChunks(BODY_BYTES) },
    declarations = { Listener::Admin, "/config", Sent::ShortByLength(BODY_BYTES) },
)]
fn bodies_of_many_clients_stay_within_the_memory_of_a_gateway_of_services(
    listener: Listener,
    path: &str,
    sent: Sent,
) {
    run(async {
        let region = start().await;
        let address = listener.address(&region);
        let crowd = Crowd::send(address, 40, "POST", path, sent);
        let held_bytes = held_bytes(region.gateways[0].id(), address);
        println!("{} MB held", held_bytes / 1_000_000);
        assert!(held_bytes <= MEMORY_BYTES, "{held_bytes} bytes held");
        check_ordinary_request(&region).await;
        drop(crowd);
    });
}

#[parameterized(
    callers = { Listener::Callers, Sent::Nothing },
    callers_half_heads = { Listener::Callers, Sent::HalfHead },
    admin = { Listener::Admin, Sent::Nothing },
    peers = { Listener::Peers, Sent::Nothing },
)]
fn connections_leave_descriptors_for_others_at_a_gateway_of_services(
    listener: Listener,
    sent: Sent,
) {
    run(async {
        let mut region = start().await;
        region.gateways[0].kill();
        region.gateways[0].start_under(&[&format!("ulimit -n {DESCRIPTORS_MAX}")]);
        region.wait_ready(0).await;
        let crowd = Crowd::send(listener.address(&region), CONNECTIONS, "POST", "/x", sent);
        let open = open_descriptors(region.gateways[0].id());
        println!("{open} descriptors open");
        assert!(open <= USED_DESCRIPTORS_MAX, "{open} descriptors open");
        check_ordinary_request(&region).await;
        drop(crowd);
    });
}
