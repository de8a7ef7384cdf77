//! The processes of one run: their settings, proxies, signals and exits.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;

use crate::cut::{Cut, Cuts};
use crate::endpoint::Endpoint;
use crate::engine::{Engine, LateEvents};
use crate::keyed;
use crate::memory;
use crate::operator;
use crate::overload;
use crate::proxy::{Mode, Proxy};
use crate::record::Record;
use crate::size::API_PORT;
pub use crate::size::{Port, Size, Slots};

/// Replicas of control; two may be lost at once.
pub const REPLICAS: u8 = 5;
const PEER_PORT: u16 = 17_380;
const CLIENT_PORT: u16 = 17_149;
const READY_PORT: u16 = 17_141;
const ADMIN_PORT: u16 = 17_464;
const SERVE_PORT: u16 = 17_108;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A program that is run as a process, again after it was killed.
pub struct Program {
    /// Its name in logs.
    pub name: String,
    /// True for a replica of control.
    pub is_control: bool,
    executable: PathBuf,
    settings: PathBuf,
    data: Option<PathBuf>,
    log: PathBuf,
    child: Option<Child>,
    /// The id of its process; 0 while it does not run.
    pub(crate) process: Arc<AtomicU32>,
    expected_exit: bool,
}

/// Everything that runs.
pub struct Region {
    /// The processes.
    pub programs: Vec<Program>,
    /// The proxies between replicas and before endpoints.
    pub proxies: Vec<(String, Proxy)>,
    /// The endpoints.
    pub endpoints: Vec<Arc<Endpoint>>,
    /// The engines.
    pub engines: Vec<Arc<Engine>>,
    cuts: Arc<Cuts>,
    /// Of gateways from control.
    control_cuts: Arc<Cuts>,
    size: Size,
    folder: TempDir,
    exits: Vec<String>,
}

impl Region {
    /// Starts all processes and waits until a request could be served.
    ///
    /// # Errors
    /// A program that is missing, or a group that does not form.
    pub async fn start(programs: &Path, size: Size, record: Arc<Record>) -> io::Result<Self> {
        Self::start_with_slots(programs, size, Slots::default(), record).await
    }

    /// Like [`Region::start`], with endpoints and engines of these `slots`.
    ///
    /// # Errors
    /// A program that is missing, or a group that does not form.
    pub async fn start_with_slots(
        programs: &Path,
        size: Size,
        slots: Slots,
        record: Arc<Record>,
    ) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let mut region = Self {
            programs: Vec::new(),
            proxies: Vec::new(),
            endpoints: Vec::new(),
            engines: Vec::new(),
            cuts: Arc::default(),
            control_cuts: Arc::default(),
            size,
            folder,
            exits: Vec::new(),
        };
        for number in 1..=REPLICAS {
            let (public, own) = (size.at(2, number, PEER_PORT), size.at(1, number, PEER_PORT));
            let proxy = Proxy::start(public, own, region.control_cuts.clone()).await?;
            region.proxies.push((format!("control-{number}"), proxy));
            region.add_control(programs, number, slots.control_memory_mb)?;
        }
        for number in 1..=size.gateways {
            region.add_gateway(programs, number)?;
        }
        for number in 1..=size.endpoints {
            let public = size.at(5, number, SERVE_PORT);
            let mut own = public;
            if slots.port == Port::StaysOpen {
                own = size.at(4, number, SERVE_PORT);
                let proxy = Proxy::start(public, own, region.cuts.clone()).await?;
                region.proxies.push((format!("endpoint-{number}"), proxy));
            }
            let endpoint = Endpoint::new(own, public, slots.endpoint, record.clone());
            if slots.port == Port::IsSilent {
                endpoint.end_silently();
            }
            endpoint.clone().start(region.control_addresses()).await?;
            region.endpoints.push(endpoint);
        }
        for number in 1..=size.engines {
            let addresses = [size.at(6, number, SERVE_PORT), size.at(7, number, SERVE_PORT)];
            let control = region.control_addresses();
            let (name, cuts) = (format!("e-{number}"), region.cuts.clone());
            let engine = Engine::new(name, addresses, slots.engine, control, cuts, record.clone());
            engine.start().await?;
            region.engines.push(engine);
        }
        for program in &mut region.programs {
            program.start()?;
        }
        region.wait_until_ready(&record).await?;
        Ok(region)
    }

    fn add_control(&mut self, programs: &Path, number: u8, memory_mb: u64) -> io::Result<()> {
        let name = format!("control-{number}");
        let data = self.folder.path().join(&name);
        let text = format!(
            "name: {name}\nzone: zone-1\nregion: soak\nlisten_peers: {}\nadvertise_peers: {}\n\
             listen_admin: {}\nlisten_api: {}\ndata_folder: {}\nlog_level: info\n\
             memory_max_mb: {memory_mb}\n\
             seeds:\n  found: FOUND\n  failures: 2\n  peer_port: {PEER_PORT}\n  addresses: {}\n\
             quota:\n  window_ms: {}\n  overrun: {}\n  slack: {}\n\
             store:\n  loads_per_s: 1\n  concurrent_loads: 1\n",
            self.size.at(1, number, PEER_PORT),
            self.size.at(2, number, PEER_PORT),
            self.size.at(1, number, ADMIN_PORT),
            self.size.at(2, number, API_PORT),
            data.display(),
            self.size.seeds(),
            keyed::QUOTA_WINDOW_MS,
            keyed::QUOTA_OVERRUN,
            keyed::QUOTA_SLACK,
        );
        self.add(programs, "winchvane-platform-control", name, Some(data), &text)
    }

    fn add_gateway(&mut self, programs: &Path, number: u8) -> io::Result<()> {
        let name = format!("gateway-{number}");
        let text = format!(
            "name: {name}\nzone: zone-1\nlisten_clients: {}\nlisten_ready: {}\nlisten_admin: {}\n\
             listen_peers: {}\nseeds:\n  peer_port: {PEER_PORT}\n  addresses: {}\n\
             retry:\n  ratio: 0.2\n  slack: 50\n  window_ms: 10000\nrevoked_within_ms: {}\n",
            self.size.at(3, number, CLIENT_PORT),
            self.size.at(3, number, READY_PORT),
            self.size.at(3, number, ADMIN_PORT),
            self.size.at(3, number, PEER_PORT),
            self.size.seeds(),
            keyed::REVOKED_WITHIN_MS,
        );
        self.add(programs, "winchvane-platform-gateway", name.clone(), None, &text)?;
        if let Some(program) = self.programs.last() {
            self.cuts.add_gateway(&name, program.process.clone());
            self.control_cuts.add_gateway(&name, program.process.clone());
        }
        Ok(())
    }

    fn add(
        &mut self,
        programs: &Path,
        program: &str,
        name: String,
        data: Option<PathBuf>,
        settings: &str,
    ) -> io::Result<()> {
        let path = self.folder.path().join(format!("{name}.yaml"));
        fs::write(&path, settings.replace("FOUND", "true"))?;
        self.programs.push(Program {
            is_control: data.is_some(),
            executable: programs.join(program),
            settings: path,
            data,
            log: self.folder.path().join(format!("{name}.log")),
            child: None,
            process: Arc::default(),
            expected_exit: false,
            name,
        });
        Ok(())
    }

    async fn wait_until_ready(&mut self, record: &Record) -> io::Result<()> {
        let until = tokio::time::Instant::now() + START_TIMEOUT;
        let control = self.control_addresses();
        let mut turn = 0;
        while !operator::put(&control, turn, 2, record).await {
            if tokio::time::Instant::now() > until {
                return Err(io::Error::other("no configuration was acknowledged in time"));
            }
            turn += 1;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        // From now on no replica may take an empty disk for the system's first start.
        for program in self.programs.iter().filter(|program| program.is_control) {
            let text = fs::read_to_string(&program.settings)?;
            fs::write(&program.settings, text.replace("found: true", "found: false"))?;
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        Ok(())
    }

    /// Where clients call.
    pub fn gateway_addresses(&self) -> Vec<SocketAddr> {
        (1..=self.size.gateways).map(|number| self.size.at(3, number, CLIENT_PORT)).collect()
    }

    /// Lets engines end half of their streams with the connection, and restarts every other one with a
    /// newer software version.
    ///
    /// # Errors
    /// The address of an engine is in use.
    pub async fn prepare_streams(&self) -> io::Result<()> {
        for engine in &self.engines {
            engine.mark_no_ends();
        }
        for engine in self.engines.iter().step_by(2) {
            engine.set_newer_software(true);
            engine.crash();
            engine.start().await?;
        }
        Ok(())
    }

    /// Cuts the gateway with this number off from all endpoints, or ends its cut.
    pub fn cut(&self, gateway: u8, cut: Option<Cut>) {
        self.cuts.set(&format!("gateway-{gateway}"), cut);
    }

    /// Makes the links from control to the gateway with this number slow.
    pub fn slow_down(&self, gateway: u8) {
        self.control_cuts.set(&format!("gateway-{gateway}"), Some(Cut::Slow));
    }

    /// Where endpoints and the operator call.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        (1..=REPLICAS).map(|number| self.size.at(2, number, API_PORT)).collect()
    }

    /// Describes the overload signals that gateways violated.
    pub fn overload_breaches(&self) -> Vec<String> {
        let mut breaches = Vec::new();
        for (number, endpoint) in self.endpoints.iter().enumerate() {
            breaches.extend(endpoint.overload.breaches(&format!("endpoint {number}")));
        }
        for engine in &self.engines {
            breaches.extend(engine.overload.breaches(engine.id()));
        }
        breaches
    }

    /// Ends the overload signal of an endpoint, and restarts it if it was about to shut down.
    pub fn end_endpoint_signal(&self, number: usize) {
        let endpoint = &self.endpoints[number];
        if endpoint.overload.set_signal(None) == Some(overload::Signal::Leaving) {
            endpoint.restart();
        }
    }

    /// Ends the overload signal of an engine, and restarts it if it was about to shut down.
    ///
    /// # Errors
    /// The address of the engine is already in use.
    pub async fn end_engine_signal(&self, number: usize) -> io::Result<()> {
        let engine = &self.engines[number];
        if engine.overload.set_signal(None) != Some(overload::Signal::Leaving) {
            return Ok(());
        }
        engine.crash();
        engine.start().await
    }

    /// Where gateways and replicas reach the replicas.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        (1..=REPLICAS).map(|number| self.size.at(2, number, PEER_PORT)).collect()
    }

    /// Ends all faults that last.
    pub async fn heal(&mut self) {
        for number in 0..self.endpoints.len() {
            self.end_endpoint_signal(number);
        }
        for number in 0..self.engines.len() {
            if let Err(error) = self.end_engine_signal(number).await {
                self.exits.push(format!("engine {number} failed to restart: {error}"));
            }
        }
        for engine in &self.engines {
            engine.pause(false);
            engine.delay_orders(false);
            engine.set_late_events(LateEvents::default());
            engine.cut_streams(0);
            if !engine.is_running()
                && let Err(error) = engine.start().await
            {
                self.exits.push(format!("{} does not start any more: {error}", engine.id()));
            }
        }
        self.cuts.clear();
        for (_, proxy) in &self.proxies {
            proxy.set(Mode::Pass);
        }
        for endpoint in &self.endpoints {
            endpoint.set_breaks(false);
            endpoint.set_stalls(false);
            endpoint.set_silent(false);
            endpoint.return_if_left();
        }
        for program in &mut self.programs {
            program.signal(Signal::SIGCONT);
            if program.child.is_none() && program.start().is_err() {
                self.exits.push(format!("{} does not start any more", program.name));
            }
        }
    }

    /// Notes processes that ended without being told to, and starts them again.
    pub fn look_for_exits(&mut self) {
        for program in &mut self.programs {
            let Some(child) = &mut program.child else { continue };
            let Ok(Some(status)) = child.try_wait() else { continue };
            if !program.expected_exit {
                self.exits.push(format!("{} ended by itself: {status}", program.name));
            }
            program.child = None;
            if program.start().is_err() {
                self.exits.push(format!("{} does not start any more", program.name));
            }
        }
    }

    /// Engines that run and were not given their base model again.
    pub fn empty_engines(&self) -> Vec<String> {
        let mut empty = Vec::new();
        for engine in &self.engines {
            if !engine.is_of_use() {
                empty.push(format!("{} was left without its base model", engine.id()));
            }
        }
        empty
    }

    /// Processes that ended by themselves.
    pub fn exits(&mut self) -> Vec<String> {
        self.look_for_exits();
        self.exits.clone()
    }

    /// Copies logs and faults of a run with a breach to `folder`.
    pub fn keep_logs(&self, folder: &Path, record: &Record) {
        let kept = fs::create_dir_all(folder)
            .and_then(|()| fs::write(folder.join("faults.txt"), record.faults()));
        if let Err(error) = kept {
            println!("the logs cannot be kept: {error}");
            return;
        }
        for program in &self.programs {
            if let Err(error) = fs::copy(&program.log, folder.join(format!("{}.log", program.name)))
            {
                println!("the log of {} cannot be kept: {error}", program.name);
            }
        }
    }

    /// Ends every process that this run started.
    pub fn stop(&mut self) {
        for program in &mut self.programs {
            program.kill();
        }
    }
}

impl Drop for Region {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Program {
    /// Starts the process; its output goes to its log.
    ///
    /// # Errors
    /// The program is missing, or its log cannot be opened.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.executable)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process.store(child.id(), Ordering::SeqCst);
        self.child = Some(child);
        self.expected_exit = false;
        Ok(())
    }

    /// Sends a signal to the process, by its id.
    pub fn signal(&mut self, signal: Signal) {
        let Some(child) = &self.child else { return };
        if signal == Signal::SIGTERM {
            self.expected_exit = true;
        }
        // A process that has just ended is seen when exits are looked for.
        let _ = kill(Pid::from_raw(child.id().cast_signed()), signal);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        // A process that ended before cannot be killed, which is as good.
        let _ = child.kill();
        let _ = child.wait();
    }

    /// The resident memory of the process, and its peak since it was started; `None` if it does not run.
    pub fn memory_kb(&self) -> Option<(u64, u64)> {
        let process = self.process.load(Ordering::SeqCst);
        Some((memory::status_kb(process, "VmRSS:")?, memory::status_kb(process, "VmHWM:")?))
    }

    /// The bytes of what a replica has stored.
    pub fn stored_bytes(&self) -> u64 {
        let Some(files) = self.data.as_ref().and_then(|data| fs::read_dir(data).ok()) else {
            return 0;
        };
        // A file may be renamed or removed meanwhile.
        files.flatten().filter_map(|file| file.metadata().ok()).map(|file| file.len()).sum()
    }

    /// Removes what a killed replica has stored.
    pub fn wipe(&mut self) {
        let Some(data) = &self.data else { return };
        // A folder that was never made is as empty as a removed one.
        let _ = fs::remove_dir_all(data);
    }

    /// Adds bytes that are no record to the end of a killed replica's log, as a torn write leaves.
    pub fn tear(&mut self) {
        let Some(data) = &self.data else { return };
        let Ok(files) = fs::read_dir(data) else { return };
        for file in files.flatten() {
            if !file.file_name().to_string_lossy().starts_with("log-") {
                continue;
            }
            let Ok(mut log) = File::options().append(true).open(file.path()) else { continue };
            // A write that fails leaves the log as it was, which is a valid case too.
            let _ = io::Write::write_all(&mut log, &[0x5A; 11]);
        }
    }
}
