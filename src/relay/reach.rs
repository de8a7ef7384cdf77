//! Finds out whether endpoints that do not answer have failed or cannot be reached from this
//! gateway, and when they are in reach again.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{info, warn};

use super::liveness::{Liveness, reach_endpoint};
use super::orders::EngineClient;
use super::shared::Relay;
use crate::message::RegisteredEndpoint;
use crate::metrics::Counter;
use crate::policy::reach::{Reach, ReachEvidence};

/// How often endpoints that were out of reach are probed again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long an endpoint that was reached is not checked again for connections that broke off.
const REACHED_MS: u64 = 1_000;
/// The number of other endpoints of a service that are probed to compare with.
const COMPARED_MAX: usize = 3;
/// The number of endpoints of other services that are probed to compare with.
const COMPARED_ELSEWHERE_MAX: usize = 2;
/// The number of endpoints of a service that are probed again at a time.
const RECHECKED_MAX: usize = 2;
/// The number of endpoints that are probed at once when one of their service is in reach again.
const RETURNED_MAX: usize = 16;

/// Why an endpoint is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Suspicion {
    /// No connection could be made.
    Unreachable,
    /// It broke off several responses, or ended.
    Failing,
}

/// An endpoint to check.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Suspect {
    /// The endpoint's incarnation.
    pub(super) id: Arc<str>,
    pub(super) suspicion: Suspicion,
}

/// Checks suspected endpoints, and those out of reach again and again, for as long as the process
/// runs.
pub(super) async fn watch(
    relay: Arc<Relay>,
    engines: Arc<dyn EngineClient>,
    mut suspects: mpsc::UnboundedReceiver<Suspect>,
) {
    let mut reached_at_ms = HashMap::new();
    let mut unresolved = BTreeSet::new();
    let mut rechecks = interval(RECHECK_INTERVAL);
    rechecks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(first) = suspects.recv() => {
                let mut queued = BTreeSet::from([first]);
                while let Ok(next) = suspects.try_recv() {
                    queued.insert(next);
                }
                let now_ms = relay.now_ms();
                reached_at_ms.retain(|_, at_ms| now_ms < *at_ms + REACHED_MS);
                queued.retain(|suspect| {
                    suspect.suspicion == Suspicion::Failing
                        || !reached_at_ms.contains_key(&suspect.id)
                });
                let checked = check(&relay, engines.as_ref(), queued).await;
                reached_at_ms.extend(checked.reached.into_iter().map(|id| (id, now_ms)));
                unresolved.extend(checked.unresolved);
            }
            _ = rechecks.tick() => {
                // Other gateways may be able to tell by now.
                let again = std::mem::take(&mut unresolved);
                unresolved = check(&relay, engines.as_ref(), again).await.unresolved;
                recheck(&relay, engines.as_ref()).await;
            }
        }
    }
}

/// The endpoints of a check, other than those that are down or out of reach.
#[derive(Debug, Default)]
struct Checked {
    reached: Vec<Arc<str>>,
    /// Nothing tells what is at fault.
    unresolved: BTreeSet<Suspect>,
}

/// Checks suspected endpoints: reports those that have failed to the leader, and marks those that
/// cannot be reached from here.
async fn check(relay: &Relay, engines: &dyn EngineClient, suspects: BTreeSet<Suspect>) -> Checked {
    let mut checked = Checked::default();
    let mut by_service: BTreeMap<Arc<str>, Vec<RegisteredEndpoint>> = BTreeMap::new();
    let mut failing = BTreeSet::new();
    for Suspect { id, suspicion } in suspects {
        if relay.fleet().is_out_of_reach(&id) {
            continue;
        }
        let Some(endpoint) = relay.fleet().endpoint(&id) else { continue };
        if suspicion == Suspicion::Failing {
            failing.insert(id.clone());
        }
        let endpoints = by_service.entry(endpoint.service.clone()).or_default();
        if endpoints.iter().all(|known| known.id != id) {
            endpoints.push(endpoint);
        }
    }
    for (service, endpoints) in by_service {
        for (endpoint, reach) in judge(relay, engines, &service, endpoints).await {
            let is_failing = match reach {
                Reach::InReach => failing.contains(&endpoint.id),
                Reach::Down => true,
                Reach::OutOfReach | Reach::Unknown => false,
            };
            info!(event = "endpoint_judged", endpoint = %endpoint.id, reach = ?reach, is_failing);
            if is_failing {
                relay.fleet().mark_failing(&endpoint.id);
            }
            let id = endpoint.id;
            match reach {
                Reach::InReach => checked.reached.push(id),
                Reach::Unknown => {
                    let suspicion = Suspicion::Unreachable;
                    checked.unresolved.insert(Suspect { id, suspicion });
                }
                Reach::OutOfReach | Reach::Down => {}
            }
        }
    }
    checked
}

/// Judges `endpoints` of one service by probes of this gateway and of others, and marks those
/// that are out of reach.
pub(super) async fn judge(
    relay: &Relay,
    engines: &dyn EngineClient,
    service: &Arc<str>,
    endpoints: Vec<RegisteredEndpoint>,
) -> Vec<(RegisteredEndpoint, Reach)> {
    let suspected = endpoints.len();
    let mut probed = endpoints;
    let others = relay.fleet().others_in_reach(service, &probed);
    probed.extend(others.sample(&mut rand::rng(), COMPARED_MAX).cloned());
    let ids: Vec<Arc<str>> = probed.iter().map(|endpoint| endpoint.id.clone()).collect();
    let elsewhere = relay.fleet().sample_elsewhere(service, COMPARED_ELSEWHERE_MAX);
    let probe = |endpoint: &RegisteredEndpoint| {
        let (endpoint, is_engine) = (endpoint.clone(), relay.table().is_engine(&endpoint.service));
        async move { reach_endpoint(engines, &endpoint, is_engine).await }
    };
    let own = join_all(probed.iter().chain(&elsewhere).map(probe));
    let (own, peer) = tokio::join!(own, relay.ask_peers_for_reach(&ids));
    let is_any_reached = (own.len() > suspected).then(|| own[suspected..].contains(&Liveness::Up));
    let mut judged = Vec::new();
    let mut out_of_reach = Vec::new();
    for (position, endpoint) in probed.into_iter().enumerate() {
        let evidence = ReachEvidence {
            is_reached: own[position] == Liveness::Up,
            is_reached_by_peer: peer.get(position).copied().flatten(),
            are_others_reached: is_any_reached,
        };
        let reach = evidence.judge();
        if position < suspected {
            info!(
                event = "reach_evidence",
                endpoint = %endpoint.id,
                probed = ?own[position],
                by_peer = ?evidence.is_reached_by_peer,
                others = ?evidence.are_others_reached,
                reach = ?reach
            );
        }
        if reach == Reach::OutOfReach {
            out_of_reach.push(endpoint.id.clone());
        }
        judged.push((endpoint, reach));
    }
    // Several endpoints, chosen at random, and none of them is reached: the others will not be
    // either, and each request that finds out by itself loses the time of a connect.
    let is_service = out_of_reach.len() == judged.len() && (judged.len() > 1 || others.is_empty());
    if is_service {
        relay.mark_service_out_of_reach(service);
    } else {
        relay.mark_out_of_reach(&out_of_reach);
    }
    judged.truncate(suspected);
    judged
}

/// Probes some of the endpoints that are out of reach again.
async fn recheck(relay: &Relay, engines: &dyn EngineClient) {
    let lost = relay.fleet().out_of_reach();
    for (service, endpoints) in lost {
        let some: Vec<_> = endpoints.sample(&mut rand::rng(), RECHECKED_MAX).cloned().collect();
        if probe_returned(relay, engines, &service, &some).await == 0 {
            continue;
        }
        let rest: Vec<_> =
            endpoints.into_iter().filter(|endpoint| !some.contains(endpoint)).collect();
        for endpoints in rest.chunks(RETURNED_MAX) {
            probe_returned(relay, engines, &service, endpoints).await;
        }
    }
}

/// Probes endpoints; returns the number of those that are in reach again.
async fn probe_returned(
    relay: &Relay,
    engines: &dyn EngineClient,
    service: &Arc<str>,
    endpoints: &[RegisteredEndpoint],
) -> usize {
    let is_engine = relay.table().is_engine(service);
    let probes = endpoints.iter().map(|endpoint| reach_endpoint(engines, endpoint, is_engine));
    let mut returned = Vec::new();
    for (endpoint, liveness) in endpoints.iter().zip(join_all(probes).await) {
        if liveness == Liveness::Up {
            returned.push(endpoint.id.clone());
        }
    }
    relay.mark_in_reach(&returned);
    returned.len()
}

impl Relay {
    /// Has an endpoint checked.
    pub(super) fn suspect(&self, id: &Arc<str>, suspicion: Suspicion) {
        // The receiver lives as long as the process.
        let _ = self.suspects.send(Suspect { id: id.clone(), suspicion });
    }

    /// Records that a send to `id` broke off before a response, and has it checked if the sends to
    /// other endpoints do so as well.
    pub(super) fn note_broken_send(&self, id: &Arc<str>) {
        let mut broken = self.broken_sends.lock().unwrap_or_else(PoisonError::into_inner);
        for suspect in broken.note(self.now_ms(), id) {
            self.suspect(&suspect, Suspicion::Unreachable);
        }
    }

    /// Records that no endpoint of `service` can be reached from here.
    fn mark_service_out_of_reach(&self, service: &Arc<str>) {
        let ids = self.fleet().in_service(service);
        warn!(event = "service_out_of_reach", service = %service, endpoints = ids.len());
        self.metrics.count(Counter::ServicesOutOfReach);
        self.mark_out_of_reach(&ids);
    }

    fn mark_out_of_reach(&self, ids: &[Arc<str>]) {
        for id in ids {
            let marked = self.fleet().mark_out_of_reach(id);
            let Some(address) = marked else { continue };
            info!(event = "endpoint_out_of_reach", endpoint = %id);
            self.pool.forget(address);
        }
        if !ids.is_empty() {
            self.peers_wanted.notify_one();
            self.note_places(|_| true);
        }
    }

    fn mark_in_reach(&self, ids: &[Arc<str>]) {
        let now_ms = self.now_ms();
        for id in ids {
            if self.fleet().mark_in_reach(now_ms, id) {
                info!(event = "endpoint_in_reach", endpoint = %id);
            }
        }
        if !ids.is_empty() {
            self.peers_wanted.notify_one();
            self.note_places(|_| true);
        }
    }
}
