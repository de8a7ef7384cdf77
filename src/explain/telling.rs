//! Reads logs and tells what stands in them, as text and as data.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::Value;

use super::{LogLine, Losses, Read, Source, Story};
use crate::error::{Error, Result};
use crate::operator::to_table;

/// Stands for standard input among files.
const STANDARD_INPUT: &str = "-";

/// What was found.
#[derive(Debug)]
pub struct Told {
    /// For a terminal.
    pub text: String,
    /// The same for programs.
    pub value: Value,
    /// Lines that are torn or of others.
    pub skipped_lines: u64,
}

/// Tells of one request over all processes.
///
/// # Errors
/// A log that cannot be read (invalid), or no line that names the request.
pub fn explain_request(request: &str, logs: &[PathBuf]) -> Result<Told> {
    let mut story = Story::new(request);
    let skipped_lines = read_logs(logs, |process, line| story.take(process, line))?;
    if story.is_empty() {
        return Err(Error::failed("explain", "logs", format!("no line names request {request}")));
    }
    Ok(Told { text: story.text(), value: story.value(), skipped_lines })
}

/// Tells what was lost, by time, route and cause, and the sums.
///
/// # Errors
/// A log that cannot be read (invalid).
pub fn explain_losses(logs: &[PathBuf]) -> Result<Told> {
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
    Ok(Told { text, value: losses.value(), skipped_lines })
}

/// Hands every line of the logs to `take`, with the name of its file; returns how many were none
/// of ours.
fn read_logs(logs: &[PathBuf], mut take: impl FnMut(&str, &LogLine<'_>)) -> Result<u64> {
    let input = [PathBuf::from(STANDARD_INPUT)];
    let mut skipped_lines = 0;
    for path in if logs.is_empty() { &input } else { logs } {
        let process = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let mut source = Source::new(open(path)?);
        loop {
            match source.advance().map_err(|error| unreadable(path, &error))? {
                Read::End => break,
                Read::Skipped => skipped_lines += 1,
                Read::Line => match LogLine::parse(source.line()) {
                    Some(line) => take(&process, &line),
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
