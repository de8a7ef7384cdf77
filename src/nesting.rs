//! A limit on the nesting depth of YAML files after their aliases are expanded.
//!
//! The YAML library copies and drops nodes recursively. Aliases inside anchored nodes nest deeper
//! than the text shows: a file with 28 anchors of 200 levels each crashed the process. Therefore
//! the depth is checked first, on the parser's events, which needs no recursion.

use std::collections::HashMap;

use saphyr_parser::{Event, Parser};

/// The maximum depth, the same as the maximum number of columns. Operators' files need about ten.
pub const LEVELS_MAX: usize = 256;

/// A sequence or mapping whose end has not been read.
#[derive(Debug, Default)]
struct OpenNode {
    /// The id of its anchor; 0 if it has none.
    anchor: usize,
    /// The depth of its contents so far.
    levels: usize,
}

/// The nesting of the events read so far.
#[derive(Debug, Default)]
struct Nesting {
    open: Vec<OpenNode>,
    /// The depth of each anchored node, by anchor id.
    anchors: HashMap<usize, usize>,
    max_depth: usize,
}

impl Nesting {
    fn handle_event(&mut self, event: &Event<'_>) {
        match event {
            Event::SequenceStart(anchor, _) | Event::MappingStart(anchor, _) => {
                self.open.push(OpenNode { anchor: *anchor, levels: 0 });
                self.record_depth(0);
            }
            Event::SequenceEnd | Event::MappingEnd => self.close(),
            Event::Alias(anchor) => {
                let levels = self.anchors.get(anchor).copied().unwrap_or(0);
                self.record_depth(levels);
            }
            _ => {}
        }
    }

    /// Records a node of depth `levels` inside the innermost open node.
    fn record_depth(&mut self, levels: usize) {
        self.max_depth = self.max_depth.max(self.open.len() + levels);
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

/// Returns the first line, counted from 1, at which `text` nests deeper than [`LEVELS_MAX`]. If
/// `text` is not valid YAML, only the part before the syntax error is checked.
pub fn line_nested_too_deeply(text: &str) -> Option<usize> {
    let mut nesting = Nesting::default();
    for event in Parser::new_from_str(text) {
        let Ok((event, span)) = event else { break };
        nesting.handle_event(&event);
        if nesting.max_depth > LEVELS_MAX {
            return Some(span.start.line());
        }
    }
    None
}
