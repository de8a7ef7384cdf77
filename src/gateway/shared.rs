//! State that the parts of a gateway process share.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use ractor::ActorRef;
use tokio::sync::{mpsc, watch};

use crate::clock::Clock;
use crate::control::client::ControlClient;
use crate::gateway::directory::Directory;
use crate::gateway::lease::Lease;
use crate::gateway::owner::OwnerMessage;
use crate::http::HttpClient;
use crate::message::{SessionUp, Summary};
use crate::metrics::{Gauge, Metrics};
use crate::policy::retry::RetryBudget;
use crate::policy::route::Router;
use crate::settings::GatewaySettings;
use crate::wire::Peers;

/// An endpoint that this gateway owns, with the actor that serves it.
#[derive(Clone)]
pub struct OwnedEndpoint {
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Actor that serves the endpoint.
    pub actor: ActorRef<OwnerMessage>,
}

/// State that the parts of a gateway process share.
pub struct Shared {
    /// Settings of the process.
    pub settings: GatewaySettings,
    /// The process's clock.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
    /// Lease, and freshness of the configuration.
    pub lease: Lease,
    /// Client for calls to control.
    pub control: ControlClient,
    /// Connections to other gateways.
    pub peers: Peers,
    /// HTTP client for endpoints.
    pub http: HttpClient,
    /// Queue of messages for the session with control.
    pub session: mpsc::UnboundedSender<SessionUp>,
    /// True once a graceful shutdown has begun.
    pub stopping: AtomicBool,
    /// Number of clients' requests in progress.
    pub in_progress: AtomicUsize,
    /// Number of requests that run at owned endpoints.
    pub running: AtomicUsize,
    /// Number of requests from other gateways that do not have the whole response yet.
    pub serving: AtomicUsize,
    directory: RwLock<Directory>,
    router: Mutex<Router>,
    retry: Mutex<RetryBudget>,
    owned: Mutex<HashMap<Arc<str>, OwnedEndpoint>>,
    outbox: Mutex<BTreeMap<Arc<str>, Summary>>,
    changed: watch::Sender<u64>,
}

impl Shared {
    /// Creates the state; `session` is the queue of messages for the session with control.
    pub fn new(
        settings: GatewaySettings,
        metrics: Metrics,
        session: mpsc::UnboundedSender<SessionUp>,
    ) -> Self {
        Self {
            clock: Clock::new(),
            lease: Lease::new(settings.lease),
            control: ControlClient::new(settings.control.clone()),
            peers: Peers::new().with_metrics(metrics.clone()),
            http: HttpClient::new(settings.endpoints.connect_timeout_ms),
            session,
            stopping: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            serving: AtomicUsize::new(0),
            directory: RwLock::new(Directory::new()),
            router: Mutex::new(Router::new(settings.policy)),
            retry: Mutex::new(RetryBudget::new(
                settings.retry.budget_ratio,
                settings.retry.budget_burst,
            )),
            owned: Mutex::new(HashMap::new()),
            outbox: Mutex::new(BTreeMap::new()),
            changed: watch::Sender::new(0),
            metrics,
            settings,
        }
    }

    /// Milliseconds of the process's clock.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Locks the directory for reading.
    pub fn directory(&self) -> RwLockReadGuard<'_, Directory> {
        self.directory.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the directory for writing.
    pub fn directory_mut(&self) -> RwLockWriteGuard<'_, Directory> {
        self.directory.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the router.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        lock(&self.router)
    }

    /// Locks the retry budget.
    pub fn retry(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry)
    }

    /// Locks the endpoints that this gateway owns, by name.
    pub fn owned(&self) -> MutexGuard<'_, HashMap<Arc<str>, OwnedEndpoint>> {
        lock(&self.owned)
    }

    /// Passes an owned endpoint's summary to the local router and queues it for the next renewal. A
    /// summary without adapters keeps those of a queued summary of the same epoch.
    pub fn publish(&self, summary: Summary) {
        self.router().observe(summary.clone());
        let mut outbox = lock(&self.outbox);
        let mut summary = summary;
        if summary.adapters.is_none()
            && let Some(unsent) = outbox.get(&summary.endpoint)
            && unsent.epoch == summary.epoch
        {
            summary.adapters.clone_from(&unsent.adapters);
        }
        outbox.insert(summary.endpoint.clone(), summary);
    }

    /// Removes and returns the queued summaries, for the next renewal.
    pub fn take_outbox(&self) -> Vec<Summary> {
        std::mem::take(&mut *lock(&self.outbox)).into_values().collect()
    }

    /// Notifies waiting requests that endpoints or owners have changed.
    pub fn notify_change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Subscribes to notifications that endpoints or owners have changed.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// True once a graceful shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// True when clients' requests may be admitted.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.lease.is_fresh(self.now_ms())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Guard that counts a request as in progress until it is dropped.
pub(super) struct InProgress {
    shared: Arc<Shared>,
}

impl InProgress {
    /// Counts a request; also returns how many were in progress before it.
    pub(super) fn new(shared: &Arc<Shared>) -> (Self, usize) {
        let before = shared.in_progress.fetch_add(1, Ordering::Relaxed);
        shared.metrics.gauge(Gauge::RequestsInProgress, before as u64 + 1);
        (Self { shared: shared.clone() }, before)
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.shared.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
