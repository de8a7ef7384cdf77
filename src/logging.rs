//! Logs: one line of key=value pairs for each event, at a level that can be changed at run time.

use std::sync::{Mutex, OnceLock, PoisonError};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry};

use crate::error::{Error, Result};

static FILTER: OnceLock<reload::Handle<EnvFilter, Registry>> = OnceLock::new();

/// Lines that wait to be written; beyond them lines are dropped and counted, since a reader that has
/// stopped must not stop the process.
const LINES_WAITING_MAX: usize = 4_096;

static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();
static WRITER: Mutex<Option<WorkerGuard>> = Mutex::new(None);

/// Starts logging to standard output at `level`, such as `info` or `info,winchvane::wire=debug`.
///
/// # Errors
/// A level that cannot be read, or a second call in one process.
pub fn start(level: &str) -> Result<()> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES_WAITING_MAX)
        .finish(std::io::stdout());
    let _ = DROPPED.set(writer.error_counter());
    *WRITER.lock().unwrap_or_else(PoisonError::into_inner) = Some(guard);
    let (filter, handle) = reload::Layer::new(parse(level)?);
    let lines = tracing_logfmt::builder()
        .with_span_name(false)
        .with_span_path(false)
        .layer()
        .with_writer(writer);
    tracing_subscriber::registry()
        .with(lines.with_filter(filter))
        .try_init()
        .map_err(|error| Error::invalid(format!("logging is already started: {error}")))?;
    let _ = FILTER.set(handle);
    Ok(())
}

/// Changes the level of the running process.
///
/// # Errors
/// A level that cannot be read.
pub fn set_level(level: &str) -> Result<()> {
    let filter = parse(level)?;
    let Some(handle) = FILTER.get() else { return Ok(()) };
    handle
        .reload(filter)
        .map_err(|error| Error::invalid(format!("the level cannot be changed: {error}")))
}

/// Writes what waits; called right before a process ends, after which nothing is logged.
pub fn finish() {
    drop(WRITER.lock().unwrap_or_else(PoisonError::into_inner).take());
}

/// Lines that were dropped because too many waited.
pub fn dropped_lines() -> u64 {
    DROPPED.get().map_or(0, |dropped| dropped.dropped_lines() as u64)
}

fn parse(level: &str) -> Result<EnvFilter> {
    EnvFilter::try_new(level)
        .map_err(|error| Error::invalid(format!("\"{level}\" is not a log level: {error}")))
}
