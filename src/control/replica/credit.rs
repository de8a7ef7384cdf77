//! Credit of workspaces: answers to holders, at once or when it has come in.

use std::sync::Arc;

use super::Replica;
use crate::message::{CreditAsk, SessionDown};
use crate::policy::quota::HolderGrant;

impl Replica {
    /// Answers what the holder behind `session` has and wants, as far as that need not wait.
    pub(super) fn answer_credit(
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

    /// Answers asks for credit that waited for it to come in.
    pub(super) fn tell_credit(&mut self, now_ms: u64) {
        for HolderGrant { holder, grant } in self.registered.credit.advance(now_ms) {
            let mut sessions = self.sessions.values();
            if let Some(session) = sessions.find(|session| session.hello.name == holder) {
                session.send(SessionDown::Credit(vec![grant]));
            }
        }
    }
}
