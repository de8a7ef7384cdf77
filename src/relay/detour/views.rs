//! Asks other gateways which endpoints they reach.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::RngExt;
use tokio::time::timeout;
use tracing::debug;

use crate::error::{Error, Result};
use crate::message::{PeerEvent, PeerGateway, PeerRequest};
use crate::policy::reach::combine_views;
use crate::relay::shared::Relay;

/// How long another gateway may take to tell which endpoints it reaches. One that reaches an endpoint
/// tells so within a few round trips.
const REACH_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of gateways that are asked which endpoints they reach.
const ASKED_MAX: usize = 3;

impl Relay {
    /// Asks other gateways which endpoints they reach; `None` for an endpoint of which none tells.
    pub(in crate::relay) async fn ask_peers_for_reach(
        &self,
        ids: &[Arc<str>],
    ) -> Vec<Option<bool>> {
        let peers = self.peers().to_ask(self.now_ms(), ASKED_MAX, || rand::rng().random());
        let views = join_all(peers.iter().map(|peer| self.view_of(peer, ids))).await;
        if views.iter().all(Vec::is_empty) {
            self.peers_wanted.notify_one();
        }
        combine_views(ids.len(), &views)
    }

    /// What `peer` tells of the endpoints; empty if it cannot tell.
    async fn view_of(&self, peer: &PeerGateway, ids: &[Arc<str>]) -> Vec<Option<bool>> {
        // A gateway that is late with its view may well send requests, and others tell meanwhile.
        let asked = timeout(REACH_TIMEOUT, self.ask_for_reach(peer, ids)).await;
        let Ok(answer) = asked else {
            debug!(event = "reach_not_told", peer = %peer.name, answer = "none in time");
            return Vec::new();
        };
        match answer {
            Ok(PeerEvent::Reached(reached)) => reached,
            Ok(answer) => {
                debug!(event = "reach_not_told", peer = %peer.name, answer = ?answer);
                self.peers().note_refused(self.now_ms(), &peer.name);
                Vec::new()
            }
            Err(error) => {
                self.note_peer_lost(peer, &error).await;
                Vec::new()
            }
        }
    }

    async fn ask_for_reach(&self, peer: &PeerGateway, ids: &[Arc<str>]) -> Result<PeerEvent> {
        let (_sender, mut receiver) =
            self.open_peer(peer, &PeerRequest::Reach(ids.to_vec())).await?;
        let answer = receiver.next().await?;
        answer.ok_or_else(|| Error::failed("ask for reach", peer.name.clone(), "no answer"))
    }
}
