//! Serves the streams that peers, gateways and other callers open at a replica.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use ractor::RpcReplyPort;
use ractor::concurrency::oneshot;
use tokio::sync::watch;
use tokio::time::timeout;
use tracing::debug;

use crate::control::admission::{Admissions, Admitted};
use crate::control::distribution::DistributorHandle;
use crate::control::limits::ControlLimits;
use crate::control::outbox::{OutboxReceiver, OutboxSender, outbox};
use crate::control::reply::Reply;
use crate::control::server::{ReplicaHandle, ReplicaMessage};
use crate::error::{Error, Result};
use crate::message::{
    ControlReply, ControlRequest, PeerMessage, ProbeReply, SessionDown, SessionHello, SessionRole,
    SessionUp,
};
use crate::policy::change_budget::ChangeRefusal;
use crate::traffic;
use crate::wire::{BoxFuture, Channel, Handler, Incoming, Receiver, Sender};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Smaller calls of other processes are not counted.
const ADMITTED_MIN_BYTES: u64 = 16 << 10;
/// Why a replica that has only just started refuses a stream.
const NOT_STARTED: &str = "the replica has not started yet";

/// Startup stage of the process.
pub enum Stage {
    /// No identity is stored.
    Empty,
    /// The identity of a founder is stored.
    Founding,
    /// The replica is running.
    Running(Running),
}

/// A running replica and the distributor for gateways of its availability zone.
#[derive(Clone)]
pub struct Running {
    /// The replica.
    pub replica: ReplicaHandle,
    /// Forwards the leader's messages to gateways while another replica leads.
    pub distributor: DistributorHandle,
    /// True while this replica leads.
    pub leads: Arc<AtomicBool>,
    /// The leader's address, as far as this replica knows.
    pub leader: watch::Receiver<Option<SocketAddr>>,
    /// The changes that are taken on.
    pub admissions: Admissions,
}

impl Running {
    /// Where a call belongs that only the leader serves; `None` while this replica leads.
    pub fn elsewhere(&self) -> Option<ControlReply> {
        let leads = self.leads.load(Ordering::Relaxed);
        (!leads).then(|| ControlReply::NotLeader { leader: *self.leader.borrow() })
    }

    /// Takes a large call on that came from another process.
    ///
    /// # Errors
    /// The answer to a call that was not taken on.
    async fn admit(
        &self,
        request: &ControlRequest,
    ) -> std::result::Result<Option<Admitted>, ControlReply> {
        let size_bytes = request.content_bytes() as u64;
        if size_bytes < ADMITTED_MIN_BYTES {
            return Ok(None);
        }
        if let Some(elsewhere) = self.elsewhere() {
            return Err(elsewhere);
        }
        match self.admissions.admit(size_bytes).await {
            Ok(admitted) => Ok(Some(admitted)),
            Err(ChangeRefusal::Busy { retry_after_ms }) => {
                Err(ControlReply::Busy { retry_after_ms: retry_after_ms as u32 })
            }
            Err(ChangeRefusal::TooLarge { max_bytes }) => Err(ControlReply::Invalid(format!(
                "the call has {size_bytes} bytes, of {max_bytes} at most"
            ))),
        }
    }

    /// Sends a call to the replica while it leads; otherwise answers with the leader's address.
    /// Without this, callers of a follower whose disk stalls would wait until they time out, since
    /// the replica does nothing until the write completes.
    pub async fn call(
        &self,
        request: ControlRequest,
        admitted: Option<Admitted>,
        within: Duration,
    ) -> ControlReply {
        // A probe asks for this replica's own state.
        let is_for_leader = !matches!(request, ControlRequest::Probe);
        if is_for_leader && let Some(elsewhere) = self.elsewhere() {
            return elsewhere;
        }
        let (reply, answered) = oneshot::<ControlReply>();
        let call = ReplicaMessage::Call(
            request,
            Reply::new(RpcReplyPort::from(reply)).with_admitted(admitted),
        );
        if self.replica.cast(call).is_err() {
            return ControlReply::Lost;
        }
        tokio::select! {
            biased;
            reply = timeout(within, answered) => match reply {
                Ok(Ok(reply)) => reply,
                Ok(Err(_)) | Err(_) => ControlReply::Lost,
            },
            () = self.leadership_lost(), if is_for_leader => ControlReply::Lost,
        }
    }

    /// Returns once this replica is no longer known as the leader.
    async fn leadership_lost(&self) {
        let mut leader = self.leader.clone();
        while self.leads.load(Ordering::Relaxed) && leader.changed().await.is_ok() {}
    }

    /// The actor that serves sessions of `role` now.
    fn host(&self, role: SessionRole) -> SessionHost {
        let is_for_leader = role != SessionRole::Follower || self.leads.load(Ordering::Relaxed);
        if is_for_leader {
            return SessionHost::Replica(self.replica.clone());
        }
        SessionHost::Distributor(self.distributor.clone())
    }
}

/// The actor that serves a session.
enum SessionHost {
    Replica(ReplicaHandle),
    Distributor(DistributorHandle),
}

impl SessionHost {
    /// Opens a session; returns false if the process is stopping.
    fn open(&self, id: u64, hello: SessionHello, down: OutboxSender) -> bool {
        match self {
            Self::Replica(actor) => actor.cast(ReplicaMessage::Open(id, hello, down)).is_ok(),
            Self::Distributor(distributor) => distributor.open(id, hello, down),
        }
    }

    fn send_up(&self, id: u64, up: SessionUp) -> bool {
        match self {
            Self::Replica(actor) => actor.cast(ReplicaMessage::Up(id, up)).is_ok(),
            Self::Distributor(distributor) => distributor.up(id, up),
        }
    }

    fn close(&self, id: u64) {
        match self {
            Self::Replica(actor) => {
                // A stopped actor has no sessions left to close.
                let _ = actor.cast(ReplicaMessage::Close(id));
            }
            Self::Distributor(distributor) => distributor.close(id),
        }
    }
}

/// Dispatches incoming streams by channel.
pub struct ControlHandler {
    stage: Arc<RwLock<Stage>>,
    sessions: Arc<AtomicU64>,
    limits: ControlLimits,
}

impl ControlHandler {
    /// Creates a handler for the replica in `stage`.
    pub fn new(stage: Arc<RwLock<Stage>>, limits: ControlLimits) -> Self {
        Self { stage, sessions: Arc::default(), limits }
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
        let session_max_bytes = self.limits.session_max_bytes;
        Box::pin(async move {
            match (incoming.channel, running) {
                (Channel::Raft, Ok(running)) => serve_peer(incoming, running.replica).await,
                (Channel::Control, running) => serve_call(incoming, running).await,
                (Channel::Session, Ok(running)) => {
                    serve_session(incoming, running, session, session_max_bytes).await
                }
                (Channel::Raft | Channel::Session, Err(_)) => {
                    incoming.refuse(NOT_STARTED);
                    Err(Error::refused("serve", "control", NOT_STARTED))
                }
                (Channel::Forward | Channel::Peer | Channel::Slots, _) => {
                    Err(Error::refused("serve", "control", "this stream is not served here"))
                }
            }
        })
    }
}

async fn serve_peer(incoming: Incoming, actor: ReplicaHandle) -> Result<()> {
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
        Ok(running) => match running.admit(&request).await {
            Ok(admitted) => running.call(request, admitted, CALL_TIMEOUT).await,
            Err(reply) => reply,
        },
    };
    sender.send(&reply).await?;
    sender.finish();
    Ok(())
}

async fn serve_session(
    incoming: Incoming,
    running: Running,
    session: u64,
    session_max_bytes: u64,
) -> Result<()> {
    let (mut receiver, sender) = incoming.accept::<SessionUp, SessionDown>()?;
    let Some(SessionUp::Hello(hello)) = receiver.next().await? else {
        return Err(Error::refused("open session", "gateway", "the first message is no hello"));
    };
    let (down, queue) = outbox(session_max_bytes);
    let writer = tokio::spawn(send_all(queue, sender));
    let host = running.host(hello.role);
    if !host.open(session, hello, down) {
        return Ok(());
    }
    let result = forward_session(&mut receiver, &host, session, &writer).await;
    host.close(session);
    result
}

/// Sends what is queued until the session is removed or its connection ends.
async fn send_all(mut queue: OutboxReceiver, mut sender: Sender<SessionDown>) {
    while let Some(message) = queue.next().await {
        let sent = match message.encoded() {
            Ok(encoded) => sender.send_encoded(encoded).await,
            Err(error) => Err(error),
        };
        match sent {
            Ok(size_bytes) => traffic::count(message.message().kind(), size_bytes),
            Err(error) => {
                debug!(event = "session_not_sent", error = %error);
                return;
            }
        }
    }
    sender.finish();
}

async fn forward_session(
    receiver: &mut Receiver<SessionUp>,
    host: &SessionHost,
    session: u64,
    writer: &tokio::task::JoinHandle<()>,
) -> Result<()> {
    while let Some(up) = receiver.next().await? {
        if writer.is_finished() || !host.send_up(session, up) {
            return Ok(());
        }
    }
    Ok(())
}
