//! Authenticates requests: finds the workspace of a request's API key and whether the key is still
//! valid.

use std::sync::Arc;

use super::refusal::NotSent;
use super::shared::Relay;
use crate::routing::{Credential, KeyRefusal, Quota, Route, RouteTable, Workspace};

/// `Retry-After` of a request that a gateway refuses because its list of valid keys may be
/// stale.
const KEYS_UNKNOWN_RETRY_MS: u64 = 300;

/// The workspace that a request was authenticated for.
#[derive(Debug, Clone)]
pub(super) struct Access {
    credential: Credential,
    /// `None` if the route needs no key.
    pub(super) workspace: Option<Arc<Workspace>>,
    /// The version of the routing configuration that `workspace` was found in.
    version: u64,
}

impl Access {
    /// Authenticates a request on `route`.
    ///
    /// # Errors
    /// The key is not valid for the route, or this gateway cannot tell whether it still is.
    pub(super) fn authenticate(
        relay: &Relay,
        now_ms: u64,
        table: &RouteTable,
        route: &Route,
        credential: Credential,
    ) -> Result<Self, NotSent> {
        let version = table.version();
        if !table.needs_key(route) {
            return Ok(Self { credential, workspace: None, version });
        }
        let unknown = NotSent::KeysUnknown { after_ms: KEYS_UNKNOWN_RETRY_MS };
        if relay.keys_valid_ms(now_ms) == 0 {
            return Err(unknown);
        }
        match table.authenticate(route, credential) {
            Ok(workspace) => Ok(Self { credential, workspace, version }),
            // The key may have been added since this gateway's last update.
            Err(KeyRefusal::Unknown) if !relay.is_up_to_date(now_ms) => Err(unknown),
            Err(refusal) => Err(NotSent::Unauthorized(refusal)),
        }
    }

    /// Checks after a wait that the key was not revoked meanwhile.
    ///
    /// # Errors
    /// The key is no longer valid for the route, or now belongs to another workspace.
    pub(super) fn check_still_valid(&self, relay: &Relay, route: &Route) -> Result<(), NotSent> {
        let Some(workspace) = &self.workspace else { return Ok(()) };
        let table = relay.table();
        if table.version() == self.version {
            return Ok(());
        }
        match table.authenticate(route, self.credential) {
            Ok(Some(now)) if now.name != workspace.name => {
                Err(NotSent::Unauthorized(KeyRefusal::Unknown))
            }
            Ok(_) => Ok(()),
            Err(refusal) => Err(NotSent::Unauthorized(refusal)),
        }
    }

    /// The workspace and its quota, if it has one.
    pub(super) fn quota(&self) -> Option<(&Workspace, Quota)> {
        let workspace = self.workspace.as_deref()?;
        Some((workspace, workspace.quota?))
    }

    /// The workspace name that is sent to endpoints.
    pub(super) fn workspace_name(&self) -> Option<Arc<str>> {
        self.workspace.as_ref().map(|workspace| workspace.name.clone())
    }

    /// The priority of the workspace's requests, if it sets one.
    pub(super) fn priority(&self) -> Option<u8> {
        self.workspace.as_ref().and_then(|workspace| workspace.priority)
    }
}
