//! The adapters of a model server, and the orders for them.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::server::say;

/// How long an adapter takes from the store.
const LOAD: Duration = Duration::from_millis(250);
/// As many may be on their way at once.
const COMING_MAX: usize = 4;

pub struct Engine {
    model: String,
    adapter_slots: usize,
    sequence: u64,
    adapters: BTreeMap<String, Adapter>,
}

struct Adapter {
    ready_at: Instant,
    users: u32,
}

/// A use of an adapter, until it is dropped.
pub struct Place<'a> {
    pub engine: &'a Mutex<Engine>,
    pub adapter: String,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if let Some(adapter) = self.engine.lock().unwrap().adapters.get_mut(&self.adapter) {
            adapter.users -= 1;
        }
    }
}

impl Engine {
    pub fn new(model: String, adapter_slots: usize) -> Self {
        Self { model, adapter_slots, sequence: 0, adapters: BTreeMap::new() }
    }

    /// Begins to use an adapter; false if it is not held.
    pub fn begin_use(&mut self, name: &str) -> bool {
        let Some(adapter) = self.adapters.get_mut(name) else { return false };
        if adapter.ready_at > Instant::now() {
            return false;
        }
        adapter.users += 1;
        true
    }

    fn names(&self, ready: bool) -> Vec<String> {
        let now = Instant::now();
        let of = self.adapters.iter().filter(|(_, adapter)| (adapter.ready_at <= now) == ready);
        of.map(|(name, _)| name.clone()).collect()
    }

    /// The models as check-ins and reports list them.
    pub fn models(&self) -> String {
        let held: Vec<String> =
            self.names(true).iter().map(|name| format!("\"{name}@1\"")).collect();
        let (model, held) = (&self.model, held.join(","));
        format!("[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[{held}]}}]")
    }

    pub fn report(&self, running: u64) -> String {
        let coming: Vec<String> =
            self.names(false).iter().map(|name| format!("\"{}/{name}@1\"", self.model)).collect();
        format!(
            "{{\"stage\":\"both\",\"models\":{},\"busy\":false,\"sequence\":{},\"queue_depth\":0,\
             \"running\":{running},\"kv_used\":0,\"kv_total\":250000,\"handles\":0,\"coming\":[{}]}}",
            self.models(),
            self.sequence,
            coming.join(",")
        )
    }

    /// Takes an order; returns the status of the answer.
    pub fn order(&mut self, id: &str, body: &str) -> &'static str {
        let (Some(operation), Some(_), Some(_)) =
            (text_of(body, "operation"), text_of(body, "holder"), number_of(body, "fencing_token"))
        else {
            return "400 Bad Request";
        };
        let Some(name) = text_of(body, "adapter") else {
            // The base model is held from the start.
            return "200 OK";
        };
        if number_of(body, "expected").is_some_and(|expected| expected != self.sequence) {
            say(&format!("order {operation} {name} at {id}: conflict"));
            return "409 Conflict";
        }
        let now = Instant::now();
        let status = match (operation.as_str(), self.adapters.get(&name)) {
            ("loading", Some(adapter)) if adapter.ready_at <= now => "200 OK",
            ("loading", Some(_)) => "202 Accepted",
            ("loading", None) => self.load(id, &name, now),
            ("unloading", Some(adapter)) if adapter.users > 0 => "202 Accepted",
            ("unloading", Some(_)) => {
                self.adapters.remove(&name);
                self.sequence += 1;
                "200 OK"
            }
            ("unloading", None) => "200 OK",
            _ => "400 Bad Request",
        };
        say(&format!(
            "order {operation} {name} at {id}: {status}, {} of {} adapters",
            self.adapters.len(),
            self.adapter_slots
        ));
        status
    }

    fn load(&mut self, id: &str, name: &str, now: Instant) -> &'static str {
        if self.adapters.len() >= self.adapter_slots {
            let held: Vec<&str> = self.adapters.keys().map(String::as_str).collect();
            say(&format!(
                "LIMIT: {id} holds {} of {} adapters ({}) and is ordered to load {name}: it falls",
                held.len(),
                self.adapter_slots,
                held.join(" ")
            ));
            std::process::exit(1);
        }
        let coming = self.adapters.values().filter(|adapter| adapter.ready_at > now).count();
        if coming >= COMING_MAX {
            return "409 Conflict";
        }
        self.adapters.insert(name.to_owned(), Adapter { ready_at: now + LOAD, users: 0 });
        self.sequence += 1;
        "202 Accepted"
    }
}

/// The text of a field of a flat JSON object.
fn text_of(body: &str, field: &str) -> Option<String> {
    let rest = after(body, field)?.strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}

fn number_of(body: &str, field: &str) -> Option<u64> {
    let rest = after(body, field)?;
    let end = rest.find(|sign: char| !sign.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

fn after<'a>(body: &'a str, field: &str) -> Option<&'a str> {
    let name = format!("\"{field}\"");
    let rest = &body[body.find(&name)? + name.len()..];
    Some(rest.trim_start().strip_prefix(':')?.trim_start())
}
