//! The run ledger, which makes calls that must not be repeated run at most once.
//!
//! A claim is committed before the call is dispatched, and its outcome afterwards. A key with a
//! final outcome is never granted again. After the retention time only the recorded response is
//! dropped and the key is kept, unless the key carries its time of issue: calls with a key older
//! than the retention time are refused, so such a key can be removed without a call being run
//! twice.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::message::AdapterKey;

/// Digest of a key, workspace and service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest(pub [u8; 16]);

/// Digest of a call's method, path and body.
pub type BodyDigest = [u8; 16];

impl KeyDigest {
    /// The digest of a key.
    pub fn new(workspace: &str, service: &str, key: &str) -> Self {
        let mut hasher = Sha256::new();
        for part in [workspace, service, key] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(truncate_digest(&hasher.finalize()))
    }
}

/// The digest of a call: its method, path and body.
pub fn body_digest(method: &str, path: &str, body: &[u8]) -> BodyDigest {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    truncate_digest(&hasher.finalize())
}

fn truncate_digest(digest: &[u8]) -> [u8; 16] {
    let mut half = [0; 16];
    half.copy_from_slice(&digest[..16]);
    half
}

/// A claim to run a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: KeyDigest,
    /// The digest of the call.
    pub body: BodyDigest,
    /// The claim's id; a resent claim has the same id.
    pub claim_id: u128,
    /// The claiming gateway.
    pub gateway: Arc<str>,
    /// The epoch of its registration.
    pub gateway_epoch: u64,
    /// When the client issued the key, if the key carries it.
    pub issued_at_ms: Option<u64>,
}

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claiming gateway may run the call once.
    Granted,
    /// Another claim of this key is in progress.
    InProgress,
    /// The call ran with this response.
    Finished(Arc<RecordedAnswer>),
    /// The call ran; the response is no longer kept or was too large to keep.
    FinishedWithoutAnswer,
    /// Whether the call ran is unknown and will stay so.
    Unknown,
    /// The key was used for another call.
    OtherBody,
    /// The key is older than the retention time.
    TooOld,
    /// The ledger is full.
    Full,
    /// The claiming gateway's registration has ended, or the claim was already settled as not run.
    StaleGateway,
}

/// The outcome of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// It ran with this response, or `None` if the response was too large to keep.
    Finished(Option<Arc<RecordedAnswer>>),
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A response recorded for repetition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Arc<str>,
    /// The adapter that answered.
    pub adapter: Option<AdapterKey>,
    /// The body.
    pub body: Vec<u8>,
}

/// Limits of the ledger.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LedgerLimits {
    /// How long responses are kept, and keys that carry their time of issue.
    pub retention_ms: u64,
    /// Most keys; further new keys are refused.
    pub max_keys: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self { retention_ms: 24 * 3_600_000, max_keys: 1_000_000 }
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Record {
    body: BodyDigest,
    claim_id: u128,
    issued_at_ms: Option<u64>,
    state: RecordState,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
enum RecordState {
    Claimed { gateway: Arc<str>, gateway_epoch: u64 },
    Finished(Option<Arc<RecordedAnswer>>),
    NotRun,
    Unknown,
}

/// The claimed keys and their outcomes.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Ledger {
    limits: LedgerLimits,
    records: BTreeMap<KeyDigest, Record>,
    /// Settled keys with their settlement times, in order of settlement.
    settled: VecDeque<(u64, KeyDigest)>,
    /// The settled keys with recorded answers, in the same order.
    #[serde(skip)]
    answered: VecDeque<KeyDigest>,
    /// The bytes of all recorded answers.
    #[serde(skip)]
    answers_bytes: u64,
}

impl RecordedAnswer {
    /// The bytes that it takes, without a fixed part.
    pub fn size_bytes(&self) -> u64 {
        (self.body.len() + self.content_type.len()) as u64
    }
}

impl RecordState {
    fn answer_bytes(&self) -> u64 {
        match self {
            Self::Finished(Some(answer)) => answer.size_bytes(),
            Self::Claimed { .. } | Self::Finished(None) | Self::NotRun | Self::Unknown => 0,
        }
    }
}

impl Ledger {
    /// An empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the limits, which every replica must take from the log.
    pub fn set_limits(&mut self, limits: LedgerLimits) {
        self.limits = limits;
    }

    /// The bytes of all recorded answers.
    pub fn answers_bytes(&self) -> u64 {
        self.answers_bytes
    }

    /// Finds the recorded answers of a ledger that was decoded.
    pub(super) fn find_answers(&mut self) {
        for (_, key) in &self.settled {
            let answer_bytes = self.records.get(key).map_or(0, |it| it.state.answer_bytes());
            if answer_bytes > 0 {
                self.answered.push_back(*key);
                self.answers_bytes += answer_bytes;
            }
        }
    }

    /// Drops the recorded answers that were settled first until those that are left have at most
    /// `max_bytes`; their keys are kept, as at the end of the retention time.
    pub fn keep_answers(&mut self, max_bytes: u64) {
        while self.answers_bytes > max_bytes {
            let Some(key) = self.answered.pop_front() else { return };
            let Some(record) = self.records.get_mut(&key) else { continue };
            self.answers_bytes -= record.state.answer_bytes();
            record.state = RecordState::Finished(None);
        }
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True if there are no keys.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Processes a claim; `gateway_is_current` tells whether the claiming gateway's registration is
    /// still valid.
    pub fn claim(&mut self, now_ms: u64, claim: &Claim, gateway_is_current: bool) -> ClaimOutcome {
        self.expire(now_ms);
        if let Some(record) = self.records.get(&claim.key) {
            if record.body != claim.body {
                return ClaimOutcome::OtherBody;
            }
            let outcome = match &record.state {
                RecordState::Claimed { .. } if record.claim_id == claim.claim_id => {
                    Some(ClaimOutcome::Granted)
                }
                RecordState::Claimed { .. } => Some(ClaimOutcome::InProgress),
                RecordState::Finished(Some(answer)) => Some(ClaimOutcome::Finished(answer.clone())),
                RecordState::Finished(None) => Some(ClaimOutcome::FinishedWithoutAnswer),
                RecordState::Unknown => Some(ClaimOutcome::Unknown),
                // A late duplicate of a claim that was settled as not run must not be granted
                // again.
                RecordState::NotRun if record.claim_id == claim.claim_id => {
                    Some(ClaimOutcome::StaleGateway)
                }
                RecordState::NotRun => None,
            };
            if let Some(outcome) = outcome {
                return outcome;
            }
        }
        if !gateway_is_current {
            return ClaimOutcome::StaleGateway;
        }
        if self.is_too_old(now_ms, claim.issued_at_ms) {
            return ClaimOutcome::TooOld;
        }
        if self.records.len() >= self.limits.max_keys && !self.records.contains_key(&claim.key) {
            return ClaimOutcome::Full;
        }
        let state = RecordState::Claimed {
            gateway: claim.gateway.clone(),
            gateway_epoch: claim.gateway_epoch,
        };
        let record = Record {
            body: claim.body,
            claim_id: claim.claim_id,
            issued_at_ms: claim.issued_at_ms,
            state,
        };
        self.records.insert(claim.key, record);
        ClaimOutcome::Granted
    }

    fn is_too_old(&self, now_ms: u64, issued_at_ms: Option<u64>) -> bool {
        issued_at_ms.is_some_and(|issued| issued + self.limits.retention_ms <= now_ms)
    }

    /// Records the outcome of a claim; a settled claim stays as it is.
    pub fn settle(&mut self, now_ms: u64, key: KeyDigest, claim_id: u128, settlement: Settlement) {
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.claim_id != claim_id || !matches!(record.state, RecordState::Claimed { .. }) {
            return;
        }
        record.state = match settlement {
            Settlement::Finished(answer) => RecordState::Finished(answer),
            Settlement::NotRun => RecordState::NotRun,
            Settlement::Unknown => RecordState::Unknown,
        };
        let answer_bytes = record.state.answer_bytes();
        if answer_bytes > 0 {
            self.answered.push_back(key);
            self.answers_bytes += answer_bytes;
        }
        self.settled.push_back((now_ms, key));
    }

    /// Settles the open claims of a gateway whose registration has ended as unknown: whether the
    /// calls ran can no longer be found out.
    pub fn abandon_claims(&mut self, now_ms: u64, gateway: &str, up_to_epoch: u64) {
        for (key, record) in &mut self.records {
            let RecordState::Claimed { gateway: claim_gateway, gateway_epoch } = &record.state
            else {
                continue;
            };
            if &**claim_gateway != gateway || *gateway_epoch > up_to_epoch {
                continue;
            }
            record.state = RecordState::Unknown;
            self.settled.push_back((now_ms, *key));
        }
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((settled_at_ms, key)) = self.settled.front().copied() {
            if settled_at_ms + self.limits.retention_ms > now_ms {
                return;
            }
            self.settled.pop_front();
            let Some(record) = self.records.get_mut(&key) else { continue };
            if matches!(record.state, RecordState::Claimed { .. }) {
                continue;
            }
            let answer_bytes = record.state.answer_bytes();
            if answer_bytes > 0 {
                // Of the settled keys with an answer, this was the first.
                self.answered.pop_front();
                self.answers_bytes -= answer_bytes;
            }
            if let Some(issued_at_ms) = record.issued_at_ms {
                // A key may carry a time of issue after its settlement. It is removed only when
                // every call with it would be refused as too old.
                if issued_at_ms + self.limits.retention_ms <= now_ms {
                    self.records.remove(&key);
                } else {
                    self.settled.push_back((issued_at_ms.max(now_ms), key));
                    if answer_bytes > 0 {
                        self.answered.push_back(key);
                        self.answers_bytes += answer_bytes;
                    }
                }
                continue;
            }
            match &mut record.state {
                RecordState::Finished(answer) => *answer = None,
                // The call did not run, so a later claim may run it.
                RecordState::NotRun => {
                    self.records.remove(&key);
                }
                RecordState::Claimed { .. } | RecordState::Unknown => {}
            }
        }
    }
}
