//! The error type of the crate.

use std::io;
use std::sync::Arc;

use snafu::Snafu;

use crate::message::RunState;

/// A result with the crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error, with the step that failed and the peer or file that was involved.
///
/// The kind is private: callers decide by the `is_` methods how to proceed.
#[derive(Debug, Snafu)]
#[snafu(source(from(Kind, Box::new)))]
pub struct Error(Box<Kind>);

#[derive(Debug, Snafu)]
enum Kind {
    #[snafu(display("{detail}"))]
    Invalid { detail: String },
    #[snafu(display("step={step} peer={peer}: {source}"))]
    Io { step: &'static str, peer: Arc<str>, source: io::Error },
    #[snafu(display("step={step} peer={peer}: {detail}"))]
    Peer { step: &'static str, peer: Arc<str>, detail: String, run: RunState },
    #[snafu(display("step={step} peer={peer}: no answer within {timeout_ms} ms"))]
    Timeout { step: &'static str, peer: Arc<str>, timeout_ms: u64 },
    #[snafu(display("step={step}: no leader of the control group is known"))]
    NoLeader { step: &'static str },
    #[snafu(display("step={step} file={file}: {detail}"))]
    Damaged { step: &'static str, file: Arc<str>, detail: String },
}

impl Error {
    /// Creates an error for an input that the caller has to correct.
    pub fn invalid(detail: impl Into<String>) -> Self {
        Kind::Invalid { detail: detail.into() }.into()
    }

    /// Creates an error for an I/O operation that failed.
    pub fn io(step: &'static str, peer: impl Into<Arc<str>>, source: io::Error) -> Self {
        Kind::Io { step, peer: peer.into(), source }.into()
    }

    /// Creates an error for a peer that has certainly not started the work.
    pub fn refused(step: &'static str, peer: impl Into<Arc<str>>, detail: impl ToString) -> Self {
        let run = RunState::NotRun;
        Kind::Peer { step, peer: peer.into(), detail: detail.to_string(), run }.into()
    }

    /// Creates an error for a peer that failed and may have done the work.
    pub fn failed(step: &'static str, peer: impl Into<Arc<str>>, detail: impl ToString) -> Self {
        let run = RunState::Unknown;
        Kind::Peer { step, peer: peer.into(), detail: detail.to_string(), run }.into()
    }

    /// Creates an error for a peer that did not answer in time.
    pub fn timeout(step: &'static str, peer: impl Into<Arc<str>>, timeout_ms: u64) -> Self {
        Kind::Timeout { step, peer: peer.into(), timeout_ms }.into()
    }

    /// Creates an error for a call that needs the leader while none is known.
    pub fn no_leader(step: &'static str) -> Self {
        Kind::NoLeader { step }.into()
    }

    /// Creates an error for a file whose content differs from what was written to it.
    pub fn damaged(
        step: &'static str,
        file: impl Into<Arc<str>>,
        detail: impl Into<String>,
    ) -> Self {
        Kind::Damaged { step, file: file.into(), detail: detail.into() }.into()
    }

    /// True if the failed operation was certainly not run.
    pub fn is_not_run(&self) -> bool {
        match *self.0 {
            Kind::Invalid { .. } | Kind::NoLeader { .. } => true,
            Kind::Peer { run, .. } => run == RunState::NotRun,
            Kind::Io { .. } | Kind::Timeout { .. } | Kind::Damaged { .. } => false,
        }
    }

    /// True if the same call, unchanged, may succeed later.
    pub fn is_retryable(&self) -> bool {
        !matches!(*self.0, Kind::Invalid { .. } | Kind::Damaged { .. })
    }

    /// True if a peer did not answer in time.
    pub fn is_timeout(&self) -> bool {
        matches!(*self.0, Kind::Timeout { .. })
    }

    /// True if the caller has to correct its input.
    pub fn is_invalid(&self) -> bool {
        matches!(*self.0, Kind::Invalid { .. })
    }

    /// True if the disk is full; a later write may succeed.
    pub fn is_disk_full(&self) -> bool {
        matches!(&*self.0, Kind::Io { source, .. } if source.kind() == io::ErrorKind::StorageFull)
    }

    /// True if stored data is damaged.
    pub fn is_damaged(&self) -> bool {
        matches!(*self.0, Kind::Damaged { .. })
    }
}
