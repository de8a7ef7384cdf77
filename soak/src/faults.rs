//! Which faults come, and when.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::proxy::Mode;
use crate::record::Record;
use crate::region::Region;

/// Replicas that may be lost at once with all promises kept.
const LOST_MAX: usize = 2;

/// Something that ends a fault.
struct Repair {
    at: Instant,
    what: End,
}

enum End {
    Start(usize),
    Resume(usize),
    Pass(usize),
    Mend(usize),
}

/// Injects faults until `until`; several may last at the same time.
pub async fn inject(region: &mut Region, rng: &mut SmallRng, until: Instant, record: &Record) {
    let mut repairs: Vec<Repair> = Vec::new();
    while Instant::now() < until {
        let pause_ms = rng.random_range(150..1_500);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        region.look_for_exits();
        repair(region, &mut repairs);
        let lasts = Duration::from_millis(rng.random_range(200..3_500));
        if let Some(what) = strike(region, rng, &repairs, record) {
            repairs.push(Repair { at: Instant::now() + lasts, what });
        }
    }
}

fn repair(region: &mut Region, repairs: &mut Vec<Repair>) {
    let now = Instant::now();
    for due in repairs.iter().filter(|repair| repair.at <= now) {
        match due.what {
            End::Start(program) => {
                if let Err(error) = region.programs[program].start() {
                    println!("  {} cannot be started: {error}", region.programs[program].name);
                }
            }
            End::Resume(program) => region.programs[program].signal(Signal::SIGCONT),
            End::Pass(proxy) => region.proxies[proxy].1.set(Mode::Pass),
            End::Mend(endpoint) => region.endpoints[endpoint].set_breaks(false),
        }
    }
    repairs.retain(|repair| repair.at > now);
}

/// How many replicas are down, paused or cut off.
fn lost(region: &Region, repairs: &[Repair]) -> usize {
    let mut lost = 0;
    for repair in repairs {
        let is_control = match repair.what {
            End::Start(program) | End::Resume(program) => region.programs[program].is_control,
            End::Pass(proxy) => region.proxies[proxy].0.starts_with("control"),
            End::Mend(_) => false,
        };
        lost += usize::from(is_control);
    }
    lost
}

fn is_hurt(repairs: &[Repair], program: usize) -> bool {
    repairs.iter().any(
        |repair| matches!(repair.what, End::Start(hurt) | End::Resume(hurt) if hurt == program),
    )
}

fn strike(
    region: &mut Region,
    rng: &mut SmallRng,
    repairs: &[Repair],
    record: &Record,
) -> Option<End> {
    let program = rng.random_range(0..region.programs.len());
    let may_lose = !region.programs[program].is_control || lost(region, repairs) < LOST_MAX;
    let is_free = may_lose && !is_hurt(repairs, program);
    let name = region.programs[program].name.clone();
    match rng.random_range(0..12) {
        0 | 1 if is_free => {
            record.fault(format!("{name} is killed"));
            region.programs[program].kill();
            Some(End::Start(program))
        }
        2 if is_free && region.programs[program].is_control => {
            record.fault(format!("{name} is killed and its disk is lost"));
            region.programs[program].kill();
            region.programs[program].wipe();
            Some(End::Start(program))
        }
        3 if is_free => {
            record.fault(format!("{name} is killed in the middle of a write"));
            region.programs[program].kill();
            region.programs[program].tear();
            Some(End::Start(program))
        }
        4 | 5 if is_free => {
            record.fault(format!("{name} is paused"));
            region.programs[program].signal(Signal::SIGSTOP);
            Some(End::Resume(program))
        }
        6 if is_free => {
            record.fault(format!("{name} is told to stop"));
            region.programs[program].signal(Signal::SIGTERM);
            None
        }
        7 => {
            record.fault(format!("{name} reloads"));
            region.programs[program].signal(Signal::SIGHUP);
            None
        }
        8 => {
            let endpoint = rng.random_range(0..region.endpoints.len());
            record.fault(format!("endpoint {endpoint} starts anew"));
            region.endpoints[endpoint].restart();
            None
        }
        9 => {
            let endpoint = rng.random_range(0..region.endpoints.len());
            record.fault(format!("endpoint {endpoint} breaks answers off"));
            region.endpoints[endpoint].set_breaks(true);
            Some(End::Mend(endpoint))
        }
        10 => {
            let proxy = rng.random_range(0..region.proxies.len());
            record.fault(format!("connections to {} are reset", region.proxies[proxy].0));
            region.proxies[proxy].1.reset();
            None
        }
        _ => hinder(region, rng, repairs, record),
    }
}

/// Hinders what passes a proxy.
fn hinder(region: &Region, rng: &mut impl Rng, repairs: &[Repair], record: &Record) -> Option<End> {
    let proxy = rng.random_range(0..region.proxies.len());
    let name = &region.proxies[proxy].0;
    let is_hurt = repairs.iter().any(|repair| matches!(repair.what, End::Pass(it) if it == proxy));
    if is_hurt || (name.starts_with("control") && lost(region, repairs) >= LOST_MAX) {
        return None;
    }
    let modes = [Mode::Delay, Mode::CutForward, Mode::CutBack, Mode::Silent];
    let mode = *modes.choose(rng)?;
    record.fault(format!("connections to {name}: {mode:?}"));
    region.proxies[proxy].1.set(mode);
    Some(End::Pass(proxy))
}
