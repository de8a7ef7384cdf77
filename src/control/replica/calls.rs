//! Calls of gateways, operators and endpoints.

use tracing::info;

use super::reads::Read;
use super::{Replica, Waiter};
use crate::control::ledger::Settlement;
use crate::control::permit::PermitOutcome;
use crate::control::raft::Member;
use crate::control::reply::Reply;
use crate::control::state::Operation;
use crate::message::{ControlReply, ControlRequest, ProbeReply};

/// How long a gateway may wait for a permit to load weights.
const PERMIT_WAIT_MAX_MS: u64 = 5_000;

impl Replica {
    /// Handles a call; the answer goes to `reply`.
    pub fn call(&mut self, now_ms: u64, wall_ms: u64, request: ControlRequest, reply: Reply) {
        if let ControlRequest::Probe = request {
            reply.send(ControlReply::Probe(ProbeReply::Established));
            return;
        }
        if !self.leading {
            reply.send(self.not_leader());
            return;
        }
        match request {
            ControlRequest::Probe => {}
            ControlRequest::Join { id, name, address } => {
                self.add_learner(id, Member { name, address, voter: false });
                reply.send(ControlReply::Joining);
            }
            ControlRequest::Apply { documents, dry_run: true } => {
                self.read(Read::DryRun { documents, reply });
            }
            ControlRequest::Apply { documents, dry_run: false } => {
                self.propose(wall_ms, Operation::Apply { documents }, Waiter::Call(reply));
            }
            ControlRequest::Get { kind, name } => self.read(Read::Get { kind, name, reply }),
            ControlRequest::Status => self.read(Read::Status(reply)),
            ControlRequest::GetRouting => self.read(Read::Routing(reply)),
            ControlRequest::PutRouting { configuration, document } => {
                self.put_routing(now_ms, wall_ms, configuration, document, reply);
            }
            ControlRequest::PutVersion(newest) => self.put_version(wall_ms, newest, reply),
            ControlRequest::Heartbeat(heartbeat) => {
                self.heartbeat(now_ms, wall_ms, heartbeat, reply);
            }
            ControlRequest::Deregister(end) => {
                self.deregister_endpoint(now_ms, wall_ms, end, reply);
            }
            ControlRequest::Claim(claim) => {
                self.propose(wall_ms, Operation::Claim(claim), Waiter::Call(reply));
            }
            ControlRequest::Settle { key, claim_id, settlement } => {
                self.make_room_for_answer(wall_ms, &settlement);
                let operation = Operation::Settle { key, claim_id, settlement };
                self.propose(wall_ms, operation, Waiter::Call(reply));
            }
            ControlRequest::Permit(request) => {
                if self.state.fleet.gateway_epoch(&request.gateway) != Some(request.gateway_epoch) {
                    reply.send(ControlReply::NoPermit { retry_after_ms: 500 });
                    return;
                }
                self.next_token += 1;
                let wait_ms = u64::from(request.wait_ms).min(PERMIT_WAIT_MAX_MS);
                self.permit_waiters.insert(self.next_token, reply);
                let (token, urgency) = (self.next_token, request.urgency);
                self.permits.request(now_ms, token, request.gateway, urgency, wait_ms);
                self.poll_permits(now_ms);
            }
            ControlRequest::PermitDone { gateway, permit_id } => {
                self.permits.return_permit(&gateway, permit_id);
                reply.send(ControlReply::PermitReturned);
                self.poll_permits(now_ms);
            }
        }
    }

    /// Has the oldest recorded answers dropped if `settlement` has one for which there is no room.
    fn make_room_for_answer(&mut self, wall_ms: u64, settlement: &Settlement) {
        let Settlement::Finished(Some(answer)) = settlement else { return };
        let (held_bytes, limits) = (self.state.ledger.answers_bytes(), self.settings.limits);
        if held_bytes + answer.size_bytes() <= limits.answers_max_bytes {
            return;
        }
        let max_bytes = limits.answers_kept_bytes();
        info!(event = "answers_dropped", held_bytes, max_bytes);
        self.propose(wall_ms, Operation::KeepAnswers { max_bytes }, Waiter::NoReply);
    }

    fn add_learner(&mut self, id: u64, member: Member) {
        if self.raft.members().0.contains_key(&id) {
            return;
        }
        info!(event = "replica_joins", replica = %member.name, id = id);
        let mut members = self.raft.members().clone();
        // A learner of the same name was lost before its promotion.
        members.0.retain(|_, known| known.voter || known.name != member.name);
        members.0.insert(id, member);
        self.raft.propose_members(members);
    }

    pub(super) fn poll_permits(&mut self, now_ms: u64) {
        for (token, outcome) in self.permits.poll(now_ms) {
            let Some(reply) = self.permit_waiters.remove(&token) else { continue };
            let answer = match outcome {
                PermitOutcome::Granted(permit_id) => {
                    let valid_ms = self.settings.store.load_timeout_ms as u32;
                    ControlReply::Permit { permit_id, valid_ms }
                }
                PermitOutcome::Denied(retry_after_ms) => {
                    ControlReply::NoPermit { retry_after_ms: retry_after_ms as u32 }
                }
            };
            if let (false, PermitOutcome::Granted(permit_id)) = (reply.send(answer), outcome) {
                self.permits.revoke(permit_id);
            }
        }
    }
}
