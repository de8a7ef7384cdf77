//! Logs: one line of key=value pairs for each event, at a level that can be changed at run time.

use std::sync::OnceLock;

use tracing_subscriber::filter::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry};

use crate::error::{Error, Result};

static FILTER: OnceLock<reload::Handle<EnvFilter, Registry>> = OnceLock::new();

/// Starts logging to standard error at `level`, such as `info` or `info,winchvane::wire=debug`.
///
/// # Errors
/// A level that cannot be read, or a second call in one process.
pub fn start(level: &str) -> Result<()> {
    let (filter, handle) = reload::Layer::new(parse(level)?);
    let lines = tracing_logfmt::builder()
        .with_span_name(false)
        .with_span_path(false)
        .layer()
        .with_writer(std::io::stderr);
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

fn parse(level: &str) -> Result<EnvFilter> {
    EnvFilter::try_new(level)
        .map_err(|error| Error::invalid(format!("\"{level}\" is not a log level: {error}")))
}
