//! Reads that wait until a quorum has confirmed that this replica still leads.

use std::sync::Arc;

use super::Replica;
use super::sessions::Renewal;
use crate::control::placement::UsageSource;
use crate::control::reply::Reply;
use crate::document::{Document, DocumentKind};
use crate::message::OriginAsk;

/// A read that waits for a quorum round.
pub(super) enum Read {
    Renewals(Vec<Renewal>),
    Welcome {
        session: u64,
    },
    Routing(Reply),
    Get {
        kind: Option<DocumentKind>,
        name: Option<Arc<str>>,
        reply: Reply,
    },
    Status(Reply),
    DryRun {
        documents: Vec<Document>,
        reply: Reply,
    },
    /// A gateway's question where a stream began.
    Origin {
        from: UsageSource,
        ask: OriginAsk,
    },
}

impl Replica {
    pub(super) fn read(&mut self, read: Read) {
        self.next_token += 1;
        let token = self.next_token;
        if self.raft.request_read(token) {
            self.reads.insert(token, read);
            return;
        }
        self.fail_read(read);
    }

    pub(super) fn fail_read(&mut self, read: Read) {
        let not_leader = self.not_leader();
        match read {
            Read::Renewals(renewals) => {
                for renewal in renewals {
                    let (Renewal::Direct { session, .. } | Renewal::ViaDistributor { session, .. }) =
                        renewal;
                    self.redirect_session(session);
                }
            }
            Read::Welcome { session } => self.redirect_session(session),
            // The gateway gives up after a while, or with its session.
            Read::Origin { .. } => {}
            Read::Get { reply, .. }
            | Read::Status(reply)
            | Read::DryRun { reply, .. }
            | Read::Routing(reply) => {
                reply.send(not_leader);
            }
        }
    }
}
