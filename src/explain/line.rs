//! One line of a log.

use std::borrow::Cow;

use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Where a line of ours begins; what stands before it in the same line names the process.
const START: &str = "ts=";

/// A line that a process has written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine<'a> {
    /// What stood before it in the same line: collected logs name their process there.
    pub prefix: &'a str,
    /// When it was written, in nanoseconds of Unix time.
    pub at_ns: i128,
    /// What it tells of.
    pub event: &'a str,
    /// All fields after the time, in their order.
    pub fields: Vec<(&'a str, Cow<'a, str>)>,
}

impl<'a> LogLine<'a> {
    /// Reads a line; none when it is not one of ours or was torn.
    pub fn parse(text: &'a str) -> Option<Self> {
        let text = text.trim_end();
        let start = text
            .match_indices(START)
            .map(|(start, _)| start)
            .find(|start| *start == 0 || text.as_bytes()[start - 1].is_ascii_whitespace())?;
        let prefix = text[..start].trim();
        let mut rest = &text[start..];
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let (name, after) = rest.split_once('=')?;
            let (value, after) = read_value(after)?;
            fields.push((name, value));
            rest = after.trim_start();
        }
        let (_, at) = fields.first()?;
        let at_ns = OffsetDateTime::parse(at, &Rfc3339).ok()?.unix_timestamp_nanos();
        fields.remove(0);
        let event = fields.iter().find(|(name, _)| *name == "event")?;
        let Cow::Borrowed(event) = event.1 else { return None };
        Some(Self { prefix, at_ns, event, fields })
    }

    /// A field's value; empty when it has none.
    pub fn text(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(field, _)| *field == name);
        found.map_or("", |(_, value)| value)
    }

    /// A field's value as a number of milliseconds.
    pub fn millis(&self, name: &str) -> Option<u64> {
        self.text(name).parse().ok()
    }
}

/// A value, plain up to the next space or in quotes, and what comes after it; none when it is torn.
fn read_value(text: &str) -> Option<(Cow<'_, str>, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return Some((Cow::Borrowed(&text[..end]), &text[end..]));
    };
    let mut escaped = false;
    for (at, byte) in quoted.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = true,
            b'"' => {
                let (value, rest) = (&quoted[..at], &quoted[at + 1..]);
                let value = if value.contains('\\') {
                    Cow::Owned(value.replace("\\\"", "\"").replace("\\\\", "\\"))
                } else {
                    Cow::Borrowed(value)
                };
                return Some((value, rest));
            }
            _ => {}
        }
    }
    None
}
