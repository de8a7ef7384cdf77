//! Access to the replica of this process for a platform's interface.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use crate::control::distribution::HeartbeatResult;
use crate::control::serving::Stage;
use crate::message::{ControlReply, ControlRequest};

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

impl ControlApi {
    /// Creates an interface to the replica that runs once `stage` is [`Stage::Running`].
    pub fn new(stage: Arc<RwLock<Stage>>) -> Self {
        Self { stage }
    }

    /// Sends one call to the replica. While another replica leads, heartbeats go to the distributor
    /// of this process.
    pub async fn call(&self, request: ControlRequest) -> CallOutcome {
        let running = match &*self.stage.read().unwrap_or_else(PoisonError::into_inner) {
            Stage::Running(running) => running.clone(),
            Stage::Empty | Stage::Founding => return CallOutcome::Unknown,
        };
        if let ControlRequest::Heartbeat(heartbeat) = &request
            && !running.leads.load(Ordering::Relaxed)
        {
            let result = running.distributor.heartbeat(heartbeat.clone()).await;
            if let Some(HeartbeatResult { accepted: true, server }) = result {
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
