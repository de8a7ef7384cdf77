//! Runs the real programs as separate processes on this machine, injects faults from outside them,
//! and checks the promises from what clients and endpoints see.
//!
//! A seed decides which faults come when; what the machine makes of them differs from run to run.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Parser;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use winchvane_soak::client::CrashingFeature;
use winchvane_soak::faults::Mix;
use winchvane_soak::record::Record;
use winchvane_soak::region::{Region, Size};
use winchvane_soak::{abusive, client, faults, keyed, memory, operator, resuming};

/// How long after the last fault everything must be served again; the users allow 12 s.
const RECOVERY: Duration = Duration::from_secs(12);
/// How long the tasks of a run may take to end.
const END_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the region is watched after that.
const CALM: Duration = Duration::from_secs(4);

/// Runs the system under random faults and checks its promises.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The seed of the first run; each further run takes the next one.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many runs.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// How long faults come in each run.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Gateways.
    #[arg(long, default_value_t = 3)]
    gateways: u8,
    /// Endpoints of the plain service.
    #[arg(long, default_value_t = 4)]
    endpoints: u8,
    /// Engines.
    #[arg(long, default_value_t = 3)]
    engines: u8,
    /// Clients that ask for adapters, one request after the other.
    #[arg(long, default_value_t = 8)]
    adapter_clients: u32,
    /// Which faults come.
    #[arg(long, value_enum, default_value_t = Mix::Drawn)]
    mix: Mix,
    /// Clients that send one request after the other.
    #[arg(long, default_value_t = 12)]
    clients: u32,
    /// Clients that keep no rule.
    #[arg(long, default_value_t = 0)]
    abusive_clients: u32,
    /// Clients that send a request which ends each engine that begins it, as long as faults come.
    #[arg(long, default_value_t = 0)]
    crashing_clients: u32,
    /// Clients whose requests share a part of their prompts that crashes each engine which begins
    /// one, as long as faults come.
    #[arg(long, default_value_t = 0)]
    crashing_part_clients: u32,
    /// Clients that resume broken streams at any gateway.
    #[arg(long, default_value_t = 0)]
    resuming_clients: u32,
    /// Clients with keys, of each of three workspaces.
    #[arg(long, default_value_t = 1)]
    keyed_clients: u32,
    /// The second number of the loopback addresses; runs in different blocks go on side by side.
    #[arg(long, default_value_t = 77)]
    block: u8,
    /// Where the programs are; beside this one unless named.
    #[arg(long)]
    programs: Option<PathBuf>,
    /// Where the logs of runs with a breach are kept.
    #[arg(long, default_value = "target/soak")]
    keep: PathBuf,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let own = std::env::current_exe().unwrap_or_default();
    let beside = own.parent().map(PathBuf::from).unwrap_or_default();
    let programs = arguments.programs.clone().unwrap_or(beside);
    let mut breached = 0;
    for seed in arguments.seed..arguments.seed + arguments.runs {
        let started = Instant::now();
        // A runtime for each run: proxies and endpoints of the run before end with theirs.
        let breaches = match tokio::runtime::Runtime::new() {
            Ok(runtime) => {
                let breaches = runtime.block_on(run(&arguments, &programs, seed));
                runtime.shutdown_timeout(END_TIMEOUT);
                breaches
            }
            Err(error) => vec![format!("no runtime: {error}")],
        };
        let verdict = if breaches.is_empty() { "clean" } else { "BREACH" };
        println!("seed {seed}: {verdict} after {:.1} s", started.elapsed().as_secs_f64());
        for breach in &breaches {
            println!("  {breach}");
        }
        breached += u64::from(!breaches.is_empty());
    }
    println!("{} passed, {breached} failed", arguments.runs - breached);
    if breached == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn run(arguments: &Arguments, programs: &std::path::Path, seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let record = Arc::new(Record::new());
    let size = Size {
        gateways: arguments.gateways,
        endpoints: arguments.endpoints,
        engines: arguments.engines,
        block: arguments.block,
    };
    let mut region = match Region::start(programs, size, record.clone()).await {
        Ok(region) => region,
        Err(error) => return vec![format!("the region did not start: {error}")],
    };
    if arguments.mix == Mix::Streams
        && let Err(error) = region.prepare_streams().await
    {
        return vec![format!("an engine did not start: {error}")];
    }
    let gateways = region.gateway_addresses();
    let mut clients = client::start(gateways.clone(), arguments.clients, record.clone());
    let for_adapters = arguments.adapter_clients;
    clients.extend(client::start_for_adapters(gateways.clone(), for_adapters, record.clone()));
    let servers =
        abusive::Servers { gateways: gateways.clone(), control: region.control_addresses() };
    clients.extend(abusive::start(&servers, arguments.abusive_clients, seed, &record));
    clients.extend(resuming::start(&gateways, arguments.resuming_clients, seed, &record));
    clients.extend(keyed::start(&gateways, arguments.keyed_clients, &record));
    let with_content = arguments.crashing_clients;
    let with_part = arguments.crashing_part_clients;
    let mut crashing = Vec::new();
    for (clients, feature) in
        [(with_content, CrashingFeature::Content), (with_part, CrashingFeature::PromptPart)]
    {
        crashing.extend(client::start_crashing(&gateways, clients, feature, &record));
    }
    let operator = operator::start_operator(region.control_addresses(), record.clone());
    let until = Instant::now() + Duration::from_secs_f64(arguments.seconds);
    faults::inject(&mut region, &mut rng, arguments.mix, until, &record).await;
    for client in crashing {
        client.abort();
    }
    region.heal().await;
    record.calm_down_all();
    // A process that was told to stop last may only now end.
    for _ in 0..RECOVERY.as_secs() {
        tokio::time::sleep(Duration::from_secs(1)).await;
        region.look_for_exits();
    }
    record.start_calm();
    tokio::time::sleep(CALM).await;
    operator.abort();
    for client in clients {
        client.abort();
    }
    operator::read_back(&region.control_addresses(), &record).await;
    let mut breaches = record.breaches(&region.exits());
    breaches.extend(region.empty_engines());
    breaches.extend(region.overload_breaches());
    breaches.extend(memory::breaches(&region.programs));
    // Other mixes stop control, so that it may learn of a part late.
    if arguments.mix == Mix::Stalls {
        breaches.extend(record.crashing_part_breaches());
    }
    println!("seed {seed}: {}", record.summary());
    let uncertain = record.uncertain_ends();
    if arguments.mix == Mix::StandStills {
        for end in &uncertain {
            println!("  uncertain: {end}");
        }
    }
    if !breaches.is_empty() || (arguments.mix == Mix::StandStills && !uncertain.is_empty()) {
        region.keep_logs(&arguments.keep.join(seed.to_string()), &record);
    }
    region.stop();
    breaches
}
