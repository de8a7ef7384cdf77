//! A request that runs at an engine, and the events of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::StatusCode;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::OwnedSemaphorePermit;

use super::life::Life;
use super::{lock, unix_ms};
use crate::endpoint::{Answer, EVENTS, head};
use crate::room::Present;

/// Which events of streams come late.
#[derive(Debug, Clone, Copy, Default)]
pub struct LateEvents {
    /// The share of events.
    pub percent: u32,
    /// How late they come.
    pub by: Duration,
}

impl LateEvents {
    async fn wait(self) {
        if rand::random_range(0..100) < self.percent {
            tokio::time::sleep(self.by).await;
        }
    }
}

/// A request that runs; its place is free once it is dropped.
pub(super) struct Running {
    pub(super) life: Arc<Life>,
    pub(super) adapter: String,
    pub(super) event_pause: Duration,
    pub(super) late_events: LateEvents,
    pub(super) _slot: OwnedSemaphorePermit,
    pub(super) _present: Present,
}

impl Drop for Running {
    fn drop(&mut self) {
        lock(&self.life.weights).end(unix_ms(), &self.adapter);
    }
}

impl Running {
    /// Without chunks the stream ends with its connection.
    pub(super) fn streamed(self, id: &str, first: u64, is_cut: bool, has_chunks: bool) -> Answer {
        let id_owned = id.to_owned();
        let cut_at = if is_cut { rand::random_range(first..=EVENTS.max(first)) } else { u64::MAX };
        let frames = stream::unfold((self, first), move |(running, number)| {
            let id = id_owned.clone();
            async move {
                if number > EVENTS {
                    return None;
                }
                tokio::time::sleep(running.event_pause).await;
                running.late_events.wait().await;
                running.life.wait_until_running().await;
                let software = running.life.software;
                let mut event = format!(": {software}\nid: {number}\ndata: {id}\n\n");
                if number > cut_at {
                    return Some((Err(std::io::Error::other("cut")), (running, number)));
                }
                if number == cut_at {
                    event.truncate(rand::random_range(1..event.len()));
                    let next = if has_chunks { number + 1 } else { EVENTS + 1 };
                    return Some((Ok(Frame::data(Bytes::from(event))), (running, next)));
                }
                Some((Ok(Frame::data(Bytes::from(event))), (running, number + 1)))
            }
        });
        let version = if has_chunks { http::Version::HTTP_11 } else { http::Version::HTTP_10 };
        head(StatusCode::OK, id)
            .version(version)
            .header("content-type", "text/event-stream")
            .body(StreamBody::new(frames).boxed())
            .expect("the parts are valid")
    }
}
