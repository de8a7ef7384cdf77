//! What the tests with real processes share.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod large;
pub mod scenario;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use winchvane_soak::client;
use winchvane_soak::record::Record;
use winchvane_soak::region::{Region, Size, Slots};

/// A region with clients that ask for adapters.
pub struct System {
    /// Its processes and endpoints.
    pub region: Region,
    /// What was seen.
    pub record: Arc<Record>,
    clients: Vec<tokio::task::JoinHandle<()>>,
}

/// Where the programs are that the workspace was built into: above the test's own folder.
fn programs() -> PathBuf {
    let own = std::env::current_exe().expect("the test has a path");
    own.ancestors().nth(2).expect("the test lies below the programs").to_path_buf()
}

/// The log of a process that was kept below `name`.
pub fn log_of(name: &str, process: &str) -> String {
    let path = programs().join("soak").join(name).join(format!("{process}.log"));
    std::fs::read_to_string(path).expect("the log was kept")
}

impl System {
    /// Starts a region in its own `block` of addresses and waits until adapters are served.
    pub async fn start(block: u8, clients: u32) -> Self {
        let size = Size { gateways: 2, endpoints: 1, engines: 3, block };
        let system = Self::start_with(size, clients).await;
        let engines = &system.region.engines;
        system
            .wait_for("adapters are everywhere", || {
                engines.iter().all(|it| it.holds().contains('@'))
            })
            .await;
        system
    }

    /// Starts a region of this `size`.
    pub async fn start_with(size: Size, clients: u32) -> Self {
        Self::start_with_slots(size, Slots::default(), clients).await
    }

    /// Starts a region of this `size`, with endpoints and engines of these `slots`.
    pub async fn start_with_slots(size: Size, slots: Slots, clients: u32) -> Self {
        let record = Arc::new(Record::new());
        let region = Region::start_with_slots(&programs(), size, slots, record.clone())
            .await
            .expect("the region starts");
        let gateways = region.gateway_addresses();
        let clients = client::start_for_adapters(gateways, clients, record.clone());
        let system = Self { region, record, clients };
        system.wait_for("adapters are served", || system.record.begun_at_engines() > 100).await;
        system
    }

    /// Stops the clients that ask for adapters.
    pub fn stop_clients(&mut self) {
        for client in self.clients.drain(..) {
            client.abort();
        }
    }

    /// Waits until something is so.
    pub async fn wait_for(&self, what: &str, is_so: impl Fn() -> bool) {
        let until = Instant::now() + Duration::from_secs(15);
        while !is_so() {
            assert!(Instant::now() < until, "not in time: {what}; {}", self.record.summary());
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }

    /// Keeps the logs so far beside the programs, below `name`.
    pub fn keep_logs(&self, name: &str) {
        self.region.keep_logs(&programs().join("soak").join(name), &self.record);
    }

    /// Ends everything; the logs are kept beside the programs, below `name`, and given back as one text.
    pub fn stop(mut self, name: &str) -> String {
        let folder = programs().join("soak").join(name);
        self.region.keep_logs(&folder, &self.record);
        for client in &self.clients {
            client.abort();
        }
        self.region.stop();
        let mut logs = String::new();
        for file in std::fs::read_dir(folder).expect("the logs were kept") {
            let path = file.expect("an entry").path();
            logs.push_str(&std::fs::read_to_string(path).expect("a log is text"));
        }
        logs
    }
}
