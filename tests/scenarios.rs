//! Runs the scripted scenarios: each script below `tests/scenarios` against its runner.
//!
//! `UPDATE_GOLDENFILES=1 cargo test --test scenarios` writes the output anew, for review.

mod common;

use std::error::Error;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::Arc;

use common::group::{Group, claim, registration, template};
use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use winchvane::control::fleet::{EndpointKind, ListedEndpoint};
use winchvane::control::ledger::{KeyDigest, LedgerLimits, RecordedAnswer, Settlement};
use winchvane::control::state::Operation;
use winchvane::message::{AdapterKey, Priority};
use winchvane::policy::owner::{EngineStatus, Owner, Usability};
use winchvane::policy::queue::Job;
use winchvane::settings::PolicySettings;

type Output = Result<String, Box<dyn Error>>;

fn run_all(folder: &str, mut runner: impl FnMut() -> Box<dyn FnMut(&Path)>) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios").join(folder);
    let mut scripts = Vec::new();
    for entry in std::fs::read_dir(&folder).expect("the folder can be listed") {
        scripts.push(entry.expect("the entry can be read").path());
    }
    scripts.sort();
    assert!(!scripts.is_empty(), "no script in {}", folder.display());
    for script in scripts {
        println!("script {}", script.display());
        runner()(&script);
    }
}

#[test]
fn control() {
    run_all("control", || {
        let mut runner = ControlRunner { group: Group::new(3, 7) };
        Box::new(move |script| goldenscript::run(&mut runner, script).expect("the script runs"))
    });
}

#[test]
fn owner() {
    run_all("owner", || {
        let mut runner = OwnerRunner::new();
        Box::new(move |script| goldenscript::run(&mut runner, script).expect("the script runs"))
    });
}

fn positional<'a>(arguments: &mut ArgumentConsumer<'a>) -> Result<&'a str, Box<dyn Error>> {
    arguments.next_pos().ok_or_else(|| "an argument is missing".into())
}

fn number<T: std::str::FromStr>(
    arguments: &mut ArgumentConsumer<'_>,
    key: &str,
    default: T,
) -> Result<T, Box<dyn Error>> {
    match arguments.take_key(key) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| format!("{key}={text} is no number").into()),
    }
}

/// Drives a group of three replicas.
struct ControlRunner {
    group: Group,
}

impl ControlRunner {
    /// The node named, or the leader for `leader`.
    fn target(&self, name: &str) -> Result<Arc<str>, Box<dyn Error>> {
        if name != "leader" {
            return Ok(name.into());
        }
        self.group.leader().ok_or_else(|| "no leader".into())
    }

    fn propose(&mut self, target: &str, label: String, operation: Operation) -> Output {
        let target = self.target(target)?;
        if self.group.propose(&target, label, operation) {
            return Ok(String::new());
        }
        Ok(format!("{target}: not the leader\n"))
    }

    fn operation(&mut self, command: &Command) -> Output {
        let mut arguments = command.consume_args();
        let target = positional(&mut arguments)?;
        let subject = positional(&mut arguments)?;
        let label = format!("{} {subject}", command.name);
        let operation = match command.name.as_str() {
            "apply" => {
                let version = number(&mut arguments, "version", 1)?;
                let content = arguments.take_key("content").unwrap_or("a");
                Operation::Apply { documents: vec![template(subject, version, content)] }
            }
            "claim" => {
                let id = number(&mut arguments, "id", 1)?;
                let gateway = arguments.take_key("gateway").unwrap_or("g1");
                let epoch = self.epoch(target, gateway, number(&mut arguments, "epoch", 0)?)?;
                let body = arguments.take_key("body").unwrap_or("a");
                let mut claim = claim(subject, id, gateway, epoch, body);
                let issued_at_ms = number(&mut arguments, "issued", u64::MAX)?;
                claim.issued_at_ms = (issued_at_ms != u64::MAX).then_some(issued_at_ms);
                Operation::Claim(claim)
            }
            "settle" => Operation::Settle {
                key: KeyDigest::new("workspace", "service", subject),
                claim_id: number(&mut arguments, "id", 1)?,
                settlement: match positional(&mut arguments)? {
                    "not-run" => Settlement::NotRun,
                    "unknown" => Settlement::Unknown,
                    _ => Settlement::Finished(Some(Arc::new(RecordedAnswer {
                        status: 200,
                        content_type: "text/plain".into(),
                        adapter: None,
                        body: b"done".to_vec(),
                    }))),
                },
            },
            "register" => {
                Operation::Register(registration(subject, number(&mut arguments, "boot", 1)?))
            }
            "expire" | "leave" => {
                let epoch = self.epoch(target, subject, number(&mut arguments, "epoch", 0)?)?;
                let gateway = subject.into();
                if command.name == "expire" {
                    Operation::Expire { gateway, epoch }
                } else {
                    Operation::Leave { gateway, epoch }
                }
            }
            "release" => {
                let target = self.target(target)?;
                let node = self.group.node(&target);
                let record = node.state.fleet.endpoints().get(subject).ok_or("no endpoint")?;
                let epoch = number(&mut arguments, "epoch", record.epoch)?;
                Operation::Release { endpoint: subject.into(), epoch }
            }
            "list" => {
                let mut listed = vec![endpoint(subject)];
                while let Some(name) = arguments.next_pos() {
                    listed.push(endpoint(name));
                }
                Operation::List { listed, removed: Vec::new() }
            }
            "unlist" => Operation::List { listed: Vec::new(), removed: vec![subject.into()] },
            "limits" => Operation::SetLimits(LedgerLimits {
                retention_ms: number(&mut arguments, "retention", 86_400_000)?,
                max_keys: number(&mut arguments, "keys", 1_000)?,
            }),
            other => return Err(format!("unknown command {other}").into()),
        };
        arguments.reject_next()?;
        self.propose(target, label, operation)
    }

    fn epoch(&mut self, target: &str, gateway: &str, given: u64) -> Result<u64, Box<dyn Error>> {
        if given != 0 {
            return Ok(given);
        }
        let target = self.target(target)?;
        Ok(self.group.node(&target).state.fleet.gateway_epoch(gateway).unwrap_or(0))
    }

    fn show(&mut self, what: &str, target: &str) -> Output {
        let target = self.target(target)?;
        let node = self.group.node(&target);
        let mut output = String::new();
        match what {
            "config" => {
                for document in node.state.config.documents(None, None) {
                    let (name, version) = (document.name(), document.version());
                    writeln!(output, "{target}: {name} version={version}")?;
                }
            }
            "owners" => {
                for record in node.state.fleet.endpoints().values() {
                    let owner = record.owner.as_deref().unwrap_or("nobody");
                    let next = record.successor.as_deref().unwrap_or("nobody");
                    let (name, epoch) = (record.name(), record.epoch);
                    writeln!(output, "{name}: owner={owner} epoch={epoch} successor={next}")?;
                }
            }
            _ => return Err("show config, owners".into()),
        }
        Ok(output)
    }
}

fn endpoint(name: &str) -> ListedEndpoint {
    ListedEndpoint {
        name: name.into(),
        address: ([127, 0, 0, 1], 8_000).into(),
        zone: "zone-a".into(),
        pool: "quotes".into(),
        kind: EndpointKind::Engine,
        checks_epoch: true,
        places: 1,
        leaving: false,
    }
}

impl Runner for ControlRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        let mut arguments = command.consume_args();
        match command.name.as_str() {
            "run" => {
                let duration_ms = number(&mut arguments, "ms", 0)?;
                self.group.run(duration_ms);
            }
            "status" => {
                let lines: Vec<String> =
                    self.group.nodes.values().map(common::group::Node::describe).collect();
                return Ok(lines.join("\n") + "\n");
            }
            "crash" => self.group.crash(&self.target(positional(&mut arguments)?)?),
            "restart" => self.group.restart(positional(&mut arguments)?),
            "wipe" => self.group.wipe(&self.target(positional(&mut arguments)?)?),
            "freeze" => self.group.freeze(&self.target(positional(&mut arguments)?)?),
            "thaw" => self.group.thaw(positional(&mut arguments)?),
            "heal" => self.group.heal(),
            "cut" => {
                let from = positional(&mut arguments)?;
                let to = positional(&mut arguments)?;
                self.group.cut(from, to);
            }
            "isolate" => {
                let name = self.target(positional(&mut arguments)?)?;
                let others: Vec<Arc<str>> = self.group.nodes.keys().cloned().collect();
                for other in others {
                    self.group.cut(&name, &other);
                    self.group.cut(&other, &name);
                }
            }
            "fail-sync" => {
                let name = positional(&mut arguments)?;
                self.group.node(name).sync_fails = true;
            }
            "snapshot-every" => {
                let entries = number(&mut arguments, "entries", 10)?;
                for node in self.group.nodes.values_mut() {
                    node.snapshot_entries = entries;
                }
            }
            "many" => {
                let count: u64 = number(&mut arguments, "count", 100)?;
                for version in 1..=count {
                    let documents = vec![template("bulk", version, "a")];
                    let leader = self.target("leader")?;
                    self.group.propose(&leader, String::new(), Operation::Apply { documents });
                    if version % 100 == 0 {
                        self.group.settle();
                    }
                }
                self.group.settle();
                self.group.take_events();
                return Ok(String::new());
            }
            "read" => {
                let target = self.target(positional(&mut arguments)?)?;
                if !self.group.read(&target, "read".to_owned()) {
                    return Ok(format!("{target}: not the leader\n"));
                }
            }
            "show" => {
                let what = positional(&mut arguments)?;
                let target = positional(&mut arguments)?;
                return self.show(what, target);
            }
            "check" => {
                self.group.check_history();
                return Ok("history holds\n".to_owned());
            }
            _ => return self.operation(command),
        }
        let mut output = String::new();
        for event in self.group.take_events() {
            writeln!(output, "{event}")?;
        }
        Ok(output)
    }
}

/// Drives the owner of one engine.
struct OwnerRunner {
    owner: Owner,
    now_ms: u64,
    settings: PolicySettings,
}

impl OwnerRunner {
    fn new() -> Self {
        let settings = PolicySettings { queue_max: 8, ..PolicySettings::default() };
        let owner = Owner::new_engine("e1".into(), 1, settings);
        Self { owner, now_ms: 0, settings }
    }

    fn effects(&mut self) -> Output {
        let mut output = String::new();
        for effect in self.owner.take_effects() {
            writeln!(output, "{effect:?}")?;
        }
        Ok(output)
    }
}

fn adapter(text: &str) -> Result<AdapterKey, Box<dyn Error>> {
    AdapterKey::parse(text).ok_or_else(|| format!("{text} is no adapter").into())
}

impl Runner for OwnerRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        let mut arguments = command.consume_args();
        let now_ms = self.now_ms;
        match command.name.as_str() {
            "at" => {
                self.now_ms = number(&mut arguments, "ms", now_ms)?;
                self.owner.tick(self.now_ms);
            }
            "engine" => {
                let mut status = EngineStatus {
                    boot_id: number(&mut arguments, "boot", 1)?,
                    places: number(&mut arguments, "places", 2)?,
                    slots: number(&mut arguments, "slots", 2)?,
                    loaded: Vec::new(),
                };
                let changes = number(&mut arguments, "changes", self.owner.changes())?;
                while let Some(text) = arguments.next_pos() {
                    let (name, running) = text.split_once(':').unwrap_or((text, "0"));
                    status.loaded.push((adapter(name)?, running.parse()?));
                }
                if self.owner.observe(now_ms, changes, &status) {
                    return Ok(format!("restarted\n{}", self.effects()?));
                }
            }
            "submit" => {
                let id = positional(&mut arguments)?.parse()?;
                let adapter = adapter(positional(&mut arguments)?)?;
                let priority = arguments.take_key("priority").unwrap_or("standard");
                let job = Job {
                    id,
                    adapter: Some(adapter),
                    workspace: arguments.take_key("workspace").unwrap_or("w1").into(),
                    priority: Priority::parse(priority).ok_or("no priority")?,
                    arrived_ms: now_ms,
                    deadline_ms: now_ms + number(&mut arguments, "deadline", 10_000)?,
                };
                self.owner.submit(now_ms, job);
            }
            "done" => self.owner.finished(now_ms, positional(&mut arguments)?.parse()?),
            "cancel" => {
                let cancelled = self.owner.cancel(positional(&mut arguments)?.parse()?);
                return Ok(format!("cancelled={cancelled}\n"));
            }
            "permit" => self.owner.permit_granted(now_ms, positional(&mut arguments)?.parse()?),
            "deny" => {
                let retry_after_ms = number(&mut arguments, "retry", 100)?;
                self.owner.permit_denied(now_ms, retry_after_ms);
            }
            "loaded" => {
                let adapter = adapter(positional(&mut arguments)?)?;
                self.owner.load_ended(now_ms, &adapter, 400, true);
            }
            "load-failed" => {
                let adapter = adapter(positional(&mut arguments)?)?;
                self.owner.load_ended(now_ms, &adapter, 400, false);
            }
            "report" => {
                let running = positional(&mut arguments)?.parse()?;
                self.owner.note_load_report(now_ms, running);
            }
            "missing" => {
                let adapter = adapter(positional(&mut arguments)?)?;
                self.owner.adapter_missing(now_ms, &adapter);
            }
            "usability" => {
                let usability = match positional(&mut arguments)? {
                    "usable" => Usability::Usable,
                    "leaving" => Usability::Leaving,
                    "down" => Usability::Down,
                    "lease-lost" => Usability::LeaseLost,
                    _ => Usability::HandedOver,
                };
                self.owner.set_usability(now_ms, usability);
            }
            "new-owner" => {
                self.owner = Owner::new_engine("e1".into(), 2, self.settings);
            }
            "slots" => {
                let mut output = String::new();
                for (adapter, loaded, running) in self.owner.adapters() {
                    writeln!(output, "{adapter} loaded={loaded} running={running}")?;
                }
                let (running, queued) = (self.owner.running(), self.owner.queued());
                writeln!(output, "running={running} queued={queued}")?;
                return Ok(output);
            }
            other => return Err(format!("unknown command {other}").into()),
        }
        arguments.reject_next()?;
        self.effects()
    }
}
