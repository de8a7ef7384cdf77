//! Measures the policy against plain baselines; see `docs/POLICY.md`.

use std::time::Instant;

use clap::{Parser, ValueEnum};
use serde_json::{Value, json};
use winchvane::message::AdapterKey;
use winchvane::policy::route::Router;
use winchvane::settings::PolicySettings;
use winchvane_standin::clairvoyant::clairvoyant;
use winchvane_standin::measure::{Deployment, Fault, Options, Policy, Report, capacity_rate, run};

/// Runs the deciding code before fake engines under a virtual clock.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The user whose sizes and weights are taken.
    #[arg(long, value_enum, default_value_t = User::Jinfeng)]
    deployment: User,
    /// Seeds; medians over them are printed.
    #[arg(long, default_value = "1,2,3,4,5", value_delimiter = ',')]
    seeds: Vec<u64>,
    /// Load, as a share of the rate at which the store could just keep up.
    #[arg(long, default_value_t = 0.8)]
    load: f64,
    /// What decides.
    #[arg(
        long,
        value_enum,
        default_value = "winchvane,least-loaded,rendezvous,clairvoyant",
        value_delimiter = ','
    )]
    policy: Vec<PolicyName>,
    /// What happens in the middle of the run.
    #[arg(long, value_enum, default_value_t = FaultName::None)]
    fault: FaultName,
    /// The exponent of the adapters' popularity.
    #[arg(long, default_value_t = 1.0)]
    zipf: f64,
    /// Length of each run in virtual seconds.
    #[arg(long, default_value_t = 900)]
    seconds: u64,
    /// Switch one rule off.
    #[arg(long, value_enum)]
    without: Option<Rule>,
    /// Load-stall weight in place of the user's.
    #[arg(long)]
    load_stall_weight: Option<f64>,
    /// Batch-efficiency weight in place of the user's.
    #[arg(long)]
    batch_efficiency_weight: Option<f64>,
    /// Half-life of popularity in place of the default.
    #[arg(long)]
    half_life_ms: Option<u64>,
    /// Endpoints weighed for an adapter that is loaded nowhere, in place of the default.
    #[arg(long)]
    homes: Option<usize>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Measure the time of one routing decision instead.
    #[arg(long)]
    decision_cost: bool,
}

#[derive(Clone, Copy, ValueEnum)]
enum User {
    Jinfeng,
    Himal,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum PolicyName {
    Winchvane,
    LeastLoaded,
    Rendezvous,
    Clairvoyant,
}

#[derive(Clone, Copy, ValueEnum)]
enum FaultName {
    None,
    Shift,
    Restart,
    FailedLoads,
    LostZone,
    SlowStore,
    Surge,
}

#[derive(Clone, Copy, ValueEnum)]
enum Rule {
    /// Popularity with decay decides what is evicted; without it the last use does.
    Popularity,
    /// A second place for a busy adapter.
    SecondPlace,
    /// The store's budget, shared among all.
    Budget,
    /// Loads by what waits for them; without it the oldest first.
    Urgency,
    /// Several endpoints weighed for an adapter that is loaded nowhere.
    Homes,
    /// The weight of empty places.
    BatchWeight,
    /// The bound on the wait for loads.
    LoadWaitMax,
}

fn deployment(user: User) -> Deployment {
    match user {
        User::Jinfeng => Deployment {
            engines: 18,
            adapters: 3_000,
            places: 16,
            slots: 8,
            tokens: 100.0,
            loads_per_s: 9.0,
            concurrent_loads: 4,
            gateways: 6,
            load_stall_weight: 2.0,
            batch_efficiency_weight: 0.2,
        },
        User::Himal => Deployment {
            engines: 12,
            adapters: 3_000,
            places: 16,
            slots: 8,
            tokens: 200.0,
            loads_per_s: 4.0,
            concurrent_loads: 3,
            gateways: 6,
            load_stall_weight: 0.5,
            batch_efficiency_weight: 2.0,
        },
    }
}

fn main() {
    let arguments = Arguments::parse();
    if arguments.decision_cost {
        decision_cost();
        return;
    }
    let mut rows = Vec::new();
    for policy in &arguments.policy {
        rows.push(measure(&arguments, *policy));
    }
    if arguments.json {
        println!("{:#}", Value::from(rows));
        return;
    }
    print_table(&rows);
}

fn options(arguments: &Arguments, policy: PolicyName, seed: u64) -> Options {
    let mut deployment = deployment(arguments.deployment);
    deployment.load_stall_weight =
        arguments.load_stall_weight.unwrap_or(deployment.load_stall_weight);
    deployment.batch_efficiency_weight =
        arguments.batch_efficiency_weight.unwrap_or(deployment.batch_efficiency_weight);
    let mut settings = PolicySettings {
        load_stall_weight: deployment.load_stall_weight,
        batch_efficiency_weight: deployment.batch_efficiency_weight,
        ..PolicySettings::default()
    };
    settings.popularity_half_life_ms =
        arguments.half_life_ms.unwrap_or(settings.popularity_half_life_ms);
    settings.homes = arguments.homes.unwrap_or(settings.homes);
    let mut budget = true;
    match arguments.without {
        None => {}
        Some(Rule::Popularity) => settings.popularity_half_life_ms = 200,
        Some(Rule::SecondPlace) => settings.second_place = false,
        Some(Rule::Budget) => budget = false,
        Some(Rule::Urgency) => settings.loads_by_urgency = false,
        Some(Rule::Homes) => settings.homes = 1,
        Some(Rule::LoadWaitMax) => settings.load_wait_max_ms = 3_600_000,
        Some(Rule::BatchWeight) => settings.batch_efficiency_weight = 0.0,
    }
    Options {
        deployment,
        policy: match policy {
            PolicyName::LeastLoaded => Policy::LeastLoaded,
            PolicyName::Rendezvous => Policy::Rendezvous,
            PolicyName::Winchvane | PolicyName::Clairvoyant => Policy::Winchvane,
        },
        settings,
        budget,
        fault: match arguments.fault {
            FaultName::None => Fault::None,
            FaultName::Shift => Fault::Shift,
            FaultName::Restart => Fault::Restart,
            FaultName::FailedLoads => Fault::FailedLoads,
            FaultName::LostZone => Fault::LostZone,
            FaultName::SlowStore => Fault::SlowStore,
            FaultName::Surge => Fault::Surge,
        },
        seed,
        zipf: arguments.zipf,
        rate: capacity_rate(&deployment, arguments.zipf) * arguments.load,
        seconds: arguments.seconds,
    }
}

/// Runs every seed, each on a thread of its own, and takes medians.
fn measure(arguments: &Arguments, policy: PolicyName) -> Value {
    let mut threads = Vec::new();
    for seed in &arguments.seeds {
        let options = options(arguments, policy, *seed);
        threads.push(std::thread::spawn(move || {
            if policy == PolicyName::Clairvoyant {
                let stalls_ms = clairvoyant(&options);
                let asked = stalls_ms.len() as u64;
                return (
                    Report { stalls_ms, asked, answered: asked, ..Report::default() },
                    options,
                );
            }
            (run(&options), options)
        }));
    }
    let mut figures: Vec<Vec<(&str, f64)>> = Vec::new();
    for thread in threads {
        let (report, options) = thread.join().expect("the run ends");
        figures.push(figures_of(&report, &options));
    }
    let mut row = json!({"policy": policy.to_possible_value().expect("it has a name").get_name()});
    for (position, (name, _)) in figures[0].iter().enumerate() {
        let values: Vec<f64> = figures.iter().map(|figures| figures[position].1).collect();
        row[name] = json!(quantile(values, 0.5));
    }
    row
}

fn figures_of(report: &Report, options: &Options) -> Vec<(&'static str, f64)> {
    let stalls: Vec<f64> = report.stalls_ms.iter().map(|(_, stall)| *stall).collect();
    let stalled = stalls.iter().filter(|stall| **stall > 0.0).count() as f64;
    let counted_s = options.seconds as f64 * 2.0 / 3.0;
    let refused: u64 = report.refused.values().sum();
    let full_ms = counted_s * 1.5 * 1_000.0 * options.deployment.concurrent_loads as f64;
    let mut figures = vec![
        ("rate_per_s", options.rate),
        ("stall_mean_ms", mean(&stalls)),
        ("stall_p50_ms", quantile(stalls.clone(), 0.5)),
        ("stall_p99_ms", quantile(stalls.clone(), 0.99)),
        ("stalled_share", stalled / stalls.len().max(1) as f64),
        ("first_token_p95_ms", quantile(report.first_token_ms.clone(), 0.95)),
        ("first_token_p99_ms", quantile(report.first_token_ms.clone(), 0.99)),
        ("batch_efficiency", report.step_shares / report.steps.max(1) as f64),
        ("loads_per_s", report.loads as f64 / options.seconds as f64),
        ("evictions_per_s", report.evictions as f64 / options.seconds as f64),
        ("store_use", report.store_ms / full_ms),
        ("refused_share", refused as f64 / report.asked.max(1) as f64),
        ("fairness", fairness(report)),
        ("recovery_s", recovery_s(report, options)),
        ("goodput_in_fault", goodput(report, options)),
    ];
    for cause in [
        "queue_full",
        "workspace_share",
        "deadline_unmeetable",
        "deadline_passed",
        "load_failed",
        "load_backlog",
    ] {
        let count = report.refused.get(cause).copied().unwrap_or(0);
        figures.push((cause, count as f64 / report.asked.max(1) as f64));
    }
    figures
}

/// Jain's index over the share of its requests that each workspace got answered.
fn fairness(report: &Report) -> f64 {
    let mut shares = Vec::new();
    for (asked, answered) in report.workspaces.values() {
        if *asked >= 10 {
            shares.push(*answered as f64 / *asked as f64);
        }
    }
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    sum * sum / (shares.len().max(1) as f64 * squares.max(1e-9))
}

/// Seconds from the fault (or the end of one that ends) until the mean stall over ten seconds is
/// within half as much again of what it was before.
fn recovery_s(report: &Report, options: &Options) -> f64 {
    let half_us = options.seconds * 500_000;
    let window_us = 10_000_000;
    let window = |from_us: u64| {
        let to_us = from_us + window_us;
        let found = report.stalls_ms.iter().filter(|(at, _)| (from_us..to_us).contains(at));
        mean(&found.map(|(_, stall)| *stall).collect::<Vec<f64>>())
    };
    let mut before = Vec::new();
    let mut at_us = options.seconds * 1_000_000 / 3;
    while at_us + window_us <= half_us {
        before.push(window(at_us));
        at_us += window_us;
    }
    let bound = (mean(&before) * 1.5).max(quantile(before, 0.95));
    let ends = matches!(options.fault, Fault::SlowStore | Fault::Surge | Fault::FailedLoads);
    let from_us = half_us + if ends { 60_000_000 } else { 0 };
    let mut at_us = from_us;
    while at_us + window_us < options.seconds * 1_000_000 {
        if window(at_us) <= bound {
            return (at_us - from_us) as f64 / 1e6;
        }
        at_us += 1_000_000;
    }
    f64::INFINITY
}

/// Answers a second during the minute of the fault, against the half minute before it.
fn goodput(report: &Report, options: &Options) -> f64 {
    let half = options.seconds as usize / 2;
    let rate = |range: std::ops::Range<usize>| {
        let length = range.len() as f64;
        report.goodput.get(range).map_or(0.0, |part| part.iter().sum::<u64>() as f64 / length)
    };
    rate(half..half + 60) / rate(half.saturating_sub(60)..half).max(1e-9)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn quantile(mut values: Vec<f64>, quantile: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * quantile).round() as usize]
}

fn print_table(rows: &[Value]) {
    let Some(Value::Object(first)) = rows.first() else { return };
    let mut names: Vec<&String> = first.keys().filter(|name| *name != "policy").collect();
    names.sort();
    print!("{:<22}", "figure");
    for row in rows {
        print!("{:>14}", row["policy"].as_str().unwrap_or(""));
    }
    println!();
    for name in names {
        print!("{name:<22}");
        for row in rows {
            print!("{:>14.3}", row[name].as_f64().unwrap_or(f64::INFINITY));
        }
        println!();
    }
}

/// The time of one decision with all adapters of the letter's size known, by number of endpoints.
fn decision_cost() {
    println!("endpoints  adapters  ns_per_decision");
    for endpoints in [18_usize, 200, 1_714] {
        let mut router = Router::new(PolicySettings::default());
        for number in 0..endpoints {
            let name = format!("engine-{number:05}").into();
            router.put(&name, &"pool".into(), Some("gateway".into()), 1, false, 16);
            let adapters = (0..8).map(|slot| key((number * 8 + slot) % 63_000)).collect();
            router.observe(winchvane::message::Summary {
                endpoint: name,
                epoch: 1,
                sequence: 1,
                healthy: true,
                adapters: Some(adapters),
                running: (number % 16) as u32,
                queued: 0,
                places: 16,
                slots: 8,
                coldest_rate: 0.1,
            });
        }
        let keys: Vec<AdapterKey> = (0..63_000).map(key).collect();
        let started = Instant::now();
        let rounds = 200_000;
        let mut found = 0;
        for round in 0..rounds {
            let adapter = &keys[(round * 7_919) % keys.len()];
            found += usize::from(router.choose(0, "pool", Some(adapter), &[]).is_some());
        }
        assert_eq!(found, rounds);
        let each_ns = started.elapsed().as_nanos() as f64 / rounds as f64;
        println!("{endpoints:<10} 63000     {each_ns:.0}");
    }
}

fn key(number: usize) -> AdapterKey {
    AdapterKey::new(format!("a{number:05}"), 1)
}
