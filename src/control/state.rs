//! The replicated state machine: configuration, run ledger, gateways, endpoints and routing.

use std::sync::Arc;

use bincode::config::standard;
use serde::{Deserialize, Serialize};

use crate::binary;
use crate::control::config::Config;
use crate::control::fleet::{Fleet, ListedEndpoint, Registration};
use crate::control::ledger::{Claim, ClaimOutcome, KeyDigest, Ledger, LedgerLimits, Settlement};
use crate::control::legacy;
use crate::control::placement::{HolderChoice, NewCopy};
use crate::control::registry::Registry;
use crate::control::software::ServiceSoftware;
use crate::document::Document;
use crate::error::{Error, Result};
use crate::message::{
    ApplyReply, Change, EndpointEnd, FeatureStanding, NewestVersion, RegisteredEndpoint,
};
use crate::routing::RoutingConfiguration;

/// The command of a log entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Command {
    /// The leader's wall clock at the proposal; the time of the state never goes back.
    pub now_ms: u64,
    /// The operation.
    pub operation: Operation,
}

/// The operations of the state machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Operation {
    /// Sets the limits of the run ledger, which all replicas must share.
    SetLimits(LedgerLimits),
    /// Applies declarations.
    Apply {
        /// The declarations.
        documents: Vec<Document>,
    },
    /// Claims the execution of a call.
    Claim(Claim),
    /// Records the outcome of a claim.
    Settle {
        /// The key.
        key: KeyDigest,
        /// The claim's id.
        claim_id: u128,
        /// The outcome.
        settlement: Settlement,
    },
    /// Registers a gateway.
    Register(Registration),
    /// Ends the registration of a gateway whose lease has expired.
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
    /// Hands an endpoint over to its successor.
    Release {
        /// The endpoint.
        endpoint: Arc<str>,
        /// The epoch under which it was owned.
        epoch: u64,
    },
    /// Applies changes in the platform's list.
    List {
        /// Endpoints that are new or changed.
        listed: Vec<ListedEndpoint>,
        /// Endpoints that are gone.
        removed: Vec<Arc<str>>,
    },
    /// Replaces the routing configuration.
    PutRouting {
        /// The configuration.
        configuration: Arc<RoutingConfiguration>,
        /// The operator's own document.
        document: Arc<str>,
    },
    /// Registers an endpoint or updates its registration.
    RegisterEndpoint(RegisteredEndpoint),
    /// Ends an endpoint's incarnation.
    DeregisterEndpoint(EndpointEnd),
    /// Sets the newest version of weights.
    PutVersion(NewestVersion),
    /// Records which gateways send orders to endpoints from now on.
    ChooseHolders(Vec<HolderChoice>),
    /// Records which endpoints got copies of weights.
    NoteCopies(Vec<NewCopy>),
    /// Sets the standings of requests that may have caused endpoint crashes.
    SetStandings(Vec<FeatureStanding>),
    /// Forgets software versions that have had no endpoint for long.
    ForgetSoftware(Vec<ServiceSoftware>),
    /// Drops the oldest recorded answers of calls that run once.
    KeepAnswers {
        /// The most bytes of those that are kept.
        max_bytes: u64,
    },
}

/// The outcome of an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Done, without a result.
    Done,
    /// The verdicts on declarations.
    Applied(ApplyReply),
    /// The answer to a claim.
    Claimed(ClaimOutcome),
    /// The epoch of a registration.
    Registered(u64),
    /// Accepted, or known before.
    Accepted,
}

/// The replicated state.
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
            Operation::KeepAnswers { max_bytes } => {
                self.ledger.keep_answers(max_bytes);
                (Outcome::Done, Vec::new())
            }
            Operation::Register(registration) => self.register(index, registration),
            Operation::Expire { gateway, epoch } => {
                let changes = self.fleet.expire(index, &gateway, epoch);
                if !changes.is_empty() {
                    self.ledger.abandon_claims(self.clock_ms, &gateway, epoch);
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
                self.registry.record_copies(copies);
                (Outcome::Done, Vec::new())
            }
            Operation::SetStandings(standings) => {
                (Outcome::Done, self.registry.set_standings(standings))
            }
            Operation::ForgetSoftware(forgotten) => {
                self.registry.forget_software(forgotten);
                (Outcome::Done, Vec::new())
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
            self.ledger.abandon_claims(self.clock_ms, &name, earlier);
        }
        (Outcome::Registered(epoch), changes)
    }

    /// The changes that build up all state that gateways follow.
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

    /// Decodes a state.
    ///
    /// # Errors
    /// Bytes that are not an encoded state.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let damaged = |error| Error::damaged("decode", "snapshot", error);
        let mut state: Self = match binary::decode(bytes) {
            Ok(state) => state,
            Err(error) => legacy::decode(bytes).map_err(|_| damaged(error))?,
        };
        state.ledger.find_answers();
        Ok(state)
    }

    /// Puts the state of an older snapshot together.
    pub(super) fn from_parts(
        clock_ms: u64,
        config: Config,
        ledger: Ledger,
        fleet: Fleet,
        registry: Registry,
    ) -> Self {
        Self { clock_ms, config, ledger, fleet, registry }
    }
}

impl Command {
    /// The encoded command, for a log entry.
    pub fn encode(&self) -> Arc<[u8]> {
        bincode::serde::encode_to_vec(self, standard())
            .expect("commands hold only types that bincode can encode")
            .into()
    }

    /// Decodes a command.
    ///
    /// # Errors
    /// Bytes that are not an encoded command.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let damaged = |error| Error::damaged("decode", "command", error);
        match binary::decode(bytes) {
            Ok(command) => Ok(command),
            // Older registrations of endpoints end without a software version, the last field;
            // appending a zero byte decodes it as none.
            Err(error) => binary::decode(&[bytes, &[0]].concat()).map_err(|_| damaged(error)),
        }
    }
}
