//! Exchanges claims and grants of the slots of brittle endpoints with other gateways.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;
use tracing::{debug, info};

use super::leases::LeasedEndpoints;
use super::shared::Relay;
use crate::error::{Error, Result};
use crate::message::{PeerGateway, SlotClaims, SlotGrants, SlotStream};
use crate::policy::slot_grants::SlotGrantor;
use crate::wire::{Channel, Incoming, Receiver, Sender};

/// How often leases are kept, returned and ended while there are any.
const ADVANCE_INTERVAL_MS: u64 = 25;
/// A connection to another gateway is made within one round trip, if at all.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);

/// The slots that this gateway leases to others, and the streams on which it does so.
#[derive(Default)]
pub(super) struct Slots {
    grantor: Mutex<SlotGrantor>,
    /// The streams of the gateways that claim slots here, by gateway.
    holders: Mutex<HashMap<Arc<str>, Open<SlotGrants>>>,
    /// The streams to coordinators, by gateway.
    links: Mutex<HashMap<Arc<str>, Open<SlotClaims>>>,
    /// Notified when a slot is wanted or no longer in use.
    pub(super) changed: Notify,
}

/// A stream, and where its messages are sent.
struct Open<T> {
    stream: SlotStream,
    sender: mpsc::UnboundedSender<T>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Claims and grants slots for as long as the process runs.
pub(super) async fn run(relay: Arc<Relay>) {
    let mut advance_at_ms = 0;
    loop {
        let changed = relay.slots.changed.notified();
        if relay.has_slots() {
            // Whether something changed or not, the claims are looked at.
            let _ = relay.clock.timeout_at(advance_at_ms, changed).await;
        } else {
            changed.await;
        }
        let now_ms = relay.now_ms();
        if now_ms >= advance_at_ms {
            advance_at_ms = now_ms + ADVANCE_INTERVAL_MS;
            relay.advance_slots(now_ms);
        }
        relay.send_claims();
    }
}

/// Serves the stream of a gateway that claims slots here.
pub(super) async fn serve(relay: &Arc<Relay>, incoming: Incoming) -> Result<()> {
    let (mut receiver, mut sender): (Receiver<SlotClaims>, Sender<SlotGrants>) =
        incoming.accept()?;
    let Some(first) = receiver.next().await? else { return Ok(()) };
    let Some(mut granted) = relay.accept_holder(&first) else { return Ok(()) };
    let mut claims = first;
    loop {
        if !relay.grant(claims) {
            return Ok(());
        }
        claims = loop {
            tokio::select! {
                grants = granted.recv() => match grants {
                    Some(grants) => {
                        sender.send(&grants).await?;
                    }
                    // Its leases have expired, or it has opened another stream.
                    None => return Ok(()),
                },
                next = receiver.next() => match next? {
                    Some(next) => break next,
                    None => return Ok(()),
                },
            }
        };
    }
}

/// Sends claims to a coordinator and applies its grants until the stream ends.
async fn run_link(
    relay: &Arc<Relay>,
    to: &PeerGateway,
    mut claims: mpsc::UnboundedReceiver<SlotClaims>,
) -> Result<()> {
    let connection = relay.peer_connections.get(to.address);
    let opened = timeout(OPEN_TIMEOUT, connection.open(Channel::Slots)).await;
    let limit_ms = OPEN_TIMEOUT.as_millis() as u64;
    let (mut sender, mut receiver): (Sender<SlotClaims>, Receiver<SlotGrants>) =
        opened.map_err(|_| Error::timeout("open stream", to.name.clone(), limit_ms)).flatten()?;
    loop {
        tokio::select! {
            // The gateway may have given the stream up.
            biased;
            next = claims.recv() => match next {
                Some(next) => {
                    sender.send(&next).await?;
                }
                None => return Ok(()),
            },
            grants = receiver.next() => match grants? {
                Some(grants) => relay.apply_grants(&to.name, grants),
                None => return Err(Error::failed("claim slots", to.name.clone(), "the stream ended")),
            },
        }
    }
}

impl Relay {
    /// True if this gateway has leased slots, or wants some, or leases some to others.
    fn has_slots(&self) -> bool {
        !self.fleet().slot_leases.is_empty() || !lock(&self.slots.grantor).is_empty()
    }

    /// Sends the claims that are due.
    fn send_claims(self: &Arc<Self>) {
        let due = {
            let mut fleet = self.fleet();
            if fleet.slot_leases.is_empty() {
                return;
            }
            let now_ms = self.now_ms();
            fleet.take_claims(now_ms)
        };
        for (to, claims) in due {
            let stream = claims.stream;
            let is_sent = if to.name == self.settings.name {
                self.grant(claims)
            } else {
                self.send_claims_to(&to, claims)
            };
            if !is_sent {
                self.fleet().slot_leases.lose(&to.name, stream);
            }
        }
    }

    /// Sends claims on their stream, which the first ones open; returns false if it has ended.
    fn send_claims_to(self: &Arc<Self>, to: &PeerGateway, claims: SlotClaims) -> bool {
        let mut links = lock(&self.slots.links);
        if let Some(link) = links.get(&to.name).filter(|link| link.stream == claims.stream) {
            return link.sender.send(claims).is_ok();
        }
        if claims.number != 1 {
            return false;
        }
        let (stream, (sender, received)) = (claims.stream, mpsc::unbounded_channel());
        let is_sent = sender.send(claims).is_ok();
        // A stream that was open before ends with its sender.
        links.insert(to.name.clone(), Open { stream, sender });
        tokio::spawn(self.clone().keep_link(to.clone(), stream, received));
        is_sent
    }

    /// Exchanges claims and grants with a coordinator until the stream ends.
    async fn keep_link(
        self: Arc<Self>,
        to: PeerGateway,
        stream: SlotStream,
        claims: mpsc::UnboundedReceiver<SlotClaims>,
    ) {
        if let Err(error) = run_link(&self, &to, claims).await {
            info!(event = "slots_lost", coordinator = %to.name, error = %error);
            self.peer_connections.get(to.address).drop_connection().await;
        }
        let mut links = lock(&self.slots.links);
        if links.get(&to.name).is_some_and(|link| link.stream == stream) {
            links.remove(&to.name);
        }
        drop(links);
        self.fleet().slot_leases.lose(&to.name, stream);
    }

    /// Accepts the stream of a gateway that claims slots, unless it has opened another one since;
    /// returns the grants to send on it.
    fn accept_holder(&self, first: &SlotClaims) -> Option<mpsc::UnboundedReceiver<SlotGrants>> {
        let mut holders = lock(&self.slots.holders);
        let known = holders.get(&first.gateway);
        if known.is_some_and(|known| first.stream.is_before(&known.stream)) {
            return None;
        }
        let (sender, granted) = mpsc::unbounded_channel();
        holders.insert(first.gateway.clone(), Open { stream: first.stream, sender });
        Some(granted)
    }

    /// Ends the leases of gateways, and the streams to coordinators, that have fallen silent.
    fn advance_slots(&self, now_ms: u64) {
        let silent = self.fleet().slot_leases.silent(now_ms);
        for (coordinator, stream) in silent {
            debug!(event = "slots_unanswered", coordinator = %coordinator);
            self.fleet().slot_leases.lose(&coordinator, stream);
            let mut links = lock(&self.slots.links);
            if links.get(&coordinator).is_some_and(|link| link.stream == stream) {
                // The stream ends with its sender.
                links.remove(&coordinator);
            }
        }
        let changed = {
            let fleet = self.fleet();
            let mut grantor = lock(&self.slots.grantor);
            if grantor.is_empty() {
                return;
            }
            let endpoints = LeasedEndpoints::new(&fleet, &self.settings.name, now_ms);
            let changed = grantor.advance(now_ms, &endpoints);
            lock(&self.slots.holders).retain(|gateway, _| grantor.has_holder(gateway));
            changed
        };
        self.send_grants(changed);
    }

    /// Applies the claims of a gateway; returns false if it has to open another stream.
    fn grant(&self, claims: SlotClaims) -> bool {
        let changed = {
            let fleet = self.fleet();
            let now_ms = self.now_ms();
            let endpoints = LeasedEndpoints::new(&fleet, &self.settings.name, now_ms);
            let mut grantor = lock(&self.slots.grantor);
            if grantor.is_empty() {
                self.slots.changed.notify_one();
            }
            grantor.claim(now_ms, claims, &endpoints)
        };
        let Some(changed) = changed else { return false };
        self.send_grants(changed);
        true
    }

    fn send_grants(&self, changed: Vec<(Arc<str>, SlotGrants)>) {
        for (gateway, grants) in changed {
            if gateway == self.settings.name {
                self.apply_grants(&gateway, grants);
                continue;
            }
            let holders = lock(&self.slots.holders);
            if let Some(holder) = holders.get(&gateway).filter(|it| it.stream == grants.stream) {
                // A stream that has ended is opened again by the gateway.
                let _ = holder.sender.send(grants);
            }
        }
    }

    /// Applies the grants of a coordinator, and wakes the first requests that may now be sent.
    fn apply_grants(&self, coordinator: &str, grants: SlotGrants) {
        let mut fleet = self.fleet();
        let is_contended = grants.grants.iter().any(|grant| grant.is_contended);
        let more = fleet.apply_grants(coordinator, grants);
        if !more.is_empty() {
            self.queue.wake_firsts(self.now_ms(), |key| {
                more.iter().any(|endpoint| fleet.may_take(endpoint, key))
            });
        }
        drop(fleet);
        if is_contended {
            // Unused slots are returned at once.
            self.slots.changed.notify_one();
        }
    }
}
