//! Reads the lines of a file or a pipe in bounded memory.

use std::io::BufRead;

/// Longest line that is read. A process writes a few hundred bytes a line, and input from clients is
/// bounded, so that longer lines come from other programs.
const LINE_MAX_BYTES: usize = 64 << 10;

/// Result of reading a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadResult {
    /// A line was read.
    Line,
    /// A line was skipped, since it is too long or not UTF-8.
    Skipped,
    /// The input has ended.
    End,
}

/// Reads the lines of one file or pipe.
pub struct LogReader<R> {
    reader: R,
    line: Vec<u8>,
}

impl<R: BufRead> LogReader<R> {
    /// Creates a reader of the lines of `reader`.
    pub fn new(reader: R) -> Self {
        Self { reader, line: Vec::new() }
    }

    /// Reads the next line.
    ///
    /// # Errors
    /// The file or pipe cannot be read.
    pub fn read_line(&mut self) -> std::io::Result<ReadResult> {
        self.line.clear();
        let mut is_too_long = false;
        let mut is_empty = true;
        loop {
            let buffered = self.reader.fill_buf()?;
            if buffered.is_empty() {
                break;
            }
            is_empty = false;
            let end = buffered.iter().position(|byte| *byte == b'\n');
            let part = &buffered[..end.unwrap_or(buffered.len())];
            is_too_long |= self.line.len() + part.len() > LINE_MAX_BYTES;
            if !is_too_long {
                self.line.extend_from_slice(part);
            }
            let consumed = end.map_or(buffered.len(), |end| end + 1);
            self.reader.consume(consumed);
            if end.is_some() {
                break;
            }
        }
        if is_empty {
            return Ok(ReadResult::End);
        }
        if is_too_long || std::str::from_utf8(&self.line).is_err() {
            self.line.clear();
            return Ok(ReadResult::Skipped);
        }
        Ok(ReadResult::Line)
    }

    /// The line that was read last; empty when it was skipped.
    pub fn line(&self) -> &str {
        std::str::from_utf8(&self.line).unwrap_or_default()
    }
}
