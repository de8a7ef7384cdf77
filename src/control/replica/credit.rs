//! Grants of workspace quota credit to gateways, at once or when credit becomes available.

use std::sync::Arc;

use super::Replica;
use crate::message::{CreditAsk, SessionDown};
use crate::policy::quota::HolderGrant;

impl Replica {
    /// Sends `holder`, which is connected by `session`, the grants that need not wait for credit.
    pub(super) fn answer_credit_asks(
        &mut self,
        now_ms: u64,
        session: u64,
        holder: &Arc<str>,
        asks: &[CreditAsk],
    ) {
        let mut grants = Vec::with_capacity(asks.len());
        for ask in asks {
            grants.extend(self.registered.credit.ask(now_ms, holder, ask));
        }
        if let Some(session) = self.sessions.get(&session)
            && !grants.is_empty()
        {
            session.send(SessionDown::Credit(grants));
        }
    }

    /// Sends the grants that had to wait for credit and are due.
    pub(super) fn send_due_grants(&mut self, now_ms: u64) {
        for HolderGrant { holder, grant } in self.registered.credit.advance(now_ms) {
            let mut sessions = self.sessions.values();
            if let Some(session) = sessions.find(|session| session.hello.name == holder) {
                session.send(SessionDown::Credit(vec![grant]));
            }
        }
    }
}
