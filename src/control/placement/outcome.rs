//! What the outcomes of orders tell of an endpoint.

use tracing::info;

use super::endpoint::{EndpointPlaces, HEARTBEAT_LATE_MS, PlaceState, REPORT_LAG_MS};
use crate::message::{Holding, OrderKind, OrderOutcome, OrderResult, Placed, WeightsName};

/// How soon an order without an answer is given again. Both expect the same sequence, so the endpoint
/// carries out one of them at most, however late the first one arrives.
const AGAIN_MS: u64 = 30;
/// An order without an outcome for this long is lost with its gateway: connecting and the answer take
/// half a second at most, and the rest is the way there and back.
const OUTCOME_MAX_MS: u64 = 1_000;
/// How soon a load is looked at again, at most.
const CHECK_MAX_MS: u64 = 120;
/// How soon a load is looked at again, at least.
const CHECK_MIN_MS: u64 = 14;
/// A load is looked at again after its first wait divided by this: a late look costs clients as much.
const CHECKS_PER_LOAD: u64 = 10;
/// How soon an endpoint that gave no report is asked again.
const REPORT_PAUSE_MS: u64 = 700;
/// A load that is not done after this long is looked for in a report.
const LOAD_MAX_MS: u64 = 8_000;

/// A load from the weight store that is done.
#[derive(Debug, Clone)]
pub struct StoreLoadDone {
    /// What was loaded.
    pub name: WeightsName,
    /// How long it took; not known when an order for it got no answer.
    pub took_ms: Option<u64>,
    /// How many loads were on their way when it was ordered, itself included.
    pub beside_at_start: usize,
}

impl EndpointPlaces {
    /// The outcome of an order whose gateway went before it told one.
    pub fn lost_order(&self, now_ms: u64) -> Option<OrderResult> {
        let pending = self.pending.as_ref()?;
        if pending.given_at_ms + OUTCOME_MAX_MS > now_ms {
            return None;
        }
        Some(OrderResult {
            number: pending.number,
            endpoint: self.endpoint.id.clone(),
            kind: pending.kind.clone(),
            outcome: OrderOutcome::Unknown,
        })
    }

    /// Takes the outcome of an order in.
    ///
    /// Returns the load from the weight store that this showed to be done, if any.
    pub fn ordered(
        &mut self,
        now_ms: u64,
        result: &OrderResult,
        placed: &mut Vec<Placed>,
    ) -> Option<StoreLoadDone> {
        let pending = self.pending.take_if(|pending| pending.number == result.number)?;
        self.orders_arrive.note(now_ms, &result.outcome);
        let load_done = self.store_load_done(now_ms, result);
        match &result.outcome {
            OrderOutcome::Report(report) => self.reported(now_ms, report, placed),
            OrderOutcome::UnderWay => self.under_way(now_ms, &result.kind, pending.repeats),
            OrderOutcome::Done => self.done(now_ms, &result.kind, pending.repeats, placed),
            OrderOutcome::Conflict => {
                // Something else was carried out here; only a report tells what.
                self.sequence = None;
                self.report_from_ms = now_ms + REPORT_LAG_MS;
                self.recheck(now_ms, &result.kind);
            }
            OrderOutcome::Refused | OrderOutcome::NotSent => {
                let is_unreachable = matches!(result.outcome, OrderOutcome::NotSent);
                if is_unreachable && result.kind != OrderKind::Report {
                    self.note_failing(now_ms);
                }
                self.take_back(now_ms, &result.kind, placed);
                self.report_from_ms = now_ms + REPORT_PAUSE_MS;
            }
            OrderOutcome::Unknown => {
                self.again_from_ms = now_ms + AGAIN_MS;
                if let OrderKind::Load { name, .. } = &result.kind
                    && let Some(place) = self.places.get_mut(name)
                {
                    place.unanswered = true;
                }
                self.report_from_ms = now_ms + REPORT_PAUSE_MS;
                self.recheck(now_ms, &result.kind);
            }
        }
        load_done
    }

    fn store_load_done(&self, now_ms: u64, result: &OrderResult) -> Option<StoreLoadDone> {
        let OrderKind::Load { name, .. } = &result.kind else { return None };
        let place = self.places.get(name)?;
        let is_done = matches!(result.outcome, OrderOutcome::Done);
        (is_done && place.from_store && place.accepted).then(|| StoreLoadDone {
            name: name.clone(),
            took_ms: (!place.unanswered).then(|| now_ms - place.changed_at_ms),
            beside_at_start: place.beside_at_start,
        })
    }

    fn under_way(&mut self, now_ms: u64, kind: &OrderKind, repeats: bool) {
        if !repeats {
            self.sequence = self.sequence.map(|sequence| sequence + 1);
        }
        if let OrderKind::Load { name, .. } | OrderKind::Unload { name } = kind
            && let Some(place) = self.places.get_mut(name)
        {
            place.accepted = true;
        }
        if let OrderKind::Unload { .. } = kind {
            // The endpoint takes no other order until its runs have ended; a report tells when.
            self.sequence = None;
            self.report_from_ms = now_ms + REPORT_LAG_MS;
        }
        self.recheck(now_ms, kind);
    }

    fn recheck(&mut self, now_ms: u64, kind: &OrderKind) {
        let (OrderKind::Load { name, .. } | OrderKind::Unload { name }) = kind else { return };
        let Some(place) = self.places.get_mut(name) else { return };
        if place.state == PlaceState::Unloading {
            place.changed_at_ms = now_ms;
        }
        if let PlaceState::Loading { pause_ms, .. } = place.state {
            if place.changed_at_ms + LOAD_MAX_MS < now_ms {
                self.sequence = None;
            }
            place.state = PlaceState::Loading {
                check_at_ms: now_ms + pause_ms,
                pause_ms: (pause_ms / CHECKS_PER_LOAD).clamp(CHECK_MIN_MS, CHECK_MAX_MS),
            };
        }
    }

    fn done(&mut self, now_ms: u64, kind: &OrderKind, repeats: bool, placed: &mut Vec<Placed>) {
        match kind {
            OrderKind::Report => {}
            OrderKind::Load { name, .. } => {
                let Some(place) = self.places.get(name) else { return };
                let version = place.version;
                info!(
                    event = "weights_ready",
                    endpoint = %self.endpoint.id,
                    weights = %name,
                    version,
                    from_store = place.from_store,
                    after_ms = now_ms - place.changed_at_ms
                );
                self.put(now_ms, name, version, PlaceState::Ready);
                placed.push(self.tell(name, Holding::Ready(version)));
            }
            OrderKind::Unload { name } => {
                // One that waited for its runs was counted when it was taken.
                if !repeats {
                    self.sequence = self.sequence.map(|sequence| sequence + 1);
                }
                for gone in self.with_adapters(name) {
                    self.places.remove(&gone);
                }
                self.dropped_at_ms.retain(|_, at_ms| *at_ms + HEARTBEAT_LATE_MS > now_ms);
                self.dropped_at_ms.insert(name.clone(), now_ms);
            }
        }
    }

    fn take_back(&mut self, now_ms: u64, kind: &OrderKind, placed: &mut Vec<Placed>) {
        match kind {
            OrderKind::Report => {}
            OrderKind::Load { name, .. } => {
                self.places.remove(name);
                placed.push(self.tell(name, Holding::Gone));
                self.sequence = None;
            }
            OrderKind::Unload { name } => {
                let version = self.places.get(name).map_or(1, |place| place.version);
                self.put(now_ms, name, version, PlaceState::Ready);
                // Gateways were told that all of these are gone.
                for kept in self.with_adapters(name) {
                    let Some(place) = self.places.get(&kept) else { continue };
                    if place.state == PlaceState::Ready {
                        placed.push(self.tell(&kept, Holding::Ready(place.version)));
                    }
                }
                self.sequence = None;
            }
        }
    }
}
