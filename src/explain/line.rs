//! Parses one log line.

use std::borrow::Cow;

use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Key of the first field. Log collectors put the name of the process in front of it.
const FIRST_KEY: &str = "ts=";

/// A log line that one of the processes has written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine<'a> {
    /// Text in front of the first field; log collectors put the name of the process there.
    pub prefix: &'a str,
    /// Time of the line, in nanoseconds of Unix time.
    pub at_ns: i128,
    /// Value of the field `event`.
    pub event: &'a str,
    /// All fields after the time, in the order of the line.
    pub fields: Vec<(&'a str, Cow<'a, str>)>,
}

impl<'a> LogLine<'a> {
    /// Parses a line; none when it is truncated or from another program.
    pub fn parse(text: &'a str) -> Option<Self> {
        let text = text.trim_end();
        let start = text
            .match_indices(FIRST_KEY)
            .map(|(start, _)| start)
            .find(|start| *start == 0 || text.as_bytes()[start - 1].is_ascii_whitespace())?;
        let prefix = text[..start].trim();
        let mut rest = &text[start..];
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let (name, after) = rest.split_once('=')?;
            let (value, after) = split_value(after)?;
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

    /// The value of a field; empty when the line does not have the field.
    pub fn text(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(field, _)| *field == name);
        found.map_or("", |(_, value)| value)
    }

    /// The value of a field that holds a number of milliseconds.
    pub fn millis(&self, name: &str) -> Option<u64> {
        self.text(name).parse().ok()
    }
}

/// Splits `text` into the value at its start, which ends at the next space or is in quotes, and the
/// text after the value; none when the closing quote is missing.
fn split_value(text: &str) -> Option<(Cow<'_, str>, &str)> {
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
