//! Serving the streams that peers and gateways open at a replica.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use ractor::concurrency::oneshot;
use ractor::{ActorRef, RpcReplyPort};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use crate::control::distribution::DistributorHandle;
use crate::control::server::ReplicaMessage;
use crate::error::{Error, Result};
use crate::message::{
    ControlReply, ControlRequest, PeerMessage, ProbeReply, SessionDown, SessionHello, SessionRole,
    SessionUp,
};
use crate::traffic;
use crate::wire::{BoxFuture, Channel, Handler, Incoming, Receiver};

const SESSION_QUEUE: usize = 512;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How far the process has started.
pub enum Stage {
    /// No identity is written.
    Empty,
    /// A founding identity is written.
    Founding,
    /// The replica runs.
    Running(Running),
}

/// A replica that runs, with what serves the gateways of its availability zone.
#[derive(Clone)]
pub struct Running {
    /// The replica.
    pub replica: ActorRef<ReplicaMessage>,
    /// What passes on what the leader says, while another replica leads.
    pub distributor: DistributorHandle,
    /// Set while this replica leads.
    pub leads: Arc<AtomicBool>,
    /// Who leads, as far as this replica knows.
    pub leader: watch::Receiver<Option<SocketAddr>>,
}

impl Running {
    /// Asks the replica, or answers for it while it does not lead: one whose disk stalls does nothing
    /// until the write is done, and callers waited for it as long as they could.
    pub async fn call(&self, request: ControlRequest, within: Duration) -> ControlReply {
        // Whether a replica is there at all is for itself to say.
        let is_for_leader = !matches!(request, ControlRequest::Probe);
        if is_for_leader && !self.leads.load(Ordering::Relaxed) {
            return ControlReply::NotLeader { leader: *self.leader.borrow() };
        }
        let (reply, answered) = oneshot::<ControlReply>();
        let call = ReplicaMessage::Call(request, RpcReplyPort::from(reply));
        if self.replica.cast(call).is_err() {
            return ControlReply::Lost;
        }
        tokio::select! {
            biased;
            reply = timeout(within, answered) => match reply {
                Ok(Ok(reply)) => reply,
                Ok(Err(_)) | Err(_) => ControlReply::Lost,
            },
            () = self.lead_lost(), if is_for_leader => ControlReply::Lost,
        }
    }

    /// Returns once this replica does not count as the leader any more.
    async fn lead_lost(&self) {
        let mut leader = self.leader.clone();
        while self.leads.load(Ordering::Relaxed) && leader.changed().await.is_ok() {}
    }

    /// What serves sessions of `role` now.
    fn host(&self, role: SessionRole) -> SessionHost {
        let is_for_leader = role != SessionRole::Follower || self.leads.load(Ordering::Relaxed);
        if is_for_leader {
            return SessionHost::Replica(self.replica.clone());
        }
        SessionHost::Distributor(self.distributor.clone())
    }
}

/// What serves a session.
enum SessionHost {
    Replica(ActorRef<ReplicaMessage>),
    Distributor(DistributorHandle),
}

impl SessionHost {
    /// Opens a session; false when the process is about to end.
    fn open(&self, id: u64, hello: SessionHello, down: mpsc::Sender<SessionDown>) -> bool {
        match self {
            Self::Replica(actor) => actor.cast(ReplicaMessage::Open(id, hello, down)).is_ok(),
            Self::Distributor(distributor) => distributor.open(id, hello, down),
        }
    }

    fn up(&self, id: u64, up: SessionUp) -> bool {
        match self {
            Self::Replica(actor) => actor.cast(ReplicaMessage::Up(id, up)).is_ok(),
            Self::Distributor(distributor) => distributor.up(id, up),
        }
    }

    fn close(&self, id: u64) {
        match self {
            Self::Replica(actor) => {
                // An actor that has ended has no sessions either.
                let _ = actor.cast(ReplicaMessage::Close(id));
            }
            Self::Distributor(distributor) => distributor.close(id),
        }
    }
}

/// Serves the streams that peers and gateways open.
pub struct ControlHandler {
    stage: Arc<RwLock<Stage>>,
    sessions: Arc<AtomicU64>,
}

impl ControlHandler {
    /// A handler that follows `stage`.
    pub fn new(stage: Arc<RwLock<Stage>>) -> Self {
        Self { stage, sessions: Arc::default() }
    }

    fn running(&self) -> std::result::Result<Running, ProbeReply> {
        match &*self.stage.read().unwrap_or_else(PoisonError::into_inner) {
            Stage::Empty => Err(ProbeReply::Empty),
            Stage::Founding => Err(ProbeReply::Founding),
            Stage::Running(running) => Ok(running.clone()),
        }
    }
}

impl Handler for ControlHandler {
    fn handle(&self, incoming: Incoming) -> BoxFuture<'static, Result<()>> {
        let running = self.running();
        let session = self.sessions.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            match (incoming.channel, running) {
                (Channel::Raft, Ok(running)) => serve_peer(incoming, running.replica).await,
                (Channel::Control, running) => serve_call(incoming, running).await,
                (Channel::Session, Ok(running)) => serve_session(incoming, running, session).await,
                (Channel::Raft | Channel::Session, Err(_)) | (Channel::Forward, _) => {
                    Err(Error::refused("serve", "control", "this stream is not served here now"))
                }
            }
        })
    }
}

async fn serve_peer(incoming: Incoming, actor: ActorRef<ReplicaMessage>) -> Result<()> {
    let (mut receiver, _sender) = incoming.accept::<PeerMessage, ()>()?;
    while let Some(message) = receiver.next().await? {
        if actor.cast(ReplicaMessage::Peer(message)).is_err() {
            return Ok(());
        }
    }
    Ok(())
}

async fn serve_call(
    incoming: Incoming,
    running: std::result::Result<Running, ProbeReply>,
) -> Result<()> {
    let (mut receiver, mut sender) = incoming.accept::<ControlRequest, ControlReply>()?;
    let Some(request) = receiver.next().await? else { return Ok(()) };
    let reply = match running {
        Err(stage) if matches!(request, ControlRequest::Probe) => ControlReply::Probe(stage),
        Err(_) => ControlReply::NotLeader { leader: None },
        Ok(running) => running.call(request, CALL_TIMEOUT).await,
    };
    sender.send(&reply).await?;
    sender.finish();
    Ok(())
}

async fn serve_session(incoming: Incoming, running: Running, session: u64) -> Result<()> {
    let (mut receiver, mut sender) = incoming.accept::<SessionUp, SessionDown>()?;
    let Some(SessionUp::Hello(hello)) = receiver.next().await? else {
        return Err(Error::refused("open session", "gateway", "the first message is no hello"));
    };
    let (down, mut queue) = mpsc::channel(SESSION_QUEUE);
    let writer = tokio::spawn(async move {
        while let Some(message) = queue.recv().await {
            let Ok(size_bytes) = sender.send(&message).await else { return };
            traffic::count(message.kind(), size_bytes);
        }
        sender.finish();
    });
    let host = running.host(hello.role);
    if !host.open(session, hello, down) {
        return Ok(());
    }
    let result = pass_session(&mut receiver, &host, session, &writer).await;
    host.close(session);
    result
}

async fn pass_session(
    receiver: &mut Receiver<SessionUp>,
    host: &SessionHost,
    session: u64,
    writer: &tokio::task::JoinHandle<()>,
) -> Result<()> {
    while let Some(up) = receiver.next().await? {
        if writer.is_finished() || !host.up(session, up) {
            return Ok(());
        }
    }
    Ok(())
}
