//! A test setup with constant client load in which half of the endpoints are overloaded.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;
use winchvane_soak::client::Try;
use winchvane_soak::overload::{Overload, Signal};
use winchvane_soak::random_gateway_clients::RandomGatewayClients;
use winchvane_soak::record::{End, Kind};
use winchvane_soak::region::Size;

use super::System;

const ENDPOINTS: u8 = 10;
const OVERLOADED: usize = 5;
const CLIENTS: u32 = 32;

type Tries = Arc<Mutex<Vec<Try>>>;

/// Endpoints and clients of one kind.
pub struct Scenario {
    pub system: System,
    kind: Kind,
    tries: Tries,
    clients: Vec<JoinHandle<()>>,
}

impl Scenario {
    /// Starts endpoints and clients; the first gateway is selected `first_weight` times as often as
    /// each of the others.
    pub async fn start(kind: Kind, block: u8, first_weight: usize) -> Self {
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
            // Requests for an adapter whose homes are all overloaded are refused until it is loaded
            // elsewhere.
            retries: kind == Kind::Adapter,
            seed: block.into(),
        };
        let clients = random_clients.start(&system.record, &note);
        tokio::time::sleep(Duration::from_secs(3)).await;
        Self { system, kind, tries, clients }
    }

    /// The overloaded half of the endpoints.
    pub fn overloaded(&self) -> Vec<&Overload> {
        self.all_endpoints().into_iter().take(OVERLOADED).collect()
    }

    fn all_endpoints(&self) -> Vec<&Overload> {
        let region = &self.system.region;
        if self.kind == Kind::Adapter {
            return region.engines.iter().map(|engine| &engine.overload).collect();
        }
        region.endpoints.iter().map(|endpoint| &endpoint.overload).collect()
    }

    /// Stops the clients and the system. Panics if gateways still restrict endpoints that are no
    /// longer overloaded: since `from`, each of these must have received at least half as many
    /// requests as the mean of the other endpoints.
    pub fn stop_and_check_recovery(self, name: &str, from: Instant) {
        let mut arrivals = Vec::new();
        for overload in self.all_endpoints() {
            arrivals.push(overload.arrivals_since(from).len());
        }
        self.stop(name);
        println!("{name}: {arrivals:?} requests per endpoint, the first {OVERLOADED} recovered");
        let (recovered, others) = arrivals.split_at(OVERLOADED);
        let others_sum: usize = others.iter().sum();
        assert!(others_sum > 0, "no requests were sent");
        for count in recovered {
            assert!(
                count * 2 * others.len() >= others_sum,
                "a recovered endpoint received {count} requests, less than half of the mean of {others:?}"
            );
        }
    }

    /// Sets the signal of the overloaded endpoints; returns the current time.
    pub fn set_signal(&self, signal: Option<Signal>) -> Instant {
        for overload in self.overloaded() {
            overload.set_signal(signal);
        }
        Instant::now()
    }

    /// The number of tries sent since `from`, and how many of them were not served.
    pub fn tries_since(&self, from: Instant) -> (usize, usize) {
        let tries = self.tries.lock().expect("the lock is not poisoned");
        let later: Vec<_> = tries.iter().filter(|tried| tried.sent_at >= from).collect();
        let failed = later.iter().filter(|tried| tried.end != End::Served).count();
        (later.len(), failed)
    }

    /// Stops the clients and the system. Panics if a breach was recorded, if an entry of `arrivals`
    /// (one per overloaded endpoint) exceeds `arrivals_max`, or if a request sent since `from` failed.
    pub fn stop_and_check(
        self,
        name: &str,
        from: Instant,
        arrivals: &[usize],
        arrivals_max: usize,
    ) {
        let (sent, failed) = self.tries_since(from);
        println!(
            "{name}: {arrivals:?} requests per overloaded endpoint, at most {arrivals_max} allowed; {failed} of {sent} failed"
        );
        let breaches = self.stop(name);
        assert!(breaches.is_empty(), "{breaches:?}");
        assert!(
            arrivals.iter().all(|count| *count <= arrivals_max),
            "{arrivals:?} requests per overloaded endpoint, at most {arrivals_max} allowed"
        );
        assert_eq!(failed, 0, "of {sent} requests failed while other endpoints were idle");
    }

    /// Stops the clients and the system; returns the recorded breaches.
    pub fn stop(self, name: &str) -> Vec<String> {
        for client in &self.clients {
            client.abort();
        }
        let breaches = self.system.record.seen_breaches();
        self.system.stop(name);
        breaches
    }
}
