//! Whether an endpoint was done with a response when it closed the connection.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use tracing::info;

use super::shared::Relay;
use crate::error::Result;
use crate::http::SenderCheck;
use crate::wire::BoxFuture;

/// Checks an endpoint that sent a response without a length or chunks: it was done if it accepts
/// another connection, which the next request uses. One that announced in a response that it is about to
/// shut down may have stopped listening before its last responses. One whose registration says that it
/// is leaving serves until it deregisters, and may be taken away before that.
pub(super) struct EndpointCheck {
    relay: Arc<Relay>,
    endpoint: Arc<str>,
    address: SocketAddr,
}

impl EndpointCheck {
    pub(super) fn new(relay: Arc<Relay>, endpoint: Arc<str>, address: SocketAddr) -> Self {
        Self { relay, endpoint, address }
    }
}

impl fmt::Debug for EndpointCheck {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "EndpointCheck({} at {})", self.endpoint, self.address)
    }
}

impl SenderCheck for EndpointCheck {
    fn confirm(&self) -> BoxFuture<'static, Result<()>> {
        let (relay, endpoint, address) = (self.relay.clone(), self.endpoint.clone(), self.address);
        Box::pin(async move {
            if relay.fleet().has_announced_end(relay.now_ms(), &endpoint) {
                return Ok(());
            }
            let opened = relay.pool.open_ahead(address).await;
            if let Err(error) = &opened {
                info!(event = "response_end_unconfirmed", endpoint = %endpoint, error = %error);
            }
            opened
        })
    }
}
