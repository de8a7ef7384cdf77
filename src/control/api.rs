//! Access to the replica of this process for a platform's interface.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use crate::control::admission::{Admissions, Admitted};
use crate::control::distribution::HeartbeatResult;
use crate::control::serving::{Running, Stage};
use crate::message::{ControlReply, ControlRequest};
use crate::policy::change_budget::ChangeRefusal;

/// Callers give up after a second and call another replica, so a later answer would be lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Calls the replica of this process.
#[derive(Clone)]
pub struct ControlApi {
    stage: Arc<RwLock<Stage>>,
}

/// The outcome of a call.
#[derive(Debug)]
pub enum CallOutcome {
    /// The leader's answer.
    Answered(ControlReply),
    /// Another replica leads, at this address among replicas.
    Elsewhere(SocketAddr),
    /// The outcome is unknown; the caller may retry.
    Unknown,
}

/// Why a change was not taken on.
#[derive(Debug)]
pub enum NotAdmitted {
    /// This replica does not serve the call.
    Unserved(Box<CallOutcome>),
    /// It is too large, or there are too many others.
    Refused(ChangeRefusal),
}

impl ControlApi {
    /// Creates an interface to the replica that runs once `stage` is [`Stage::Running`].
    pub fn new(stage: Arc<RwLock<Stage>>) -> Self {
        Self { stage }
    }

    /// Takes a change of `size_bytes` on before it is parsed, and waits for its turn.
    ///
    /// # Errors
    /// Why it was not taken on, or the outcome of a call that this replica does not serve.
    pub async fn admit(&self, size_bytes: u64) -> Result<Admitted, NotAdmitted> {
        let admissions = self.admissions()?;
        admissions.admit(size_bytes).await.map_err(NotAdmitted::Refused)
    }

    /// Returns whether a change of `size_bytes` that has yet to arrive would be taken on now.
    ///
    /// # Errors
    /// Like [`admit`](Self::admit).
    pub fn check_admission(&self, size_bytes: u64) -> Result<(), NotAdmitted> {
        self.admissions()?.check(size_bytes).map_err(NotAdmitted::Refused)
    }

    /// What takes changes on, if this replica does.
    fn admissions(&self) -> Result<Admissions, NotAdmitted> {
        let Some(running) = self.running() else {
            return Err(NotAdmitted::Unserved(Box::new(CallOutcome::Unknown)));
        };
        if let Some(reply) = running.elsewhere() {
            return Err(NotAdmitted::Unserved(Box::new(reply.into())));
        }
        Ok(running.admissions)
    }

    /// Sends one call to the replica. While another replica leads, heartbeats go to the distributor
    /// of this process.
    pub async fn call(&self, request: ControlRequest) -> CallOutcome {
        self.call_admitted(request, None).await
    }

    /// Like [`call`](Self::call), for a change that was taken on before.
    pub async fn call_admitted(
        &self,
        request: ControlRequest,
        admitted: Option<Admitted>,
    ) -> CallOutcome {
        let Some(running) = self.running() else { return CallOutcome::Unknown };
        if let ControlRequest::Heartbeat(heartbeat) = &request
            && !running.leads.load(Ordering::Relaxed)
        {
            let result = running.distributor.heartbeat(heartbeat.clone()).await;
            if let Some(HeartbeatResult { accepted: true, server }) = result {
                return CallOutcome::Answered(ControlReply::Heard { server });
            }
        }
        running.call(request, admitted, CALL_TIMEOUT).await.into()
    }

    fn running(&self) -> Option<Running> {
        match &*self.stage.read().unwrap_or_else(PoisonError::into_inner) {
            Stage::Running(running) => Some(running.clone()),
            Stage::Empty | Stage::Founding => None,
        }
    }
}

impl From<ControlReply> for CallOutcome {
    fn from(reply: ControlReply) -> Self {
        match reply {
            ControlReply::NotLeader { leader: Some(leader) } => Self::Elsewhere(leader),
            ControlReply::NotLeader { leader: None } | ControlReply::Lost => Self::Unknown,
            reply => Self::Answered(reply),
        }
    }
}
