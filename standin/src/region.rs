//! A region of real processes before stand-ins that live in the calling process, for process tests
//! and measurements. Only those start it; no part of the system starts another process.

use std::fmt::Write;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::engine::{Engine, EngineOptions};
use crate::plain::Plain;
use crate::platform::Platform;
use crate::ports::free_ports;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tempfile::TempDir;
use winchvane::control::listing::{PlatformInstance, PlatformState};
use winchvane::document::parse;
use winchvane::http::{HttpClient, request};
use winchvane::yaml::Faults;

const WAIT: Duration = Duration::from_secs(30);

/// What a region starts with.
pub const DECLARATIONS: &str = "\
kind: Template
name: quote
version: 1
pool: quotes
parameters:
  adapter: {type: text}
  adapter_version: {type: integer, default: 1}
  deadline_ms: {type: integer, default: 20000}
service:
  adapter: $adapter
  adapter_version: $adapter_version
  priority: interactive
  deadline_ms: $deadline_ms
---
kind: Template
name: portal
version: 1
pool: portal
service:
  deadline_ms: 15000
  not_repeatable: [\"POST /orders\"]
---
{kind: Service, name: taichung, version: 1, workspace: w1, template: quote, parameters: {adapter: shop-a}}
---
{kind: Service, name: hsinchu, version: 1, workspace: w2, template: quote, parameters: {adapter: shop-b, adapter_version: 3}}
---
{kind: Service, name: lost, version: 1, workspace: w2, template: quote, parameters: {adapter: missing-c}}
---
{kind: Service, name: shop, version: 1, workspace: w1, template: portal}
";

/// A process of the system.
pub struct Process {
    /// The name.
    pub name: String,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// The process's number.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Starts the program.
    pub fn start(&mut self) {
        self.start_under(&[]);
    }

    /// Starts the program behind a shell that sets limits first.
    pub fn start_under(&mut self, shell: &[&str]) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log opens");
        let mut command = if let [limits] = shell {
            let mut command = Command::new("bash");
            let line = format!("{limits}; exec {} --settings \"$0\"", self.binary.display());
            command.arg("-c").arg(line).arg(&self.settings);
            command
        } else {
            let mut command = Command::new(&self.binary);
            command.arg("--settings").arg(&self.settings);
            command
        };
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log can be written by two"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.child = Some(child);
    }

    fn signal(&self, signal: &str) {
        let child = self.child.as_ref().expect("the process runs");
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(child.id().to_string())
            .status()
            .expect("kill runs");
        assert!(status.success(), "kill -{signal} {}", self.name);
    }

    /// Ends the process without warning.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process until it is thawed.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// Asks the process to read its settings again.
    pub fn reload(&self) {
        self.signal("HUP");
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Waits until the process has ended.
    pub async fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for(&format!("{} ends", self.name), async || {
            let child = self.child.as_mut().expect("the process runs");
            status = child.try_wait().expect("the process can be asked");
            status.is_some()
        })
        .await;
        self.child = None;
        status.expect("the process has ended")
    }

    /// What the process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Got {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: String,
}

impl Got {
    /// A header's value, empty when it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// The code of an error.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or("").to_owned()
    }
}

/// The processes and stand-ins of a region.
pub struct Region {
    /// Where settings, logs and data are.
    pub folder: TempDir,
    /// The replicas of control.
    pub controls: Vec<Process>,
    /// The gateways.
    pub gateways: Vec<Process>,
    /// The engines.
    pub engines: Vec<Arc<Engine>>,
    /// The plain service.
    pub plain: Arc<Plain>,
    /// The platform's list.
    pub platform: Arc<Platform>,
    /// The instances as first listed.
    pub instances: Vec<PlatformInstance>,
    /// A client.
    pub client: HttpClient,
    ports: Vec<u16>,
}

/// How a region is built.
pub struct RegionOptions {
    /// The folder of the programs.
    pub bin_folder: PathBuf,
    /// Gateways.
    pub gateways: usize,
    /// Engines.
    pub engines: usize,
    /// How the engines are built.
    pub engine: EngineOptions,
    /// Entries between two snapshots of a replica.
    pub snapshot_entries: u64,
    /// True for short leases and frequent polls, so that tests need not wait long; false for the
    /// periods that are the settings' defaults.
    pub quick: bool,
    /// False for a platform whose list is empty until the test sets it.
    pub is_listed: bool,
    /// More lines for the gateways' settings.
    pub gateway_settings: &'static str,
}

impl Default for RegionOptions {
    fn default() -> Self {
        Self {
            bin_folder: PathBuf::new(),
            gateways: 3,
            engines: 2,
            engine: EngineOptions::default(),
            snapshot_entries: 50_000,
            quick: true,
            is_listed: true,
            gateway_settings: "",
        }
    }
}

fn loopback(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

impl Region {
    /// Starts everything and applies the declarations.
    pub async fn start(options: RegionOptions) -> Self {
        let folder = TempDir::new().expect("a folder can be made");
        let mut engines = Vec::new();
        let mut instances = Vec::new();
        for number in 0..options.engines {
            let engine = Engine::new(options.engine.clone());
            let address = engine.serve(loopback(0)).await.expect("the engine starts");
            instances.push(instance(&format!("engine-{number}"), address, "quotes"));
            engines.push(engine);
        }
        let plain = Plain::new();
        let address = plain.serve(loopback(0)).await.expect("the service starts");
        instances.push(instance("plain-0", address, "portal"));
        let listed = if options.is_listed { instances.clone() } else { Vec::new() };
        let platform = Platform::new(listed);
        let platform_address = platform.serve(loopback(0)).await.expect("the platform starts");
        let ports = free_ports(6 + options.gateways * 3);
        let mut region = Self {
            controls: Vec::new(),
            gateways: Vec::new(),
            engines,
            plain,
            platform,
            instances,
            client: HttpClient::new(500),
            ports,
            folder,
        };
        for number in 0..3 {
            let settings = region.control_settings(number, platform_address, &options);
            let name = format!("control-{number}");
            let binary = options.bin_folder.join("winchvane-control");
            region.controls.push(process(region.folder.path(), &name, &binary, &settings));
        }
        for number in 0..options.gateways {
            let settings = region.gateway_settings(number, &options);
            let name = format!("gateway-{number}");
            let binary = options.bin_folder.join("winchvane-gateway");
            region.gateways.push(process(region.folder.path(), &name, &binary, &settings));
        }
        for process in region.controls.iter_mut().chain(&mut region.gateways) {
            process.start();
        }
        for number in 0..options.gateways {
            region.wait_ready(number).await;
        }
        let reply = region.apply(0, DECLARATIONS).await;
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.body);
        for number in 0..options.gateways {
            region.wait_in_force(number, "shop").await;
        }
        if options.is_listed {
            region.wait_owned().await;
        }
        region
    }

    fn control_settings(
        &self,
        number: usize,
        platform: SocketAddr,
        options: &RegionOptions,
    ) -> String {
        let mut replicas = String::new();
        for other in 0..3 {
            let port = self.ports[other * 2];
            let _ = writeln!(replicas, "  - {{name: c{other}, address: \"127.0.0.1:{port}\"}}");
        }
        let periods = if options.quick { "lease_ms: 1500\nplatform_poll_ms: 100\n" } else { "" };
        format!(
            "name: control-{number}\nzone: zone-{number}\nregion: test\n\
             listen_peers: 127.0.0.1:{}\nlisten_admin: 127.0.0.1:{}\n\
             data_folder: {}\nreplicas:\n{replicas}{periods}\
             snapshot_entries: {}\nstore: {{loads_per_s: 50, concurrent_loads: 8}}\n\
             platform_address: {platform}\npools:\n\
             \x20 - {{name: quotes, kind: engine, checks_epoch: true}}\n\
             \x20 - {{name: portal, kind: plain, checks_epoch: false}}\n",
            self.ports[number * 2],
            self.ports[number * 2 + 1],
            self.data_folder(number).display(),
            options.snapshot_entries,
        )
    }

    fn gateway_settings(&self, number: usize, options: &RegionOptions) -> String {
        let control: Vec<String> =
            (0..3).map(|other| format!("\"127.0.0.1:{}\"", self.ports[other * 2])).collect();
        let periods = if options.quick {
            "lease: {renew_ms: 200, lease_ms: 1500, margin_ms: 300, freshness_ms: 2000}\n\
             endpoints: {status_poll_ms: 100, load_timeout_ms: 1500}\n"
        } else {
            ""
        };
        format!(
            "name: gateway-{number}\nzone: zone-{number}\n\
             listen_callers: {}\nlisten_peers: {}\nlisten_admin: {}\ncontrol: [{}]\n\
             stop_grace_ms: 100\n{periods}{}\n",
            self.callers(number),
            self.peers(number),
            self.admin(number),
            control.join(", "),
            options.gateway_settings
        )
    }

    /// The data folder of a replica.
    pub fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("data-{number}"))
    }

    /// Where a gateway takes callers.
    pub fn callers(&self, number: usize) -> SocketAddr {
        loopback(self.ports[6 + number * 3])
    }

    /// Where a gateway takes peers.
    pub fn peers(&self, number: usize) -> SocketAddr {
        loopback(self.ports[7 + number * 3])
    }

    /// Where a gateway takes operators.
    pub fn admin(&self, number: usize) -> SocketAddr {
        loopback(self.ports[8 + number * 3])
    }

    /// Where a replica takes peers.
    pub fn control_peers(&self, number: usize) -> SocketAddr {
        loopback(self.ports[number * 2])
    }

    fn control_admin(&self, number: usize) -> SocketAddr {
        loopback(self.ports[number * 2 + 1])
    }

    /// Waits until a gateway is ready.
    pub async fn wait_ready(&self, gateway: usize) {
        let what = format!("gateway {gateway} ready");
        wait_for(&what, async || {
            let got = self.send(self.callers(gateway), Method::GET, "/ready", &[], "").await;
            got.is_ok_and(|got| got.status == StatusCode::OK)
        })
        .await;
    }

    /// Waits until a service is in force at a gateway.
    pub async fn wait_in_force(&self, gateway: usize, service: &str) {
        wait_for(&format!("{service} at gateway {gateway}"), async || {
            let path = format!("/v1/models/{service}");
            let got = self.send(self.callers(gateway), Method::GET, &path, &[], "").await;
            got.is_ok_and(|got| got.status == StatusCode::OK)
        })
        .await;
    }

    /// Waits until every endpoint has an owner that runs, and no hand-over is under way.
    pub async fn wait_owned(&self) {
        wait_for("every endpoint owned", async || {
            let Ok(got) = self.status().await else { return false };
            let endpoints = got["endpoints"].as_array().cloned().unwrap_or_default();
            endpoints.len() == self.instances.len()
                && endpoints
                    .iter()
                    .all(|found| found["owner"].is_string() && found["successor"].is_null())
        })
        .await;
    }

    /// The group's status.
    ///
    /// # Errors
    /// No gateway answers.
    pub async fn status(&self) -> Result<Value, String> {
        for number in 0..self.gateways.len() {
            if let Ok(got) = self.send(self.admin(number), Method::GET, "/status", &[], "").await
                && got.status == StatusCode::OK
            {
                return Ok(got.json());
            }
        }
        Err("no gateway answers".to_owned())
    }

    /// The number of the gateway that owns `endpoint`.
    pub async fn owner_of(&self, endpoint: &str) -> usize {
        let status = self.status().await.expect("a gateway answers");
        for found in status["endpoints"].as_array().into_iter().flatten() {
            if found["listed"]["name"] == endpoint {
                let owner = found["owner"].as_str().expect("it has an owner");
                return owner.trim_start_matches("gateway-").parse().expect("a gateway's name");
            }
        }
        panic!("no endpoint {endpoint}")
    }

    /// The number of the replica that leads.
    pub async fn leader(&self) -> usize {
        let mut leader = None;
        wait_for("a leader", async || {
            for number in 0..3 {
                let dump = self.control_dump(number).await;
                if dump["role"] == "leader" {
                    leader = Some(number);
                    return true;
                }
            }
            false
        })
        .await;
        leader.expect("it was found")
    }

    /// The state dump of a replica.
    pub async fn control_dump(&self, number: usize) -> Value {
        let got = self.send(self.control_admin(number), Method::GET, "/dump", &[], "").await;
        got.map_or(Value::Null, |got| got.json())
    }

    /// The state dump of a gateway.
    pub async fn gateway_dump(&self, number: usize) -> Value {
        let got = self.send(self.admin(number), Method::GET, "/dump", &[], "").await;
        got.map_or(Value::Null, |got| got.json())
    }

    /// Submits declarations at a gateway.
    pub async fn apply(&self, gateway: usize, text: &str) -> Got {
        let mut faults = Faults::new();
        let located = parse(&"test.yaml".into(), text, &mut faults);
        assert!(faults.is_empty(), "{:?}", faults.into_vec());
        let documents: Vec<_> = located.iter().map(|located| &located.document).collect();
        let body = json!({"documents": documents}).to_string();
        self.send(self.admin(gateway), Method::POST, "/config", &[], &body)
            .await
            .unwrap_or_else(|error| panic!("apply: {error}"))
    }

    /// Asks for a short completion.
    pub async fn quote(&self, gateway: usize, model: &str) -> Got {
        self.complete(gateway, &json!({"model": model, "prompt": "x", "max_tokens": 4})).await
    }

    /// Asks for a completion.
    pub async fn complete(&self, gateway: usize, body: &Value) -> Got {
        let json = [("content-type", "application/json")];
        let path = "/v1/completions";
        self.send(self.callers(gateway), Method::POST, path, &json, &body.to_string())
            .await
            .unwrap_or_else(|error| panic!("complete: {error}"))
    }

    /// Places an order that may not be repeated.
    ///
    /// # Errors
    /// No answer came.
    pub async fn order(&self, gateway: usize, key: &str) -> Result<Got, String> {
        let headers = [("content-type", "application/json"), ("idempotency-key", key)];
        let path = "/services/shop/orders";
        self.send(self.callers(gateway), Method::POST, path, &headers, "{\"pallets\":1}").await
    }

    /// Sends a request.
    ///
    /// # Errors
    /// No answer came.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Got, String> {
        let mut request = request(method, address, path, None, Bytes::from(body.to_owned()))
            .map_err(|error| error.to_string())?;
        for (name, value) in headers {
            let name = http::HeaderName::from_bytes(name.as_bytes()).expect("a header's name");
            request.headers_mut().insert(name, value.parse().expect("a header's value"));
        }
        let response = self.client.send(request).await.map_err(|error| error.to_string())?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(Got { status: parts.status, headers: parts.headers, body })
    }

    /// Every log, for a failed test.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for process in self.controls.iter().chain(&self.gateways) {
            let _ = write!(text, "--- {}\n{}", process.name, process.log());
        }
        text
    }
}

impl Drop for Region {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.logs());
        }
    }
}

/// An instance as the platform lists it.
pub fn instance(name: &str, address: SocketAddr, pool: &str) -> PlatformInstance {
    PlatformInstance {
        name: name.into(),
        address,
        zone: "zone-0".into(),
        pool: pool.into(),
        state: PlatformState::Live,
        running: None,
    }
}

fn process(folder: &Path, name: &str, binary: &Path, settings: &str) -> Process {
    let path = folder.join(format!("{name}.yaml"));
    std::fs::write(&path, settings).expect("settings can be written");
    let log = folder.join(format!("{name}.log"));
    Process { name: name.to_owned(), binary: binary.to_owned(), settings: path, log, child: None }
}

/// Waits for a condition; a test that gives up says for what.
pub async fn wait_for(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while started.elapsed() < WAIT {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("this did not come about: {what}");
}
