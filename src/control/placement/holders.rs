//! Chooses the gateway that sends orders to each endpoint, its order holder.
//!
//! Choices are recorded in the replicated log and outlive a change of leader. When a holder
//! disconnects, the endpoint gets another holder only once no order of the previous one can take
//! effect: the engine's order lease must have expired, counted from the last order that can have
//! arrived. Without a pending order that is the last answered order, so the next holder may send
//! orders after 1.3 s instead of 4.3 s.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tracing::info;

use super::{EndpointState, Placement};
use crate::message::{OrderOutcome, RegisteredEndpoint};
use crate::relay::{ORDER_WRITE_MS, SEND_LEASE_MS};

/// How long a new leader waits before it chooses holders, so that the first gateways to connect do
/// not get all endpoints; gateways find a new leader within this time.
const CONNECT_WAIT_MS: u64 = 500;

/// How long an order that counts as lost may still be on its way to its gateway: a silent session
/// is closed after 1.9 s, and orders reach a gateway before the next confirmed renewal.
const LOST_ORDER_MS: u64 = 5_000;

/// The gateway that sends orders to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderHolder {
    /// The gateway's name.
    pub gateway: Arc<str>,
    /// The fencing token: the log index of the choice, which rises with each choice for any
    /// endpoint.
    pub token: u64,
}

/// The recorded holders, by endpoint address, which outlives a restart of the endpoint.
pub type OrderHolders = BTreeMap<SocketAddr, OrderHolder>;

/// A choice of a holder that is to be recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderChoice {
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The gateway that is to send orders to the endpoint.
    pub gateway: Arc<str>,
}

/// An endpoint that needs a holder.
struct Unheld {
    address: SocketAddr,
    service: Arc<str>,
    zone: Arc<str>,
}

/// Tracks which gateways are connected and which choices of holders are pending.
#[derive(Debug, Default)]
pub(super) struct GatewayTracker {
    /// Connected gateways and their availability zones.
    connected: BTreeMap<Arc<str>, Arc<str>>,
    /// Gateways that reach no endpoint of a service, each with the service, and since when.
    cut_off_since_ms: BTreeMap<(Arc<str>, Arc<str>), u64>,
    /// When disconnected gateways were first seen as disconnected.
    disconnected_since_ms: HashMap<Arc<str>, u64>,
    /// Choices that are not recorded yet; each will be, unless the leader changes.
    proposed: HashMap<SocketAddr, Arc<str>>,
    choices: Vec<HolderChoice>,
    leading_since_ms: u64,
}

impl GatewayTracker {
    pub(super) fn new(now_ms: u64) -> Self {
        Self { leading_since_ms: now_ms, ..Self::default() }
    }

    /// True if `gateway` is connected and reaches endpoints of `service`.
    fn may_hold(&self, gateway: &Arc<str>, service: &Arc<str>) -> bool {
        let key = (gateway.clone(), service.clone());
        self.connected.contains_key(gateway) && !self.cut_off_since_ms.contains_key(&key)
    }

    /// Returns the time until which `gateway`, which is disconnected or does not reach `service`,
    /// may still write an order.
    fn write_deadline_ms(&mut self, now_ms: u64, gateway: &Arc<str>, service: &Arc<str>) -> u64 {
        let cut_off_since_ms = self.cut_off_since_ms.get(&(gateway.clone(), service.clone()));
        let since_ms = match cut_off_since_ms {
            Some(since_ms) if self.connected.contains_key(gateway) => *since_ms,
            _ => *self.disconnected_since_ms.entry(gateway.clone()).or_insert(now_ms),
        };
        since_ms + SEND_LEASE_MS + ORDER_WRITE_MS
    }
}

impl Placement {
    /// Sets the gateways that have a session now, with their availability zones.
    pub fn set_gateways(&mut self, now_ms: u64, connected: BTreeMap<Arc<str>, Arc<str>>) {
        let tracker = &mut self.gateway_tracker;
        for gateway in tracker.connected.keys() {
            if !connected.contains_key(gateway) {
                tracker.disconnected_since_ms.insert(gateway.clone(), now_ms);
            }
        }
        for gateway in connected.keys() {
            tracker.disconnected_since_ms.remove(gateway);
        }
        tracker.connected = connected;
    }

    /// Sets the gateways that reach no endpoint of a service, each with the service: they send it no
    /// orders.
    pub fn set_cut_off(&mut self, now_ms: u64, cut_off: BTreeSet<(Arc<str>, Arc<str>)>) {
        let tracker = &mut self.gateway_tracker;
        tracker.cut_off_since_ms.retain(|key, _| cut_off.contains(key));
        for key in cut_off {
            tracker.cut_off_since_ms.entry(key).or_insert(now_ms);
        }
    }

    /// Returns the choices of holders to record.
    pub fn take_choices(&mut self) -> Vec<HolderChoice> {
        std::mem::take(&mut self.gateway_tracker.choices)
    }

    /// Updates the holder of each endpoint and chooses one for endpoints without any.
    pub(super) fn update_holders(&mut self, now_ms: u64, holders: &OrderHolders) {
        let mut without_holder = Vec::new();
        let order_lease_ms = self.settings.order_lease_ms;
        let tracker = &mut self.gateway_tracker;
        for endpoint in self.endpoints.values_mut() {
            let RegisteredEndpoint { address, service, zone, .. } = &endpoint.endpoint;
            let (address, service, zone) = (*address, service.clone(), zone.clone());
            let Some(holder) = holders.get(&address) else {
                endpoint.holder = None;
                without_holder.push(Unheld { address, service, zone });
                continue;
            };
            if tracker.proposed.get(&address) == Some(&holder.gateway) {
                tracker.proposed.remove(&address);
            }
            let is_connected = tracker.may_hold(&holder.gateway, &service);
            // A pending choice may be recorded at any moment; the previous holder gets no orders
            // until then.
            let may_order = is_connected && !tracker.proposed.contains_key(&address);
            endpoint.holder = may_order.then(|| holder.clone());
            if is_connected {
                continue;
            }
            let write_deadline_ms = tracker.write_deadline_ms(now_ms, &holder.gateway, &service);
            if endpoint.can_change_holder(now_ms, write_deadline_ms, order_lease_ms) {
                without_holder.push(Unheld { address, service, zone });
            }
        }
        if now_ms < tracker.leading_since_ms + CONNECT_WAIT_MS || without_holder.is_empty() {
            return;
        }
        self.choose_holders(holders, without_holder);
    }

    fn choose_holders(&mut self, holders: &OrderHolders, without_holder: Vec<Unheld>) {
        let mut held: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for gateway in self.gateway_tracker.connected.keys() {
            held.insert(gateway.clone(), 0);
        }
        for endpoint in self.endpoints.values() {
            let Some(holder) = holders.get(&endpoint.endpoint.address) else { continue };
            if let Some(count) = held.get_mut(&holder.gateway) {
                *count += 1;
            }
        }
        let tracker = &mut self.gateway_tracker;
        for Unheld { address, service, zone } in without_holder {
            if tracker.proposed.contains_key(&address) {
                continue;
            }
            // Prefers gateways of the endpoint's zone, since orders between zones cost traffic,
            // then those that hold the fewest endpoints.
            let preference = |(gateway, count): &(&Arc<str>, &mut usize)| {
                (tracker.connected.get(*gateway) != Some(&zone), **count)
            };
            let reaches =
                |(gateway, _): &(&Arc<str>, &mut usize)| tracker.may_hold(gateway, &service);
            let best = held.iter_mut().filter(reaches).min_by_key(preference);
            let Some((gateway, count)) = best else { continue };
            *count += 1;
            info!(event = "order_holder_chosen", endpoint = %address, gateway = %gateway);
            tracker.proposed.insert(address, gateway.clone());
            tracker.choices.push(HolderChoice { address, gateway: gateway.clone() });
        }
    }
}

/// The time until which the orders sent to an endpoint so far may arrive.
#[derive(Debug, Clone, Copy)]
pub(super) struct OrderArrival {
    until_ms: u64,
}

impl OrderArrival {
    /// Assumes that the previous leader may just have sent an order to the endpoint.
    pub(super) fn new(now_ms: u64) -> Self {
        Self { until_ms: now_ms + SEND_LEASE_MS + ORDER_WRITE_MS }
    }

    /// Records an outcome. An order with an unknown outcome may still be on its way.
    pub(super) fn note(&mut self, now_ms: u64, outcome: &OrderOutcome) {
        let until_ms = match outcome {
            OrderOutcome::Unknown => now_ms + LOST_ORDER_MS,
            _ => now_ms,
        };
        self.until_ms = self.until_ms.max(until_ms);
    }
}

impl EndpointState {
    /// True once no order of the disconnected holder can take effect, given that the holder may
    /// write orders until `write_deadline_ms`.
    fn can_change_holder(&self, now_ms: u64, write_deadline_ms: u64, order_lease_ms: u64) -> bool {
        let arrival_deadline_ms = if self.has_pending_order() {
            write_deadline_ms
        } else {
            self.order_arrival.until_ms.min(write_deadline_ms)
        };
        now_ms >= write_deadline_ms && now_ms >= arrival_deadline_ms + order_lease_ms
    }

    /// The gateway that may send orders now.
    pub fn holder(&self) -> Option<&OrderHolder> {
        self.holder.as_ref()
    }
}
