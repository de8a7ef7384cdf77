//! The one error type of the crate.

use std::io;
use std::sync::Arc;

use snafu::Snafu;

use crate::message::RunState;

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong, at which step, and with which peer.
///
/// The kind is private: callers ask the classifying methods what may be done next.
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
    /// An input that the caller has to correct.
    pub fn invalid(detail: impl Into<String>) -> Self {
        Kind::Invalid { detail: detail.into() }.into()
    }

    /// An input or output operation that failed.
    pub fn io(step: &'static str, peer: impl Into<Arc<str>>, source: io::Error) -> Self {
        Kind::Io { step, peer: peer.into(), source }.into()
    }

    /// A peer whose answer shows that the work was never started there.
    pub fn refused(step: &'static str, peer: impl Into<Arc<str>>, detail: impl ToString) -> Self {
        let run = RunState::NotRun;
        Kind::Peer { step, peer: peer.into(), detail: detail.to_string(), run }.into()
    }

    /// A peer that failed in a way that leaves open whether the work was done.
    pub fn failed(step: &'static str, peer: impl Into<Arc<str>>, detail: impl ToString) -> Self {
        let run = RunState::Unknown;
        Kind::Peer { step, peer: peer.into(), detail: detail.to_string(), run }.into()
    }

    /// A peer that did not answer in time.
    pub fn timeout(step: &'static str, peer: impl Into<Arc<str>>, timeout_ms: u64) -> Self {
        Kind::Timeout { step, peer: peer.into(), timeout_ms }.into()
    }

    /// A call that needs the leader while none is known.
    pub fn no_leader(step: &'static str) -> Self {
        Kind::NoLeader { step }.into()
    }

    /// A file whose content is not what was written to it.
    pub fn damaged(
        step: &'static str,
        file: impl Into<Arc<str>>,
        detail: impl Into<String>,
    ) -> Self {
        Kind::Damaged { step, file: file.into(), detail: detail.into() }.into()
    }

    /// True when the work in question was certainly not run.
    pub fn is_not_run(&self) -> bool {
        match *self.0 {
            Kind::Invalid { .. } | Kind::NoLeader { .. } => true,
            Kind::Peer { run, .. } => run == RunState::NotRun,
            Kind::Io { .. } | Kind::Timeout { .. } | Kind::Damaged { .. } => false,
        }
    }

    /// True when the same call may succeed later without a change by the caller.
    pub fn is_retryable(&self) -> bool {
        !matches!(*self.0, Kind::Invalid { .. } | Kind::Damaged { .. })
    }

    /// True when a peer did not answer in time.
    pub fn is_timeout(&self) -> bool {
        matches!(*self.0, Kind::Timeout { .. })
    }

    /// True when the caller has to correct its input.
    pub fn is_invalid(&self) -> bool {
        matches!(*self.0, Kind::Invalid { .. })
    }

    /// True when a disk took no more bytes; it may take them later.
    pub fn is_disk_full(&self) -> bool {
        matches!(&*self.0, Kind::Io { source, .. } if source.kind() == io::ErrorKind::StorageFull)
    }

    /// True when stored data was found damaged.
    pub fn is_damaged(&self) -> bool {
        matches!(*self.0, Kind::Damaged { .. })
    }
}
