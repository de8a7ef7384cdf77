//! Applies the outcomes of orders to the recorded state of an endpoint.

use tracing::info;

use super::endpoint::{EndpointState, HEARTBEAT_MAX_AGE_MS, REPORT_LAG_MS, WeightsState};
use crate::message::{Holding, OrderKind, OrderOutcome, OrderResult, Placed, WeightsName};

/// The delay before an unanswered order is sent again. Both orders expect the same sequence number,
/// so the endpoint carries out at most one of them, however late the first one arrives.
const RETRY_DELAY_MS: u64 = 30;
/// An order without an outcome for this long counts as lost with its gateway: connecting and the
/// answer take at most half a second, and the rest allows for the messages between leader and
/// gateway.
const OUTCOME_TIMEOUT_MS: u64 = 1_000;
/// The longest pause between repeated checks of a load.
const CHECK_MAX_MS: u64 = 120;
/// The shortest pause between repeated checks of a load.
const CHECK_MIN_MS: u64 = 14;
/// The pause before the first check is divided by this for later checks, since clients wait for as
/// long as a check is late.
const CHECK_PAUSE_DIVISOR: u64 = 10;
/// The pause before a report is requested again after one failed.
const REPORT_RETRY_MS: u64 = 700;
/// A load in progress for longer than this is verified by a report.
const LOAD_TIMEOUT_MS: u64 = 8_000;

/// A completed load from the weight store.
#[derive(Debug, Clone)]
pub struct CompletedStoreLoad {
    /// The loaded weights.
    pub name: WeightsName,
    /// The duration; `None` when an order for the load got no answer.
    pub took_ms: Option<u64>,
    /// Concurrent loads when this one was ordered, including itself.
    pub concurrent_at_start: usize,
}

impl EndpointState {
    /// Returns an unknown outcome for an order that timed out because its gateway disconnected.
    pub fn lost_order(&self, now_ms: u64) -> Option<OrderResult> {
        let pending = self.pending.as_ref()?;
        if pending.issued_at_ms + OUTCOME_TIMEOUT_MS > now_ms {
            return None;
        }
        Some(OrderResult {
            number: pending.number,
            endpoint: self.endpoint.id.clone(),
            kind: pending.kind.clone(),
            outcome: OrderOutcome::Unknown,
        })
    }

    /// Applies the outcome of an order.
    ///
    /// Returns the load from the weight store that the outcome completes, if any.
    pub fn ordered(
        &mut self,
        now_ms: u64,
        result: &OrderResult,
        placed: &mut Vec<Placed>,
    ) -> Option<CompletedStoreLoad> {
        let pending = self.pending.take_if(|pending| pending.number == result.number)?;
        self.order_arrival.note(now_ms, &result.outcome);
        let load_done = self.completed_store_load(now_ms, result);
        match &result.outcome {
            OrderOutcome::Report(report) => self.apply_report(now_ms, report, placed),
            OrderOutcome::UnderWay => self.apply_accepted(now_ms, &result.kind, pending.is_repeat),
            OrderOutcome::Done => self.apply_done(now_ms, &result.kind, pending.is_repeat, placed),
            OrderOutcome::Conflict => {
                // The endpoint carried out another order; a report is needed to learn its state.
                self.sequence = None;
                self.report_due_ms = now_ms + REPORT_LAG_MS;
                self.schedule_check(now_ms, &result.kind);
            }
            OrderOutcome::Refused | OrderOutcome::NotSent => {
                let is_failing = matches!(result.outcome, OrderOutcome::NotSent);
                if is_failing && result.kind != OrderKind::Report {
                    self.mark_failing(now_ms);
                }
                self.revert_order(now_ms, &result.kind, placed);
                self.report_due_ms = now_ms + REPORT_RETRY_MS;
            }
            OrderOutcome::Unknown => {
                self.orders_from_ms = now_ms + RETRY_DELAY_MS;
                if let OrderKind::Load { name, .. } = &result.kind
                    && let Some(place) = self.places.get_mut(name)
                {
                    place.unanswered = true;
                }
                self.report_due_ms = now_ms + REPORT_RETRY_MS;
                self.schedule_check(now_ms, &result.kind);
            }
        }
        load_done
    }

    fn completed_store_load(
        &self,
        now_ms: u64,
        result: &OrderResult,
    ) -> Option<CompletedStoreLoad> {
        let OrderKind::Load { name, .. } = &result.kind else { return None };
        let place = self.places.get(name)?;
        let is_done = matches!(result.outcome, OrderOutcome::Done);
        (is_done && place.from_store && place.accepted).then(|| CompletedStoreLoad {
            name: name.clone(),
            took_ms: (!place.unanswered).then(|| now_ms - place.changed_at_ms),
            concurrent_at_start: place.concurrent_at_start,
        })
    }

    fn apply_accepted(&mut self, now_ms: u64, kind: &OrderKind, is_repeat: bool) {
        if !is_repeat {
            self.sequence = self.sequence.map(|sequence| sequence + 1);
        }
        if let OrderKind::Load { name, .. } | OrderKind::Unload { name } = kind
            && let Some(place) = self.places.get_mut(name)
        {
            place.accepted = true;
        }
        if let OrderKind::Unload { .. } = kind {
            // The endpoint accepts no other order until the running requests have ended, which a
            // report shows.
            self.sequence = None;
            self.report_due_ms = now_ms + REPORT_LAG_MS;
        }
        self.schedule_check(now_ms, kind);
    }

    fn schedule_check(&mut self, now_ms: u64, kind: &OrderKind) {
        let (OrderKind::Load { name, .. } | OrderKind::Unload { name }) = kind else { return };
        let Some(place) = self.places.get_mut(name) else { return };
        if place.state == WeightsState::Unloading {
            place.changed_at_ms = now_ms;
        }
        if let WeightsState::Loading { pause_ms, .. } = place.state {
            if place.changed_at_ms + LOAD_TIMEOUT_MS < now_ms {
                self.sequence = None;
            }
            place.state = WeightsState::Loading {
                check_at_ms: now_ms + pause_ms,
                pause_ms: (pause_ms / CHECK_PAUSE_DIVISOR).clamp(CHECK_MIN_MS, CHECK_MAX_MS),
            };
        }
    }

    fn apply_done(
        &mut self,
        now_ms: u64,
        kind: &OrderKind,
        is_repeat: bool,
        placed: &mut Vec<Placed>,
    ) {
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
                self.set_state(now_ms, name, version, WeightsState::Ready);
                placed.push(self.to_placed(name, Holding::Ready(version)));
            }
            OrderKind::Unload { name } => {
                // An unload that waited for running requests was counted when accepted.
                if !is_repeat {
                    self.sequence = self.sequence.map(|sequence| sequence + 1);
                }
                for gone in self.with_adapters(name) {
                    self.places.remove(&gone);
                }
                self.unloaded_at_ms.retain(|_, at_ms| *at_ms + HEARTBEAT_MAX_AGE_MS > now_ms);
                self.unloaded_at_ms.insert(name.clone(), now_ms);
            }
        }
    }

    fn revert_order(&mut self, now_ms: u64, kind: &OrderKind, placed: &mut Vec<Placed>) {
        match kind {
            OrderKind::Report => {}
            OrderKind::Load { name, .. } => {
                self.places.remove(name);
                placed.push(self.to_placed(name, Holding::Gone));
                self.sequence = None;
            }
            OrderKind::Unload { name } => {
                let version = self.places.get(name).map_or(1, |place| place.version);
                self.set_state(now_ms, name, version, WeightsState::Ready);
                // Gateways were informed that the model and its adapters are gone.
                for kept in self.with_adapters(name) {
                    let Some(place) = self.places.get(&kept) else { continue };
                    if place.state == WeightsState::Ready {
                        placed.push(self.to_placed(&kept, Holding::Ready(place.version)));
                    }
                }
                self.sequence = None;
            }
        }
    }
}
