//! Starts the project's programs with the commands and the settings templates of the deploy file.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::control::{call_control, describe};
use crate::http::call;
use crate::proxy::Proxy;
use crate::record::Record;

const PEER_PORT: u16 = 7_380;
const GATEWAY_PEER_PORT: u16 = 7_381;
const API_PORT: u16 = 8_144;
const CLIENT_PORT: u16 = 8_149;
const READY_PORT: u16 = 8_141;
const ADMIN_PORT: u16 = 9_464;
const ENDPOINT_PORT: u16 = 8_108;
/// Two of five replicas may be lost.
pub const REPLICAS: u8 = 5;
const SEEDS: u8 = 3;
const ENDPOINTS_MAX: u8 = 8;
const START_TIMEOUT: Duration = Duration::from_secs(25);

/// All started processes, also for an end in haste.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills all started processes and waits for their end.
pub fn end_all() {
    let mut children = CHILDREN.lock().expect("no thread panicked while it held the lock");
    for child in children.iter_mut() {
        // Fails if the process has ended already.
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
}

/// Five replicas of control and some gateways, each as a process.
pub struct System {
    block: u8,
    gateways: u8,
    folder: PathBuf,
    /// The proxies between the replicas and all that call them, if there are any.
    pub proxies: Vec<Proxy>,
}

impl System {
    /// Starts all processes. With `is_proxied`, each replica advertises the address of a proxy to
    /// its peers, as one behind address translation does.
    pub fn start(
        repository: &Path,
        record: &Arc<Record>,
        gateways: u8,
        is_proxied: bool,
    ) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let block = free_block(gateways)?;
        let mut system = Self { block, gateways, folder, proxies: Vec::new() };
        for number in 1..=REPLICAS {
            if is_proxied {
                let (public, own) =
                    (system.at(2, number, PEER_PORT), system.at(1, number, PEER_PORT));
                let proxy = Proxy::start(public, own).map_err(|error| error.to_string())?;
                system.proxies.push(proxy);
            }
        }
        for number in 1..=REPLICAS {
            system.start_control(repository, number)?;
        }
        for number in 1..=gateways {
            system.start_gateway(repository, number)?;
        }
        record.line(&format!("started {REPLICAS} replicas and {gateways} gateways"));
        Ok(system)
    }

    fn at(&self, group: u8, number: u8, port: u16) -> SocketAddr {
        address(self.block, group, number, port)
    }

    fn public_group(&self) -> u8 {
        if self.proxies.is_empty() { 1 } else { 2 }
    }

    fn seeds(&self) -> String {
        let mut seeds = Vec::new();
        for number in 1..=SEEDS {
            seeds.push(format!("\"{}\"", self.at(self.public_group(), number, API_PORT)));
        }
        format!("[{}]", seeds.join(","))
    }

    fn start_control(&self, repository: &Path, number: u8) -> Result<(), String> {
        let name = format!("core-{number}");
        let advertised = if self.proxies.is_empty() {
            String::new()
        } else {
            format!("advertise_peers: {}\n", self.at(2, number, PEER_PORT))
        };
        let settings = format!(
            "name: {name}\nzone: zone-a\nregion: region-1\nlisten_peers: {}\n{advertised}\
             listen_admin: {}\nlisten_api: {}\ndata_folder: {}\n\
             seeds:\n  found: true\n  failures: 2\n  peer_port: {PEER_PORT}\n  addresses: {}\n\
             placement:\n  order_lease_ms: 3000\n  version_within_ms: 5000\n\
             store:\n  loads_per_s: 1\n  concurrent_loads: 1\n",
            self.at(1, number, PEER_PORT),
            self.at(1, number, ADMIN_PORT),
            self.at(self.public_group(), number, API_PORT),
            self.folder.join(&name).display(),
            self.seeds(),
        );
        self.start_program(repository, "winchvane-platform-control", &name, &settings)
    }

    fn start_gateway(&self, repository: &Path, number: u8) -> Result<(), String> {
        let name = format!("front-{number}");
        let settings = format!(
            "name: {name}\nzone: zone-a\nlisten_clients: {}\nlisten_ready: {}\nlisten_admin: {}\n\
             listen_peers: {}\nseeds:\n  peer_port: {PEER_PORT}\n  addresses: {}\n\
             retry:\n  ratio: 0.2\n  slack: 52\n  window_ms: 10000\n\
             changes_within_ms: 2000\nversion_within_ms: 5000\nstop_grace_ms: 8000\n",
            self.at(3, number, CLIENT_PORT),
            self.at(3, number, READY_PORT),
            self.at(3, number, ADMIN_PORT),
            self.at(3, number, GATEWAY_PEER_PORT),
            self.seeds(),
        );
        self.start_program(repository, "winchvane-platform-gateway", &name, &settings)
    }

    fn start_program(
        &self,
        repository: &Path,
        program: &str,
        name: &str,
        settings: &str,
    ) -> Result<(), String> {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = File::create(self.folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let child = Command::new(repository.join("target/release").join(program))
            .arg("--settings")
            .arg(&path)
            .current_dir(repository)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::inherit())
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        CHILDREN.lock().expect("no thread panicked while it held the lock").push(child);
        Ok(())
    }

    /// Sends a configuration to one replica after the other until it is acknowledged.
    pub fn configure(&self, record: &Record, configuration: &str) -> Result<(), String> {
        let until = Instant::now() + START_TIMEOUT;
        let mut turn = 0;
        while Instant::now() < until {
            let address = self.control(turn);
            let result = call_control(address, "PUT", "/winchvane/config", configuration);
            if result.as_ref().is_ok_and(|response| response.status() == 200) {
                record.line("the configuration was acknowledged");
                return Ok(());
            }
            turn += 1;
            thread::sleep(Duration::from_millis(200));
        }
        Err("no configuration was acknowledged at the start".to_owned())
    }

    /// Waits until all gateways are ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + START_TIMEOUT;
        for number in 1..=self.gateways {
            let address = self.at(3, number, READY_PORT);
            loop {
                let timeout = Duration::from_secs(1);
                let result = call(address, "GET", "/winchvane/ready", "Host: x\r\n", "", timeout);
                if result.as_ref().is_ok_and(|response| response.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("gateway {number} is not ready: {}", describe(&result)));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// The address for operators and endpoints of some replica.
    pub fn control(&self, turn: usize) -> SocketAddr {
        self.at(self.public_group(), (turn % usize::from(REPLICAS)) as u8 + 1, API_PORT)
    }

    /// The addresses for operators and endpoints of all replicas.
    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..usize::from(REPLICAS)).map(|turn| self.control(turn)).collect()
    }

    /// The address for clients of some gateway.
    pub fn clients(&self, turn: usize) -> SocketAddr {
        self.at(3, (turn % usize::from(self.gateways)) as u8 + 1, CLIENT_PORT)
    }

    /// The address of an endpoint.
    pub fn endpoint(&self, number: u8) -> SocketAddr {
        self.at(4, number, ENDPOINT_PORT)
    }
}

impl Drop for System {
    fn drop(&mut self) {
        end_all();
        if std::env::var_os("REVIEW_KEEP").is_some() {
            println!("logs: {}", self.folder.display());
            return;
        }
        // A folder that stays behind is only untidy.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn address(block: u8, group: u8, number: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, block, group, number)), port)
}

/// The second number of loopback addresses at which all needed ports are free.
fn free_block(gateways: u8) -> Result<u8, String> {
    let first = 20 + (std::process::id() % 200) as u8;
    for block in first..=250 {
        let mut needed = Vec::new();
        for number in 1..=REPLICAS {
            for group in 1..=2 {
                for port in [PEER_PORT, ADMIN_PORT, API_PORT] {
                    needed.push(address(block, group, number, port));
                }
            }
        }
        for number in 1..=gateways {
            for port in [CLIENT_PORT, READY_PORT, ADMIN_PORT, GATEWAY_PEER_PORT] {
                needed.push(address(block, 3, number, port));
            }
        }
        for number in 1..=ENDPOINTS_MAX {
            needed.push(address(block, 4, number, ENDPOINT_PORT));
        }
        if needed.iter().all(|address| TcpListener::bind(address).is_ok()) {
            return Ok(block);
        }
    }
    Err("no free loopback addresses".to_owned())
}
