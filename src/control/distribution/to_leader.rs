//! What a distributor reports to the leader, and asks of it, for its gateways.

use std::collections::BTreeMap;
use std::sync::Arc;

use tracing::warn;

use super::Distributor;
use crate::message::{CreditAsk, EndpointLoad, Load, SessionDown, SessionUp};
use crate::policy::endpoint_speed;

impl Distributor {
    /// Renews the link, if that is due.
    pub(super) fn renew(&mut self, now_ms: u64) {
        if self.link.is_none() || !self.renewals.is_due(now_ms) {
            return;
        }
        let (number, renewing) = self.renewals.start(now_ms);
        let mut gateways = Vec::new();
        for session in renewing {
            let Some(session) = self.sessions.get(&session) else { continue };
            gateways.push(session.hello.name.clone());
        }
        self.send_up(SessionUp::RenewFor { number, gateways });
    }

    /// Answers a gateway's asks for credit where the leader need not be asked first.
    pub(super) fn answer_credit_asks(
        &mut self,
        now_ms: u64,
        id: u64,
        gateway: &Arc<str>,
        asks: Vec<CreditAsk>,
    ) {
        let mut grants = Vec::new();
        for ask in asks {
            grants.extend(self.credit.ask(now_ms, gateway, ask));
        }
        if let Some(session) = self.sessions.get(&id)
            && !grants.is_empty()
        {
            session.send(SessionDown::Credit(grants));
        }
        self.ask_for_credit(now_ms);
    }

    pub(super) fn ask_for_credit(&mut self, now_ms: u64) {
        let asks = self.credit.take_asks(now_ms);
        if !asks.is_empty() {
            self.send_up(SessionUp::CreditAsks(asks));
        }
    }

    pub(super) fn broadcast_loads(&mut self, now_ms: u64) {
        let own = self.counts.totals(now_ms, self.sessions.values(), self.view.remote_endpoints());
        let mut totals = own.clone();
        for (endpoint, total) in &mut totals {
            *total = total.saturating_add(self.view.remote_load(endpoint));
            self.view.note_total(endpoint, total);
        }
        for session in self.sessions.values_mut() {
            if session.epoch.is_some() {
                session.send_loads(&totals, self.view.work());
            }
        }
        self.report_own_loads(own);
    }

    /// Reports the summed loads of the gateways here to the leader, where they changed.
    pub(super) fn report_own_loads(&mut self, own: BTreeMap<Arc<str>, Load>) {
        let mut loads = Vec::new();
        for (endpoint, load) in own {
            let reported = self.reported_loads.get(&endpoint).copied().unwrap_or_default();
            // New samples alone are reported only where they show a different speed.
            let service = self.view.work().of_service_with(&endpoint);
            if load.without_work() == reported.without_work()
                && !endpoint_speed::is_worth_reporting(&reported, &load, service)
            {
                continue;
            }
            self.reported_loads.insert(endpoint.clone(), load);
            loads.push(EndpointLoad { endpoint, load });
        }
        if !loads.is_empty() {
            let (used, failing) = (Vec::new(), Vec::new());
            self.send_up(SessionUp::Traffic { loads, used, failing });
        }
    }

    pub(super) fn forward(&mut self) {
        // Without a link, messages are kept for the next leader; gateways are redirected before
        // many accumulate.
        if self.link.is_some() && !self.forwarded.is_empty() {
            let forwarded = std::mem::take(&mut self.forwarded);
            self.send_up(SessionUp::Forwarded(forwarded));
        }
    }

    pub(super) fn forward_heartbeats(&mut self) {
        if self.link.is_some() && !self.heartbeats.is_empty() {
            let heartbeats = std::mem::take(&mut self.heartbeats).into_values().collect();
            self.send_up(SessionUp::Heartbeats(heartbeats));
        }
    }

    /// Sends a message to the leader. Messages are dropped while the queue is full; a leader that
    /// stops answering loses the link.
    pub(super) fn send_up(&mut self, up: SessionUp) {
        let Some(link) = &self.link else { return };
        if let Err(error) = link.try_send(up) {
            warn!(event = "link_full", error = %error);
        }
    }
}
