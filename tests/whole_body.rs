//! Which response bodies count as whole.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http::response::Parts;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame};
use winchvane::error::{Error, Result as CallResult};
use winchvane::http::{Framing, FramingError, SenderCheck, WholeBody, is_event_stream};
use winchvane::wire::BoxFuture;
use yare::parameterized;

fn head(status: u16, headers: &[(&'static str, &str)]) -> Parts {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    response.body(()).expect("a valid head").into_parts().0
}

#[parameterized(
    length = { 200, &[("content-length", "5")], Ok(Framing::Length) },
    chunks = { 200, &[("transfer-encoding", "Chunked")], Ok(Framing::Chunked) },
    neither = { 200, &[], Ok(Framing::Close) },
    no_content = { 204, &[], Ok(Framing::Empty) },
    not_modified = { 304, &[("content-length", "5")], Ok(Framing::Empty) },
    both = { 200, &[("content-length", "5"), ("transfer-encoding", "chunked")], Err(FramingError::LengthAndEncoding) },
    two_encodings = { 200, &[("transfer-encoding", "gzip, chunked")], Err(FramingError::UnknownEncoding) },
    two_lines = { 200, &[("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")], Err(FramingError::UnknownEncoding) },
    identity = { 200, &[("transfer-encoding", "identity")], Err(FramingError::UnknownEncoding) },
)]
fn the_end_of_a_body_is_read_from_its_head(
    status: u16,
    headers: &[(&'static str, &str)],
    expected: Result<Framing, FramingError>,
) {
    assert_eq!(Framing::of(&head(status, headers)), expected);
}

#[parameterized(
    plain = { Some("text/event-stream"), false, true },
    with_parameters = { Some("Text/Event-Stream; charset=utf-8"), false, true },
    json = { Some("application/json"), true, false },
    none = { None, false, false },
    none_expected = { None, true, true },
)]
fn event_streams_are_told_by_their_type(kind: Option<&str>, is_expected: bool, expected: bool) {
    let headers: Vec<_> = kind.map(|kind| ("content-type", kind)).into_iter().collect();
    assert_eq!(is_event_stream(&head(200, &headers).headers, is_expected), expected);
}

/// Reads a body of these pieces; true if it is whole.
async fn is_whole(pieces: &'static [&'static str], framing: Framing, is_events: bool) -> bool {
    let frames = pieces.iter().map(|piece| Ok::<_, Infallible>(Frame::data(Bytes::from(*piece))));
    let body = StreamBody::new(stream::iter(frames));
    WholeBody::new("e-1".into(), framing, body, is_events).collect().await.is_ok()
}

#[tokio::test]
async fn an_event_stream_is_whole_between_events_only() {
    for framing in [Framing::Close, Framing::Chunked, Framing::Length] {
        assert!(is_whole(&["data: a\n\nda", "ta: b\n\n"], framing, true).await);
        assert!(!is_whole(&["data: a\n\nda", "ta: b\n"], framing, true).await);
        assert!(!is_whole(&["data: a\n\nda"], framing, true).await);
        assert!(is_whole(&["{\"a\":"], framing, false).await, "no event stream");
    }
}

#[tokio::test]
async fn a_stream_without_events_is_whole_if_its_end_is_marked() {
    assert!(is_whole(&[], Framing::Chunked, true).await);
    assert!(is_whole(&[], Framing::Length, true).await);
    assert!(!is_whole(&[], Framing::Close, true).await);
    assert!(is_whole(&[], Framing::Close, false).await);
}

/// Guards against a reader that stops at the last frame of a body of known length and misses the
/// error.
#[tokio::test]
async fn a_cut_stream_does_not_end_with_its_last_frame() {
    let cut = Full::new(Bytes::from("data: a"));
    let mut body = WholeBody::new("e-1".into(), Framing::Length, cut, true);
    body.frame().await.expect("a frame").expect("data");
    assert!(!body.is_end_stream());
    assert!(body.frame().await.expect("an error").is_err());
    assert!(body.frame().await.is_none());
    assert!(body.is_end_stream());
}

/// A sender that runs or has crashed.
#[derive(Debug)]
struct Sender {
    runs: bool,
}

impl SenderCheck for Sender {
    fn confirm(&self) -> BoxFuture<'static, CallResult<()>> {
        let runs = self.runs;
        Box::pin(async move {
            tokio::task::yield_now().await;
            if runs { Ok(()) } else { Err(Error::refused("connect", "e-1", "refused")) }
        })
    }
}

/// True if a body of these pieces is whole, given whether its sender runs at the end.
async fn is_whole_from(sender: Sender, pieces: &'static [&'static str], framing: Framing) -> bool {
    let frames = pieces.iter().map(|piece| Ok::<_, Infallible>(Frame::data(Bytes::from(*piece))));
    let body = StreamBody::new(stream::iter(frames));
    let mut body = WholeBody::new("e-1".into(), framing, body, true).with_sender_check(sender);
    let mut read = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            assert!(body.is_end_stream(), "an error is the end");
            return false;
        };
        read.extend_from_slice(frame.data_ref().expect("data"));
    }
    assert!(body.is_end_stream());
    assert!(body.frame().await.is_none(), "the end is told again");
    assert_eq!(read, pieces.concat().into_bytes());
    true
}

#[tokio::test]
async fn a_body_that_ends_with_its_connection_is_whole_if_its_sender_runs() {
    const EVENT: &[&str] = &["data: a\n\n"];
    assert!(is_whole_from(Sender { runs: true }, EVENT, Framing::Close).await);
    assert!(!is_whole_from(Sender { runs: false }, EVENT, Framing::Close).await);
    for framing in [Framing::Chunked, Framing::Length] {
        assert!(is_whole_from(Sender { runs: false }, EVENT, framing).await, "its end is marked");
    }
    for runs in [false, true] {
        assert!(!is_whole_from(Sender { runs }, &["data: a\n"], Framing::Close).await);
        assert!(!is_whole_from(Sender { runs }, &[], Framing::Close).await, "no event");
    }
}

#[tokio::test]
async fn a_body_has_not_ended_before_its_sender_was_checked() {
    let body = Full::new(Bytes::new());
    let body = WholeBody::new("e-1".into(), Framing::Close, body, false)
        .with_sender_check(Sender { runs: false });
    assert!(!body.is_end_stream());
    assert!(body.collect().await.is_err());
}
