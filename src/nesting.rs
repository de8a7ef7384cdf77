//! How deep a YAML file nests, with what its anchors stand for.
//!
//! The library copies and drops nodes by recursion, and an anchor that stands within another one nests
//! further than any line shows: 28 anchors of 200 levels each ended the process. Reading the file as events
//! first takes no stack.

use std::collections::HashMap;

use saphyr_parser::{Event, Parser};

/// Levels that a file may have, as many as columns; files of operators need some ten.
pub const LEVELS_MAX: usize = 256;

/// A list or mapping that is open.
#[derive(Debug, Default)]
struct Open {
    anchor: usize,
    /// The levels below it so far.
    levels: usize,
}

/// What was read of a file.
#[derive(Debug, Default)]
struct Nesting {
    open: Vec<Open>,
    /// The levels of what anchors stand for.
    anchors: HashMap<usize, usize>,
    deepest: usize,
}

impl Nesting {
    fn take(&mut self, event: &Event<'_>) {
        match event {
            Event::SequenceStart(anchor, _) | Event::MappingStart(anchor, _) => {
                self.open.push(Open { anchor: *anchor, levels: 0 });
                self.note(0);
            }
            Event::SequenceEnd | Event::MappingEnd => self.close(),
            Event::Alias(anchor) => {
                let levels = self.anchors.get(anchor).copied().unwrap_or(0);
                self.note(levels);
            }
            _ => {}
        }
    }

    /// Something with `levels` stands in what is open.
    fn note(&mut self, levels: usize) {
        self.deepest = self.deepest.max(self.open.len() + levels);
        if let Some(open) = self.open.last_mut() {
            open.levels = open.levels.max(levels);
        }
    }

    fn close(&mut self) {
        let Some(closed) = self.open.pop() else { return };
        let levels = closed.levels + 1;
        if closed.anchor > 0 {
            self.anchors.insert(closed.anchor, levels);
        }
        if let Some(open) = self.open.last_mut() {
            open.levels = open.levels.max(levels);
        }
    }
}

/// The line, counted from 1, at which a text comes to more than [`LEVELS_MAX`] levels; one that is not
/// YAML is judged up to its fault.
pub fn line_nested_too_deeply(text: &str) -> Option<usize> {
    let mut nesting = Nesting::default();
    for event in Parser::new_from_str(text) {
        let Ok((event, span)) = event else { break };
        nesting.take(&event);
        if nesting.deepest > LEVELS_MAX {
            return Some(span.start.line());
        }
    }
    None
}
