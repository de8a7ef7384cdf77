//! Grants of workspace quota credit to gateways, at once or when credit becomes available.

use std::net::SocketAddr;

use super::Replica;
use crate::message::{CreditAsk, SessionDown, SessionRole};
use crate::policy::quota::{HolderGrant, HolderKind};

impl Replica {
    /// Sends the holder that is connected by `session` the grants that need not wait for credit.
    ///
    /// Asks are held while this leader has no lease, because another one may grant credit by then.
    pub(super) fn answer_credit_asks(&mut self, now_ms: u64, session: u64, asks: Vec<CreditAsk>) {
        if now_ms >= self.raft.lease_until_ms() {
            self.registered.held_credit_asks.push((session, asks));
            return;
        }
        let Some(connected) = self.sessions.get(&session) else { return };
        let (holder, kind) = match connected.hello.role {
            SessionRole::Distributor => (&connected.hello.name, HolderKind::Distributor),
            _ => (&connected.hello.name, HolderKind::Gateway),
        };
        let mut grants = Vec::with_capacity(asks.len());
        for ask in &asks {
            grants.extend(self.registered.credit.ask(now_ms, holder, kind, ask));
        }
        if !grants.is_empty() {
            connected.send(SessionDown::Credit(grants));
        }
    }

    /// Records that the distributor at `address` has stated its standing rates: it does so before
    /// its first renewal.
    pub(super) fn record_stated_credit(&mut self, address: SocketAddr) {
        if self.registered.held_credit_asks.is_empty() {
            self.registered.credit.record_stated(address);
        }
    }

    /// Sends the grants that had to wait for credit or for the lease and are due.
    pub(super) fn send_due_grants(&mut self, now_ms: u64) {
        if now_ms >= self.raft.lease_until_ms() {
            return;
        }
        for (session, asks) in std::mem::take(&mut self.registered.held_credit_asks) {
            self.answer_credit_asks(now_ms, session, asks);
        }
        for HolderGrant { holder, grant } in self.registered.credit.advance(now_ms) {
            let mut sessions = self.sessions.values();
            if let Some(session) = sessions.find(|session| session.hello.name == holder) {
                session.send(SessionDown::Credit(vec![grant]));
            }
        }
    }
}
