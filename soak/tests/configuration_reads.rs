//! The operator's reads of the configuration after all of control was killed right after a change.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::System;
use http::{Method, StatusCode};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Interval;
use winchvane::error::{Error, Result};
use winchvane::message::{
    EndpointCrash, FeatureKey, InterruptedFeature, RequestContent, SessionDown, SessionHello,
    SessionRole, SessionUp,
};
use winchvane::wire::{Channel, Peer, Receiver, Sender};
use winchvane_soak::operator::{call_control, put};
use winchvane_soak::region::Size;

/// Gateways of which only the sessions exist.
const SESSIONS: usize = 74;
/// The endpoints that crashed in the last seconds, and the requests that each crash interrupted.
const CRASHES: usize = 200;
const CRASHED_WITHIN_MS: u32 = 40_000;
const INTERRUPTED: usize = 12;
const RENEW: Duration = Duration::from_millis(300);
const RETRY: Duration = Duration::from_millis(100);
/// A leader that is silent for this long is given up, as by gateways.
const LEADER_SILENT: Duration = Duration::from_millis(900);
const DOWN: Duration = Duration::from_secs(1);
/// How long reads are repeated once control runs again.
const READ_FOR: Duration = Duration::from_secs(12);
const READ_PAUSE: Duration = Duration::from_millis(100);
/// The operator reads for at least this long.
const UNANSWERED_MAX: Duration = Duration::from_secs(3);

fn interrupted(rng: &mut SmallRng, number: usize) -> Vec<InterruptedFeature> {
    let content = FeatureKey::of_content(RequestContent {
        method: "POST",
        host: "h",
        target: "/x",
        weights: None,
        body: format!("body {number}").as_bytes(),
    });
    let first = FeatureKey::of_prompt_part(rng.random_range(0..3));
    let second = FeatureKey::of_prompt_part(100 + rng.random_range(0..80));
    let ran_ms = rng.random_range(1..500);
    let feature = |key| InterruptedFeature { key, weights: None, ran_ms, served_ago_ms: None };
    [content, first, second].map(feature).into()
}

/// What each session has seen of the crashes.
fn crashes_seen() -> Vec<Vec<EndpointCrash>> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut seen = vec![Vec::new(); SESSIONS];
    for number in 0..CRASHES {
        let ago_ms = CRASHED_WITHIN_MS - number as u32 * CRASHED_WITHIN_MS / CRASHES as u32;
        for request in 0..INTERRUPTED {
            let features = interrupted(&mut rng, number * INTERRUPTED + request);
            let (endpoint, service) = (format!("gone-{number}").into(), "engine".into());
            let crash = EndpointCrash { endpoint, service, ago_ms, features };
            seen[(number * 7 + request * 5) % SESSIONS].push(crash);
        }
    }
    seen
}

/// Follows the leader as a gateway does, and reports `crashes` to each one.
async fn follow(number: usize, seeds: Vec<SocketAddr>, crashes: Vec<EndpointCrash>) {
    let mut address = seeds[number % seeds.len()];
    for turn in number.. {
        match run_session(number, address, &crashes).await {
            Ok(Some(leader)) if leader != address => address = leader,
            // Control is away, or has no leader.
            Ok(_) | Err(_) => address = seeds[turn % seeds.len()],
        }
        tokio::time::sleep(RETRY).await;
    }
}

/// Returns the leader's address if that is another replica.
async fn run_session(
    number: usize,
    address: SocketAddr,
    crashes: &[EndpointCrash],
) -> Result<Option<SocketAddr>> {
    let peer = Peer::new(address);
    let (mut sender, mut receiver): (Sender<SessionUp>, Receiver<SessionDown>) =
        peer.open(Channel::Session).await?;
    let hello = SessionHello {
        name: format!("session-{number}").into(),
        boot_id: number as u64,
        zone: "zone-1".into(),
        address: ([127, 0, 0, 1], 9).into(),
        applied_index: 0,
        role: SessionRole::Follower,
        // The leader serves it, as it does where the zone has no replica.
        zone_server_failed: true,
    };
    sender.send(&SessionUp::Hello(hello)).await?;
    let mut renewals = tokio::time::interval(RENEW);
    let started = Instant::now();
    loop {
        let silent = tokio::time::sleep(LEADER_SILENT);
        tokio::select! {
            down = receiver.next() => match down? {
                Some(SessionDown::NotLeader { leader }) => return Ok(leader),
                Some(SessionDown::Welcome { .. }) => {
                    sender.send(&SessionUp::Crashes(crashes.to_vec())).await?;
                }
                Some(_) => {}
                None => return Err(Error::failed("follow", "control", "the session ended")),
            },
            () = silent => return Err(Error::failed("follow", "control", "silence")),
            () = renew(&mut sender, &mut renewals, started) => {}
        }
    }
}

/// Renews the session until it fails.
async fn renew(sender: &mut Sender<SessionUp>, renewals: &mut Interval, started: Instant) {
    loop {
        renewals.tick().await;
        let sent_at_ms = started.elapsed().as_millis() as u64;
        let renewal = SessionUp::Renew { sent_at_ms, summaries: Vec::new() };
        if sender.send(&renewal).await.is_err() {
            return;
        }
    }
}

/// Reads the configuration again and again; returns the longest time without an answer.
async fn longest_unanswered(control: &[SocketAddr], version: u64) -> Duration {
    let started = Instant::now();
    let (mut answered_at, mut longest, mut answers) = (started, Duration::ZERO, 0);
    for turn in 0.. {
        let read = call_control(control, turn, Method::GET, "/winchvane/config", String::new());
        if let Some((StatusCode::OK, body)) = read.await {
            let read: serde_json::Value = serde_json::from_slice(&body).expect("it is JSON");
            assert!(read["version"].as_u64() >= Some(version), "an older version was read");
            longest = longest.max(answered_at.elapsed());
            answered_at = Instant::now();
            answers += 1;
        }
        if started.elapsed() > READ_FOR {
            break;
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
    println!("{answers} reads were answered, {longest:?} at most without an answer");
    longest.max(answered_at.elapsed())
}

#[tokio::test(flavor = "multi_thread")]
async fn the_configuration_is_read_while_gateways_report_what_crashed_before_a_final_fault() {
    let size = Size { gateways: 2, endpoints: 1, engines: 3, block: 66 };
    let mut system = System::start_with(size, 4).await;
    let control = system.region.control_addresses();
    let seeds: Vec<_> = system.region.peer_addresses();
    let mut sessions = Vec::new();
    for (number, crashes) in crashes_seen().into_iter().enumerate() {
        sessions.push(tokio::spawn(follow(number, seeds.clone(), crashes)));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let version = 1_000;
    let mut turn = 0;
    while !put(&control, turn, version, &system.record).await {
        turn += 1;
        assert!(turn < 100, "the change is not acknowledged");
    }
    let record = Arc::clone(&system.record);
    record.fault("all of control is killed right after a change".to_owned());
    for program in system.region.programs.iter_mut().filter(|program| program.is_control) {
        program.kill();
    }
    tokio::time::sleep(DOWN).await;
    for program in system.region.programs.iter_mut().filter(|program| program.is_control) {
        program.start().expect("the program starts");
    }
    let longest = longest_unanswered(&control, version).await;
    sessions.iter().for_each(tokio::task::JoinHandle::abort);
    system.stop("configuration-reads");
    assert!(longest <= UNANSWERED_MAX, "no answer for {longest:?}, {UNANSWERED_MAX:?} allowed");
}
