//! The gateway's session with the control leader: registers the gateway, renews its lease, and
//! applies changes of services and of the fleet.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{info, warn};

use crate::control::fleet::{EndpointKind, EndpointRecord};
use crate::error::{Error, Result};
use crate::following::send;
use crate::gateway::owner;
use crate::gateway::shared::Shared;
use crate::message::{Change, SessionDown, SessionHello, SessionRole, SessionUp};
use crate::metrics::{Counter, Gauge};
use crate::wire::{Channel, Peer, Receiver, Sender};

const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Keeps a session with the control leader until the process ends; reconnects after each failure.
/// `queue` holds the messages to send.
pub async fn run(shared: Arc<Shared>, boot_id: u64, mut queue: mpsc::UnboundedReceiver<SessionUp>) {
    loop {
        let leader = shared.control.leader();
        match follow(&shared, boot_id, leader, &mut queue).await {
            Ok(SessionEnd::NotLeader(hint)) => shared.control.redirect(leader, hint),
            Ok(SessionEnd::Expired) => {
                warn!(event = "lease_expired", epoch = shared.lease.epoch());
                shared.lease.expire();
            }
            Err(error) => {
                warn!(event = "session_failed", peer = %leader, error = %error);
                shared.control.redirect(leader, None);
            }
        }
        shared.metrics.count(Counter::SessionsEnded);
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

enum SessionEnd {
    NotLeader(Option<std::net::SocketAddr>),
    Expired,
}

type SessionStreams = (Sender<SessionUp>, Receiver<SessionDown>);

async fn follow(
    shared: &Arc<Shared>,
    boot_id: u64,
    leader: std::net::SocketAddr,
    queue: &mut mpsc::UnboundedReceiver<SessionUp>,
) -> Result<SessionEnd> {
    let peer = Peer::new(leader).with_metrics(shared.metrics.clone());
    let (mut sender, mut receiver): SessionStreams = peer.open(Channel::Session).await?;
    let common = &shared.settings.common;
    shared.directory_mut().drop_staged();
    let hello = SessionHello {
        name: common.name.clone(),
        boot_id,
        zone: common.zone.clone(),
        address: common.listen_peers,
        applied_index: shared.directory().index(),
        role: SessionRole::Owner,
        zone_server_failed: false,
    };
    send(&mut sender, &SessionUp::Hello(hello)).await?;
    let mut renewals = interval(Duration::from_millis(shared.settings.lease.renew_ms));
    renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let silence_max_ms = shared.settings.lease.lease_ms;
    let mut last_received_ms = shared.now_ms();
    let mut is_registered = false;
    loop {
        tokio::select! {
            message = receiver.next() => {
                last_received_ms = shared.now_ms();
                let Some(message) = message? else {
                    return Err(Error::failed("follow", leader.to_string(), "the session ended"));
                };
                match message {
                    SessionDown::NotLeader { leader } => return Ok(SessionEnd::NotLeader(leader)),
                    SessionDown::Expired => return Ok(SessionEnd::Expired),
                    SessionDown::Welcome { epoch } => {
                        info!(event = "registered", epoch = epoch, leader = %leader);
                        shared.lease.register(epoch);
                        is_registered = true;
                        resend_unfinished(shared, &mut sender).await?;
                        renewals.reset_immediately();
                    }
                    message => handle_message(shared, message),
                }
            }
            Some(outgoing) = queue.recv(), if is_registered => send(&mut sender, &outgoing).await?,
            _ = renewals.tick() => {
                let now_ms = shared.now_ms();
                if now_ms > last_received_ms + silence_max_ms {
                    return Err(Error::timeout("follow", leader.to_string(), silence_max_ms));
                }
                if is_registered {
                    let summaries = shared.take_outbox();
                    send(&mut sender, &SessionUp::Renew { sent_at_ms: now_ms, summaries }).await?;
                }
            }
        }
    }
}

/// Repeats the messages that an earlier session may have lost: the leave, and releases of endpoints
/// for which control waits.
async fn resend_unfinished(shared: &Shared, sender: &mut Sender<SessionUp>) -> Result<()> {
    if shared.is_stopping() {
        send(sender, &SessionUp::Leave).await?;
    }
    let mut releases = Vec::new();
    for record in shared.directory().endpoints() {
        if record.owner.as_ref() == Some(&shared.settings.common.name) && record.successor.is_some()
        {
            let endpoint = record.name().clone();
            releases.push(SessionUp::Release { endpoint, epoch: record.epoch });
        }
    }
    for release in releases {
        send(sender, &release).await?;
    }
    Ok(())
}

fn handle_message(shared: &Arc<Shared>, message: SessionDown) {
    match message {
        SessionDown::Renewed { sent_at_ms, index, summaries, load_reports } => {
            shared.lease.renew(sent_at_ms);
            // All changes up to `index` came earlier on the same stream.
            let mut directory = shared.directory_mut();
            directory.set_index(index);
            drop(directory);
            shared.lease.confirm(sent_at_ms);
            let mut router = shared.router();
            for summary in summaries {
                router.observe(summary);
            }
            drop(router);
            for report in load_reports {
                owner::report_load(shared, &report);
            }
        }
        SessionDown::Changes { index, reset, complete, changes } => {
            apply(shared, index, reset, complete, changes);
        }
        SessionDown::Welcome { .. }
        | SessionDown::NotLeader { .. }
        | SessionDown::Expired
        | SessionDown::Placed { .. }
        | SessionDown::Order(_)
        | SessionDown::Loads(_)
        | SessionDown::RenewedFor { .. }
        | SessionDown::Credit(_)
        | SessionDown::WorkspaceUse(_)
        | SessionDown::Peers { .. }
        | SessionDown::Origin { .. }
        | SessionDown::Group(_) => {}
    }
}

fn apply(shared: &Arc<Shared>, index: u64, reset: bool, complete: bool, changes: Vec<Change>) {
    let mut directory = shared.directory_mut();
    let affected = directory.follow(index, reset, complete, changes);
    let mut records = Vec::with_capacity(affected.len());
    for name in affected {
        let record = directory.endpoint(&name).cloned();
        records.push((name, record));
    }
    shared.metrics.gauge(Gauge::Services, directory.services().len() as u64);
    drop(directory);
    for (name, record) in records {
        update_router(shared, &name, record.as_ref());
        owner::update_actor(shared, &name, record);
    }
    shared.metrics.gauge(Gauge::EndpointsOwned, shared.owned().len() as u64);
    shared.notify_change();
}

fn update_router(shared: &Shared, name: &Arc<str>, record: Option<&EndpointRecord>) {
    let mut router = shared.router();
    let Some(record) = record else {
        router.remove(name);
        return;
    };
    let default_places = match record.listed.kind {
        EndpointKind::Engine => 1,
        EndpointKind::Plain => record.listed.places,
    };
    router.put(
        name,
        &record.listed.pool,
        record.owner.clone(),
        record.epoch,
        record.listed.leaving,
        default_places,
    );
}
