//! A distributor with the other ends of its channels.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::engines::configuration;
use tokio::sync::mpsc;
use winchvane::control::distribution::{Distributor, hello};
use winchvane::control::outbox::{OutboxReceiver, outbox};
use winchvane::message::{
    Change, EndpointLoad, Holding, Load, NewestVersion, Placed, RegisteredEndpoint, SessionDown,
    SessionHello, SessionRole, SessionUp, WeightsName, WorkspaceUse,
};

/// Renewals of gateways are batched for at most this long.
pub const BATCHED_MS: u64 = 60;
/// Gateways are kept without a link for this long.
pub const UNLINKED_MAX_MS: u64 = 1_000;

pub fn address(last: u8) -> SocketAddr {
    ([127, 0, 0, last], 7_380).into()
}

pub fn gateway_hello(name: &str, zone: &str) -> SessionHello {
    SessionHello { role: SessionRole::Follower, ..hello(name.into(), 1, zone.into(), address(90)) }
}

pub fn endpoint(number: u16) -> RegisteredEndpoint {
    RegisteredEndpoint {
        id: format!("e{number}").into(),
        name: format!("e{number}").into(),
        born_ms: 0,
        service: "quotes".into(),
        address: ([127, 0, 0, 1], 7_000 + number).into(),
        zone: "a".into(),
        slots: 8,
        leaving: false,
        software_version: "v1".into(),
    }
}

pub fn weights(adapter: &str) -> WeightsName {
    WeightsName::new("m", Some(adapter))
}

pub fn running(endpoint: &str, running: u32) -> EndpointLoad {
    EndpointLoad { endpoint: endpoint.into(), load: Load { running, ..Load::default() } }
}

/// A distributor of zone `a` with the other ends of its channels.
pub struct Zone {
    pub distributor: Distributor,
    pub now_ms: u64,
    pub link: mpsc::Receiver<SessionUp>,
    gateways: BTreeMap<u64, OutboxReceiver>,
}

impl Zone {
    /// A distributor linked to a leader that sent a routing configuration, two endpoints, a version
    /// and a placement.
    pub fn linked() -> Self {
        let (_, link) = mpsc::channel(1);
        let distributor = Distributor::new("a".into());
        let mut zone = Self { distributor, now_ms: 0, link, gateways: BTreeMap::new() };
        zone.link();
        zone
    }

    pub fn link(&mut self) {
        let (up, link) = mpsc::channel(1_000);
        self.link = link;
        self.distributor.linked(self.now_ms, up);
        self.down(SessionDown::Changes {
            index: 5,
            reset: true,
            complete: true,
            changes: vec![
                Change::Routing(Arc::new(configuration(4))),
                Change::Registered(endpoint(1)),
                Change::Registered(endpoint(2)),
                Change::Version(NewestVersion { name: weights("a1"), version: 3 }),
            ],
        });
        let placed = vec![placed("e1", "a1", Holding::Ready(2))];
        self.down(SessionDown::Placed { reset: true, placed });
    }

    pub fn down(&mut self, down: SessionDown) {
        self.distributor.handle_leader_message(self.now_ms, down);
    }

    pub fn open(&mut self, id: u64, name: &str, zone: &str) {
        let (down, queue) = outbox(u64::MAX);
        self.gateways.insert(id, queue);
        self.distributor.open(self.now_ms, id, gateway_hello(name, zone), down, Some(address(1)));
    }

    pub fn advance(&mut self, by_ms: u64) {
        for _ in 0..by_ms / 20 {
            self.now_ms += 20;
            self.distributor.tick(self.now_ms);
        }
    }

    /// Returns the messages sent to the leader.
    pub fn sent_to_leader(&mut self) -> Vec<SessionUp> {
        let mut received = Vec::new();
        while let Ok(up) = self.link.try_recv() {
            received.push(up);
        }
        received
    }

    /// Returns the messages sent to the gateway of session `id`.
    pub fn received(&mut self, id: u64) -> Vec<SessionDown> {
        let queue = self.gateways.get_mut(&id).expect("the session was opened");
        let mut received = Vec::new();
        while let Some(down) = queue.try_next() {
            received.push(down);
        }
        received
    }

    /// Confirms all renewals sent so far; returns the gateways in them.
    pub fn confirm(&mut self) -> Vec<Arc<str>> {
        let mut renewed = Vec::new();
        for up in self.sent_to_leader() {
            let SessionUp::RenewFor { number, gateways } = up else { continue };
            renewed.extend(gateways);
            self.down(SessionDown::RenewedFor { number });
        }
        renewed
    }

    /// Opens a session and completes its welcome.
    pub fn welcome(&mut self, id: u64, name: &str) {
        self.open(id, name, "a");
        self.advance(BATCHED_MS);
        self.confirm();
        let received = self.received(id);
        assert!(matches!(received.first(), Some(SessionDown::Welcome { .. })), "{received:?}");
    }
}

pub fn placed(endpoint: &str, adapter: &str, holding: Holding) -> Placed {
    Placed { endpoint: endpoint.into(), name: weights(adapter), holding }
}

pub fn is_renewed(received: &[SessionDown], value_ms: u64) -> bool {
    received.iter().any(
        |down| matches!(down, SessionDown::Renewed { sent_at_ms, .. } if *sent_at_ms == value_ms),
    )
}

impl Zone {
    pub fn report_use(&mut self, id: u64, uses: Vec<WorkspaceUse>) {
        let up = SessionUp::WorkspaceUse(uses);
        self.distributor.handle_session_message(self.now_ms, id, up);
    }

    pub fn uses_sent_to_leader(&mut self) -> Vec<Vec<WorkspaceUse>> {
        let mut sent = Vec::new();
        for up in self.sent_to_leader() {
            if let SessionUp::WorkspaceUse(uses) = up {
                sent.push(uses);
            }
        }
        sent
    }

    pub fn uses_received(&mut self, id: u64) -> Vec<Vec<WorkspaceUse>> {
        let mut received = Vec::new();
        for down in self.received(id) {
            if let SessionDown::WorkspaceUse(uses) = down {
                received.push(uses);
            }
        }
        received
    }
}
