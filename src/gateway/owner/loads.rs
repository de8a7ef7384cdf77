//! Loads adapters at an owned endpoint: obtains permits of the store's budget from control, runs the
//! loads and records their results.

use std::sync::Arc;

use ractor::ActorRef;
use tracing::{debug, warn};

use super::{OwnerMessage, OwnerState};
use crate::endpoint::Endpoint;
use crate::error::{Error, Result};
use crate::gateway::shared::Shared;
use crate::message::{AdapterKey, ControlReply, ControlRequest, PermitRequest};
use crate::metrics::{Counter, Timer};

/// Longest time that a permit request waits at control.
const PERMIT_WAIT_MS: u32 = 2_000;
/// Delay before the next permit request when control did not answer.
const PERMIT_RETRY_MS: u64 = 200;

impl OwnerState {
    /// Records the result of a load.
    pub(super) fn record_load(
        &mut self,
        now_ms: u64,
        adapter: &AdapterKey,
        took_ms: u64,
        result: &Result<()>,
    ) {
        let endpoint = self.record.name();
        match result {
            Ok(()) => {
                self.shared.metrics.count(Counter::LoadsDone);
                self.shared.metrics.time(Timer::Load, took_ms);
                debug!(event = "loaded", endpoint = %endpoint, adapter = %adapter, took_ms = took_ms);
            }
            Err(error) => {
                self.shared.metrics.count(Counter::LoadsFailed);
                warn!(event = "load_failed", endpoint = %endpoint, adapter = %adapter, error = %error);
                self.status_due_ms = now_ms;
            }
        }
        self.owner.load_ended(now_ms, adapter, took_ms, result.is_ok());
    }

    /// Requests a permit from control; the reply arrives as [`OwnerMessage::Permit`].
    pub(super) fn request_permit(&self, urgency: f32, myself: &ActorRef<OwnerMessage>) {
        let shared = self.shared.clone();
        let myself = myself.clone();
        let request = PermitRequest {
            gateway: shared.settings.common.name.clone(),
            gateway_epoch: shared.lease.epoch(),
            urgency,
            wait_ms: PERMIT_WAIT_MS,
        };
        tokio::spawn(async move {
            let request = ControlRequest::Permit(request);
            let message = match shared.control.call(&request, u64::from(PERMIT_WAIT_MS) * 2).await {
                Ok(ControlReply::Permit { permit_id, .. }) => {
                    OwnerMessage::Permit(Some(permit_id), 0)
                }
                Ok(ControlReply::NoPermit { retry_after_ms }) => {
                    OwnerMessage::Permit(None, u64::from(retry_after_ms))
                }
                _ => OwnerMessage::Permit(None, PERMIT_RETRY_MS),
            };
            if let Err(error) = myself.cast(message) {
                debug!(event = "permit_unused", error = %error);
            }
        });
    }

    /// Loads an adapter with a permit, after unloading `evict` if given; the result arrives as
    /// [`OwnerMessage::LoadEnded`].
    pub(super) fn load(
        &self,
        adapter: AdapterKey,
        evict: Option<AdapterKey>,
        permit: u64,
        myself: &ActorRef<OwnerMessage>,
    ) {
        let shared = self.shared.clone();
        let endpoint = self.endpoint.clone();
        let epoch = self.record.epoch;
        let myself = myself.clone();
        tokio::spawn(async move {
            let started_ms = shared.now_ms();
            let result = load(&shared, &*endpoint, epoch, &adapter, evict).await;
            return_permit(shared.clone(), permit).await;
            let took_ms = shared.now_ms() - started_ms;
            let _ = myself.cast(OwnerMessage::LoadEnded { adapter, took_ms, result });
        });
    }
}

async fn load(
    shared: &Shared,
    endpoint: &dyn Endpoint,
    epoch: u64,
    adapter: &AdapterKey,
    evict: Option<AdapterKey>,
) -> Result<()> {
    let lease_lost =
        || Error::refused("order", "endpoint", "the lease of this gateway has expired");
    if let Some(victim) = evict {
        if !shared.lease.is_valid(shared.now_ms()) {
            return Err(lease_lost());
        }
        endpoint.unload(epoch, victim).await?;
        shared.metrics.count(Counter::Unloads);
    }
    if !shared.lease.is_valid(shared.now_ms()) {
        return Err(lease_lost());
    }
    endpoint.load(epoch, adapter.clone()).await
}

/// Returns a permit to control.
pub(super) async fn return_permit(shared: Arc<Shared>, permit_id: u64) {
    let gateway = shared.settings.common.name.clone();
    let request = ControlRequest::PermitDone { gateway, permit_id };
    if let Err(error) = shared.control.call(&request, 1_000).await {
        // Not retried, since the permit expires by itself.
        debug!(event = "permit_not_returned", error = %error);
    }
}
