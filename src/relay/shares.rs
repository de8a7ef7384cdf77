//! Counts the use of services by workspaces at this gateway and decides which requests are over
//! their workspace's share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use serde_json::json;
use tracing::info;

use super::exchange::Exchange;
use crate::clock::Clock;
use crate::message::WorkspaceUse;
use crate::metrics::Counter;
use crate::policy::fair_share::{FairShares, ShareChange, ShareClass};
use crate::routing::Workspace;

/// The shares of all workspaces.
#[derive(Debug)]
pub(super) struct Shares {
    shares: Mutex<FairShares>,
    clock: Clock,
}

impl Shares {
    /// Creates shares without counts; see [`FairShares::new`] for `seed`.
    pub(super) fn new(clock: Clock, seed: f64) -> Self {
        Self { shares: Mutex::new(FairShares::new(seed)), clock }
    }

    fn shares(&self) -> MutexGuard<'_, FairShares> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the weights of workspaces.
    pub(super) fn set_workspaces(&self, workspaces: &[Workspace]) {
        let quota = |workspace: &Workspace| workspace.quota.map(|quota| quota.rate_per_s);
        let quotas = workspaces.iter().map(|workspace| (workspace.name.clone(), quota(workspace)));
        self.shares().set_quotas(quotas);
    }

    /// Records a new request and returns its class.
    pub(super) fn classify(
        &self,
        now_ms: u64,
        service: &Arc<str>,
        workspace: &Arc<str>,
        units: u64,
    ) -> ShareClass {
        let (class, changes) = {
            let mut shares = self.shares();
            (shares.classify(now_ms, service, workspace, units), shares.take_changes())
        };
        for ShareChange { service, workspace, share } in changes {
            info!(
                event = "share_changed",
                service = %service,
                workspace = %workspace,
                share = share.share_per_s.round(),
                asked = share.asked_per_s.round()
            );
        }
        class
    }

    /// Records that an endpoint started the response to a request.
    pub(super) fn note_sent(
        &self,
        now_ms: u64,
        service: &Arc<str>,
        workspace: &Arc<str>,
        units: u64,
    ) {
        self.shares().note_sent(now_ms, service, workspace, units);
    }

    /// Counts a request as waiting for capacity until the returned value is dropped.
    fn begin_wait(&self, service: &Arc<str>, workspace: &Arc<str>) -> CapacityWait<'_> {
        self.shares().begin_wait(self.clock.now_ms(), service, workspace);
        CapacityWait { shares: self, service: service.clone(), workspace: workspace.clone() }
    }

    /// Records a session with a server of control.
    pub(super) fn linked(&self) {
        self.shares().linked(self.clock.now_ms());
    }

    /// Records the end of the session, if there is one.
    pub(super) fn unlinked(&self) {
        self.shares().unlinked(self.clock.now_ms());
    }

    /// Applies changes of the sums of all other gateways.
    pub(super) fn note_others(&self, uses: Vec<WorkspaceUse>) {
        self.shares().note_others(self.clock.now_ms(), uses);
    }

    /// Returns the counts to report now, if any.
    pub(super) fn take_report(&self) -> Vec<WorkspaceUse> {
        self.shares().take_report(self.clock.now_ms())
    }

    /// Returns the shares in force for the state dump.
    pub(super) fn dump(&self) -> Vec<serde_json::Value> {
        let mut shares = Vec::new();
        for ShareChange { service, workspace, share } in self.shares().shares(self.clock.now_ms()) {
            shares.push(json!({
                "service": service,
                "workspace": workspace,
                "share_per_s": share.share_per_s.round(),
                "asked_per_s": share.asked_per_s.round(),
            }));
        }
        shares
    }
}

/// A request that waits for capacity, until it is dropped.
pub(super) struct CapacityWait<'a> {
    shares: &'a Shares,
    service: Arc<str>,
    workspace: Arc<str>,
}

impl Drop for CapacityWait<'_> {
    fn drop(&mut self) {
        let now_ms = self.shares.clock.now_ms();
        self.shares.shares().end_wait(now_ms, &self.service, &self.workspace);
    }
}

/// Whether one request was counted, and its class.
#[derive(Debug, Default)]
pub(super) struct RequestShare {
    class: OnceLock<ShareClass>,
    is_sent: AtomicBool,
}

impl Exchange {
    /// The class of the request, decided when it first waits or is sent.
    pub(super) fn share(&self) -> ShareClass {
        let Some(workspace) = self.access.workspace.as_deref() else { return ShareClass::Within };
        *self.share.class.get_or_init(|| {
            let service = &self.chosen.service.name;
            let now_ms = self.relay.now_ms();
            let units = self.share_units();
            let class = self.relay.shares.classify(now_ms, service, &workspace.name, units);
            if class == ShareClass::Over {
                self.relay.metrics.count(Counter::RequestsOverShare);
            }
            class
        })
    }

    /// Counts the request as sent once an endpoint has started its response, unless an earlier send
    /// was counted. Sends that endpoints reject show no capacity.
    pub(super) fn note_share_sent(&self) {
        let Some(workspace) = self.access.workspace.as_deref() else { return };
        if !self.share.is_sent.swap(true, Ordering::Relaxed) {
            let service = &self.chosen.service.name;
            let now_ms = self.relay.now_ms();
            self.relay.shares.note_sent(now_ms, service, &workspace.name, self.share_units());
        }
    }

    /// Counts the request as waiting for capacity until the returned value is dropped; `None` if it
    /// has no workspace.
    pub(super) fn wait_for_capacity(&self) -> Option<CapacityWait<'_>> {
        let workspace = self.access.workspace.as_deref()?;
        Some(self.relay.shares.begin_wait(&self.chosen.service.name, &workspace.name))
    }

    /// The units of the request: unlike a quota's, those of one service are the same for all
    /// workspaces, so that they can be added up.
    fn share_units(&self) -> u64 {
        self.meta.tokens().unwrap_or(1)
    }
}
