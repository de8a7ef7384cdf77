//! The use of services by workspaces, from which gateways compute fair shares.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What a workspace asked of a service and used of it.
///
/// Counts of a fixed period, unlike rates, add up exactly even if each gateway has few requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseCounts {
    /// The units asked for in the last 2 s.
    pub asked: u32,
    /// The units of requests that endpoints started to answer in the last 2 s.
    pub sent: u32,
    /// The largest number of requests that waited for capacity at a time since the last report.
    pub waiting: u32,
}

impl UseCounts {
    /// Adds each figure of `other`; saturates instead of overflowing.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            asked: self.asked.saturating_add(other.asked),
            sent: self.sent.saturating_add(other.sent),
            waiting: self.waiting.saturating_add(other.waiting),
        }
    }

    /// Subtracts each figure of `other`; the result is at least 0.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            asked: self.asked.saturating_sub(other.asked),
            sent: self.sent.saturating_sub(other.sent),
            waiting: self.waiting.saturating_sub(other.waiting),
        }
    }

    /// Returns the larger of each figure of both.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            asked: self.asked.max(other.asked),
            sent: self.sent.max(other.sent),
            waiting: self.waiting.max(other.waiting),
        }
    }
}

/// The use of a service by a workspace, at one gateway or at all other gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceUse {
    /// The service.
    pub service: Arc<str>,
    /// The workspace.
    pub workspace: Arc<str>,
    /// The counts; all 0 if the gateway reports no use any more.
    pub counts: UseCounts,
}
