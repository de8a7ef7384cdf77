//! The replicated state machine: configuration, run ledger, gateways and endpoints.

use std::sync::Arc;

use bincode::config::standard;
use serde::{Deserialize, Serialize};

use crate::binary;
use crate::control::config::Config;
use crate::control::fleet::{Fleet, ListedEndpoint, Registration};
use crate::control::ledger::{Claim, ClaimOutcome, KeyDigest, Ledger, LedgerLimits, Settlement};
use crate::control::placement::{HolderChoice, NewCopy};
use crate::control::registry::Registry;
use crate::document::Document;
use crate::error::{Error, Result};
use crate::message::{
    ApplyReply, Change, EndpointEnd, NewestVersion, RegisteredEndpoint, RequestStanding,
};
use crate::routing::RoutingConfiguration;

/// One entry's command.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Command {
    /// The leader's wall clock when it proposed this; the state's time never goes back.
    pub now_ms: u64,
    /// What is to be done.
    pub operation: Operation,
}

/// The operations of the state machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Operation {
    /// Sets bounds that every replica has to share.
    SetLimits(LedgerLimits),
    /// Takes declarations in.
    Apply {
        /// The declarations.
        documents: Vec<Document>,
    },
    /// Claims a call.
    Claim(Claim),
    /// Records what became of a claim.
    Settle {
        /// The key.
        key: KeyDigest,
        /// The claim's id.
        claim_id: u128,
        /// What became of it.
        settlement: Settlement,
    },
    /// Registers a gateway.
    Register(Registration),
    /// Ends the registration of a gateway whose lease ran out.
    Expire {
        /// The gateway.
        gateway: Arc<str>,
        /// The epoch of its registration.
        epoch: u64,
    },
    /// Takes a gateway out of the set that may own endpoints.
    Leave {
        /// The gateway.
        gateway: Arc<str>,
        /// The epoch of its registration.
        epoch: u64,
    },
    /// Passes an endpoint to its successor.
    Release {
        /// The endpoint.
        endpoint: Arc<str>,
        /// The epoch under which it was owned.
        epoch: u64,
    },
    /// Takes over what changed in the platform's list.
    List {
        /// Endpoints that are new or changed.
        listed: Vec<ListedEndpoint>,
        /// Endpoints that are gone.
        removed: Vec<Arc<str>>,
    },
    /// Takes a whole routing configuration in.
    PutRouting {
        /// The configuration.
        configuration: Arc<RoutingConfiguration>,
        /// The operator's own document.
        document: Arc<str>,
    },
    /// Registers an endpoint, or takes over what it tells anew.
    RegisterEndpoint(RegisteredEndpoint),
    /// Ends an endpoint's incarnation.
    DeregisterEndpoint(EndpointEnd),
    /// Names the newest version of weights.
    PutVersion(NewestVersion),
    /// Records which gateways give endpoints their orders from now on.
    ChooseHolders(Vec<HolderChoice>),
    /// Records which endpoints got copies of weights.
    NoteCopies(Vec<NewCopy>),
    /// Records how requests are treated under which endpoints ended.
    SetStandings(Vec<RequestStanding>),
}

/// What an operation came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Done, with nothing to tell.
    Done,
    /// The verdicts on declarations.
    Applied(ApplyReply),
    /// The answer to a claim.
    Claimed(ClaimOutcome),
    /// The epoch of a registration.
    Registered(u64),
    /// Taken in, or known before.
    Accepted,
}

/// Everything that is replicated.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct State {
    clock_ms: u64,
    /// The accepted configuration.
    pub config: Config,
    /// The run ledger.
    pub ledger: Ledger,
    /// Gateways and endpoints.
    pub fleet: Fleet,
    /// Routes and endpoints that register themselves.
    pub registry: Registry,
}

impl State {
    /// An empty state.
    pub fn new() -> Self {
        Self::default()
    }

    /// The latest time that any command carried.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Applies the command of the entry at `index`.
    pub fn apply(&mut self, index: u64, command: Command) -> (Outcome, Vec<Change>) {
        self.clock_ms = self.clock_ms.max(command.now_ms);
        match command.operation {
            Operation::SetLimits(limits) => {
                self.ledger.set_limits(limits);
                (Outcome::Done, Vec::new())
            }
            Operation::Apply { documents } => {
                let (reply, changes) = self.config.apply(index, documents, false);
                (Outcome::Applied(reply), changes)
            }
            Operation::Claim(claim) => {
                let current = self.fleet.gateway_epoch(&claim.gateway) == Some(claim.gateway_epoch);
                let outcome = self.ledger.claim(self.clock_ms, &claim, current);
                (Outcome::Claimed(outcome), Vec::new())
            }
            Operation::Settle { key, claim_id, settlement } => {
                self.ledger.settle(self.clock_ms, key, claim_id, settlement);
                (Outcome::Done, Vec::new())
            }
            Operation::Register(registration) => self.register(index, registration),
            Operation::Expire { gateway, epoch } => {
                let changes = self.fleet.expire(index, &gateway, epoch);
                if !changes.is_empty() {
                    self.ledger.abandon(self.clock_ms, &gateway, epoch);
                }
                (Outcome::Done, changes)
            }
            Operation::Leave { gateway, epoch } => {
                (Outcome::Done, self.fleet.leave(index, &gateway, epoch))
            }
            Operation::Release { endpoint, epoch } => {
                (Outcome::Done, self.fleet.release(index, &endpoint, epoch))
            }
            Operation::List { listed, removed } => {
                (Outcome::Done, self.fleet.list(index, listed, removed))
            }
            Operation::PutRouting { configuration, document } => {
                (Outcome::Accepted, self.registry.put_routing(configuration, document))
            }
            Operation::RegisterEndpoint(endpoint) => {
                (Outcome::Accepted, self.registry.register(endpoint))
            }
            Operation::DeregisterEndpoint(end) => (Outcome::Accepted, self.registry.end(&end)),
            Operation::PutVersion(newest) => (Outcome::Accepted, self.registry.put_version(newest)),
            Operation::ChooseHolders(choices) => {
                self.registry.choose_holders(index, choices);
                (Outcome::Done, Vec::new())
            }
            Operation::NoteCopies(copies) => {
                self.registry.note_copies(copies);
                (Outcome::Done, Vec::new())
            }
            Operation::SetStandings(standings) => {
                (Outcome::Done, self.registry.set_standings(standings))
            }
        }
    }

    fn register(&mut self, index: u64, registration: Registration) -> (Outcome, Vec<Change>) {
        let name = registration.name.clone();
        let earlier_epoch = self.fleet.gateway_epoch(&name);
        let changes = self.fleet.register(index, registration);
        let epoch = self.fleet.gateway_epoch(&name).unwrap_or(index);
        if let Some(earlier) = earlier_epoch
            && earlier < epoch
        {
            self.ledger.abandon(self.clock_ms, &name, earlier);
        }
        (Outcome::Registered(epoch), changes)
    }

    /// Everything a gateway follows, as if it had just been added.
    pub fn all_changes(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        for gateway in self.fleet.gateways().values() {
            changes.push(Change::Gateway(gateway.clone()));
        }
        for endpoint in self.fleet.endpoints().values() {
            changes.push(Change::Endpoint(endpoint.clone()));
        }
        for service in self.config.services() {
            changes.push(Change::Service(service.clone()));
        }
        changes.extend(self.registry.all_changes());
        changes
    }

    /// The encoded state, for a snapshot.
    pub fn encode(&self) -> Arc<[u8]> {
        bincode::serde::encode_to_vec(self, standard())
            .expect("the state holds only types that bincode can encode")
            .into()
    }

    /// Reads an encoded state.
    ///
    /// # Errors
    /// Bytes that are not an encoded state.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let damaged = |error| Error::damaged("decode", "snapshot", error);
        match binary::decode(bytes) {
            Ok(state) => Ok(state),
            // A snapshot without standings, which come last: none stand as one zero.
            Err(error) => binary::decode(&[bytes, &[0]].concat()).map_err(|_| damaged(error)),
        }
    }
}

impl Command {
    /// The encoded command, for a log entry.
    pub fn encode(&self) -> Arc<[u8]> {
        bincode::serde::encode_to_vec(self, standard())
            .expect("commands hold only types that bincode can encode")
            .into()
    }

    /// Reads an encoded command.
    ///
    /// # Errors
    /// Bytes that are not an encoded command.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        binary::decode(bytes).map_err(|error| Error::damaged("decode", "command", error))
    }
}
