//! Checks of engines' answers: truncated or malformed answers, and answers of another adapter, are
//! rejected.

use std::fmt::Write;

use winchvane::gateway::stream::{AnswerFault, EventChecker, check_json};
use winchvane::message::AdapterKey;
use yare::parameterized;

fn adapter() -> AdapterKey {
    AdapterKey::new("shop", 3)
}

fn stream() -> String {
    let mut text = String::from(": comment\n\n");
    for token in ["one", "two \\n\\n", "three"] {
        let _ = write!(
            text,
            "data: {{\"id\":\"x\",\"model\":\"shop@3\",\"choices\":[{{\"text\":\"{token}\"}}]}}\n\n"
        );
    }
    text + "data: [DONE]\n\n"
}

#[test]
fn a_stream_cut_at_any_byte_is_not_whole() {
    let text = stream();
    for cut in 0..text.len() {
        let mut checker = EventChecker::new(adapter());
        checker.push(&text.as_bytes()[..cut]).expect("the part before the cut is well formed");
        assert!(!checker.is_complete(), "cut at byte {cut}");
    }
}

#[test]
fn chunks_of_any_size_give_the_same_events() {
    let text = stream();
    for size in 1..text.len() {
        let mut checker = EventChecker::new(adapter());
        let mut passed = Vec::new();
        for chunk in text.as_bytes().chunks(size) {
            if let Some(events) = checker.push(chunk).expect("the stream is well formed") {
                assert!(events.ends_with(b"\n\n"), "only whole events are passed on");
                passed.extend_from_slice(&events);
            }
        }
        assert_eq!(passed, text.as_bytes(), "chunks of {size} bytes");
        assert!(checker.is_complete());
    }
}

#[parameterized(
    other_adapter = { "other@3" },
    other_version = { "shop@4" },
    no_version = { "shop" },
    longer_name = { "shop@33" },
)]
fn another_adapter_is_never_passed_on(model: &str) {
    let wrong = format!("data: {{\"model\":\"{model}\",\"choices\":[]}}\n\n");
    let fault = AnswerFault::WrongAdapter(model.to_owned());
    let mut checker = EventChecker::new(adapter());
    assert_eq!(checker.push(wrong.as_bytes()), Err(fault.clone()));
    // The correct beginning of a stream is accepted; a whole answer that names another adapter is not.
    let mut checker = EventChecker::new(adapter());
    let begun = &stream()[..90];
    checker.push(begun.as_bytes()).expect("the beginning is well formed");
    let body = format!("{{\"choices\":[],\"model\":\"{model}\"}}");
    assert_eq!(check_json(body.as_bytes(), &adapter()), Err(fault));
}

#[parameterized(
    not_json = { "data: {\n\n" },
    no_model = { "data: {\"choices\":[]}\n\n" },
    after_the_end = { "data: [DONE]\n\ndata: {\"model\":\"shop@3\"}\n\n" },
)]
fn a_malformed_stream_is_refused(text: &str) {
    let mut checker = EventChecker::new(adapter());
    assert!(matches!(checker.push(text.as_bytes()), Err(AnswerFault::Malformed(_))));
}

#[test]
fn a_whole_answer_must_name_its_adapter() {
    assert_eq!(check_json(br#"{"model":"shop@3"}"#, &adapter()), Ok(()));
    assert!(check_json(br#"{"model":"shop@3""#, &adapter()).is_err());
    assert!(check_json(br#"{"choices":[]}"#, &adapter()).is_err());
}
