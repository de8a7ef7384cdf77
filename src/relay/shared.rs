//! What all requests of a relay share: routes, endpoints, connections, budgets, the order lease.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use rand::RngExt;
use tokio::sync::{Notify, mpsc};
use tracing::info;

use super::border::RelayBorder;
use super::budget::RetryBudget;
use super::crashes::CrashWatch;
use super::fleet::Fleet;
use super::gateway_count::{GatewayCount, NO_SHARE};
use super::orders::OrderLease;
use super::pool::Pool;
use super::quota::QuotaGate;
use crate::clock::Clock;
use crate::message::{AdapterNeed, Change, NewestVersion, Placed, WeightsName};
use crate::metrics::{Counter, Metrics};
use crate::routing::RouteTable;
use crate::settings::RelaySettings;

/// A configuration that was confirmed this recently may say that there is no such route.
const CONFIRMED_MS: u64 = 2_000;
/// The part of the time within which a revoked key must be out of use that keys are taken for valid without a
/// confirmation: clocks run at different rates.
const KEY_LEASE_PERCENT: u64 = 95;
/// Changes that come together and are logged one by one; a gateway that starts is told thousands.
const LOGGED_MAX: usize = 200;

/// What all requests of a relay share.
pub struct Relay {
    /// The settings.
    pub settings: RelaySettings,
    /// Counters.
    pub metrics: Metrics,
    pub(super) border: Arc<dyn RelayBorder>,
    pub(super) pool: Pool,
    pub(super) changed: Notify,
    /// A newer version of some weights became known.
    pub(super) version_known: Notify,
    pub(super) order_lease: OrderLease,
    pub(super) quota: QuotaGate,
    pub(super) clock: Clock,
    fleet: Mutex<Fleet>,
    table: RwLock<Arc<RouteTable>>,
    budgets: Mutex<HashMap<Arc<str>, RetryBudget>>,
    needs: mpsc::UnboundedSender<AdapterNeed>,
    pub(super) crashes: CrashWatch,
    gateways: Mutex<GatewayCount>,
    confirmed_at_ms: AtomicU64,
    stopping: AtomicBool,
    pub(super) in_progress: AtomicU32,
}

impl Relay {
    /// A relay that knows nothing yet.
    pub(super) fn new(
        settings: RelaySettings,
        border: Arc<dyn RelayBorder>,
        metrics: Metrics,
        needs: mpsc::UnboundedSender<AdapterNeed>,
        crashes: CrashWatch,
    ) -> Self {
        let clock = Clock::new();
        let fleet = Fleet::new(settings.zone.clone(), rand::rng().random())
            .with_version_within(settings.version_within_ms);
        let gateways = GatewayCount::new(settings.retry.window_ms);
        Self {
            settings,
            metrics,
            border,
            pool: Pool::new(clock),
            changed: Notify::new(),
            version_known: Notify::new(),
            order_lease: OrderLease::new(clock),
            quota: QuotaGate::new(clock),
            clock,
            fleet: Mutex::new(fleet),
            table: RwLock::default(),
            budgets: Mutex::default(),
            needs,
            crashes,
            gateways: Mutex::new(gateways),
            confirmed_at_ms: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            in_progress: AtomicU32::new(0),
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Asks whether an endpoint that has been silent for long is still there.
    pub(super) fn ask_silent(&self, endpoint: &str) {
        let Some(known) = self.fleet().endpoint(endpoint) else { return };
        self.crashes.ask_silent(self.now_ms(), known);
    }

    pub(super) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn gateways(&self) -> MutexGuard<'_, GatewayCount> {
        self.gateways.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The routes in force.
    pub fn table(&self) -> Arc<RouteTable> {
        self.table.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn set_gateways(&self, gateways: u32) {
        self.gateways().told(self.now_ms(), gateways);
        self.fleet().set_gateways(self.now_ms(), gateways);
    }

    /// Notes that what is known is complete as of when the renewal was sent.
    pub(super) fn confirmed(&self, sent_at_ms: u64) {
        let before_ms = self.confirmed_at_ms.fetch_max(sent_at_ms.max(1), Ordering::Relaxed);
        if before_ms == 0 {
            self.changed.notify_waiters();
        }
        self.order_lease.confirm(sent_at_ms);
        self.gateways().confirmed(sent_at_ms);
        self.fleet().confirmed(sent_at_ms);
    }

    /// True once what is known was confirmed to be the newest, however long ago.
    pub(super) fn was_confirmed(&self) -> bool {
        self.confirmed_at_ms.load(Ordering::Relaxed) > 0
    }

    pub(super) fn is_confirmed(&self, now_ms: u64) -> bool {
        let confirmed_at_ms = self.confirmed_at_ms.load(Ordering::Relaxed);
        confirmed_at_ms > 0 && confirmed_at_ms + CONFIRMED_MS > now_ms
    }

    /// How much longer keys may be taken for valid as they are known; nothing when none may.
    ///
    /// A key that was taken away is known to be gone by the first renewal sent after that which the leader
    /// confirms. So without confirmations no key is taken for valid longer than a revoked one may be, by a clock
    /// that goes on while the process is suspended.
    pub(super) fn keys_valid_ms(&self, now_ms: u64) -> u64 {
        let Some(within_ms) = self.settings.revoked_within_ms else { return u64::MAX };
        let confirmed_at_ms = self.confirmed_at_ms.load(Ordering::Relaxed);
        if confirmed_at_ms == 0 {
            return 0;
        }
        let lease_ms = within_ms * KEY_LEASE_PERCENT / 100;
        (confirmed_at_ms + lease_ms).saturating_sub(now_ms)
    }

    /// True once requests can be served and until the process is about to stop.
    pub fn is_ready(&self) -> bool {
        let table = self.table();
        let serves = !table.needs_key_everywhere() || self.keys_valid_ms(self.now_ms()) > 0;
        table.version() > 0 && self.was_confirmed() && serves && !self.is_stopping()
    }

    /// Starts a planned stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// True once a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Requests whose answers are not whole yet.
    pub fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Takes changes over that the leader told.
    pub(super) fn follow(&self, reset: bool, changes: Vec<Change>) {
        let now_ms = self.now_ms();
        // A version that is told now was accepted after the last confirmed renewal was sent, perhaps
        // right after: one that comes late on its way must not count as just named.
        let named_since_ms = now_ms.min(self.confirmed_at_ms.load(Ordering::Relaxed));
        let mut names_version = false;
        let mut ids = Vec::new();
        let mut requests = HashSet::new();
        let is_long = changes.len() > LOGGED_MAX;
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
                    let age_ms = now_ms - named_since_ms;
                    info!(event = "weights_version_known", weights = %name, version, age_ms);
                    log_held_older(&fleet, now_ms, &name, version);
                    fleet.set_newest(named_since_ms, name, version);
                    names_version = true;
                }
                Change::VersionOfUnknownAge(newest) => {
                    let NewestVersion { name, version } = newest;
                    if !is_long {
                        let age = "unknown";
                        info!(event = "weights_version_known", weights = %name, version, age);
                    }
                    fleet.learn_newest(now_ms, name, version);
                    names_version = true;
                }
                Change::Request(standing) => {
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
        if names_version {
            self.version_known.notify_waiters();
        }
    }

    fn set_table(&self, table: RouteTable) {
        let mut known = self.table.write().unwrap_or_else(PoisonError::into_inner);
        if table.version() <= known.version() {
            return;
        }
        info!(event = "routing_in_force", version = table.version(), before = known.version());
        *known = Arc::new(table);
    }

    pub(super) fn placed(&self, reset: bool, placed: Vec<Placed>) {
        self.fleet().place(reset, placed);
        self.changed.notify_waiters();
    }

    /// Asks the leader for weights that no endpoint holds, or too few.
    pub(super) fn ask_for(&self, need: AdapterNeed) {
        // The receiver lives as long as the process.
        let _ = self.needs.send(need);
    }

    /// Takes one send beyond the first for `request` out of the budget of `service`.
    pub(super) fn may_retry(&self, now_ms: u64, request: &str, service: &Arc<str>) -> bool {
        let gateways = self.gateways().most(now_ms);
        let (allowed, used) = self.budget(service, |budget| {
            let allowed = gateways.is_some_and(|gateways| budget.take(now_ms, gateways));
            (allowed, budget.in_window())
        });
        let share_of = gateways.filter(|gateways| *gateways != NO_SHARE);
        info!(
            event = "retry",
            request,
            service = %service,
            allowed,
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

    pub(super) fn budget<T>(
        &self,
        service: &Arc<str>,
        use_it: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let retry = self.settings.retry;
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(retry.ratio, retry.slack, retry.window_ms));
        use_it(budget)
    }
}

/// Tells requests that wait long at an endpoint from orders and versions that come late.
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
