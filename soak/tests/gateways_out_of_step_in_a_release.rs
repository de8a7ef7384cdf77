//! Streams that are resumed at a gateway which missed the start of endpoints with newer software.

mod common;

use std::time::Duration;

use common::System;
use nix::sys::signal::Signal;
use winchvane_soak::region::{REPLICAS, Size};
use winchvane_soak::resuming;
use yare::parameterized;

const GATEWAYS: u8 = 3;
const ENGINES: u8 = 6;
/// Engines that are restarted with newer software.
const RENEWED: usize = 3;
const CLIENTS: u32 = 64;
/// How often clients select the last gateway for each time that they select another one.
const LAST_WEIGHT: usize = 10;
const ROUNDS: u32 = 2;
/// Streams take 0.8 s.
const EVENT_PAUSE: Duration = Duration::from_millis(100);
const AFTER_ROUND: Duration = Duration::from_secs(4);

/// What happens while gateways stand still.
#[derive(Debug, Clone, Copy)]
struct Case {
    block: u8,
    /// The number of gateways that stand still; the last gateway never does.
    out_of_step: usize,
    for_time: Duration,
    restarts_control: bool,
    /// True if the engines with newer software have ended again when the gateways go on.
    ends_renewed: bool,
}

impl Case {
    fn new(block: u8, for_ms: u64) -> Self {
        let for_time = Duration::from_millis(for_ms);
        Self { block, out_of_step: 1, for_time, restarts_control: false, ends_renewed: false }
    }
}

/// The number of resumed streams that gateways which stood still have answered.
fn resumed_there(name: &str, case: Case) -> usize {
    let mut resumed = 0;
    for gateway in 1..=case.out_of_step {
        let log = common::log_of(name, &format!("gateway-{gateway}"));
        let answered = log.lines().filter(|line| line.contains("event=answered"));
        resumed += answered.filter(|line| !line.contains("last_event=0 ")).count();
    }
    resumed
}

async fn play(case: Case) {
    let size = Size { gateways: GATEWAYS, endpoints: 1, engines: ENGINES, block: case.block };
    let mut system = System::start_with(size, 12).await;
    system.stop_clients();
    for engine in &system.region.engines {
        engine.set_event_pause(EVENT_PAUSE);
    }
    let mut gateways = system.region.gateway_addresses();
    // Few clients wait at a gateway that stands still, and most have a stream at the last one.
    let last = gateways.pop().expect("there are gateways");
    gateways.truncate(case.out_of_step);
    gateways.extend(vec![last; LAST_WEIGHT]);
    let clients = resuming::start(&gateways, CLIENTS, case.block.into(), &system.record);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let first = usize::from(REPLICAS);
    let last = first + usize::from(GATEWAYS) - 1;
    for _ in 0..ROUNDS {
        let region = &mut system.region;
        for program in &mut region.programs[first..first + case.out_of_step] {
            program.signal(Signal::SIGSTOP);
        }
        for engine in &region.engines[..RENEWED] {
            engine.set_newer_software(true);
            engine.crash();
            engine.start().await.expect("the address is free");
        }
        if case.restarts_control {
            for program in &mut region.programs[..first] {
                program.kill();
                program.start().expect("the program starts");
            }
        }
        tokio::time::sleep(case.for_time).await;
        if case.ends_renewed {
            region.engines[..RENEWED].iter().for_each(|engine| engine.crash());
        }
        for program in &mut region.programs[first..first + case.out_of_step] {
            program.signal(Signal::SIGCONT);
        }
        region.programs[last].kill();
        tokio::time::sleep(AFTER_ROUND).await;
        region.programs[last].start().expect("the program starts");
        for engine in &region.engines[..RENEWED] {
            engine.set_newer_software(false);
            engine.crash();
            engine.start().await.expect("the address is free");
        }
        tokio::time::sleep(AFTER_ROUND).await;
    }
    for client in clients {
        client.abort();
    }
    let breaches = system.record.seen_breaches();
    let name = format!("out-of-step-{}", case.block);
    system.stop(&name);
    let resumed = resumed_there(&name, case);
    println!("{case:?}: {resumed} streams resumed there, {breaches:?}");
    assert!(resumed > 0, "no stream was resumed at a gateway out of step");
    assert!(breaches.is_empty(), "{breaches:?}");
}

#[parameterized(
    short = { Case::new(143, 2_500) },
    long = { Case::new(144, 7_000) },
    two_gateways = { Case { out_of_step: 2, ..Case::new(145, 4_000) } },
    control_restarted = { Case { restarts_control: true, ..Case::new(146, 3_000) } },
    newer_endpoints_ended = { Case { ends_renewed: true, ..Case::new(147, 4_000) } },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn streams_resumed_at_a_gateway_out_of_step_keep_their_software_version(case: Case) {
    play(case).await;
}
