//! Calls of a platform's interface to the replica in the same process.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use crate::control::distribution::HeartbeatResult;
use crate::control::serving::Stage;
use crate::message::{ControlReply, ControlRequest};

/// A caller that waits longer than a second goes elsewhere, so an answer later than this is lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// The replica of this process, as its platform's interface calls it.
#[derive(Clone)]
pub struct ControlApi {
    stage: Arc<RwLock<Stage>>,
}

/// What came of a call.
#[derive(Debug)]
pub enum CallOutcome {
    /// The leader's answer.
    Answered(ControlReply),
    /// Another replica leads, at this address among replicas.
    Elsewhere(SocketAddr),
    /// Nothing certain can be said now; the caller may come again.
    Unknown,
}

impl ControlApi {
    /// The replica that `stage` comes to run.
    pub fn new(stage: Arc<RwLock<Stage>>) -> Self {
        Self { stage }
    }

    /// Makes one call.
    pub async fn call(&self, request: ControlRequest) -> CallOutcome {
        let running = match &*self.stage.read().unwrap_or_else(PoisonError::into_inner) {
            Stage::Running(running) => running.clone(),
            Stage::Empty | Stage::Founding => return CallOutcome::Unknown,
        };
        if let ControlRequest::Heartbeat(heartbeat) = &request
            && !running.leads.load(Ordering::Relaxed)
        {
            let taken = running.distributor.heartbeat(heartbeat.clone()).await;
            if let Some(HeartbeatResult { accepted: true, server }) = taken {
                return CallOutcome::Answered(ControlReply::Heard { server });
            }
        }
        match running.call(request, CALL_TIMEOUT).await {
            ControlReply::NotLeader { leader: Some(leader) } => CallOutcome::Elsewhere(leader),
            ControlReply::NotLeader { leader: None } | ControlReply::Lost => CallOutcome::Unknown,
            reply => CallOutcome::Answered(reply),
        }
    }
}
