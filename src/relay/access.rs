//! Whose a request is, and whether it may run.

use std::sync::Arc;

use super::refusal::NotSent;
use super::shared::Relay;
use crate::routing::{Credential, KeyRefusal, Quota, Route, RouteTable, Workspace};

/// When a client may come again to a gateway that does not know for certain which keys are valid.
const KEYS_UNKNOWN_AGAIN_MS: u64 = 300;

/// The workspace of a request, by the key that it carries.
#[derive(Debug, Clone)]
pub(super) struct Access {
    credential: Credential,
    /// None where no key is needed.
    pub(super) workspace: Option<Arc<Workspace>>,
    /// The configuration by which this was found.
    version: u64,
}

impl Access {
    /// Finds whose a request on `route` is.
    ///
    /// # Errors
    /// Its key does not let it in, or it is not certain that it still does.
    pub(super) fn find(
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
        let unknown = NotSent::KeysUnknown { after_ms: KEYS_UNKNOWN_AGAIN_MS };
        if relay.keys_valid_ms(now_ms) == 0 {
            return Err(unknown);
        }
        match table.authenticate(route, credential) {
            Ok(workspace) => Ok(Self { credential, workspace, version }),
            // It may be newer than what is known here.
            Err(KeyRefusal::Unknown) if !relay.is_confirmed(now_ms) => Err(unknown),
            Err(refusal) => Err(NotSent::Unauthorized(refusal)),
        }
    }

    /// Looks again after a wait: the key may have been taken away meanwhile.
    ///
    /// # Errors
    /// The key lets it in no longer, or belongs to another workspace now.
    pub(super) fn is_held_still(&self, relay: &Relay, route: &Route) -> Result<(), NotSent> {
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

    /// The workspace and how much it may ask for, where that is limited.
    pub(super) fn quota(&self) -> Option<(&Workspace, Quota)> {
        let workspace = self.workspace.as_deref()?;
        Some((workspace, workspace.quota?))
    }

    /// The name by which endpoints know the workspace.
    pub(super) fn workspace_name(&self) -> Option<Arc<str>> {
        self.workspace.as_ref().map(|workspace| workspace.name.clone())
    }

    /// The rank of the workspace's requests, where it has one.
    pub(super) fn priority(&self) -> Option<u8> {
        self.workspace.as_ref().and_then(|workspace| workspace.priority)
    }
}
