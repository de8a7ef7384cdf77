//! Weighted max-min shares of a service that cannot serve all workspaces at once.

/// Whether a request is within the share of its workspace; requests within go first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareClass {
    /// The workspace uses no more than its share, or no share applies.
    #[default]
    Within,
    /// The workspace has used its share.
    Over,
}
