//! Endpoints that name the requests a second which they take from all gateways together.

mod common;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::System;
use tokio::task::JoinHandle;
use winchvane_soak::client::{DrawingClients, Try};
use winchvane_soak::need::{Need, Statement, most_within};
use winchvane_soak::record::{End, Kind};
use winchvane_soak::region::Size;

const LIMIT_PER_S: f64 = 2.0;
/// How long after the limit was first named it has to hold: `contact_ms`, and half a second for the answers that
/// gateways have yet to pass on.
const HOLDS_AFTER: Duration = Duration::from_millis(3_500);
const WINDOW: Duration = Duration::from_secs(4);
/// One and a half times what the limit allows in the window, and five requests.
const ARRIVALS_MAX: usize = 17;
const IN_NEED_FOR: Duration = Duration::from_secs(13);
const ENDPOINTS: u8 = 10;
const IN_NEED: usize = 5;
const CLIENTS: u32 = 32;

type Tries = Arc<Mutex<Vec<Try>>>;

/// Endpoints and clients of one kind.
struct Scene {
    system: System,
    kind: Kind,
    tries: Tries,
    clients: Vec<JoinHandle<()>>,
}

impl Scene {
    /// Starts endpoints, and clients that draw the first gateway as often as `first_weight` others.
    async fn start(kind: Kind, block: u8, first_weight: usize) -> Self {
        let (endpoints, engines) =
            if kind == Kind::Adapter { (1, ENDPOINTS) } else { (ENDPOINTS, 1) };
        let size = Size { gateways: 3, endpoints, engines, block };
        let system = System::start_with(size, 4).await;
        let tries = Tries::default();
        let noted = tries.clone();
        let note: Arc<dyn Fn(Try) + Send + Sync> = Arc::new(move |tried| {
            noted.lock().expect("nobody panics with it").push(tried);
        });
        let mut gateways = system.region.gateway_addresses();
        gateways.extend(vec![gateways[0]; first_weight - 1]);
        let drawing = DrawingClients {
            kind,
            gateways,
            clients: CLIENTS,
            pause: Duration::from_millis(20),
            seed: block.into(),
        };
        let clients = drawing.start(&system.record, &note);
        tokio::time::sleep(Duration::from_secs(3)).await;
        Self { system, kind, tries, clients }
    }

    /// The endpoints that name a limit.
    fn in_need(&self) -> Vec<&Need> {
        let region = &self.system.region;
        if self.kind == Kind::Adapter {
            return region.engines.iter().take(IN_NEED).map(|engine| &engine.need).collect();
        }
        region.endpoints.iter().take(IN_NEED).map(|endpoint| &endpoint.need).collect()
    }

    fn state(&self, statement: Option<Statement>) -> Instant {
        for need in self.in_need() {
            need.state(statement);
        }
        Instant::now()
    }

    /// How many tries were sent since `from`, and how many of them were not served.
    fn tries_since(&self, from: Instant) -> (usize, usize) {
        let tries = self.tries.lock().expect("nobody panics with it");
        let later: Vec<_> = tries.iter().filter(|tried| tried.sent_at >= from).collect();
        let failed = later.iter().filter(|tried| tried.end != End::Served).count();
        (later.len(), failed)
    }

    /// The most requests that each endpoint in need got in a window since `from`.
    fn most_since(&self, from: Instant) -> Vec<usize> {
        let mut most = Vec::new();
        for need in self.in_need() {
            most.push(most_within(&need.arrivals_since(from), WINDOW));
        }
        most
    }

    /// Ends everything and checks what endpoints and clients saw since the limit was named.
    fn check(self, name: &str, named_at: Instant) {
        let most = self.most_since(named_at + HOLDS_AFTER);
        let (sent, failed) = self.tries_since(named_at);
        println!("{name}: {most:?} requests in the worst window; {failed} of {sent} failed");
        for client in &self.clients {
            client.abort();
        }
        let breaches = self.system.record.seen_breaches();
        self.system.stop(name);
        assert!(breaches.is_empty(), "{breaches:?}");
        assert!(most.iter().all(|most| *most <= ARRIVALS_MAX), "{most:?} requests in a window");
        assert_eq!(failed, 0, "of {sent} requests, beside idle endpoints");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_endpoints_get_no_more_than_their_limit() {
    let scene = Scene::start(Kind::Stream, 89, 1).await;
    let named_at = scene.state(Some(Statement::Limit(LIMIT_PER_S)));
    tokio::time::sleep(IN_NEED_FOR).await;
    scene.check("limit-plain", named_at);
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_get_no_more_than_their_limit() {
    let scene = Scene::start(Kind::Adapter, 90, 1).await;
    let named_at = scene.state(Some(Statement::Limit(LIMIT_PER_S)));
    tokio::time::sleep(IN_NEED_FOR).await;
    scene.check("limit-engines", named_at);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_while_one_gateway_has_nearly_all_requests() {
    let scene = Scene::start(Kind::Stream, 91, 18).await;
    let named_at = scene.state(Some(Statement::Limit(LIMIT_PER_S)));
    tokio::time::sleep(IN_NEED_FOR).await;
    scene.check("limit-one-gateway", named_at);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_after_all_of_control_was_lost() {
    let mut scene = Scene::start(Kind::Stream, 92, 1).await;
    let named_at = scene.state(Some(Statement::Limit(LIMIT_PER_S)));
    tokio::time::sleep(Duration::from_secs(2)).await;
    for program in &mut scene.system.region.programs {
        if program.is_control {
            program.kill();
        }
    }
    tokio::time::sleep(IN_NEED_FOR).await;
    scene.check("limit-without-control", named_at);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_names_no_limit_any_more_is_used_like_the_others() {
    let scene = Scene::start(Kind::Stream, 93, 1).await;
    scene.state(Some(Statement::Limit(LIMIT_PER_S)));
    tokio::time::sleep(Duration::from_secs(6)).await;
    let over_at = scene.state(None);
    tokio::time::sleep(Duration::from_secs(8)).await;
    let mut later = Vec::new();
    for need in scene.in_need() {
        later.push(need.arrivals_since(over_at + Duration::from_secs(4)).len());
    }
    println!("{later:?} requests in the last 4 s");
    for client in &scene.clients {
        client.abort();
    }
    scene.system.stop("limit-over");
    assert!(later.iter().all(|later| *later > ARRIVALS_MAX), "{later:?} requests in 4 s");
}
