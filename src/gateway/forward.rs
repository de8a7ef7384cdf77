//! Forwards requests to the gateway that owns the chosen endpoint, and serves requests that other
//! gateways forward.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::sync::mpsc;
use tracing::debug;

use crate::error::{Error, Result};
use crate::gateway::owner::{OwnerMessage, event_channel};
use crate::gateway::shared::Shared;
use crate::message::{ForwardEvent, ForwardRequest, Refusal, RunState};
use crate::wire::{BoxFuture, Channel, Handler, Incoming, Receiver, Sender};

/// Serves requests that other gateways forward to this one.
pub struct ForwardHandler {
    shared: Arc<Shared>,
}

impl ForwardHandler {
    /// Creates a handler for the endpoints that this gateway owns.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl Handler for ForwardHandler {
    fn handle(&self, incoming: Incoming) -> BoxFuture<'static, Result<()>> {
        let shared = self.shared.clone();
        Box::pin(async move {
            if incoming.channel != Channel::Forward {
                return Err(Error::refused("serve", "gateway", "this stream is not served here"));
            }
            let _serving = ServingGuard::new(&shared);
            let (mut receiver, mut sender) = incoming.accept::<ForwardRequest, ForwardEvent>()?;
            let Some(request) = receiver.next().await? else { return Ok(()) };
            let mut events = submit_local(&shared, request);
            loop {
                let event = tokio::select! {
                    event = events.recv() => event,
                    // Dropping `events` cancels the request at the endpoint's actor.
                    () = sender.closed() => return Ok(()),
                };
                let Some(event) = event else { break };
                sender.send(&event).await?;
            }
            sender.finish();
            // The other gateway closes the stream once it has received the last event. Returning
            // before that would truncate its client's response.
            if let Err(error) = receiver.next().await {
                debug!(event = "forward_ended", detail = %error);
            }
            Ok(())
        })
    }
}

/// Guard that counts a forwarded request until the gateway that sent it has the whole response.
struct ServingGuard {
    shared: Arc<Shared>,
}

impl ServingGuard {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.serving.fetch_add(1, Ordering::Relaxed);
        Self { shared: shared.clone() }
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.shared.serving.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Submits a request to the actor of an endpoint that this gateway owns.
pub fn submit_local(shared: &Shared, request: ForwardRequest) -> mpsc::Receiver<ForwardEvent> {
    let (sender, receiver) = event_channel();
    let owned = shared.owned().get(&request.endpoint).cloned();
    let refused =
        ForwardEvent::Refused { refusal: Refusal::NotOwner, retry_after_ms: 100, summary: None };
    let Some(owned) = owned else {
        let _ = sender.try_send(refused);
        return receiver;
    };
    let message = OwnerMessage::Submit(Box::new(request), sender.clone());
    if owned.actor.cast(message).is_err() {
        let _ = sender.try_send(refused);
    }
    receiver
}

/// Receives the events of a request from an actor of this gateway or from another gateway.
pub enum Events {
    /// The endpoint is owned by this gateway.
    Local(mpsc::Receiver<ForwardEvent>),
    /// The endpoint is owned by another gateway.
    Remote {
        /// Name of the gateway that owns the endpoint.
        owner: Arc<str>,
        /// Held since dropping the sender closes the stream.
        _sender: Sender<ForwardRequest>,
        /// Receives the events from the owner.
        receiver: Receiver<ForwardEvent>,
    },
}

impl Events {
    /// Returns the next event, or a failure with unknown outcome when the owner is lost.
    pub async fn next(&mut self) -> ForwardEvent {
        match self {
            Self::Local(receiver) => receiver
                .recv()
                .await
                .unwrap_or_else(|| owner_lost_event("the endpoint's actor ended")),
            Self::Remote { receiver, owner, .. } => match receiver.next().await {
                Ok(Some(event)) => event,
                Ok(None) => owner_lost_event("the owner ended the stream"),
                Err(error) => {
                    debug!(event = "owner_lost", owner = %owner, error = %error);
                    owner_lost_event(&format!("the owner was lost: {error}"))
                }
            },
        }
    }
}

fn owner_lost_event(detail: &str) -> ForwardEvent {
    ForwardEvent::Failed { run: RunState::Unknown, detail: detail.to_owned() }
}

/// Sends a request to the gateway `owner`, which may be this one.
///
/// # Errors
/// An error that [`is_not_run`](Error::is_not_run) when the owner could not be reached; any other
/// error when the request may have reached it.
pub async fn send(shared: &Shared, owner: &Arc<str>, request: ForwardRequest) -> Result<Events> {
    if *owner == shared.settings.common.name {
        return Ok(Events::Local(submit_local(shared, request)));
    }
    let address = shared.directory().gateway_address(owner);
    let Some(address) = address else {
        return Err(Error::refused("find owner", owner.clone(), "its address is not known"));
    };
    let peer = shared.peers.get(address);
    let (mut sender, receiver) = peer.open(Channel::Forward).await?;
    sender.send(&request).await?;
    Ok(Events::Remote { owner: owner.clone(), _sender: sender, receiver })
}
