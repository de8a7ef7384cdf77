//! Fuzz tests of the event splitter: whatever pieces a stream arrives in, the splitter returns its
//! events whole and in order, and buffers no more than the size limit of one event.

#[path = "common/fuzz.rs"]
mod fuzz;

use fuzz::check;
use proptest::collection::vec;
use proptest::prelude::*;
use winchvane::events::{EventScanner, EventSplitter};
use yare::parameterized;

/// The largest event that is buffered until it is complete.
const HELD_MAX_BYTES: usize = 1 << 20;

fn event() -> impl Strategy<Value = Vec<u8>> {
    let line = prop_oneof![
        "id: ?[0-9]{1,6}",
        "id:(x|-1|99999999999999999999999)?",
        "data: ?[a-z \\{\\}\":]{0,40}",
        "(event|retry)?:[a-z0-9]{0,4}",
        "\\PC{1,8}",
    ];
    let line = prop_oneof![
        9 => line.prop_map(String::into_bytes),
        1 => vec(any::<u8>(), 1..9),
    ];
    (vec(line, 1..5), any::<bool>()).prop_map(|(lines, with_return)| {
        let end: &[u8] = if with_return { b"\r\n" } else { b"\n" };
        let mut event = Vec::new();
        for mut line in lines {
            line.retain(|byte| !b"\r\n".contains(byte));
            if line.is_empty() {
                continue;
            }
            event.extend_from_slice(&line);
            event.extend_from_slice(end);
        }
        if event.is_empty() {
            event.extend_from_slice(b":\n");
        }
        event.extend_from_slice(end);
        event
    })
}

/// Pushes `stream` into a splitter in pieces of the given sizes, and the rest in one piece. Returns
/// the whole events, the last event id and the remaining bytes.
fn split(stream: &[u8], sizes: &[usize]) -> (Vec<u8>, Option<u64>, Vec<u8>) {
    let mut splitter = EventSplitter::new(None);
    let mut whole = Vec::new();
    let mut left = stream;
    for size in sizes {
        let (piece, rest) = left.split_at((*size).min(left.len()));
        whole.extend(splitter.push(piece).unwrap_or_default());
        left = rest;
    }
    whole.extend(splitter.push(left).unwrap_or_default());
    let number = splitter.last_event();
    (whole, number, splitter.take_remainder().unwrap_or_default().to_vec())
}

#[test]
fn pieces_of_any_size_give_the_events_of_the_stream() {
    let sizes = vec(0..20_usize, 0..60);
    check((vec(event(), 0..8), event(), sizes), |(events, last, sizes)| {
        let whole = events.concat();
        let broken = &last[..last.len() / 2];
        let stream = [whole.as_slice(), broken].concat();
        let (given, _, rest) = split(&stream, &sizes);
        prop_assert_eq!(&given, &whole);
        prop_assert_eq!(rest, broken);
        Ok(())
    });
}

#[test]
fn any_bytes_come_out_as_they_came_in() {
    let bytes = vec(prop_oneof![any::<u8>(), Just(b'\n'), Just(b'\r')], 0..300);
    check((bytes, vec(0..20_usize, 0..60)), |(bytes, sizes)| {
        let (given, _, rest) = split(&bytes, &sizes);
        prop_assert_eq!([given, rest].concat(), bytes);
        Ok(())
    });
}

#[test]
fn what_is_held_back_is_bounded() {
    check(vec(1..200_000_usize, 1..24), |sizes| {
        let mut splitter = EventSplitter::new(None);
        let mut held_bytes = 0;
        for size in sizes {
            held_bytes += size;
            held_bytes -= splitter.push(&vec![b'x'; size]).map_or(0, |given| given.len());
            prop_assert!(held_bytes <= HELD_MAX_BYTES, "{} bytes are held", held_bytes);
        }
        Ok(())
    });
}

/// Guards against events that a client receives twice after a stream was resumed: an event whose id
/// was not a number, or that contained bytes other than UTF-8, hid the ids of the earlier events in
/// the same piece.
#[test]
fn the_last_number_does_not_depend_on_the_pieces() {
    let sizes = vec(0..20_usize, 0..60);
    check((vec(event(), 0..8), sizes), |(events, sizes)| {
        let stream = events.concat();
        let (_, one_by_one, _) = split(&stream, &vec![1; stream.len()]);
        prop_assert_eq!(split(&stream, &sizes).1, one_by_one);
        prop_assert_eq!(split(&stream, &[]).1, one_by_one);
        Ok(())
    });
}

/// Guards against minutes of CPU time for a large event that arrives a few bytes at a time: the
/// whole buffer was searched again for each piece.
#[test]
fn a_large_event_in_tiny_pieces_is_searched_once() {
    let mut splitter = EventSplitter::new(None);
    for _ in 0..HELD_MAX_BYTES / 4 {
        assert!(splitter.push(b"xxxx").is_none());
    }
    assert!(splitter.push(b"\n\n").is_some());
}

fn is_whole(stream: &[u8], sizes: &[usize]) -> bool {
    let mut scanner = EventScanner::default();
    let mut left = stream;
    for size in sizes {
        let (piece, rest) = left.split_at((*size).min(left.len()));
        scanner.scan(piece);
        left = rest;
    }
    scanner.scan(left);
    scanner.is_between_events()
}

/// An event with at least one field, and a comment in front of some.
fn event_with_field(line_end: &'static str) -> impl Strategy<Value = Vec<u8>> {
    let field = prop_oneof!["id: ?[0-9]{1,6}", "data: ?[a-z \\{\\}\":]{0,40}", "[a-z]{1,8}"];
    (any::<bool>(), vec(field, 1..5)).prop_map(move |(has_comment, fields)| {
        let mut lines = Vec::new();
        if has_comment {
            lines.push(": a comment".to_owned());
        }
        lines.extend(fields);
        lines.push(String::new());
        let mut event = Vec::new();
        for line in lines {
            event.extend_from_slice(line.as_bytes());
            event.extend_from_slice(line_end.as_bytes());
        }
        event
    })
}

/// Guards against streams that are cut inside an event and count as whole, at any byte and in any
/// pieces.
#[parameterized(newline = { "\n" }, carriage_return = { "\r" }, both = { "\r\n" })]
fn a_stream_cut_at_any_byte_is_whole_only_between_events(line_end: &'static str) {
    let sizes = vec(0..20_usize, 0..60);
    check((vec(event_with_field(line_end), 1..5), sizes), |(events, sizes)| {
        let stream = events.concat();
        let mut ends = vec![0];
        for event in &events {
            ends.push(ends[ends.len() - 1] + event.len());
        }
        for cut in 0..=stream.len() {
            let is_end = ends.contains(&cut);
            prop_assert_eq!(is_whole(&stream[..cut], &sizes), is_end, "cut at {}", cut);
        }
        Ok(())
    });
}

#[test]
fn line_ends_of_each_kind_end_events() {
    for (stream, expected) in [
        ("data: a\n\n", true),
        ("data: a\r\n\r\n", true),
        ("data: a\r\r", true),
        ("data: a\r\r\n", true),
        ("data: a\n\r\n", true),
        ("data: a\n\r", true),
        ("data: a\r\n\r", false),
        ("data: a\n", false),
        ("data: a\r\n", false),
        ("data: a\r", false),
        ("data: a", false),
        (":\n", false),
        (":", false),
        ("", true),
        ("\n", true),
    ] {
        assert_eq!(is_whole(stream.as_bytes(), &[1; 16]), expected, "{stream:?}");
        assert_eq!(is_whole(stream.as_bytes(), &[]), expected, "{stream:?}");
    }
}
