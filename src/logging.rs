//! Logging in logfmt: one line of key=value pairs for each event. The level can be changed at run
//! time.

use std::io::{self, Write};
use std::sync::{Mutex, OnceLock, PoisonError};

use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry};

use crate::error::{Error, Result};

static FILTER: OnceLock<reload::Handle<EnvFilter, Registry>> = OnceLock::new();

/// Capacity of the buffer of lines to be written. Lines beyond it are dropped and counted, so that
/// the process does not block when the reader of its output has stopped.
const MAX_BUFFERED_LINES: usize = 4_096;

/// The longest line; what is beyond is cut. Clients choose ids and paths, and all buffered lines have to
/// fit into memory.
const LINE_MAX_BYTES: usize = 4_096;
/// What ends a line that was cut.
const CUT: &[u8] = b" cut=true\n";

static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();
static WRITER: Mutex<Option<WorkerGuard>> = Mutex::new(None);

/// Starts logging to standard output at `level`, such as `info` or `info,winchvane::wire=debug`.
///
/// # Errors
/// A level that cannot be parsed, or a second call in the same process.
pub fn start(level: &str) -> Result<()> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    let _ = DROPPED.set(writer.error_counter());
    *WRITER.lock().unwrap_or_else(PoisonError::into_inner) = Some(guard);
    let (filter, handle) = reload::Layer::new(parse(level)?);
    let lines = tracing_logfmt::builder()
        .with_span_name(false)
        .with_span_path(false)
        .layer()
        .with_writer(ShortLines(writer));
    tracing_subscriber::registry()
        .with(lines.with_filter(filter))
        .try_init()
        .map_err(|error| Error::invalid(format!("logging is already started: {error}")))?;
    let _ = FILTER.set(handle);
    Ok(())
}

/// Writes each line up to [`LINE_MAX_BYTES`].
struct ShortLines(NonBlocking);

impl<'a> MakeWriter<'a> for ShortLines {
    type Writer = ShortLine;

    fn make_writer(&'a self) -> ShortLine {
        ShortLine(self.0.clone())
    }
}

struct ShortLine(NonBlocking);

impl Write for ShortLine {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if line.len() <= LINE_MAX_BYTES {
            return self.0.write(line);
        }
        self.0.write_all(&shorten(line))?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// Cuts a line off, between two characters.
fn shorten(line: &[u8]) -> Vec<u8> {
    let mut end = LINE_MAX_BYTES - CUT.len();
    while end > 0 && line[end] & 0xC0 == 0x80 {
        end -= 1;
    }
    [&line[..end], CUT].concat()
}

/// Changes the log level of the process. Does nothing if logging has not been started.
///
/// # Errors
/// A level that cannot be parsed.
pub fn set_level(level: &str) -> Result<()> {
    let filter = parse(level)?;
    let Some(handle) = FILTER.get() else { return Ok(()) };
    handle
        .reload(filter)
        .map_err(|error| Error::invalid(format!("the level cannot be changed: {error}")))
}

/// Writes the buffered lines and ends logging; called right before the process exits.
pub fn finish() {
    drop(WRITER.lock().unwrap_or_else(PoisonError::into_inner).take());
}

/// The number of lines dropped because the buffer was full.
pub fn dropped_lines() -> u64 {
    DROPPED.get().map_or(0, |dropped| dropped.dropped_lines() as u64)
}

fn parse(level: &str) -> Result<EnvFilter> {
    EnvFilter::try_new(level)
        .map_err(|error| Error::invalid(format!("\"{level}\" is not a log level: {error}")))
}
