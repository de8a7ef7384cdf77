//! Which faults come, and when.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::cut::Cut;
use crate::engine::LateEvents;
use crate::overload::{self, Overload};
use crate::proxy::{Mode, Silence};
use crate::record::Record;
use crate::region::Region;

/// Replicas that may be lost at once with all promises kept.
const LOST_MAX: usize = 2;

/// The longest pause of a stream, within what its client allows.
const PAUSE_MAX_MS: u64 = 2_500;

/// How long a sound endpoint, gateway or replica may be silent before it goes on.
pub const SILENT_FOR_A_SECOND: Duration = Duration::from_millis(1_200);

/// How often connections fall silent in a row.
const SILENCES_MAX: u32 = 4;

/// Something that ends a fault.
struct Repair {
    at: Instant,
    what: End,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Start(usize),
    Resume(usize),
    Pass(usize),
    Mend(usize),
    StartEngine(usize),
    ResumeEngine(usize),
    OrdersInTime(usize),
    WholeStreams(usize),
    EventsInTime(usize),
    StartControl,
    GoOn(usize),
    Wake(usize),
    EndpointSignal(usize),
    EngineSignal(usize),
    Cut(u8),
    Return(usize),
}

/// Which faults come in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Mix {
    /// Each seed draws one of the others.
    Drawn,
    /// Every kind.
    All,
    /// Every kind, and more often those that came last: all replicas killed at once, endpoints
    /// that fall silent in the middle of streams.
    Wide,
    /// Those of endpoints only, so that bounds in time hold throughout.
    Endpoints,
    /// The faults of `All`, and more often endpoints that advertise rate limits, ask for backoff or
    /// announce their shutdown.
    Overload,
    /// The faults of `All`, and more often gateways that are cut off from all endpoints.
    Cut,
    /// Gateways that stall for seconds while endpoints leave.
    Stalls,
    /// The faults of `All`, while engines of two software versions serve side by side, and more
    /// often engines that cut streams inside events.
    Streams,
    /// The faults of `All`, and more often open connections that fall silent for good, several times
    /// in a row, while other faults last.
    Silence,
    /// The faults of `All`, and more often engines whose streams pause for as long as clients allow.
    Pauses,
    /// Endpoints, engines, gateways and replicas that are silent for a second and go on.
    StandStills,
}

impl Mix {
    fn draw(self, rng: &mut SmallRng) -> Self {
        match self {
            Self::Drawn if rng.random() => Self::All,
            Self::Drawn => Self::Endpoints,
            mix => mix,
        }
    }
}

impl End {
    /// True when it ends a fault of our own processes, or of what connects them.
    fn is_ours(&self) -> bool {
        matches!(
            self,
            Self::Start(_)
                | Self::Resume(_)
                | Self::Pass(_)
                | Self::Mend(_)
                | Self::GoOn(_)
                | Self::StartControl
                | Self::Cut(_)
        )
    }
}

/// Injects faults until `until`; several may last at the same time.
pub async fn inject(
    region: &mut Region,
    rng: &mut SmallRng,
    mix: Mix,
    until: Instant,
    record: &Record,
) {
    let mix = mix.draw(rng);
    let mut repairs: Vec<Repair> = Vec::new();
    while Instant::now() < until {
        let pause_ms = rng.random_range(150..1_500);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        region.look_for_exits();
        repair(region, &mut repairs, record).await;
        if mix == Mix::Overload && rng.random_range(0..3) > 0 {
            let lasts = Duration::from_millis(rng.random_range(1_000..10_000));
            if let Some(what) = inject_overload_signal(region, rng, record) {
                repairs.push(Repair { at: Instant::now() + lasts, what });
            }
            continue;
        }
        if mix == Mix::Cut && rng.random_range(0..3) > 0 {
            let lasts = Duration::from_millis(rng.random_range(500..12_000));
            record.disturb();
            if let Some(what) = cut_gateway(region, rng, &repairs, record) {
                repairs.push(Repair { at: Instant::now() + lasts, what });
            } else {
                record.calm_down();
            }
            continue;
        }
        if mix == Mix::Stalls {
            // A gateway that stalls as an endpoint leaves learns of it when it resumes.
            let stalled = stall_gateway(region, rng, &repairs, record);
            let left = leave(region, rng, &repairs, record);
            for what in [stalled, left].into_iter().flatten() {
                let lasts = Duration::from_millis(rng.random_range(500..4_500));
                repairs.push(Repair { at: Instant::now() + lasts, what });
            }
            continue;
        }
        if mix == Mix::Streams && rng.random_range(0..3) > 0 {
            let engine = rng.random_range(0..region.engines.len());
            let percent = rng.random_range(20..100);
            record.fault(format!("{} cuts {percent} % of streams", region.engines[engine].id()));
            region.engines[engine].cut_streams(percent);
            let at = Instant::now() + Duration::from_millis(rng.random_range(1_000..6_000));
            repairs.push(Repair { at, what: End::WholeStreams(engine) });
            continue;
        }
        if mix == Mix::Silence && rng.random_range(0..3) > 0 {
            record.disturb();
            silence(region, rng, record).await;
            record.calm_down();
            continue;
        }
        if mix == Mix::Pauses && rng.random_range(0..3) > 0 {
            let engine = rng.random_range(0..region.engines.len());
            let percent = rng.random_range(2..20);
            let by = Duration::from_millis(rng.random_range(700..PAUSE_MAX_MS));
            record.fault(format!(
                "{} makes {percent} % of events {by:?} late",
                region.engines[engine].id()
            ));
            region.engines[engine].set_late_events(LateEvents { percent, by });
            let at = Instant::now() + Duration::from_millis(rng.random_range(1_000..6_000));
            repairs.push(Repair { at, what: End::EventsInTime(engine) });
            continue;
        }
        if mix == Mix::StandStills {
            if let Some(what) = silent_for_a_second(region, rng, &repairs, record) {
                repairs.push(Repair { at: Instant::now() + SILENT_FOR_A_SECOND, what });
                // Repaired in time: a longer silence is a fault.
                tokio::time::sleep(SILENT_FOR_A_SECOND).await;
                repair(region, &mut repairs, record).await;
            }
            continue;
        }
        let is_engine = mix == Mix::Endpoints || rng.random_range(0..4) == 0;
        if is_engine {
            let lasts = Duration::from_millis(rng.random_range(200..8_000));
            if let Some(what) = strike_endpoint(region, rng, &repairs, record) {
                repairs.push(Repair { at: Instant::now() + lasts, what });
            }
            continue;
        }
        let lasts = Duration::from_millis(rng.random_range(200..3_500));
        record.disturb();
        let is_new = mix == Mix::Wide && rng.random_range(0..3) == 0;
        let what = if is_new {
            strike_widely(region, rng, &repairs, record)
        } else {
            strike(region, rng, &repairs, record)
        };
        if let Some(what) = what {
            repairs.push(Repair { at: Instant::now() + lasts, what });
        } else {
            record.calm_down();
        }
    }
}

async fn repair(region: &mut Region, repairs: &mut Vec<Repair>, record: &Record) {
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
            End::StartEngine(engine) => {
                if let Err(error) = region.engines[engine].start().await {
                    println!("  {} cannot be started: {error}", region.engines[engine].id());
                }
            }
            End::ResumeEngine(engine) => region.engines[engine].pause(false),
            End::OrdersInTime(engine) => region.engines[engine].delay_orders(false),
            End::WholeStreams(engine) => region.engines[engine].cut_streams(0),
            End::EventsInTime(engine) => {
                region.engines[engine].set_late_events(LateEvents::default());
            }
            End::GoOn(endpoint) => region.endpoints[endpoint].set_stalls(false),
            End::Wake(endpoint) => region.endpoints[endpoint].set_silent(false),
            End::Cut(gateway) => region.cut(gateway, None),
            End::Return(endpoint) => region.endpoints[endpoint].return_if_left(),
            End::EndpointSignal(endpoint) => region.end_endpoint_signal(endpoint),
            End::EngineSignal(engine) => {
                if let Err(error) = region.end_engine_signal(engine).await {
                    println!("  {} cannot be started: {error}", region.engines[engine].id());
                }
            }
            End::StartControl => {
                for program in region.programs.iter_mut().filter(|program| program.is_control) {
                    if let Err(error) = program.start() {
                        println!("  {} cannot be started: {error}", program.name);
                    }
                }
            }
        }
        if due.what.is_ours() {
            record.calm_down();
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
            End::StartControl => return region.programs.len(),
            End::Mend(_)
            | End::GoOn(_)
            | End::Wake(_)
            | End::Cut(_)
            | End::Return(_)
            | End::EndpointSignal(_)
            | End::EngineSignal(_)
            | End::StartEngine(_)
            | End::ResumeEngine(_)
            | End::OrdersInTime(_)
            | End::WholeStreams(_)
            | End::EventsInTime(_) => false,
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

/// Kinds that came later; drawn by themselves, so that the seeds of others stay what they were.
fn strike_widely(
    region: &mut Region,
    rng: &mut SmallRng,
    repairs: &[Repair],
    record: &Record,
) -> Option<End> {
    if rng.random() && lost(region, repairs) == 0 {
        record.fault("all of control is killed at once".to_owned());
        for program in region.programs.iter_mut().filter(|program| program.is_control) {
            program.kill();
        }
        return Some(End::StartControl);
    }
    let endpoint = rng.random_range(0..region.endpoints.len());
    if repairs.iter().any(|repair| matches!(repair.what, End::GoOn(it) if it == endpoint)) {
        return None;
    }
    record.fault(format!("endpoint {endpoint} falls silent in the middle of streams"));
    region.endpoints[endpoint].set_stalls(true);
    Some(End::GoOn(endpoint))
}

fn strike_endpoint(
    region: &Region,
    rng: &mut SmallRng,
    repairs: &[Repair],
    record: &Record,
) -> Option<End> {
    let engine = rng.random_range(0..region.engines.len());
    let is_hurt = repairs.iter().any(|repair| {
        matches!(repair.what, End::StartEngine(hurt) | End::ResumeEngine(hurt)
            | End::OrdersInTime(hurt) if hurt == engine)
    });
    let name = region.engines[engine].id();
    match rng.random_range(0..5) {
        _ if is_hurt => None,
        0 | 1 => {
            record.fault(format!("{name} stands still"));
            region.engines[engine].pause(true);
            Some(End::ResumeEngine(engine))
        }
        2 => {
            record.fault(format!("{name} crashes, and starts again under its id"));
            region.engines[engine].crash();
            Some(End::StartEngine(engine))
        }
        3 => {
            record.fault(format!("{name} carries orders out late"));
            region.engines[engine].delay_orders(true);
            Some(End::OrdersInTime(engine))
        }
        _ => {
            let endpoint = rng.random_range(0..region.endpoints.len());
            record.fault(format!("endpoint {endpoint} starts again under its id"));
            region.endpoints[endpoint].restart_under_id();
            None
        }
    }
}

/// Pauses a gateway, unless the drawn program is a replica or is hurt already.
fn stall_gateway(
    region: &mut Region,
    rng: &mut SmallRng,
    repairs: &[Repair],
    record: &Record,
) -> Option<End> {
    let program = rng.random_range(0..region.programs.len());
    let stalled = &mut region.programs[program];
    if stalled.is_control || is_hurt(repairs, program) {
        return None;
    }
    record.disturb();
    record.fault(format!("{} is paused", stalled.name));
    stalled.signal(Signal::SIGSTOP);
    Some(End::Resume(program))
}

/// Lets an endpoint, an engine or one of our processes fall silent, unless the drawn one is hurt already.
fn silent_for_a_second(
    region: &mut Region,
    rng: &mut SmallRng,
    repairs: &[Repair],
    record: &Record,
) -> Option<End> {
    let endpoint = rng.random_range(0..region.endpoints.len());
    let engine = rng.random_range(0..region.engines.len());
    let program = rng.random_range(0..region.programs.len());
    let what = match rng.random_range(0..3) {
        0 => End::Wake(endpoint),
        1 => End::ResumeEngine(engine),
        _ => End::Resume(program),
    };
    if repairs.iter().any(|repair| repair.what == what) {
        return None;
    }
    match what {
        End::Wake(_) => {
            record.fault(format!("endpoint {endpoint} falls silent for a second"));
            region.endpoints[endpoint].set_silent(true);
        }
        End::ResumeEngine(_) => {
            record.fault(format!("{} falls silent for a second", region.engines[engine].id()));
            region.engines[engine].pause(true);
        }
        _ => {
            let may_lose = !region.programs[program].is_control || lost(region, repairs) < LOST_MAX;
            if !may_lose {
                return None;
            }
            record.disturb();
            record.fault(format!("{} falls silent for a second", region.programs[program].name));
            region.programs[program].signal(Signal::SIGSTOP);
        }
    }
    Some(what)
}

/// Lets an endpoint announce that it leaves; half of the endpoints at most.
fn leave(region: &Region, rng: &mut SmallRng, repairs: &[Repair], record: &Record) -> Option<End> {
    let endpoint = rng.random_range(0..region.endpoints.len());
    let mut leaving = 0;
    for repair in repairs {
        let End::Return(other) = repair.what else { continue };
        if other == endpoint {
            return None;
        }
        leaving += 1;
    }
    if (leaving + 1) * 2 > region.endpoints.len() {
        return None;
    }
    record.fault(format!("endpoint {endpoint} leaves"));
    region.endpoints[endpoint].leave();
    Some(End::Return(endpoint))
}

/// Cuts a gateway off from all endpoints, unless it is already.
fn cut_gateway(
    region: &Region,
    rng: &mut SmallRng,
    repairs: &[Repair],
    record: &Record,
) -> Option<End> {
    let gateways = region.gateway_addresses().len();
    let gateway = 1 + rng.random_range(0..gateways) as u8;
    if repairs.iter().any(|repair| matches!(repair.what, End::Cut(it) if it == gateway)) {
        return None;
    }
    let cut = *[Cut::Silent, Cut::Reset, Cut::NewReset].choose(rng)?;
    record.fault(format!("gateway {gateway} is cut off from endpoints: {cut:?}"));
    region.cut(gateway, Some(cut));
    Some(End::Cut(gateway))
}

/// Lets open connections fall silent a few times in a row: those of one proxy, or all of them.
async fn silence(region: &Region, rng: &mut SmallRng, record: &Record) {
    let silence =
        *[Silence::Forward, Silence::Back, Silence::Both].choose(rng).unwrap_or(&Silence::Both);
    let only = rng.random::<bool>().then(|| rng.random_range(0..region.proxies.len()));
    for _ in 0..rng.random_range(1..=SILENCES_MAX) {
        for (number, (name, proxy)) in region.proxies.iter().enumerate() {
            if only.is_some_and(|only| only != number) {
                continue;
            }
            record.fault(format!("open connections to {name} fall silent: {silence:?}"));
            proxy.silence_open(silence);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..1_500))).await;
    }
}

/// Makes an endpoint or engine signal overload, unless it already does or more than half of its
/// kind would then do so.
fn inject_overload_signal(region: &Region, rng: &mut SmallRng, record: &Record) -> Option<End> {
    let signal = match rng.random_range(0..3) {
        0 => overload::Signal::Limit(rng.random_range(1.0..12.0)),
        1 => overload::Signal::Backoff(Duration::from_millis(rng.random_range(700..3_000))),
        _ => overload::Signal::Leaving,
    };
    let is_engine: bool = rng.random();
    let overloads: Vec<&Overload> = if is_engine {
        region.engines.iter().map(|engine| &engine.overload).collect()
    } else {
        region.endpoints.iter().map(|endpoint| &endpoint.overload).collect()
    };
    let number = rng.random_range(0..overloads.len());
    let signaling_count = overloads.iter().filter(|overload| overload.signal().is_some()).count();
    if overloads[number].signal().is_some() || (signaling_count + 1) * 2 > overloads.len() {
        return None;
    }
    let kind = if is_engine { "engine" } else { "endpoint" };
    record.fault(format!("{kind} {number} signals {signal:?}"));
    overloads[number].set_signal(Some(signal));
    Some(if is_engine { End::EngineSignal(number) } else { End::EndpointSignal(number) })
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
