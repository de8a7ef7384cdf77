//! Credit of workspaces: what holders ask for, and what they are granted.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What a holder of credit has and wants, for one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditAsk {
    /// The workspace.
    pub workspace: Arc<str>,
    /// The units that it holds and that no request waits for.
    pub held: u64,
    /// The units that it would like to hold.
    pub target: u64,
    /// The units that requests wait for and it does not hold; used up as soon as they come.
    pub urgent: u64,
}

/// The answer to a [`CreditAsk`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// The workspace.
    pub workspace: Arc<str>,
    /// Units that it may use, beyond those that it held.
    pub units: u64,
    /// When what was urgent and is not granted may be had; 0 where all of it is granted.
    pub dry_ms: u32,
    /// How long all that it holds may be used, from when it asked.
    pub valid_ms: u32,
}
