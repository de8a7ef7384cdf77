//! The project's programs as processes, with settings filled from the templates of the deploy file.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::net::call_control;

/// The port of the programs' own figures, which the templates name.
const ADMIN_PORT: u16 = 9464;
const FIRST_NET: u32 = 32;
const NETS: u32 = 190;

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// One machine with one program.
pub struct Machine {
    pub name: String,
    pub ip: String,
    program: PathBuf,
    template: PathBuf,
    fields: HashMap<String, String>,
    folder: PathBuf,
    pids: PathBuf,
    child: Option<Child>,
}

/// The ports, which all machines share.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub inner: [u16; 2],
}

pub struct Region {
    pub control: Vec<Machine>,
    pub gateways: Vec<Machine>,
    pub ports: Ports,
    pub folder: PathBuf,
    net: u8,
}

impl Region {
    /// Starts `replicas` of control and `gateways`, and waits until `configuration` is acknowledged.
    pub fn start(
        root: &Path,
        folder: &Path,
        (replicas, gateways): (u8, u8),
        configuration: &str,
    ) -> io::Result<Self> {
        let net = free_net()?;
        let mut region = Self {
            control: Vec::new(),
            gateways: Vec::new(),
            ports: free_ports(net)?,
            folder: folder.to_owned(),
            net,
        };
        for number in 1..=replicas {
            let machine = region.machine(root, "control", number);
            region.control.push(machine);
        }
        for number in 1..=gateways {
            let machine = region.machine(root, "gateway", number);
            region.gateways.push(machine);
        }
        region.set_bootstrap(true);
        for machine in region.control.iter_mut().chain(&mut region.gateways) {
            machine.start()?;
        }
        let until = Instant::now() + Duration::from_secs(40);
        let answer =
            call_control(&region.control_api(), "PUT", "/winchvane/config", configuration, until);
        if answer.is_none_or(|answer| answer.status() != 200) {
            return Err(io::Error::other("the first configuration was not acknowledged"));
        }
        region.set_bootstrap(false);
        Ok(region)
    }

    fn machine(&self, root: &Path, role: &str, number: u8) -> Machine {
        let block = if role == "control" { 2 } else { 3 };
        let ip = format!("127.{}.{block}.{number}", self.net);
        let zone = ZONES[usize::from(number - 1) % ZONES.len()];
        let name = format!("{role}-{zone}-{number}");
        let folder = self.folder.join(&name);
        let seeds: Vec<String> = (1..=3)
            .map(|seed| format!("\"127.{}.2.{seed}:{}\"", self.net, self.ports.control))
            .collect();
        let mut fields = HashMap::new();
        let mut set = |name: &str, value: String| fields.insert(name.to_owned(), value);
        set("node_name", name.clone());
        set("zone", zone.to_owned());
        set("region", "region-1".to_owned());
        set("ip", ip.clone());
        set("listen.front", format!("{ip}:{}", self.ports.front));
        set("listen.ready", format!("{ip}:{}", self.ports.ready));
        set("listen.control", format!("{ip}:{}", self.ports.control));
        set("internal_port_range.0", self.ports.inner[0].to_string());
        set("internal_port_range.1", self.ports.inner[1].to_string());
        set("seeds|json", format!("[{}]", seeds.join(",")));
        set("data_dir", folder.join("data").display().to_string());
        set("fault_tolerance.machines", "2".to_owned());
        let memory_mb = if role == "control" { "256" } else { "260" };
        set("limits.memory_mb", memory_mb.to_owned());
        set("limits.file_descriptors", "4096".to_owned());
        for (name, value) in [
            ("retry_budget_ratio", "0.2"),
            ("retry_budget_slack", "52"),
            ("budget_window_s", "10"),
            ("config_apply_ms", "2000"),
            ("version_ms", "5000"),
            ("grace_s", "8"),
            ("lease_ms", "3000"),
        ] {
            set(&format!("bounds.{name}"), value.to_owned());
        }
        Machine {
            name,
            ip,
            program: root.join(format!("target/release/winchvane-platform-{role}")),
            template: root.join(format!("deploy/{role}.yaml")),
            fields,
            folder,
            pids: self.folder.join("pids"),
            child: None,
        }
    }

    fn set_bootstrap(&mut self, bootstrap: bool) {
        for machine in self.control.iter_mut().chain(&mut self.gateways) {
            machine.fields.insert("bootstrap".to_owned(), bootstrap.to_string());
        }
    }

    pub fn control_api(&self) -> Vec<SocketAddr> {
        let api = |machine: &Machine| format!("{}:{}", machine.ip, self.ports.control);
        self.control.iter().map(|machine| api(machine).parse().expect("an address")).collect()
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        let machine = &self.gateways[number % self.gateways.len()];
        format!("{}:{}", machine.ip, self.ports.front).parse().expect("an address")
    }

    /// A free address of a server.
    pub fn server_address(&self, number: u8) -> SocketAddr {
        let ip = format!("127.{}.5.{number}", self.net);
        let listener = TcpListener::bind((ip.as_str(), 0)).expect("a free port");
        listener.local_addr().expect("a bound port")
    }

    /// Processes that have ended although nobody ended them.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for machine in self.control.iter_mut().chain(&mut self.gateways) {
            if let Some(child) = &mut machine.child
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("{} ended by itself: {status}", machine.name));
                machine.child = None;
            }
        }
        ended
    }

    pub fn stop(&mut self) {
        for machine in self.control.iter_mut().chain(&mut self.gateways) {
            machine.kill();
        }
    }
}

impl Drop for Region {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Machine {
    pub fn start(&mut self) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        let settings = self.folder.join("settings.yaml");
        let text = fill(&fs::read_to_string(&self.template)?, &self.fields);
        fs::write(&settings, text)?;
        let log = File::options().create(true).append(true).open(self.log())?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // The script that plays the case ends what is left if the player was ended.
        let mut pids = File::options().create(true).append(true).open(&self.pids)?;
        writeln!(pids, "{}", child.id())?;
        self.child = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The second part of the addresses of this run, which no other run uses.
fn free_net() -> io::Result<u8> {
    let first = std::process::id() % NETS;
    for number in 0..NETS {
        let net = (FIRST_NET + (first + number) % NETS) as u8;
        let mut addresses = (1..=8).flat_map(|four| [(2, four), (3, four)]);
        let is_free = |(block, four)| {
            TcpListener::bind((format!("127.{net}.{block}.{four}"), ADMIN_PORT)).is_ok()
        };
        if addresses.all(is_free) {
            return Ok(net);
        }
    }
    Err(io::Error::other("no addresses are free"))
}

/// Ports that are free on all addresses of this run.
fn free_ports(net: u8) -> io::Result<Ports> {
    let mut found = Vec::new();
    let mut held = Vec::new();
    while found.len() < 5 {
        let listener = TcpListener::bind((format!("127.{net}.2.1"), 0))?;
        found.push(listener.local_addr()?.port());
        held.push(listener);
    }
    let inner = [found[3], found[4]];
    Ok(Ports { front: found[0], ready: found[1], control: found[2], inner })
}

/// Fills a settings template as the platform does, as far as these templates need it.
fn fill(template: &str, fields: &HashMap<String, String>) -> String {
    let mut text = template.to_owned();
    while let Some(begin) = text.find("{{#") {
        let name_end = begin + text[begin..].find("}}").expect("a gap ends");
        let name = text[begin + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = text.find(&close).expect("a section ends");
        let is_set = fields.get(&name).is_some_and(|value| value != "false");
        let inside = if is_set { text[name_end + 2..end].to_owned() } else { String::new() };
        text.replace_range(begin..end + close.len(), &inside);
    }
    while let Some(begin) = text.find("{{") {
        let end = begin + text[begin..].find("}}").expect("a gap ends");
        let value = fields.get(&text[begin + 2..end]).cloned().unwrap_or_default();
        text.replace_range(begin..end + 2, &value);
    }
    text
}
