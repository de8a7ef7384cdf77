//! The state that all requests of a relay share: routes, endpoints, connections, retry budgets and
//! the send lease.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use rand::RngExt;
use tokio::sync::{Notify, mpsc};
use tracing::info;

use super::border::PlatformHeaders;
use super::budget::RetryBudget;
use super::crashes::CrashWatch;
use super::fleet::Fleet;
use super::gateway_count::{GatewayCount, NO_SHARE};
use super::orders::SendLease;
use super::origins::Origins;
use super::pool::ConnectionPool;
use super::queue::RequestQueue;
use super::quota::QuotaGate;
use super::reach::{Suspect, Suspicion};
use super::shares::Shares;
use super::slots::Slots;
use super::stopping::Stopping;
use crate::clock::Clock;
use crate::message::{AdapterNeed, Change, EndpointLoad, NewestVersion, Placed, WeightsName};
use crate::metrics::{Counter, Metrics};
use crate::policy::freshness::Freshness;
use crate::policy::peers::PeerGateways;
use crate::policy::reach::BrokenSends;
use crate::policy::resend::ResendOutcomes;
use crate::policy::waiting_queue::QueueLimits;
use crate::routing::RouteTable;
use crate::settings::RelaySettings;
use crate::wire::Peers;

/// The number of changes in one message up to which each is logged; a gateway that starts receives
/// thousands.
const LOGGED_CHANGES_MAX: usize = 200;

/// The state that all requests of a relay share.
pub struct Relay {
    pub settings: RelaySettings,
    pub metrics: Metrics,
    pub(super) platform_headers: Arc<dyn PlatformHeaders>,
    pub(super) pool: ConnectionPool,
    /// Notified when routes or standings arrive.
    pub(super) changed: Notify,
    pub(super) queue: Arc<RequestQueue>,
    /// Notified when a newer version of weights becomes known.
    pub(super) version_known: Notify,
    pub(super) send_lease: SendLease,
    pub(super) quota: QuotaGate,
    pub(super) shares: Shares,
    pub(super) origins: Origins,
    pub(super) clock: Clock,
    fleet: Mutex<Fleet>,
    table: RwLock<Arc<RouteTable>>,
    budgets: Mutex<HashMap<Arc<str>, RetryBudget>>,
    resends: Mutex<ResendOutcomes>,
    needs: mpsc::UnboundedSender<AdapterNeed>,
    pub(super) crashes: CrashWatch,
    gateways: Mutex<GatewayCount>,
    pub(super) freshness: Mutex<Freshness>,
    /// Notified when the leader confirms a renewal.
    pub(super) confirmed: Notify,
    pub(super) stopping: Stopping,
    pub(super) in_progress: AtomicU32,
    /// Endpoints to check.
    pub(super) suspects: mpsc::UnboundedSender<Suspect>,
    pub(super) broken_sends: Mutex<BrokenSends>,
    pub(super) peers: Mutex<PeerGateways>,
    pub(super) peer_connections: Peers,
    /// Notified when the leader should be asked for other gateways.
    pub(super) peers_wanted: Notify,
    /// Requests of other gateways in progress, and the size of their bodies.
    pub(super) detours: AtomicU32,
    pub(super) detour_bytes: AtomicUsize,
    pub(super) slots: Slots,
}

impl Relay {
    /// Creates the state of a relay that has no routes or endpoints yet.
    pub(super) fn new(
        settings: RelaySettings,
        platform_headers: Arc<dyn PlatformHeaders>,
        metrics: Metrics,
        needs: mpsc::UnboundedSender<AdapterNeed>,
        crashes: CrashWatch,
        suspects: mpsc::UnboundedSender<Suspect>,
    ) -> Self {
        let clock = Clock::new();
        let fleet = Fleet::new(settings.zone.clone(), rand::rng().random())
            .with_gateway(settings.name.clone())
            .with_version_within(settings.version_within_ms);
        let queue = RequestQueue::new(clock, metrics.clone(), QueueLimits::default());
        let gateways = GatewayCount::new(settings.retry.window_ms);
        let freshness = Freshness::new(settings.changes_within_ms);
        let peers = PeerGateways::new(settings.name.clone(), settings.zone.clone());
        let peer_connections = Peers::new().with_metrics(metrics.clone());
        Self {
            settings,
            metrics,
            platform_headers,
            pool: ConnectionPool::new(clock),
            changed: Notify::new(),
            queue: Arc::new(queue),
            version_known: Notify::new(),
            send_lease: SendLease::new(clock),
            quota: QuotaGate::new(clock),
            shares: Shares::new(clock, rand::rng().random()),
            origins: Origins::new(clock),
            clock,
            fleet: Mutex::new(fleet),
            table: RwLock::default(),
            budgets: Mutex::default(),
            resends: Mutex::default(),
            needs,
            crashes,
            gateways: Mutex::new(gateways),
            freshness: Mutex::new(freshness),
            confirmed: Notify::new(),
            stopping: Stopping::default(),
            in_progress: AtomicU32::new(0),
            suspects,
            broken_sends: Mutex::default(),
            peers: Mutex::new(peers),
            peer_connections,
            peers_wanted: Notify::new(),
            detours: AtomicU32::new(0),
            detour_bytes: AtomicUsize::new(0),
            slots: Slots::default(),
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Records that `endpoint` broke off a response or answered wrongly.
    pub(super) fn note_failure(&self, endpoint: &Arc<str>) {
        if self.fleet().failed(self.now_ms(), endpoint) {
            self.suspect(endpoint, Suspicion::Failing);
        }
    }

    /// Probes an endpoint that has been silent for long.
    pub(super) fn probe_silent(&self, endpoint: &str) {
        let Some(known) = self.fleet().endpoint(endpoint) else { return };
        self.crashes.probe_silent(self.now_ms(), known);
    }

    pub(super) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn gateways(&self) -> MutexGuard<'_, GatewayCount> {
        self.gateways.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The routing table in force.
    pub fn table(&self) -> Arc<RouteTable> {
        self.table.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn set_gateways(&self, gateways: u32) {
        self.gateways().set_reported(self.now_ms(), gateways);
        self.fleet().set_gateways(self.now_ms(), gateways);
    }

    /// True from the time requests can be served until a graceful shutdown begins.
    pub fn is_ready(&self) -> bool {
        let table = self.table();
        let serves = !table.needs_key_everywhere() || self.keys_valid_ms(self.now_ms()) > 0;
        table.version() > 0 && self.has_been_confirmed() && serves && !self.is_stopping()
    }

    /// Starts a graceful shutdown that waits for answers until `ends_at_ms`.
    pub fn stop(&self, ends_at_ms: u64) {
        self.stopping.begin(ends_at_ms);
    }

    /// True once a graceful shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.ends_at_ms().is_some()
    }

    /// The number of requests whose responses are not complete yet.
    pub fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Applies changes sent by the leader; `reset` drops the endpoints and standings that they do
    /// not name.
    pub(super) fn follow(&self, reset: bool, changes: Vec<Change>) {
        let now_ms = self.now_ms();
        // A version that arrives now was accepted after the last confirmed renewal was sent,
        // perhaps right after it. If the message was delayed, the version must not count as named
        // only now.
        let published_since_ms = now_ms - self.known_age_ms(now_ms).unwrap_or(now_ms);
        let mut has_new_version = false;
        let mut ids = Vec::new();
        let mut requests = HashSet::new();
        let is_long = changes.len() > LOGGED_CHANGES_MAX;
        if is_long {
            info!(event = "changes_known", reset, changes = changes.len());
        }
        let mut fleet = self.fleet();
        let mut registered = Vec::new();
        for change in &changes {
            if let Change::Registered(endpoint) = change {
                registered.push(endpoint);
            }
        }
        for replaced in fleet.replaced_by(&registered) {
            info!(event = "endpoint_replaced", endpoint = %replaced.id);
            self.crashes.note_replaced(now_ms, &replaced);
        }
        for change in changes {
            match change {
                Change::Routing(configuration) => self.set_table(RouteTable::new(configuration)),
                Change::Registered(endpoint) => {
                    ids.push(endpoint.id.clone());
                    if !is_long {
                        info!(
                            event = "endpoint_known",
                            endpoint = %endpoint.id,
                            address = %endpoint.address,
                            software = %endpoint.software_version,
                            leaving = endpoint.leaving
                        );
                    }
                    fleet.register(endpoint);
                }
                Change::Deregistered(id) => {
                    info!(event = "endpoint_gone", endpoint = %id);
                    if let Some(address) = fleet.deregister(&id) {
                        self.pool.forget(address);
                    }
                }
                Change::Version(newest) => {
                    let NewestVersion { name, version } = newest;
                    let age_ms = now_ms - published_since_ms;
                    info!(event = "weights_version_known", weights = %name, version, age_ms);
                    log_held_older(&fleet, now_ms, &name, version);
                    fleet.set_newest(published_since_ms, name, version);
                    has_new_version = true;
                }
                Change::VersionOfUnknownAge(newest) => {
                    let NewestVersion { name, version } = newest;
                    if !is_long {
                        let age = "unknown";
                        info!(event = "weights_version_known", weights = %name, version, age);
                    }
                    fleet.learn_newest(now_ms, name, version);
                    has_new_version = true;
                }
                Change::Standing(standing) => {
                    requests.insert(standing.key);
                    self.crashes.apply_standing(now_ms, standing);
                }
                _ => {}
            }
        }
        if reset {
            fleet.keep_only(&ids);
            self.crashes.retain_standings(&requests);
        }
        drop(fleet);
        self.changed.notify_waiters();
        self.note_places(|_| true);
        if has_new_version {
            self.version_known.notify_waiters();
        }
    }

    fn set_table(&self, table: RouteTable) {
        let mut known = self.table.write().unwrap_or_else(PoisonError::into_inner);
        if table.version() <= known.version() {
            return;
        }
        info!(event = "routing_in_force", version = table.version(), before = known.version());
        self.shares.set_workspaces(&table.configuration().workspaces);
        *known = Arc::new(table);
    }

    pub(super) fn apply_placements(&self, reset: bool, placed: Vec<Placed>) {
        let names: HashSet<_> = placed.iter().map(|placed| placed.name.clone()).collect();
        self.fleet().place(reset, placed);
        let is_placed = |name: &WeightsName| reset || names.contains(name);
        self.note_places(|key| key.weights.as_ref().is_some_and(is_placed));
    }

    /// Applies the load of the other gateways.
    pub(super) fn apply_loads(&self, loads: Vec<EndpointLoad>) {
        let counted: Vec<_> = loads.iter().map(|load| load.endpoint.clone()).collect();
        self.fleet().note_loads(self.now_ms(), loads);
        self.note_counts(&counted);
    }

    /// Asks the leader to load weights that no endpoint holds, or too few.
    pub(super) fn request_weights(&self, need: AdapterNeed) {
        // The receiver lives as long as the process.
        let _ = self.needs.send(need);
    }

    pub(super) fn resends(&self) -> MutexGuard<'_, ResendOutcomes> {
        self.resends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a retry for `request` out of the budget of `service`; returns false if none is left
    /// for it. The last ones are left to requests that may still be answered in time.
    pub(super) fn take_retry(
        &self,
        now_ms: u64,
        request: &str,
        service: &Arc<str>,
        in_time: bool,
    ) -> bool {
        let gateways = self.gateways().divisor(now_ms);
        let (allowed, used) = self.budget(service, |budget| {
            let allowed = gateways.is_some_and(|gateways| {
                if in_time {
                    budget.take(now_ms, gateways)
                } else {
                    budget.take_late(now_ms, gateways)
                }
            });
            (allowed, budget.in_window())
        });
        let share_of = gateways.filter(|gateways| *gateways != NO_SHARE);
        info!(
            event = "retry",
            request,
            service = %service,
            allowed,
            in_time,
            window_requests = used.requests,
            window_retries = used.retries,
            tokens = format_args!("{:.1}", used.tokens),
            cap = format_args!("{:.1}", used.cap),
            gateways = share_of.unwrap_or(0),
            shares_slack = share_of.is_some(),
            process_age_ms = now_ms
        );
        let counter = if allowed { Counter::RequestsRetried } else { Counter::RetriesDenied };
        self.metrics.count(counter);
        allowed
    }

    /// True if the budget of `service` has a retry for a request that leaves the last ones to others.
    pub(super) fn allows_late_retry(&self, now_ms: u64, service: &Arc<str>) -> bool {
        let Some(gateways) = self.gateways().divisor(now_ms) else { return false };
        self.budget(service, |budget| budget.allows_late(now_ms, gateways))
    }

    pub(super) fn budget<T>(
        &self,
        service: &Arc<str>,
        update: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let retry = self.settings.retry;
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(retry.ratio, retry.slack, retry.window_ms));
        update(budget)
    }
}

/// Logs the requests in progress on replaced versions. The lines show whether such a request waited
/// long at its endpoint, or whether the order or the version arrived late.
fn log_held_older(fleet: &Fleet, now_ms: u64, name: &WeightsName, version: u64) {
    for held in fleet.held_older(now_ms, name, version) {
        info!(
            event = "replaced_version_held",
            weights = %name,
            version = held.version,
            endpoint = %held.endpoint,
            unanswered = held.unanswered,
            silent_ms = held.silent_ms
        );
    }
}
