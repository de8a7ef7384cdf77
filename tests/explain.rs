//! `winchvane explain`: parsing of log lines, the timeline of a request, and the table of losses.

use std::io::{BufReader, Cursor};
use std::process::{Command, Stdio};

use winchvane::explain::{LogLine, LogReader, Losses, ReadResult, Timeline};
use yare::parameterized;

const ANSWERED: &str = "ts=2026-10-20T17:10:58.4384Z level=info target=winchvane::relay::report \
    event=answered request=r1 route=a weights= endpoint=i-1 status=200 version=3 tried=1 \
    prompt_tokens=0 rank=0 expected_ms=10 sent_after_ms=1 waited_for= objective_ms=400 after_ms=900";

#[test]
fn a_line_is_read_with_its_fields() {
    let text = format!("front-1 {ANSWERED}");
    let line = LogLine::parse(&text).expect("a line");
    assert_eq!((line.prefix, line.event), ("front-1", "answered"));
    assert_eq!((line.text("route"), line.text("weights"), line.text("none")), ("a", "", ""));
    assert_eq!(line.millis("after_ms"), Some(900));
    let quoted = r#"ts=2026-10-20T17:10:58Z event=refused reason="NoPlace(\"endpoints are full\")" after_ms=3"#;
    let line = LogLine::parse(quoted).expect("a line");
    assert_eq!(line.text("reason"), "NoPlace(\"endpoints are full\")");
    assert_eq!(line.text("after_ms"), "3");
}

#[parameterized(
    empty = { "" },
    of_another_program = { "Dec 3 00:00:01 host kernel: ts=no" },
    no_event = { "ts=2026-10-20T17:10:58Z level=info" },
    torn_in_quotes = { "ts=2026-10-20T17:10:58Z event=refused reason=\"NoPl" },
    torn_in_a_name = { "ts=2026-10-20T17:10:58Z event=refused rea" },
    no_time = { "ts=soon event=refused reason=x" },
    json = { "{\"ts\":\"2026-10-20T17:10:58Z\",\"event\":\"refused\"}" },
)]
fn torn_lines_and_lines_of_other_programs_are_rejected(text: &str) {
    assert_eq!(LogLine::parse(text), None);
}

/// Times are written without trailing zeros, so that sorting them as text gives the wrong order.
#[test]
fn a_timeline_is_in_order_of_time_over_all_processes() {
    let mut timeline = Timeline::new("r1");
    let lines = [
        ("g2", "ts=2026-10-20T17:10:58.5Z level=info event=failed request=r1 after_ms=40"),
        ("g1", "ts=2026-10-20T17:10:58.47Z level=info event=other request=r2"),
        (
            "g1",
            "ts=2026-10-20T17:10:58.460001Z level=info event=send_failed request=r1 detail=\"a b\"",
        ),
        ("g1", "ts=2026-10-20T17:10:58.46Z level=info event=retry request=r1 allowed=true"),
    ];
    for (process, text) in lines {
        timeline.add(process, &LogLine::parse(text).expect("a line"));
    }
    let actual = timeline.text();
    let expected = "   +0.000 g1 retry allowed=true\n   +0.000 g1 send_failed detail=\"a b\"\n   \
        +0.040 g2 failed after_ms=40\n";
    assert_eq!(actual, expected);
    assert_eq!(timeline.value()["steps"][2]["process"], "g2");
}

#[parameterized(
    in_time = { "after_ms=400", "" },
    held_for_weights = { "after_ms=900 sent_after_ms=600 waited_for=\"weights are not loaded\"", "weights are not loaded" },
    held_for_a_place = { "after_ms=900 sent_after_ms=600 waited_for=\"endpoints are full\"", "endpoints are full" },
    behind_others = { "after_ms=900 sent_after_ms=100 expected_ms=500", "prompts before it" },
    slow = { "after_ms=900 sent_after_ms=100 expected_ms=100", "slower than expected" },
    again = { "after_ms=900 sent_after_ms=100 tried=2", "sent again" },
)]
fn the_cause_of_a_late_answer_is_the_longest_part_of_its_time(fields: &str, cause: &str) {
    let text = format!(
        "ts=2026-10-20T17:10:58Z event=answered route=a status=200 objective_ms=400 {fields}"
    );
    let mut losses = Losses::new();
    losses.add(&LogLine::parse(&text).expect("a line"));
    let rows = losses.rows();
    let actual: Vec<&str> = rows.iter().map(|row| row[3].as_str()).collect();
    assert_eq!(actual, if cause.is_empty() { vec![] } else { vec![cause] });
    assert_eq!((losses.totals().answered, losses.totals().late), (1, u64::from(!cause.is_empty())));
}

#[test]
fn reasons_that_differ_only_in_names_are_counted_together() {
    let mut losses = Losses::new();
    for (second, peer) in [(58, "i-1"), (59, "i-2"), (60 - 58, "i-3")] {
        let text = format!(
            "ts=2026-10-20T17:10:{second:02}.1Z event=failed request=x route=a \
             reason=\"step=send request peer={peer}: connection error\" after_ms=5"
        );
        losses.add(&LogLine::parse(&text).expect("a line"));
    }
    let rows = losses.rows();
    assert_eq!(rows.len(), 2, "two windows: {rows:?}");
    assert_eq!(rows[1], ["56", "a", "failed", "step=send request connection error", "2"]);
}

/// Guards against counting refusals by their queue delay, and errors that were withheld from a
/// second send together with others.
#[parameterized(
    queue_full = { r#"refused reason="QueueFull { after_ms: 350 }""#, "queue full" },
    deadline = { r#"refused reason="DeadlineUnreachable { after_ms: 90 }""#, "deadline out of reach" },
    replaced = { r#"refused reason="Replaced { after_ms: 90 }""#, "replaced in the queue" },
    other = { r#"refused reason="Limited { after_ms: 90 }""#, "Limited { after_ms: }" },
    unknown = { "refused reason=Newer", "Newer" },
    error = { "answered status=500 not_resent=false", "500" },
    error_not_resent = { "answered status=500 not_resent=true", "500, not resent" },
    broken_not_resent = { r#"failed reason="it ended" not_resent=true"#, "it ended, not resent" },
)]
fn losses_have_the_cause_that_the_operator_knows(fields: &str, cause: &str) {
    let text = format!("ts=2026-10-20T17:10:58Z event={fields} route=a after_ms=3");
    let mut losses = Losses::new();
    losses.add(&LogLine::parse(&text).expect("a line"));
    assert_eq!(losses.rows()[0][3], cause);
}

/// The log line of the decision must reach the operator with its inputs.
#[test]
fn a_timeline_says_why_a_request_was_not_resent() {
    let mut timeline = Timeline::new("r1");
    let text = "ts=2026-10-20T17:10:58Z level=info event=not_resent request=r1 endpoint=i-1 \
        failure=answered at_outlier=false outcomes=14.2 expected_share=0.07";
    timeline.add("g1", &LogLine::parse(text).expect("a line"));
    let expected = "   +0.000 g1 not_resent endpoint=i-1 failure=answered at_outlier=false \
        outcomes=14.2 expected_share=0.07\n";
    assert_eq!(timeline.text(), expected);
}

#[test]
fn lines_without_end_and_bytes_that_are_no_text_are_skipped() {
    let mut bytes = vec![b'x'; 3 << 20];
    bytes.extend_from_slice(b"\n\xff\xfe\n");
    bytes.extend_from_slice(ANSWERED.as_bytes());
    let mut reader = LogReader::new(BufReader::new(Cursor::new(bytes)));
    assert_eq!(reader.read_line().expect("bytes"), ReadResult::Skipped);
    assert_eq!(reader.line(), "", "no part of a skipped line is kept");
    assert_eq!(reader.read_line().expect("bytes"), ReadResult::Skipped);
    assert_eq!(reader.read_line().expect("bytes"), ReadResult::Line);
    assert_eq!(reader.line(), ANSWERED);
    assert_eq!(reader.read_line().expect("bytes"), ReadResult::End);
}

#[test]
fn the_command_reads_files_and_standard_input() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("g7.log");
    std::fs::write(&path, format!("{ANSWERED}\nnot ours\n")).expect("it is written");
    let run = |arguments: &[&str], input: Stdio| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_winchvane"));
        let output = command.arg("explain").args(arguments).stdin(input).output().expect("it runs");
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
        (output.status.code(), text(output.stdout), text(output.stderr))
    };
    let file = path.to_str().expect("a path");
    let (code, actual, skipped) = run(&["--request", "r1", file], Stdio::null());
    assert_eq!(code, Some(0));
    assert!(actual.starts_with("   +0.000 g7 answered route=a"), "{actual}");
    assert_eq!(skipped, "1 lines are torn or of others\n");
    let input = std::fs::File::open(&path).expect("it opens");
    let (code, actual, _) = run(&["--losses", "-o", "json"], Stdio::from(input));
    let actual: serde_json::Value = serde_json::from_str(&actual).expect("JSON");
    assert_eq!(
        (code, &actual["late"], &actual["rows"][0]["cause"]),
        (Some(0), &1.into(), &"slower than expected".into())
    );
    assert_eq!(run(&["--request", "r9", file], Stdio::null()).0, Some(1));
    assert_eq!(run(&["--losses", "/none/such"], Stdio::null()).0, Some(2));
    assert_eq!(run(&[file], Stdio::null()).0, Some(2));
}
