//! An operator who changes a large configuration again and again, and what control takes for it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use winchvane_soak::operator::configuration;
use winchvane_soak::region::{Program, Region};

/// The changes of a series, and the time from one to the next.
const SERIES: u64 = 25;
const GAP: Duration = Duration::from_millis(60);
const PAUSE: Duration = Duration::from_secs(1);
/// The operator gives a call up after this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_900);
const LOOK: Duration = Duration::from_millis(20);
/// A gateway that has not taken a version over by then never will.
const APPLIED_MAX: Duration = Duration::from_secs(10);
const FIRST_VERSION: u64 = 10;

/// What happens beside the changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// A gateway stands still for 8 of 12 s.
    GatewayStandsStill,
    /// A replica stands still for 8 of 12 s.
    ReplicaStandsStill,
    /// A replica is killed each 8 s, and starts again after 1 s.
    ReplicaKilled,
    /// All replicas are killed at once each 8 s, and start again after 1 s.
    AllReplicasKilled,
    /// The links from control to a gateway pass 10 Mbit/s.
    SlowGateway,
    /// Readers ask for the configuration and take nothing of the answers.
    SilentReaders(usize),
}

/// The changes of a run.
#[derive(Debug, Clone, Copy)]
pub struct Changes {
    /// The routes of the configuration beside those of the region.
    pub routes: usize,
    /// How many versions are sent.
    pub versions: u64,
    /// How many senders there are. A single one sends in series.
    pub senders: u64,
    /// What happens beside them.
    pub trouble: Trouble,
}

/// What was seen during a run.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    /// The most resident memory of each replica.
    pub control_peak_kb: Vec<u64>,
    /// The most resident memory of each gateway.
    pub gateway_peak_kb: Vec<u64>,
    /// The resident memory of each replica, as it was last seen.
    pub control_kb: Vec<u64>,
    /// The most of any replica at the end of each series.
    pub series_kb: Vec<u64>,
    /// The most that a replica had stored.
    pub stored_max_bytes: u64,
    /// How many versions were acknowledged.
    pub acknowledged: u64,
    /// The newest one.
    pub newest: u64,
    /// How many calls were refused with a time to come back after.
    pub refused: u64,
    /// The answers that are neither, by status; 0 for none.
    pub others: Vec<u16>,
    /// The slowest acknowledgement, and the slowest refusal.
    pub slowest_ack: Duration,
    pub slowest_refusal: Duration,
    /// The longest time from an acknowledgement until a steady gateway had the version.
    pub slowest_applied: Duration,
}

/// The document of a version with `routes` more routes; one of them has the version as its path.
pub fn document(version: u64, routes: usize) -> String {
    let mut more = format!("{},", route("newest", &format!("/v{version}/"), 3_000));
    for number in 0..routes {
        let path = format!("/large-{number}/");
        more.push_str(&route(&format!("r-{number:06}"), &path, 12_000 + version));
        more.push(',');
    }
    configuration(version).to_string().replacen("\"routes\":[", &format!("\"routes\":[{more}"), 1)
}

fn route(name: &str, path: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"soak.example\",\"path_prefix\":\"{path}\",\"kind\":\"safe\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":1000,\"priority\":0,\"service\":\"plain\",\
         \"retry_attempts\":2,\"sticky\":false,\"resumable\":false,\"public\":true,\"gap_aim_ms\":400}}"
    )
}

/// The status, `Retry-After` and `Location` of an answer.
struct Head {
    status: u16,
    retry_after: Option<Duration>,
    location: Option<SocketAddr>,
}

fn parse(head: &str) -> Option<Head> {
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let field = |name: &str| {
        let line = head.lines().find(|line| line.to_ascii_lowercase().starts_with(name))?;
        Some(line[name.len()..].trim().to_owned())
    };
    let retry_after =
        field("retry-after:").and_then(|it| it.parse().ok()).map(Duration::from_secs_f64);
    let location = field("location:")
        .and_then(|it| it.strip_prefix("http://")?.split('/').next()?.parse().ok());
    Some(Head { status, retry_after, location })
}

async fn call(address: SocketAddr, head: &str, body: &str) -> Option<(Head, TcpStream)> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(head.as_bytes()).await.ok()?;
    // An answer may come before the whole body is sent.
    let _ = stream.write_all(body.as_bytes()).await;
    let mut read = Vec::new();
    while !read.windows(4).any(|four| four == b"\r\n\r\n") {
        let mut buffer = [0; 4_096];
        let length = stream.read(&mut buffer).await.ok()?;
        if length == 0 {
            return None;
        }
        read.extend_from_slice(&buffer[..length]);
    }
    Some((parse(&String::from_utf8_lossy(&read))?, stream))
}

/// Sends a version to the replicas until one answers that leads.
async fn put(control: &[SocketAddr], first: &AtomicU64, body: &str) -> Option<Head> {
    let start = first.load(Ordering::SeqCst) as usize;
    let mut address = control[start % control.len()];
    for turn in 1..=4 * control.len() {
        let head = format!(
            "PUT /winchvane/config HTTP/1.1\r\nhost: control\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        match timeout(Duration::from_secs(1), call(address, &head, body)).await {
            Ok(Some((Head { status: 307, location: Some(next), .. }, _))) => address = next,
            Ok(Some((head, _))) if head.status != 503 || head.retry_after.is_some() => {
                let leader = control.iter().position(|it| *it == address).unwrap_or(start);
                first.store(leader as u64, Ordering::SeqCst);
                return Some(head);
            }
            _ => {
                address = control[(start + turn) % control.len()];
                sleep(LOOK).await;
            }
        }
    }
    None
}

/// Waits until `gateway` has the version; returns how long that took.
async fn applied(gateway: SocketAddr, version: u64) -> Duration {
    let started = Instant::now();
    let head = format!(
        "GET /v{version}/x HTTP/1.1\r\nhost: soak.example\r\nconnection: close\r\n\
         request-id: large-{version}\r\ndeadline-ms: 2000\r\n\r\n"
    );
    while started.elapsed() < APPLIED_MAX {
        let called = timeout(Duration::from_secs(2), call(gateway, &head, "")).await;
        if matches!(called, Ok(Some((head, _))) if head.status != 404 && head.status != 503) {
            break;
        }
        sleep(LOOK).await;
    }
    started.elapsed()
}

/// Sends the changes, and looks at the memory and disk of the processes.
pub async fn run(region: &mut Region, changes: Changes) -> Seen {
    let control = region.control_addresses();
    let gateways = region.gateway_addresses();
    let seen = Arc::new(Mutex::new(Seen {
        control_peak_kb: vec![0; control.len()],
        control_kb: vec![0; control.len()],
        gateway_peak_kb: vec![0; gateways.len()],
        ..Seen::default()
    }));
    let next = Arc::new(AtomicU64::new(FIRST_VERSION));
    let is_done = Arc::new(AtomicBool::new(false));
    let mut senders: Vec<JoinHandle<()>> = Vec::new();
    let steady: Vec<SocketAddr> = match changes.trouble {
        Trouble::GatewayStandsStill => gateways.iter().skip(1).copied().collect(),
        _ => gateways.clone(),
    };
    if changes.trouble == Trouble::SlowGateway {
        region.slow_down(1);
    }
    for _ in 0..changes.senders {
        let (control, steady, seen, next) =
            (control.clone(), steady.clone(), seen.clone(), next.clone());
        senders.push(tokio::spawn(send(control, steady, seen, next, changes)));
    }
    let readers = if let Trouble::SilentReaders(readers) = changes.trouble { readers } else { 0 };
    let mut held = Vec::new();
    let started = Instant::now();
    let mut troubled = Troubled::default();
    while !is_done.load(Ordering::SeqCst) {
        is_done.store(senders.iter().all(JoinHandle::is_finished), Ordering::SeqCst);
        look(region, &seen);
        troubled.advance(region, changes.trouble, started.elapsed());
        if held.len() < readers {
            let head = "GET /winchvane/config HTTP/1.1\r\nhost: control\r\n\r\n";
            let address = control[held.len() % control.len()];
            let opened = timeout(Duration::from_millis(300), call(address, head, "")).await;
            held.push(opened.ok().flatten().map(|(_, stream)| stream));
        }
        sleep(LOOK).await;
    }
    Troubled::end(region);
    look(region, &seen);
    let seen = seen.lock().expect("the lock is not poisoned").clone();
    println!("{changes:?}\n{seen:?}\nin {:?}", started.elapsed());
    seen
}

async fn send(
    control: Vec<SocketAddr>,
    steady: Vec<SocketAddr>,
    seen: Arc<Mutex<Seen>>,
    next: Arc<AtomicU64>,
    changes: Changes,
) {
    let first = AtomicU64::new(0);
    loop {
        let version = next.fetch_add(1, Ordering::SeqCst);
        let number = version - FIRST_VERSION;
        if number >= changes.versions {
            return;
        }
        let body = document(version, changes.routes);
        let sent = Instant::now();
        let answered = timeout(CALL_TIMEOUT, put(&control, &first, &body)).await.ok().flatten();
        let took = sent.elapsed();
        let mut pause = Duration::ZERO;
        {
            let mut seen = seen.lock().expect("the lock is not poisoned");
            match answered {
                Some(Head { status: 200, .. }) => {
                    seen.acknowledged += 1;
                    seen.newest = seen.newest.max(version);
                    seen.slowest_ack = seen.slowest_ack.max(took);
                }
                Some(Head { status: 503, retry_after: Some(after), .. }) => {
                    seen.refused += 1;
                    seen.slowest_refusal = seen.slowest_refusal.max(took);
                    pause = after;
                }
                other => seen.others.push(other.map_or(0, |head| head.status)),
            }
        }
        if changes.senders > 1 {
            sleep(pause).await;
            continue;
        }
        if (number + 1).is_multiple_of(SERIES) {
            for gateway in &steady {
                let newest = seen.lock().expect("the lock is not poisoned").newest;
                let took = applied(*gateway, newest).await;
                let mut seen = seen.lock().expect("the lock is not poisoned");
                seen.slowest_applied = seen.slowest_applied.max(took);
            }
            sleep(PAUSE).await;
            let mut seen = seen.lock().expect("the lock is not poisoned");
            let most_kb = seen.control_kb.iter().copied().max().unwrap_or_default();
            seen.series_kb.push(most_kb);
        }
        sleep(GAP.saturating_sub(sent.elapsed())).await;
    }
}

fn look(region: &Region, seen: &Mutex<Seen>) {
    let mut seen = seen.lock().expect("the lock is not poisoned");
    let (mut replica, mut gateway) = (0, 0);
    for program in &region.programs {
        let (resident_kb, peak_kb) = program.memory_kb().unwrap_or_default();
        let peaks_kb = if program.is_control {
            replica += 1;
            seen.control_kb[replica - 1] = resident_kb;
            &mut seen.control_peak_kb[replica - 1]
        } else {
            gateway += 1;
            &mut seen.gateway_peak_kb[gateway - 1]
        };
        *peaks_kb = peak_kb.max(*peaks_kb);
        if program.is_control {
            seen.stored_max_bytes = seen.stored_max_bytes.max(program.stored_bytes());
        }
    }
}

/// The troubles so far.
#[derive(Default)]
struct Troubled {
    turns: usize,
    is_on: bool,
}

impl Troubled {
    fn advance(&mut self, region: &mut Region, trouble: Trouble, elapsed: Duration) {
        // It begins 2 s after the changes.
        let Some(elapsed) = elapsed.checked_sub(Duration::from_secs(2)) else { return };
        let (period_ms, on_ms) = match trouble {
            Trouble::None | Trouble::SlowGateway | Trouble::SilentReaders(_) => return,
            Trouble::GatewayStandsStill | Trouble::ReplicaStandsStill => (12_000, 8_000),
            Trouble::ReplicaKilled | Trouble::AllReplicasKilled => (8_000, 1_000),
        };
        let is_on = elapsed.as_millis() % period_ms < on_ms;
        if is_on == self.is_on {
            return;
        }
        self.is_on = is_on;
        let number = self.turns;
        if !is_on {
            self.turns += 1;
        }
        let mut control: Vec<&mut Program> =
            region.programs.iter_mut().filter(|program| program.is_control).collect();
        let replica = number % control.len();
        match trouble {
            Trouble::ReplicaStandsStill => stop_or_go(control[replica], is_on),
            Trouble::ReplicaKilled => kill_or_start(control[replica], is_on),
            Trouble::AllReplicasKilled => {
                for program in control {
                    kill_or_start(program, is_on);
                }
            }
            Trouble::GatewayStandsStill => {
                let gateway = region.programs.iter_mut().find(|program| !program.is_control);
                stop_or_go(gateway.expect("there is a gateway"), is_on);
            }
            Trouble::None | Trouble::SlowGateway | Trouble::SilentReaders(_) => {}
        }
    }

    /// Lets everything run again.
    fn end(region: &mut Region) {
        for program in &mut region.programs {
            program.signal(Signal::SIGCONT);
            if program.memory_kb().is_none() {
                program.start().expect("the program starts");
            }
        }
    }
}

fn stop_or_go(program: &mut Program, is_on: bool) {
    program.signal(if is_on { Signal::SIGSTOP } else { Signal::SIGCONT });
}

fn kill_or_start(program: &mut Program, is_on: bool) {
    if is_on {
        program.kill();
    } else {
        program.start().expect("the program starts");
    }
}
