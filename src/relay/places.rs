//! The places at endpoints for which waiting requests compete, as a gateway knows them.

use std::sync::Arc;

use super::fleet::Fleet;
use super::known::EndpointState;
use crate::message::{Holding, WeightsName};
use crate::policy::place_share::ServicePlaces;
use crate::policy::waiting_queue::QueueKey;

impl Fleet {
    /// True if an endpoint holds the weights.
    pub(super) fn is_held(&self, name: &WeightsName) -> bool {
        let Some(homes) = self.homes.get(name) else { return false };
        homes.values().any(|holding| matches!(holding, Holding::Ready(_)))
    }

    pub(super) fn has_free_slot(&self, endpoint: &str) -> bool {
        self.endpoints.get(endpoint).is_some_and(EndpointState::has_free_slot)
    }

    /// True if `endpoint` may be able to take requests of `key`.
    pub(super) fn may_take(&self, endpoint: &str, key: &QueueKey) -> bool {
        match &key.weights {
            Some(name) => self.homes.get(name).is_some_and(|homes| homes.contains_key(endpoint)),
            None => self
                .endpoints
                .get(endpoint)
                .is_none_or(|state| state.endpoint.service == key.service),
        }
    }

    /// The places of the endpoints that requests of `key` compete for.
    pub(super) fn places(&self, now_ms: u64, key: &QueueKey) -> ServicePlaces {
        let mut places = ServicePlaces::default();
        let mut add = |id: &Arc<str>| {
            let Some(state) = self.endpoints.get(id) else { return };
            if state.endpoint.service != key.service
                || state.is_leaving(now_ms)
                || state.paused_until_ms > now_ms
            {
                return;
            }
            let slots = state.endpoint.slots;
            let running = state.own_running + state.others_running;
            places.total += slots;
            places.free += slots.saturating_sub(running);
            places.excess += running.saturating_sub(slots);
        };
        match &key.weights {
            // Few endpoints hold given weights.
            Some(name) => {
                for (id, holding) in self.homes.get(name).into_iter().flatten() {
                    if matches!(holding, Holding::Ready(_)) {
                        add(id);
                    }
                }
            }
            None => self.by_service.get(&key.service).into_iter().flatten().for_each(add),
        }
        places
    }
}
