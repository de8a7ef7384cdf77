//! Measures the system's processes on one machine: added latency, processor time, memory, claims,
//! spread of changes, losses and restarts. The figures in `docs/` come from these commands.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::{Parser, Subcommand};
use hdrhistogram::Histogram;
use http::Method;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tokio::sync::Mutex;
use winchvane::control::client::ControlClient;
use winchvane::control::ledger::{Claim, ClaimOutcome, KeyDigest};
use winchvane::document::{Document, FieldValue, ServiceDeclaration};
use winchvane::http::{HttpClient, request};
use winchvane::message::{
    AdapterKey, Change, ControlReply, ControlRequest, SessionDown, SessionHello, SessionRole,
    SessionUp, Summary,
};
use winchvane::wire::{Channel, Peer};
use winchvane_standin::engine::EngineOptions;
use winchvane_standin::region::{Region, RegionOptions, wait_for};
use winchvane_standin::usage::{cpu_us, memory_mb};

/// Measures real processes before stand-ins; build with `--release` first.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The folder of winchvane's programs; by default that of this one.
    #[arg(long)]
    bin_folder: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Latency added against calling the stand-in straight, for one hop and two.
    Latency {
        /// Requests a second, each measured in turn.
        #[arg(long, default_value = "100,1000,5000", value_delimiter = ',')]
        rates: Vec<u64>,
        /// How long each rate lasts.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
    },
    /// Processor time for each request and each streamed token, by process.
    Cpu {
        /// Tokens of a streamed answer.
        #[arg(long, default_value_t = 400)]
        tokens: u64,
    },
    /// Resident memory of each process, idle and with services applied.
    Memory {
        /// Services.
        #[arg(long, default_value = "0,10000,63000", value_delimiter = ',')]
        services: Vec<usize>,
    },
    /// Claims a second and their latency, by claims in flight.
    Claims {
        /// Claims in flight, each measured in turn.
        #[arg(long, default_value = "1,64,1000", value_delimiter = ',')]
        in_flight: Vec<usize>,
        /// How long each lasts.
        #[arg(long, default_value_t = 4)]
        seconds: u64,
    },
    /// Time from accepted to in force at every gateway.
    Spread {
        /// Changes measured.
        #[arg(long, default_value_t = 200)]
        changes: u64,
        /// Other changes a second meanwhile.
        #[arg(long, default_value = "0,300", value_delimiter = ',')]
        background: Vec<u64>,
    },
    /// Time without admission after the loss of the leader, and without service after an owner's.
    Losses {
        /// How often each is lost.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// Time until a replica that restarts holds everything.
    Restart {
        /// Changes in its log.
        #[arg(long, default_value = "1000,100000", value_delimiter = ',')]
        changes: Vec<u64>,
    },
    /// Bytes, messages and processor time that control costs while nothing happens.
    Idle {
        /// Gateways.
        #[arg(long, default_value_t = 6)]
        gateways: usize,
        /// How long.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
    /// What control costs by number of gateways: small sessions in this process, each with the
    /// messages of a gateway, against one real group of three replicas.
    Fleet {
        /// Sessions, each measured in turn.
        #[arg(long, default_value = "50,100,200,400", value_delimiter = ',')]
        sessions: Vec<usize>,
        /// Changes of configuration a second.
        #[arg(long, default_value_t = 1.0)]
        changes_per_s: f64,
        /// Summaries that each session sends with one renewal in ten.
        #[arg(long, default_value_t = 1)]
        summaries: usize,
        /// How long each is measured.
        #[arg(long, default_value_t = 6)]
        seconds: u64,
    },
}

#[tokio::main]
async fn main() {
    let arguments = Arguments::parse();
    let bin_folder = arguments.bin_folder.unwrap_or_else(|| {
        let own = std::env::current_exe().expect("this program has a path");
        own.parent().expect("it is in a folder").to_owned()
    });
    let options = RegionOptions { bin_folder, ..RegionOptions::default() };
    match arguments.command {
        Command::Latency { rates, seconds } => latency(options, &rates, seconds).await,
        Command::Cpu { tokens } => cpu(options, tokens).await,
        Command::Memory { services } => memory(options, &services).await,
        Command::Claims { in_flight, seconds } => claims(options, &in_flight, seconds).await,
        Command::Spread { changes, background } => spread(options, changes, &background).await,
        Command::Losses { rounds } => losses(options, rounds).await,
        Command::Restart { changes } => restart(options, &changes).await,
        Command::Fleet { sessions, changes_per_s, summaries, seconds } => {
            fleet(options, &sessions, changes_per_s, summaries, seconds).await;
        }
        Command::Idle { gateways, seconds } => idle(options, gateways, seconds).await,
    }
}

/// Microseconds up to a minute.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

/// An engine that answers at once.
fn quick_engine() -> EngineOptions {
    EngineOptions {
        max_running: 4_096,
        step_ms: 0,
        tokens: 1,
        load_ms: 1,
        checks_epoch: false,
        ..EngineOptions::default()
    }
}

/// A region with one quick engine, its owner, and another gateway.
async fn hops(options: RegionOptions, engine: EngineOptions) -> (Region, usize, usize) {
    let options = RegionOptions { engines: 1, gateways: 2, engine, ..options };
    let region = Region::start(options).await;
    let owner = region.owner_of("engine-0").await;
    wait_for("served", async || region.quote(owner, "taichung").await.status.is_success()).await;
    (region, owner, 1 - owner)
}

async fn latency(options: RegionOptions, rates: &[u64], seconds: u64) {
    let (region, owner, other) = hops(options, quick_engine()).await;
    let targets = [
        ("straight", region.instances[0].address, "shop-a@1"),
        ("one hop", region.callers(owner), "taichung"),
        ("two hops", region.callers(other), "taichung"),
    ];
    println!("rate/s  target     p50_ms   p99_ms   failed  added_p50_ms  added_p99_ms");
    for rate in rates {
        let mut straight = None;
        for (name, address, model) in targets {
            let (histogram, failed) = load(address, model, *rate, seconds).await;
            let p50 = histogram.value_at_quantile(0.50) as f64 / 1e3;
            let p99 = histogram.value_at_quantile(0.99) as f64 / 1e3;
            let (base_p50, base_p99) = *straight.get_or_insert((p50, p99));
            println!(
                "{rate:<7} {name:<10} {p50:<8.3} {p99:<8.3} {failed:<7} {:<13.3} {:.3}",
                p50 - base_p50,
                p99 - base_p99
            );
        }
    }
}

/// Sends requests at a steady rate, each timed from when it was due.
async fn load(address: SocketAddr, model: &str, rate: u64, seconds: u64) -> (Histogram<u64>, u64) {
    let client = HttpClient::new(1_000);
    let body = Bytes::from(json!({"model": model, "prompt": "x", "max_tokens": 1}).to_string());
    let histogram = Arc::new(Mutex::new(histogram()));
    let failed = Arc::new(std::sync::atomic::AtomicU64::new(0));
    let warm_up = rate;
    let total = rate * seconds + warm_up;
    let mut tasks = Vec::with_capacity(total as usize);
    let started = Instant::now();
    for number in 0..total {
        let due = started + Duration::from_nanos(number * 1_000_000_000 / rate);
        let now = Instant::now();
        if due > now + Duration::from_millis(1) {
            tokio::time::sleep(due - now).await;
        } else if due > now {
            // The timer is no finer than a millisecond.
            while Instant::now() < due {
                tokio::task::yield_now().await;
            }
        }
        let (client, body, histogram, failed) =
            (client.clone(), body.clone(), histogram.clone(), failed.clone());
        tasks.push(tokio::spawn(async move {
            let path = "/v1/completions";
            let sent = Instant::now();
            let request = request(Method::POST, address, path, Some("application/json"), body);
            let answer = client.exchange(request.expect("a request"), 5_000, 1 << 20).await;
            let took_us = sent.elapsed().as_micros() as u64;
            if !answer.is_ok_and(|(status, _)| status.is_success()) {
                failed.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                return;
            }
            if number >= warm_up {
                histogram.lock().await.saturating_record(took_us);
            }
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    let histogram = histogram.lock().await.clone();
    (histogram, failed.load(std::sync::atomic::Ordering::Relaxed))
}

async fn cpu(options: RegionOptions, tokens: u64) {
    let engine = EngineOptions { tokens, ..quick_engine() };
    let (region, owner, other) = hops(options, engine).await;
    let ids = [region.gateways[owner].id(), region.gateways[other].id()];
    let before = ids.map(cpu_us);
    let count = 10_000;
    let (_, failed) = load(region.callers(other), "taichung", 1_000, count / 1_000 - 1).await;
    let after = ids.map(cpu_us);
    println!("requests={count} failed={failed}");
    for (position, name) in ["owner", "entry"].iter().enumerate() {
        let each = (after[position] - before[position]) / count as f64;
        println!("{name}: cpu_us_per_request={each:.1}");
    }
    let streams = 200;
    let before = ids.map(cpu_us);
    let mut tasks = Vec::new();
    for _ in 0..streams {
        let address = region.callers(other);
        tasks.push(tokio::spawn(async move { stream(address, tokens).await }));
    }
    let mut received = 0;
    for task in tasks {
        received += task.await.expect("the task ends");
    }
    let after = ids.map(cpu_us);
    println!("streams={streams} tokens={received}");
    for (position, name) in ["owner", "entry"].iter().enumerate() {
        let each = (after[position] - before[position]) / received as f64;
        println!("{name}: cpu_us_per_token={each:.2}");
    }
}

async fn stream(address: SocketAddr, tokens: u64) -> usize {
    let client = HttpClient::new(1_000);
    let body =
        json!({"model": "taichung", "prompt": "x", "stream": true, "max_tokens": tokens.min(512)});
    let content_type = Some("application/json");
    let request =
        request(Method::POST, address, "/v1/completions", content_type, body.to_string().into());
    let response = client.send(request.expect("a request")).await.expect("an answer");
    let body = response.into_body().collect().await.expect("a whole answer").to_bytes();
    String::from_utf8_lossy(&body).matches("\"model\"").count()
}

fn service(number: usize, version: u64) -> Document {
    let mut parameters = std::collections::BTreeMap::new();
    parameters.insert("adapter".into(), FieldValue::Text(format!("adapter-{number:05}").into()));
    Document::Service(ServiceDeclaration {
        name: format!("service-{number:05}").into(),
        version,
        workspace: format!("workspace-{}", number % 500).into(),
        template: "quote".into(),
        parameters,
        retired: false,
    })
}

fn control_client(region: &Region) -> ControlClient {
    ControlClient::new((0..3).map(|number| region.control_peers(number)).collect())
}

async fn apply(client: &ControlClient, documents: Vec<Document>) {
    let request = ControlRequest::Apply { documents, dry_run: false };
    match client.call(&request, 30_000).await {
        Ok(ControlReply::Applied(reply)) => assert!(reply.accepted, "{:?}", reply.verdicts.first()),
        other => panic!("apply: {other:?}"),
    }
}

async fn memory(options: RegionOptions, sizes: &[usize]) {
    let region = Region::start(options).await;
    let client = control_client(&region);
    let mut applied = 0;
    println!("services  process     resident_mb");
    for size in sizes {
        for first in (applied..*size).step_by(1_000) {
            let documents = (first..(first + 1_000).min(*size)).map(|n| service(n, 1)).collect();
            apply(&client, documents).await;
        }
        applied = applied.max(*size);
        for number in 0..region.gateways.len() {
            wait_for("in force", async || {
                let dump = region.gateway_dump(number).await;
                dump["services"].as_u64() >= Some(*size as u64)
            })
            .await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        for process in region.gateways.iter().chain(&region.controls) {
            println!("{size:<9} {:<11} {:.1}", process.name, memory_mb(process.id()));
        }
    }
}

async fn claims(options: RegionOptions, in_flight: &[usize], seconds: u64) {
    let region = Region::start(options).await;
    let status = region.status().await.expect("a gateway answers");
    let epoch = status["gateways"][0]["epoch"].as_u64().expect("an epoch");
    let gateway: Arc<str> = status["gateways"][0]["name"].as_str().expect("a name").into();
    println!("in_flight  claims/s  p50_ms  p99_ms");
    for width in in_flight {
        let histogram = Arc::new(Mutex::new(histogram()));
        let client = Arc::new(control_client(&region));
        let end = Instant::now() + Duration::from_secs(seconds);
        let mut tasks = Vec::new();
        for worker in 0..*width {
            let (client, histogram, gateway) = (client.clone(), histogram.clone(), gateway.clone());
            let width = *width;
            tasks.push(tokio::spawn(async move {
                for number in 0_u64.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let key = format!("{width}-{worker}-{number}");
                    let claim = Claim {
                        key: KeyDigest::new("w", "s", &key),
                        body: [0; 16],
                        claim_id: rand::random(),
                        gateway: gateway.clone(),
                        gateway_epoch: epoch,
                        issued_at_ms: None,
                    };
                    let sent = Instant::now();
                    let reply = client.call(&ControlRequest::Claim(claim), 10_000).await;
                    let granted = matches!(reply, Ok(ControlReply::Claimed(ClaimOutcome::Granted)));
                    assert!(granted, "{reply:?}");
                    let took_us = sent.elapsed().as_micros() as u64;
                    histogram.lock().await.saturating_record(took_us);
                }
            }));
        }
        for task in tasks {
            task.await.expect("claims are granted");
        }
        let histogram = histogram.lock().await;
        println!(
            "{width:<10} {:<9.0} {:<7.2} {:.2}",
            histogram.len() as f64 / seconds as f64,
            histogram.value_at_quantile(0.5) as f64 / 1e3,
            histogram.value_at_quantile(0.99) as f64 / 1e3
        );
    }
}

async fn spread(options: RegionOptions, changes: u64, background: &[u64]) {
    let region = Arc::new(Region::start(RegionOptions { gateways: 6, ..options }).await);
    let client = Arc::new(control_client(&region));
    let mut version = 0;
    println!(
        "background/s  changes  p50_ms  p99_ms  max_ms   (6 gateways, from accepted to in force at the last)"
    );
    for rate in background {
        let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
        let noise = tokio::spawn(make_noise(client.clone(), *rate, stop.clone()));
        let mut histogram = histogram();
        for _ in 0..changes {
            version += 1;
            let mut parameters = std::collections::BTreeMap::new();
            parameters.insert("adapter".into(), FieldValue::Text("probe".into()));
            parameters.insert("adapter_version".into(), FieldValue::Int(version));
            let document = Document::Service(ServiceDeclaration {
                name: "probe".into(),
                version: version as u64,
                workspace: "w1".into(),
                template: "quote".into(),
                parameters,
                retired: false,
            });
            apply(&client, vec![document]).await;
            let accepted = Instant::now();
            let expected = format!("probe@{version}");
            let waits = (0..6).map(|gateway| {
                let (region, expected) = (region.clone(), expected.clone());
                tokio::spawn(async move { wait_in_force(&region, gateway, &expected).await })
            });
            let mut last = accepted;
            for wait in waits.collect::<Vec<_>>() {
                last = last.max(wait.await.expect("it comes in force"));
            }
            histogram.saturating_record((last - accepted).as_micros() as u64);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        let _ = noise.await;
        println!(
            "{rate:<13} {changes:<8} {:<7.2} {:<7.2} {:.2}",
            histogram.value_at_quantile(0.5) as f64 / 1e3,
            histogram.value_at_quantile(0.99) as f64 / 1e3,
            histogram.max() as f64 / 1e3
        );
    }
}

async fn wait_in_force(region: &Region, gateway: usize, expected: &str) -> Instant {
    let path = "/v1/models/probe";
    loop {
        let got = region.send(region.callers(gateway), Method::GET, path, &[], "").await;
        if got.is_ok_and(|got| got.json()["adapter"] == expected) {
            return Instant::now();
        }
    }
}

async fn make_noise(
    client: Arc<ControlClient>,
    rate: u64,
    stop: Arc<std::sync::atomic::AtomicBool>,
) {
    if rate == 0 {
        return;
    }
    let mut ticks = tokio::time::interval(Duration::from_nanos(1_000_000_000 / rate));
    let mut number: u64 = 0;
    // Versions rise across rounds of this measurement.
    let base = Instant::now().elapsed().as_secs() + 1;
    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
        ticks.tick().await;
        number += 1;
        let client = client.clone();
        let document = service((number % 1_000) as usize, base + number / 1_000);
        tokio::spawn(async move {
            let request = ControlRequest::Apply { documents: vec![document], dry_run: false };
            let _ = client.call(&request, 5_000).await;
        });
    }
}

async fn losses(options: RegionOptions, rounds: usize) {
    let engine = EngineOptions { load_ms: 20, step_ms: 1, tokens: 2, ..EngineOptions::default() };
    let options = RegionOptions { engine, engines: 1, gateways: 4, quick: false, ..options };
    let mut region = Region::start(options).await;
    for round in 0..rounds {
        let leader = region.leader().await;
        let client = control_client(&region);
        region.controls[leader].kill();
        let started = Instant::now();
        apply(&client, vec![service(round, 1)]).await;
        println!("leader killed: next change accepted after {} ms", started.elapsed().as_millis());
        region.controls[leader].start();
        wait_for("it follows", async || {
            region.control_dump(leader).await["group"]["leader"].is_number()
        })
        .await;
    }
    for _ in 0..rounds {
        let owner = region.owner_of("engine-0").await;
        let entry = (owner + 1) % 4;
        region.wait_ready(entry).await;
        region.quote(entry, "taichung").await;
        region.gateways[owner].kill();
        let started = Instant::now();
        let got = region.quote(entry, "taichung").await;
        println!(
            "owner killed: the next request got status {} after {} ms",
            got.status.as_u16(),
            started.elapsed().as_millis()
        );
        region.gateways[owner].start();
        region.wait_ready(owner).await;
        region.wait_owned().await;
    }
}

async fn restart(options: RegionOptions, sizes: &[u64]) {
    let mut region =
        Region::start(RegionOptions { gateways: 1, snapshot_entries: 10_000_000, ..options }).await;
    let client = Arc::new(control_client(&region));
    let mut done = 0;
    println!("changes  log_mb  restart_ms   (until the restarted replica has applied them all)");
    for size in sizes {
        let next = Arc::new(std::sync::atomic::AtomicU64::new(done));
        let mut tasks = Vec::new();
        for _ in 0..512 {
            let (client, next, size) = (client.clone(), next.clone(), *size);
            tasks.push(tokio::spawn(async move {
                loop {
                    let number = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    if number >= size {
                        return;
                    }
                    apply(&client, vec![service(number as usize % 90_000, 1 + number / 90_000)])
                        .await;
                }
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
        done = *size;
        let follower = (region.leader().await + 1) % 3;
        let applied = region.control_dump(follower).await["group"]["applied"].as_u64();
        region.controls[follower].kill();
        let log_bytes: u64 = region
            .data_folder(follower)
            .read_dir()
            .expect("the folder can be listed")
            .flatten()
            .filter_map(|entry| entry.metadata().ok())
            .map(|metadata| metadata.len())
            .sum();
        let started = Instant::now();
        region.controls[follower].start();
        wait_for("it has applied everything", async || {
            let dump = region.control_dump(follower).await;
            dump["group"]["applied"].as_u64() >= applied && applied.is_some()
        })
        .await;
        let took_ms = started.elapsed().as_millis();
        println!("{size:<8} {:<7.1} {took_ms}", log_bytes as f64 / 1e6);
    }
}

async fn idle(options: RegionOptions, gateways: usize, seconds: u64) {
    let options = RegionOptions { gateways, engines: 18, quick: false, ..options };
    let region = Region::start(options).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let leader = region.leader().await;
    let before = sample(&region, leader).await;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = sample(&region, leader).await;
    println!("process      sent_B/s  recv_B/s  sent_msg/s  recv_msg/s  cpu_percent  resident_mb");
    for (before, after) in before.iter().zip(&after) {
        let rate = |name: &str| -> f64 {
            let value = |sample: &Sample| sample.traffic[name].as_f64().unwrap_or(0.0);
            (value(after) - value(before)) / seconds as f64
        };
        println!(
            "{:<12} {:<9.0} {:<9.0} {:<11.1} {:<11.1} {:<12.2} {:.1}",
            after.name,
            rate("sent_bytes"),
            rate("received_bytes"),
            rate("sent_messages"),
            rate("received_messages"),
            (after.cpu_us - before.cpu_us) / 1e4 / seconds as f64,
            after.memory_mb
        );
    }
}

struct Sample {
    name: String,
    traffic: Value,
    cpu_us: f64,
    memory_mb: f64,
}

async fn sample(region: &Region, leader: usize) -> Vec<Sample> {
    let mut samples = Vec::new();
    for (number, process) in region.gateways.iter().enumerate() {
        let traffic = region.gateway_dump(number).await["peer_traffic"].clone();
        samples.push(take(process.name.clone(), traffic, process.id()));
    }
    for (number, process) in region.controls.iter().enumerate() {
        let traffic = region.control_dump(number).await["peer_traffic"].clone();
        let role = if number == leader { "leader" } else { "follower" };
        samples.push(take(role.to_owned(), traffic, process.id()));
    }
    samples
}

fn take(name: String, traffic: Value, id: u32) -> Sample {
    Sample { name, traffic, cpu_us: cpu_us(id), memory_mb: memory_mb(id) }
}

async fn fleet(
    options: RegionOptions,
    sizes: &[usize],
    changes_per_s: f64,
    summaries: usize,
    seconds: u64,
) {
    let region = Region::start(RegionOptions { gateways: 1, quick: false, ..options }).await;
    let client = Arc::new(control_client(&region));
    let leader = region.leader().await;
    println!(
        "sessions  role      cpu_percent  resident_mb  sent_B/s  recv_B/s  msg/s    \
         session: recv_B/s  spread_p99_ms"
    );
    let mut version = 0;
    let mut tasks = Vec::new();
    let seen = Arc::new(Seen::default());
    for size in sizes {
        while tasks.len() < *size {
            let peers = region.control_peers(leader);
            tasks.push(tokio::spawn(session(peers, tasks.len(), summaries, seen.clone())));
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        let before = sample(&region, leader).await;
        let received = seen.bytes.load(std::sync::atomic::Ordering::Relaxed);
        let mut spread = histogram();
        let end = Instant::now() + Duration::from_secs(seconds);
        let pause = Duration::from_secs_f64(1.0 / changes_per_s);
        while Instant::now() < end {
            version += 1;
            seen.reached.store(0, std::sync::atomic::Ordering::Relaxed);
            apply(&client, vec![service(version as usize % 50_000, 1 + version / 50_000)]).await;
            let accepted = Instant::now();
            while seen.reached.load(std::sync::atomic::Ordering::Relaxed) < *size
                && accepted.elapsed() < pause
            {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            spread.saturating_record(accepted.elapsed().as_micros() as u64);
            tokio::time::sleep(pause.saturating_sub(accepted.elapsed())).await;
        }
        let after = sample(&region, leader).await;
        let received = seen.bytes.load(std::sync::atomic::Ordering::Relaxed) - received;
        let each = received as f64 / *size as f64 / seconds as f64;
        for (before, after) in before.iter().zip(&after) {
            if after.name.starts_with("gateway") {
                continue;
            }
            let rate = |name: &str| -> f64 {
                let value = |sample: &Sample| sample.traffic[name].as_f64().unwrap_or(0.0);
                (value(after) - value(before)) / seconds as f64
            };
            println!(
                "{size:<9} {:<9} {:<12.2} {:<12.1} {:<9.0} {:<9.0} {:<8.0} {each:<18.0} {:.1}",
                after.name,
                (after.cpu_us - before.cpu_us) / 1e4 / seconds as f64,
                after.memory_mb,
                rate("sent_bytes"),
                rate("received_bytes"),
                rate("sent_messages") + rate("received_messages"),
                spread.value_at_quantile(0.99) as f64 / 1e3
            );
        }
    }
}

/// What the sessions of `fleet` have received.
#[derive(Default)]
struct Seen {
    bytes: std::sync::atomic::AtomicU64,
    reached: std::sync::atomic::AtomicUsize,
}

/// Keeps one session as a gateway does: a renewal each second, and now and then a summary.
async fn session(leader: SocketAddr, number: usize, summaries: usize, seen: Arc<Seen>) {
    use std::sync::atomic::Ordering;
    let peer = Peer::new(leader);
    let opened = peer.open::<SessionUp, SessionDown>(Channel::Session).await;
    let (mut sender, mut receiver) = opened.expect("the leader takes sessions");
    let hello = SessionHello {
        name: format!("small-{number:04}").into(),
        boot_id: 1,
        zone: format!("zone-{}", number % 3).into(),
        address: ([127, 0, 0, 1], 9).into(),
        applied_index: 0,
        role: SessionRole::Owner,
        zone_server_failed: false,
    };
    sender.send(&SessionUp::Hello(hello)).await.expect("the hello is sent");
    let mut renewals = tokio::time::interval(Duration::from_secs(1));
    let mut sequence = 0;
    loop {
        tokio::select! {
            down = receiver.next() => {
                let Ok(Some(down)) = down else { return };
                let size = bincode::serde::encode_to_vec(&down, bincode::config::standard());
                seen.bytes.fetch_add(size.map_or(0, |bytes| bytes.len() as u64 + 4), Ordering::Relaxed);
                if let SessionDown::Changes { reset: false, changes, .. } = &down
                    && changes.iter().any(|change| matches!(change, Change::Service(_)))
                {
                    seen.reached.fetch_add(1, Ordering::Relaxed);
                }
            }
            _ = renewals.tick() => {
                sequence += 1;
                let mut summary = Vec::new();
                if (sequence + number as u64).is_multiple_of(10) {
                    for endpoint in 0..summaries {
                        summary.push(small_summary(number, endpoint, sequence));
                    }
                }
                let renew = SessionUp::Renew { sent_at_ms: sequence, summaries: summary };
                if sender.send(&renew).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// A summary in which one of eight loaded adapters has changed.
fn small_summary(number: usize, endpoint: usize, sequence: u64) -> Summary {
    Summary {
        endpoint: format!("engine-{number:04}-{endpoint}").into(),
        epoch: 1,
        sequence,
        healthy: true,
        adapters: Some(
            (0..8).map(|slot| AdapterKey::new(format!("adapter-{slot:05}"), 1)).collect(),
        ),
        running: 4,
        queued: 0,
        places: 16,
        slots: 8,
        coldest_rate: 0.1,
    }
}
