//! Maintains the session with the control leader: finds the leader, applies its messages and sends
//! it the gateway's own.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Interval, MissedTickBehavior, interval, timeout};
use tracing::{debug, info, warn};

use super::fleet::Traffic;
use super::orders::EngineClient;
use super::shared::Relay;
use crate::error::{Error, Result};
use crate::following::{ServerSearch, send};
use crate::message::{
    AdapterNeed, EngineOrder, FollowedRouting, OrderOutcome, OrderResult, SessionDown,
    SessionHello, SessionRole, SessionUp,
};
use crate::policy::counts;
use crate::policy::running_time::RunningTimer;
use crate::wire::{Channel, Peer, Receiver, Sender};

/// How often the gateway renews its session, which confirms that it has received all changes.
const RENEW_MS: u64 = 300;
/// A leader that has been silent for this long is given up, after three unanswered renewals.
/// Including the search for the next leader, this stays below the two seconds within which a change
/// must take effect.
const LEADER_TIMEOUT_MS: u64 = 900;
/// The longest time between two checks for silence that counts towards it: after a stall of this
/// process, messages of the leader may wait to be read.
const SILENCE_STEP_MAX_MS: u64 = 2 * RENEW_MS;
/// A replica that has served for this long is no longer avoided for earlier failures.
const STABLE_AFTER_MS: u64 = 5_000;
/// The time after the first offer to send requests of others, at which the gateway offers it again
/// and learns of those that started at the same time; doubled with each offer.
const FIRST_OFFER_INTERVAL_MS: u64 = 500;
/// How often the gateway repeats its offer at least; the leader drops it after 25 s.
const OFFER_INTERVAL_MAX_MS: u64 = 10_000;
const RETRY_PAUSE_MS: u64 = 20;
const OPEN_TIMEOUT_MS: u64 = 300;
/// A replica that hangs accepts connections but sends nothing. A working one sends its first
/// message well within this time; a longer wait would use up the remaining lease for orders.
const FIRST_MESSAGE_TIMEOUT_MS: u64 = 500;

/// The longest time from a leader's last message to a session with the next leader, if
/// `unreachable` replicas are tried in between.
pub fn reconnect_max_ms(unreachable: u64) -> u64 {
    RENEW_MS + LEADER_TIMEOUT_MS + unreachable * (OPEN_TIMEOUT_MS + RETRY_PAUSE_MS) + RETRY_PAUSE_MS
}

/// Messages that wait to be sent to the leader.
pub(super) struct Queues {
    /// Weights that requests need.
    pub(super) needs: mpsc::UnboundedReceiver<AdapterNeed>,
    /// All other messages, in order.
    pub(super) outgoing: mpsc::UnboundedReceiver<SessionUp>,
}

/// Follows the current leader until the task is dropped.
pub(super) async fn run(
    relay: Arc<Relay>,
    boot_id: u64,
    mut queues: Queues,
    engines: Arc<dyn EngineClient>,
) {
    let mut search = ServerSearch::new(relay.settings.zone.clone(), relay.settings.seeds.clone());
    loop {
        let address = search.next(relay.now_ms());
        match follow(&relay, boot_id, address, &mut search, &mut queues, &engines).await {
            Ok(leader) => search.record_redirect(relay.now_ms(), address, leader),
            Err(error) if search.record_failure(relay.now_ms(), address) => {
                warn!(event = "control_lost", peer = %address, error = %error);
            }
            Err(error) => debug!(event = "control_not_found", peer = %address, error = %error),
        }
        relay.fleet().forget_loads(relay.now_ms());
        relay.quota.unlinked();
        relay.shares.unlinked();
        relay.origins.unlinked();
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
}

type Streams = (Sender<SessionUp>, Receiver<SessionDown>);

/// Follows the replica at `address`; returns the address of the leader if that is another replica.
async fn follow(
    relay: &Arc<Relay>,
    boot_id: u64,
    address: SocketAddr,
    search: &mut ServerSearch,
    queues: &mut Queues,
    engines: &Arc<dyn EngineClient>,
) -> Result<Option<SocketAddr>> {
    let peer = Peer::new(address).with_metrics(relay.metrics.clone());
    let limit = Duration::from_millis(OPEN_TIMEOUT_MS);
    let opened = timeout(limit, peer.open(Channel::Session)).await;
    let (mut sender, mut receiver): Streams = opened
        .map_err(|_| Error::timeout("open session", address.to_string(), OPEN_TIMEOUT_MS))??;
    let hello = SessionHello {
        name: relay.settings.name.clone(),
        boot_id,
        zone: relay.settings.zone.clone(),
        address,
        applied_index: 0,
        role: SessionRole::Follower,
        zone_server_failed: search.has_failed_server(relay.now_ms()),
    };
    send(&mut sender, &SessionUp::Hello(hello)).await?;
    let mut renewals = interval(Duration::from_millis(RENEW_MS));
    renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut offered, mut offer_at_ms) = (0, u64::MAX);
    let mut counts_every_ms = counts::period_ms(1) as u32;
    let mut reports = report_timer(counts_every_ms);
    let opened_at_ms = relay.now_ms();
    let mut last_message_at_ms = opened_at_ms;
    let mut silence = RunningTimer::new(opened_at_ms, SILENCE_STEP_MAX_MS);
    let mut is_welcome = false;
    let mut welcome_at_ms = 0;
    let mut staged = Vec::new();
    let mut routing = FollowedRouting::new();
    let (results, mut ordered) = mpsc::unbounded_channel();
    loop {
        tokio::select! {
            // After a stall, the changes that wait are applied first, and nothing times out before
            // they are read.
            biased;
            down = receiver.next() => {
                last_message_at_ms = relay.now_ms().max(opened_at_ms + 1);
                silence = RunningTimer::new(last_message_at_ms, SILENCE_STEP_MAX_MS);
                let Some(down) = down? else {
                    return Err(Error::failed("follow", address.to_string(), "the session ended"));
                };
                match down {
                    SessionDown::NotLeader { leader } => return Ok(leader),
                    SessionDown::Expired => return Ok(Some(address)),
                    SessionDown::Welcome { .. } => {
                        let attempts = search.found();
                        welcome_at_ms = last_message_at_ms;
                        info!(event = "control_regained", leader = %address, attempts);
                        is_welcome = true;
                        relay.fleet().request_full_uses();
                        relay.quota.linked();
                        relay.shares.linked();
                        relay.origins.linked(last_message_at_ms);
                        let loads = relay.fleet().all_loads(last_message_at_ms);
                        let (used, failing) = (Vec::new(), Vec::new());
                        send(&mut sender, &SessionUp::Traffic { loads, used, failing }).await?;
                        let crashes = relay.crashes.recent_crashes(relay.now_ms());
                        if !crashes.is_empty() {
                            send(&mut sender, &SessionUp::Crashes(crashes)).await?;
                        }
                        (offered, offer_at_ms) = (0, last_message_at_ms);
                        // Requests and orders wait for the first confirmed renewal.
                        renewals.reset_immediately();
                    }
                    SessionDown::Group(group) => {
                        relay.set_gateways(group.gateways);
                        let coordinators = group.coordinators.clone();
                        relay.fleet().set_coordinators(relay.now_ms(), coordinators);
                        if group.counts_every_ms != counts_every_ms {
                            counts_every_ms = group.counts_every_ms;
                            reports = report_timer(counts_every_ms);
                        }
                        search.set_group(group);
                    }
                    SessionDown::Peers { peers, .. } => relay.peers().set(peers),
                    SessionDown::Order(order) => {
                        let give = execute_order(relay.clone(), engines.clone(), order);
                        let results = results.clone();
                        tokio::spawn(async move {
                            // The receiver is gone if the session has ended.
                            let _ = results.send(give.await);
                        });
                    }
                    SessionDown::Changes { reset, complete, mut changes, .. } => {
                        routing.resolve(&mut changes)?;
                        if reset {
                            staged.clear();
                        }
                        staged.extend(changes);
                        if complete {
                            relay.follow(reset, std::mem::take(&mut staged));
                        }
                    }
                    down => apply_message(relay, down),
                }
            }
            _ = renewals.tick() => {
                let now_ms = relay.now_ms();
                if silence.observe(now_ms) > LEADER_TIMEOUT_MS {
                    return Err(Error::timeout("follow", address.to_string(), LEADER_TIMEOUT_MS));
                }
                if is_welcome && let Some(near) = search.nearer_replica(now_ms, address) {
                    debug!(event = "control_nearer", from = %address, to = %near);
                    return Ok(Some(near));
                }
                if is_welcome && welcome_at_ms + STABLE_AFTER_MS <= now_ms {
                    search.serves(address);
                }
                if is_welcome {
                    let renewal = SessionUp::Renew { sent_at_ms: now_ms, summaries: Vec::new() };
                    send(&mut sender, &renewal).await?;
                }
            }
            Some(up) = queues.outgoing.recv(), if is_welcome => send(&mut sender, &up).await?,
            Some(need) = queues.needs.recv(), if is_welcome => {
                let needs = merge_needs(need, &mut queues.needs);
                send(&mut sender, &SessionUp::Needs(needs)).await?;
            }
            () = relay.peers_wanted.notified(), if is_welcome => {
                offer_detours(relay, &mut sender).await?;
            }
            () = relay.clock.sleep_until(offer_at_ms), if is_welcome => {
                offer_detours(relay, &mut sender).await?;
                offered += 1;
                offer_at_ms = relay.now_ms() + offer_interval_ms(offered);
            }
            () = relay.origins.wanted.notified(), if is_welcome => {
                tell_origins(relay, &mut sender).await?;
            }
            () = relay.clock.sleep_until(relay.origins.tell_at_ms()), if is_welcome => {
                tell_origins(relay, &mut sender).await?;
            }
            () = relay.quota.wanted.notified(), if is_welcome => {
                ask_for_credit(relay, &mut sender).await?;
            }
            Some(result) = ordered.recv() => {
                send(&mut sender, &SessionUp::Ordered(result)).await?;
            }
            _ = reports.tick(), if is_welcome => {
                let Traffic { loads, used, failing } = relay.fleet().take_traffic(relay.now_ms());
                if !loads.is_empty() || !used.is_empty() || !failing.is_empty() {
                    send(&mut sender, &SessionUp::Traffic { loads, used, failing }).await?;
                }
                ask_for_credit(relay, &mut sender).await?;
                let uses = relay.shares.take_report();
                if !uses.is_empty() {
                    send(&mut sender, &SessionUp::WorkspaceUse(uses)).await?;
                }
            }
            () = relay.clock.sleep_until(opened_at_ms + FIRST_MESSAGE_TIMEOUT_MS), if last_message_at_ms == opened_at_ms => {
                return Err(Error::timeout("open session", address.to_string(), FIRST_MESSAGE_TIMEOUT_MS));
            }
        }
    }
}

/// The time between an offer, the first one being 1, and the next one.
fn offer_interval_ms(offered: u32) -> u64 {
    (FIRST_OFFER_INTERVAL_MS << offered.min(8)).min(OFFER_INTERVAL_MAX_MS)
}

/// Offers to send requests of other gateways to endpoints, and asks for such gateways.
async fn offer_detours(relay: &Relay, sender: &mut Sender<SessionUp>) -> Result<()> {
    let Some(address) = relay.settings.listen_peers else { return Ok(()) };
    let out_of_reach = relay.fleet().services_out_of_reach(relay.now_ms());
    send(sender, &SessionUp::OfferDetours { address, out_of_reach }).await
}

/// Tells the leader where streams began, if that is due, and asks where others did.
async fn tell_origins(relay: &Relay, sender: &mut Sender<SessionUp>) -> Result<()> {
    let begun = relay.origins.take_begun(relay.now_ms());
    if !begun.is_empty() {
        send(sender, &SessionUp::StreamsBegun(begun)).await?;
    }
    for ask in relay.origins.take_asks() {
        send(sender, &SessionUp::AskOrigin(ask)).await?;
    }
    Ok(())
}

/// Asks for the credit that requests wait for, or will soon need.
async fn ask_for_credit(relay: &Relay, sender: &mut Sender<SessionUp>) -> Result<()> {
    let asks = relay.quota.take_asks();
    if asks.is_empty() {
        return Ok(());
    }
    send(sender, &SessionUp::CreditAsks(asks)).await
}

/// Returns the timer for reporting changes of the gateway's load.
fn report_timer(period_ms: u32) -> Interval {
    let mut reports = interval(Duration::from_millis(u64::from(period_ms.max(1))));
    reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
    reports
}

async fn execute_order(
    relay: Arc<Relay>,
    engines: Arc<dyn EngineClient>,
    order: EngineOrder,
) -> OrderResult {
    let (number, endpoint, kind) = (order.number, order.endpoint.clone(), order.kind.clone());
    let outcome = if relay.fleet().is_out_of_reach(&endpoint) {
        OrderOutcome::NotSent
    } else {
        engines.carry_out(order, relay.send_lease.clone()).await
    };
    OrderResult { number, endpoint, kind, outcome }
}

/// Drains the queue and merges the needs for the same weights.
fn merge_needs(
    first: AdapterNeed,
    needs: &mut mpsc::UnboundedReceiver<AdapterNeed>,
) -> Vec<AdapterNeed> {
    let mut by_weights = HashMap::new();
    let mut next = Some(first);
    while let Some(need) = next {
        let key = (need.service.clone(), need.weights.clone(), need.software_version.clone());
        let known =
            by_weights.entry(key).or_insert_with(|| AdapterNeed { requests: 0, ..need.clone() });
        known.requests += need.requests;
        next = needs.try_recv().ok();
    }
    by_weights.into_values().collect()
}

fn apply_message(relay: &Arc<Relay>, down: SessionDown) {
    match down {
        SessionDown::Renewed { sent_at_ms, .. } => relay.note_confirmed(sent_at_ms),
        SessionDown::Placed { reset, placed } => relay.apply_placements(reset, placed),
        SessionDown::Loads(loads) => relay.apply_loads(loads),
        SessionDown::Credit(grants) => relay.quota.granted(grants),
        SessionDown::WorkspaceUse(uses) => relay.shares.note_others(uses),
        SessionDown::Origin { stream, origin, .. } => {
            relay.origins.answered(&stream, origin.as_ref());
        }
        SessionDown::Changes { .. }
        | SessionDown::Welcome { .. }
        | SessionDown::NotLeader { .. }
        | SessionDown::Expired
        | SessionDown::Order(_)
        | SessionDown::RenewedFor { .. }
        | SessionDown::Peers { .. }
        | SessionDown::Group(_) => {}
    }
}
