//! Endpoints that advertise a request rate limit for all gateways together.

mod common;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::System;
use tokio::task::JoinHandle;
use winchvane_soak::client::{RandomGatewayClients, Try};
use winchvane_soak::overload::{Overload, Signal, max_arrivals_within};
use winchvane_soak::record::{End, Kind};
use winchvane_soak::region::Size;

const LIMIT_PER_S: f64 = 2.0;
/// The time after the first advertisement from which the limit is enforced: `contact_ms` plus half a
/// second for answers in flight.
const ENFORCED_AFTER: Duration = Duration::from_millis(3_500);
const WINDOW: Duration = Duration::from_secs(4);
/// One and a half times the limit over the window, plus five requests.
const ARRIVALS_MAX: usize = 17;
const OVERLOAD_DURATION: Duration = Duration::from_secs(13);
const ENDPOINTS: u8 = 10;
const OVERLOADED: usize = 5;
const CLIENTS: u32 = 32;

type Tries = Arc<Mutex<Vec<Try>>>;

/// Endpoints and clients of one kind.
struct Scenario {
    system: System,
    kind: Kind,
    tries: Tries,
    clients: Vec<JoinHandle<()>>,
}

impl Scenario {
    /// Starts endpoints and clients; the first gateway is selected `first_weight` times as often as
    /// each of the others.
    async fn start(kind: Kind, block: u8, first_weight: usize) -> Self {
        let (endpoints, engines) =
            if kind == Kind::Adapter { (1, ENDPOINTS) } else { (ENDPOINTS, 1) };
        let size = Size { gateways: 3, endpoints, engines, block };
        let system = System::start_with(size, 4).await;
        let tries = Tries::default();
        let noted = tries.clone();
        let note: Arc<dyn Fn(Try) + Send + Sync> = Arc::new(move |tried| {
            noted.lock().expect("the lock is not poisoned").push(tried);
        });
        let mut gateways = system.region.gateway_addresses();
        gateways.extend(vec![gateways[0]; first_weight - 1]);
        let random_clients = RandomGatewayClients {
            kind,
            gateways,
            clients: CLIENTS,
            pause: Duration::from_millis(20),
            seed: block.into(),
        };
        let clients = random_clients.start(&system.record, &note);
        tokio::time::sleep(Duration::from_secs(3)).await;
        Self { system, kind, tries, clients }
    }

    /// The endpoints that advertise a limit.
    fn overloaded(&self) -> Vec<&Overload> {
        let region = &self.system.region;
        if self.kind == Kind::Adapter {
            return region.engines.iter().take(OVERLOADED).map(|engine| &engine.overload).collect();
        }
        region.endpoints.iter().take(OVERLOADED).map(|endpoint| &endpoint.overload).collect()
    }

    fn set_signal(&self, signal: Option<Signal>) -> Instant {
        for overload in self.overloaded() {
            overload.set_signal(signal);
        }
        Instant::now()
    }

    /// The number of tries sent since `from`, and how many of them were not served.
    fn tries_since(&self, from: Instant) -> (usize, usize) {
        let tries = self.tries.lock().expect("the lock is not poisoned");
        let later: Vec<_> = tries.iter().filter(|tried| tried.sent_at >= from).collect();
        let failed = later.iter().filter(|tried| tried.end != End::Served).count();
        (later.len(), failed)
    }

    /// The maximum number of requests per window at each overloaded endpoint since `from`.
    fn max_per_window_since(&self, from: Instant) -> Vec<usize> {
        let mut max_arrivals = Vec::new();
        for overload in self.overloaded() {
            max_arrivals.push(max_arrivals_within(&overload.arrivals_since(from), WINDOW));
        }
        max_arrivals
    }

    /// Stops the system and checks the arrivals and failures since the limit was advertised.
    fn check(self, name: &str, advertised_at: Instant) {
        let max_arrivals = self.max_per_window_since(advertised_at + ENFORCED_AFTER);
        let (sent, failed) = self.tries_since(advertised_at);
        println!(
            "{name}: {max_arrivals:?} requests in the worst window; {failed} of {sent} failed"
        );
        for client in &self.clients {
            client.abort();
        }
        let breaches = self.system.record.seen_breaches();
        self.system.stop(name);
        assert!(breaches.is_empty(), "{breaches:?}");
        assert!(
            max_arrivals.iter().all(|arrivals| *arrivals <= ARRIVALS_MAX),
            "{max_arrivals:?} requests in a window"
        );
        assert_eq!(failed, 0, "of {sent} requests failed while other endpoints were idle");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_endpoints_get_no_more_than_their_limit() {
    let scenario = Scenario::start(Kind::Stream, 89, 1).await;
    let advertised_at = scenario.set_signal(Some(Signal::Limit(LIMIT_PER_S)));
    tokio::time::sleep(OVERLOAD_DURATION).await;
    scenario.check("limit-plain", advertised_at);
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_get_no_more_than_their_limit() {
    let scenario = Scenario::start(Kind::Adapter, 90, 1).await;
    let advertised_at = scenario.set_signal(Some(Signal::Limit(LIMIT_PER_S)));
    tokio::time::sleep(OVERLOAD_DURATION).await;
    scenario.check("limit-engines", advertised_at);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_while_one_gateway_has_nearly_all_requests() {
    let scenario = Scenario::start(Kind::Stream, 91, 18).await;
    let advertised_at = scenario.set_signal(Some(Signal::Limit(LIMIT_PER_S)));
    tokio::time::sleep(OVERLOAD_DURATION).await;
    scenario.check("limit-one-gateway", advertised_at);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_after_all_of_control_was_lost() {
    let mut scenario = Scenario::start(Kind::Stream, 92, 1).await;
    let advertised_at = scenario.set_signal(Some(Signal::Limit(LIMIT_PER_S)));
    tokio::time::sleep(Duration::from_secs(2)).await;
    for program in &mut scenario.system.region.programs {
        if program.is_control {
            program.kill();
        }
    }
    tokio::time::sleep(OVERLOAD_DURATION).await;
    scenario.check("limit-without-control", advertised_at);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_names_no_limit_any_more_is_used_like_the_others() {
    let scenario = Scenario::start(Kind::Stream, 93, 1).await;
    scenario.set_signal(Some(Signal::Limit(LIMIT_PER_S)));
    tokio::time::sleep(Duration::from_secs(6)).await;
    let ended_at = scenario.set_signal(None);
    tokio::time::sleep(Duration::from_secs(8)).await;
    let mut arrivals = Vec::new();
    for overload in scenario.overloaded() {
        arrivals.push(overload.arrivals_since(ended_at + Duration::from_secs(4)).len());
    }
    println!("{arrivals:?} requests in the last 4 s");
    for client in &scenario.clients {
        client.abort();
    }
    scenario.system.stop("limit-over");
    assert!(
        arrivals.iter().all(|arrivals| *arrivals > ARRIVALS_MAX),
        "{arrivals:?} requests in 4 s"
    );
}
