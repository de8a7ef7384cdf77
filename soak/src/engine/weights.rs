//! What an engine holds, and how it carries out orders.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value, json};

/// The base model that every engine holds, or loads first.
pub const BASE: &str = "base";
/// Adapters that an engine holds at once.
pub const ADAPTERS_MAX: usize = 8;
/// A load of the base model from the engine's own disk.
const BASE_LOAD_MS: u64 = 400;
/// A load of an adapter from the store.
const STORE_LOAD_MS: u64 = 250;
/// A load of an adapter that the engine had before.
const COPY_LOAD_MS: u64 = 25;

/// One order.
#[derive(Debug, Clone)]
pub struct Order {
    is_load: bool,
    adapter: Option<String>,
    version: Option<u64>,
    expected: Option<u64>,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is done, or was so before.
    Done,
    /// It is being carried out.
    UnderWay,
    /// Another one is under way, or the expected sequence differs.
    Conflict,
    /// It concerns what is not here.
    Missing,
    /// It goes beyond what the engine has room for; a real one ends.
    NoRoom,
}

/// Why a request does not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotBegun {
    /// The weights are not here, or not in the version that the request names.
    Missing,
    /// An order concerns them.
    Closed,
}

#[derive(Debug, Clone)]
struct Held {
    version: u64,
    ready_at_ms: u64,
    running: u32,
    /// What replaces it once its runs have ended.
    next: Option<u64>,
    /// True once it goes when its runs have ended.
    leaves: bool,
}

impl Held {
    fn new(version: u64, ready_at_ms: u64) -> Self {
        Self { version, ready_at_ms, running: 0, next: None, leaves: false }
    }

    fn is_open(&self, now_ms: u64) -> bool {
        self.ready_at_ms <= now_ms && self.next.is_none() && !self.leaves
    }
}

/// What an engine holds.
#[derive(Debug, Default)]
pub struct Weights {
    sequence: u64,
    base: Option<Held>,
    adapters: BTreeMap<String, Held>,
    copies: BTreeSet<(String, u64)>,
}

impl Order {
    /// Reads an order's body; none when it is not an order.
    pub fn read(body: &[u8]) -> Option<Self> {
        let body: Value = serde_json::from_slice(body).ok()?;
        let operation = body["operation"].as_str()?;
        body["holder"].as_str()?;
        body["fencing_token"].as_u64()?;
        Some(Self {
            is_load: operation == "loading",
            adapter: body["adapter"].as_str().map(str::to_owned),
            version: body["version"].as_u64(),
            expected: body["expected"].as_u64(),
        })
    }

    /// The adapter that it concerns.
    pub fn adapter(&self) -> Option<&str> {
        self.adapter.as_deref()
    }
}

impl Weights {
    /// An engine that starts with its base model.
    pub fn with_base() -> Self {
        Self { base: Some(Held::new(1, 0)), ..Self::default() }
    }

    /// True when the base model is here.
    pub fn has_base(&self, now_ms: u64) -> bool {
        self.base.as_ref().is_some_and(|base| base.is_open(now_ms))
    }

    /// Carries out `order`; `newest` is the version that the store has.
    pub fn order(&mut self, now_ms: u64, order: &Order, newest: u64) -> Outcome {
        if order.expected.is_some_and(|expected| expected != self.sequence) || self.is_busy(now_ms)
        {
            return Outcome::Conflict;
        }
        match (&order.adapter, order.is_load) {
            (None, true) => self.load_base(now_ms),
            (Some(adapter), true) => self.load(now_ms, adapter, order.version.unwrap_or(newest)),
            (Some(adapter), false) => self.unload(adapter),
            (None, false) => Outcome::Missing,
        }
    }

    fn is_busy(&self, now_ms: u64) -> bool {
        self.base.as_ref().is_some_and(|base| base.ready_at_ms > now_ms)
            || self.adapters.values().any(|held| held.leaves || held.next.is_some())
    }

    fn load_base(&mut self, now_ms: u64) -> Outcome {
        if self.base.is_some() {
            return Outcome::Done;
        }
        self.sequence += 1;
        self.base = Some(Held::new(1, now_ms + BASE_LOAD_MS));
        Outcome::UnderWay
    }

    fn load(&mut self, now_ms: u64, adapter: &str, version: u64) -> Outcome {
        if !self.has_base(now_ms) {
            return Outcome::Missing;
        }
        let has_copy = !self.copies.insert((adapter.to_owned(), version));
        let ready_at_ms = now_ms + if has_copy { COPY_LOAD_MS } else { STORE_LOAD_MS };
        let is_full = self.adapters.len() >= ADAPTERS_MAX;
        match self.adapters.get_mut(adapter) {
            Some(held) if held.version == version && held.ready_at_ms <= now_ms => Outcome::Done,
            Some(held) if held.version == version => Outcome::UnderWay,
            Some(held) => {
                self.sequence += 1;
                if held.running > 0 {
                    held.next = Some(version);
                } else {
                    *held = Held::new(version, ready_at_ms);
                }
                Outcome::UnderWay
            }
            None if is_full => Outcome::NoRoom,
            None => {
                self.sequence += 1;
                self.adapters.insert(adapter.to_owned(), Held::new(version, ready_at_ms));
                Outcome::UnderWay
            }
        }
    }

    fn unload(&mut self, adapter: &str) -> Outcome {
        let Some(held) = self.adapters.get_mut(adapter) else { return Outcome::Missing };
        self.sequence += 1;
        if held.running > 0 {
            held.leaves = true;
            return Outcome::UnderWay;
        }
        self.adapters.remove(adapter);
        Outcome::Done
    }

    /// Whether a request that names `version` may wait here.
    pub fn accepts(&self, adapter: &str, version: Option<u64>) -> bool {
        let Some(held) = self.adapters.get(adapter) else { return false };
        version.is_none_or(|version| version == held.version)
    }

    /// A request begins; the version that it runs on.
    ///
    /// # Errors
    /// Why it does not.
    pub fn begin(&mut self, now_ms: u64, adapter: &str) -> Result<u64, NotBegun> {
        let held = self.adapters.get_mut(adapter).ok_or(NotBegun::Missing)?;
        if !held.is_open(now_ms) {
            return Err(NotBegun::Closed);
        }
        held.running += 1;
        Ok(held.version)
    }

    /// A request has ended.
    pub fn end(&mut self, now_ms: u64, adapter: &str) {
        let Some(held) = self.adapters.get_mut(adapter) else { return };
        held.running = held.running.saturating_sub(1);
        if held.running > 0 {
            return;
        }
        if held.leaves {
            self.adapters.remove(adapter);
        } else if let Some(version) = held.next {
            *held = Held::new(version, now_ms + STORE_LOAD_MS);
        }
    }

    /// What the engine tells of its weights, in heartbeats and reports.
    pub fn tell(&self, now_ms: u64) -> Value {
        if !self.has_base(now_ms) {
            return json!([]);
        }
        let mut adapters = Vec::new();
        for (name, held) in &self.adapters {
            if held.ready_at_ms <= now_ms {
                adapters.push(format!("{name}@{}", held.version));
            }
        }
        json!([{"name": BASE, "version": 1, "adapters": adapters}])
    }

    /// A report of the incarnation that was born at `born_ms`.
    pub fn report(&self, now_ms: u64, born_ms: u64) -> Value {
        let mut coming = Vec::new();
        for (name, held) in &self.adapters {
            if held.ready_at_ms > now_ms {
                coming.push(format!("{BASE}/{name}@{}", held.version));
            }
        }
        json!({
            "born": born_ms, "stage": "both", "models": self.tell(now_ms), "coming": coming,
            "busy": self.is_busy(now_ms), "sequence": self.sequence, "queue_depth": 0,
            "running": 0, "kv_used": 0, "kv_total": 200_000, "handles": 0,
        })
    }
}
