//! Which gateway gives an endpoint its orders.
//!
//! The choice is recorded in the log and stays when control changes its leader. An endpoint whose
//! gateway is gone gets another one only when no order of the former one can count any more: the engines'
//! lease, from the last order that can have arrived, has to pass. Where none is open that is the last one
//! that was answered, and the next gateway orders after 1.3 s where it would after 4.3 s.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tracing::info;

use super::{EndpointPlaces, Placement};
use crate::message::OrderOutcome;
use crate::relay::{ORDER_HOLD_MS, ORDER_WRITE_MS};

/// How long a new leader waits for gateways before it chooses any, so that those who come first do
/// not get everything; they find a leader within this time.
const GATHER_MS: u64 = 500;

/// How long an order that was taken for lost may still be on its way to its gateway: a session that says
/// nothing is given up after 1.9 s, and orders reach a gateway before its next confirmation.
const LOST_ORDER_MS: u64 = 5_000;

/// The gateway that gives an endpoint its orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderHolder {
    /// The gateway.
    pub gateway: Arc<str>,
    /// Rises with each choice for any endpoint: the index of its entry.
    pub token: u64,
}

/// The recorded choices, by the endpoint's address: it outlives a restart.
pub type OrderHolders = BTreeMap<SocketAddr, OrderHolder>;

/// A choice that is to be recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderChoice {
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The gateway that shall order it.
    pub gateway: Arc<str>,
}

/// What a leader knows of gateways as holders.
#[derive(Debug, Default)]
pub(super) struct HolderWatch {
    /// Gateways with a session, and their availability zones.
    connected: BTreeMap<Arc<str>, Arc<str>>,
    /// When gateways that hold endpoints were first seen to be gone.
    gone_since_ms: HashMap<Arc<str>, u64>,
    /// Choices that are not recorded yet; each will be, unless another leader comes.
    proposed: HashMap<SocketAddr, Arc<str>>,
    choices: Vec<HolderChoice>,
    leading_since_ms: u64,
}

impl HolderWatch {
    pub(super) fn new(now_ms: u64) -> Self {
        Self { leading_since_ms: now_ms, ..Self::default() }
    }

    /// Until when `gateway`, which has no session, may still write an order.
    fn writes_until_ms(&mut self, now_ms: u64, gateway: &Arc<str>) -> u64 {
        let since_ms = *self.gone_since_ms.entry(gateway.clone()).or_insert(now_ms);
        since_ms + ORDER_HOLD_MS + ORDER_WRITE_MS
    }
}

impl Placement {
    /// Takes over which gateways have a session now, with their availability zones.
    pub fn set_gateways(&mut self, now_ms: u64, connected: BTreeMap<Arc<str>, Arc<str>>) {
        let watch = &mut self.holder_watch;
        for gateway in watch.connected.keys() {
            if !connected.contains_key(gateway) {
                watch.gone_since_ms.insert(gateway.clone(), now_ms);
            }
        }
        for gateway in connected.keys() {
            watch.gone_since_ms.remove(gateway);
        }
        watch.connected = connected;
    }

    /// The choices of holders that are to be recorded.
    pub fn take_choices(&mut self) -> Vec<HolderChoice> {
        std::mem::take(&mut self.holder_watch.choices)
    }

    /// Sees through whom each endpoint can be ordered now, and chooses holders where they lack.
    pub(super) fn follow_holders(&mut self, now_ms: u64, holders: &OrderHolders) {
        let mut lacking = Vec::new();
        let order_lease_ms = self.settings.order_lease_ms;
        let watch = &mut self.holder_watch;
        for endpoint in self.endpoints.values_mut() {
            let address = endpoint.endpoint.address;
            let Some(holder) = holders.get(&address) else {
                endpoint.holder = None;
                lacking.push((address, endpoint.endpoint.zone.clone()));
                continue;
            };
            if watch.proposed.get(&address) == Some(&holder.gateway) {
                watch.proposed.remove(&address);
            }
            let is_connected = watch.connected.contains_key(&holder.gateway);
            // A choice under way may be recorded at any moment; the former holder rests until then.
            let may_order = is_connected && !watch.proposed.contains_key(&address);
            endpoint.holder = may_order.then(|| holder.clone());
            if is_connected {
                continue;
            }
            let writes_until_ms = watch.writes_until_ms(now_ms, &holder.gateway);
            if endpoint.is_free_of_orders(now_ms, writes_until_ms, order_lease_ms) {
                lacking.push((address, endpoint.endpoint.zone.clone()));
            }
        }
        if now_ms < watch.leading_since_ms + GATHER_MS || lacking.is_empty() {
            return;
        }
        self.choose_holders(holders, lacking);
    }

    fn choose_holders(&mut self, holders: &OrderHolders, lacking: Vec<(SocketAddr, Arc<str>)>) {
        let mut held: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for gateway in self.holder_watch.connected.keys() {
            held.insert(gateway.clone(), 0);
        }
        for endpoint in self.endpoints.values() {
            let Some(holder) = holders.get(&endpoint.endpoint.address) else { continue };
            if let Some(count) = held.get_mut(&holder.gateway) {
                *count += 1;
            }
        }
        let watch = &mut self.holder_watch;
        for (address, zone) in lacking {
            if watch.proposed.contains_key(&address) {
                continue;
            }
            // The nearest come first, since orders between zones cost bytes; then those with least.
            let fit = |(gateway, count): &(&Arc<str>, &mut usize)| {
                (watch.connected.get(*gateway) != Some(&zone), **count)
            };
            let Some((gateway, count)) = held.iter_mut().min_by_key(fit) else { return };
            *count += 1;
            info!(event = "order_holder_chosen", endpoint = %address, gateway = %gateway);
            watch.proposed.insert(address, gateway.clone());
            watch.choices.push(HolderChoice { address, gateway: gateway.clone() });
        }
    }
}

/// Until when the orders that an endpoint has been given so far may arrive there.
#[derive(Debug, Clone, Copy)]
pub(super) struct OrdersArrive {
    until_ms: u64,
}

impl OrdersArrive {
    /// An endpoint that a leader learns of: an earlier one may just have ordered it.
    pub(super) fn new(now_ms: u64) -> Self {
        Self { until_ms: now_ms + ORDER_HOLD_MS + ORDER_WRITE_MS }
    }

    /// Notes an outcome. An order without one may still be on its way.
    pub(super) fn note(&mut self, now_ms: u64, outcome: &OrderOutcome) {
        let until_ms = match outcome {
            OrderOutcome::Unknown => now_ms + LOST_ORDER_MS,
            _ => now_ms,
        };
        self.until_ms = self.until_ms.max(until_ms);
    }
}

impl EndpointPlaces {
    /// True once no order of a gateway that has gone can count any more, if it may write some until
    /// `writes_until_ms`.
    fn is_free_of_orders(&self, now_ms: u64, writes_until_ms: u64, order_lease_ms: u64) -> bool {
        let arrive_until_ms = if self.has_order_under_way() {
            writes_until_ms
        } else {
            self.orders_arrive.until_ms.min(writes_until_ms)
        };
        now_ms >= writes_until_ms && now_ms >= arrive_until_ms + order_lease_ms
    }

    /// The gateway through which it can be ordered now.
    pub fn holder(&self) -> Option<&OrderHolder> {
        self.holder.as_ref()
    }
}
