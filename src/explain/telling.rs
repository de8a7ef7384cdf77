//! Reads log files and returns the timeline of a request or the table of lost requests, as text and as
//! JSON.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::Value;

use super::{LogLine, LogReader, Losses, ReadResult, Timeline};
use crate::error::{Error, Result};
use crate::operator::to_table;

/// Path that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Result of an analysis of logs.
#[derive(Debug)]
pub struct Explanation {
    /// Text for a terminal.
    pub text: String,
    /// The same content as JSON.
    pub value: Value,
    /// Number of lines that are truncated or from other programs.
    pub skipped_lines: u64,
}

/// Returns the timeline of one request over all processes.
///
/// # Errors
/// A log cannot be read (invalid), or no line belongs to the request.
pub fn explain_request(request: &str, logs: &[PathBuf]) -> Result<Explanation> {
    let mut timeline = Timeline::new(request);
    let skipped_lines = read_logs(logs, |process, line| timeline.add(process, line))?;
    if timeline.is_empty() {
        return Err(Error::failed("explain", "logs", format!("no log line has request={request}")));
    }
    Ok(Explanation { text: timeline.text(), value: timeline.value(), skipped_lines })
}

/// Returns the number of lost requests by time, route and cause, and the sums.
///
/// # Errors
/// A log cannot be read (invalid).
pub fn explain_losses(logs: &[PathBuf]) -> Result<Explanation> {
    let mut losses = Losses::new();
    let skipped_lines = read_logs(logs, |_, line| losses.add(line))?;
    let table = to_table(&["second", "route", "loss", "cause", "requests"], &losses.rows());
    let totals = losses.totals();
    let text = format!(
        "{table}{} answered, of these {} late, {} broken off, {} an endpoint's error; {} refused, \
         {} failed, {} not admitted\n",
        totals.answered,
        totals.late,
        totals.broken,
        totals.endpoint_errors,
        totals.refused,
        totals.failed,
        totals.not_admitted
    );
    Ok(Explanation { text, value: losses.value(), skipped_lines })
}

/// Calls `add` with every line of the logs and the name of its file, which stands for the process;
/// returns the number of skipped lines.
fn read_logs(logs: &[PathBuf], mut add: impl FnMut(&str, &LogLine<'_>)) -> Result<u64> {
    let input = [PathBuf::from(STANDARD_INPUT)];
    let mut skipped_lines = 0;
    for path in if logs.is_empty() { &input } else { logs } {
        let process = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let mut reader = LogReader::new(open(path)?);
        loop {
            match reader.read_line().map_err(|error| unreadable(path, &error))? {
                ReadResult::End => break,
                ReadResult::Skipped => skipped_lines += 1,
                ReadResult::Line => match LogLine::parse(reader.line()) {
                    Some(line) => add(&process, &line),
                    None => skipped_lines += 1,
                },
            }
        }
    }
    Ok(skipped_lines)
}

fn open(path: &Path) -> Result<Box<dyn BufRead>> {
    if path.as_os_str() == STANDARD_INPUT {
        return Ok(Box::new(std::io::stdin().lock()));
    }
    let file = File::open(path).map_err(|error| unreadable(path, &error))?;
    Ok(Box::new(BufReader::new(file)))
}

fn unreadable(path: &Path, error: &std::io::Error) -> Error {
    Error::invalid(format!("{}: {error}", path.display()))
}
