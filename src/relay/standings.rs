//! How this gateway treats requests under which endpoints ended, as the leader told it.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::message::{RequestKey, RequestStanding, Standing};

/// How long a client waits that comes while another try decides.
const DECIDED_MS: u64 = 2_000;
/// How long another gateway's trial may take; after that the leader may give it to this one.
const TRIAL_MS: u64 = 15_000;
/// The shortest time after which a client that was refused should come again.
const COME_BACK_MIN_MS: u64 = 1_000;

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// Like any other.
    Free,
    /// To one endpoint, not again within the same try.
    Once,
    /// Not now; its client may come again after this time.
    Refused {
        /// That time.
        after_ms: u64,
    },
    /// It was held long enough: the leader has to be asked.
    Ask,
}

#[derive(Debug)]
struct Known {
    standing: Standing,
    since_ms: u64,
}

/// The standings of requests that are not like all others.
#[derive(Debug)]
pub struct Standings {
    gateway: Arc<str>,
    known: HashMap<RequestKey, Known>,
    /// Trials of this gateway that were used.
    tried: HashSet<RequestKey>,
    /// How many requests wait for a trial.
    waiting: HashMap<RequestKey, usize>,
}

impl Standings {
    /// None yet, for this `gateway`.
    pub fn new(gateway: Arc<str>) -> Self {
        Self { gateway, known: HashMap::new(), tried: HashSet::new(), waiting: HashMap::new() }
    }

    /// True when all requests are alike; none needs to be looked at.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// True when the leader wants to know that the request was served.
    pub fn is_watched(&self, key: &RequestKey) -> bool {
        self.known.contains_key(key)
    }

    /// Applies what the leader decided; true for a trial of this gateway that no request waits for.
    pub fn apply(&mut self, now_ms: u64, standing: RequestStanding) -> bool {
        let RequestStanding { key, standing, .. } = standing;
        self.tried.remove(&key);
        if standing == Standing::Cleared {
            self.known.remove(&key);
            return false;
        }
        let is_own_trial =
            matches!(&standing, Standing::OnTrial { gateway, .. } if *gateway == self.gateway);
        self.known.insert(key, Known { standing, since_ms: now_ms });
        is_own_trial && !self.waiting.contains_key(&key)
    }

    /// Notes that a request waits for a trial.
    pub fn begin_wait(&mut self, key: RequestKey) {
        *self.waiting.entry(key).or_insert(0) += 1;
    }

    /// Notes that a request waits no longer.
    pub fn end_wait(&mut self, key: &RequestKey) {
        let Some(waiting) = self.waiting.get_mut(key) else { return };
        *waiting -= 1;
        if *waiting == 0 {
            self.waiting.remove(key);
        }
    }

    /// Forgets everything that `keys` does not name, which is all that the leader knows.
    pub fn keep_only(&mut self, keys: &HashSet<RequestKey>) {
        self.known.retain(|key, _| keys.contains(key));
    }

    /// Whether a request may be sent.
    pub fn permission(&self, now_ms: u64, key: RequestKey) -> Permission {
        let Some(Known { standing, since_ms }) = self.known.get(&key) else {
            return Permission::Free;
        };
        let age_ms = now_ms.saturating_sub(*since_ms);
        match standing {
            Standing::Watched | Standing::Cleared => Permission::Free,
            Standing::Suspected => Permission::Once,
            Standing::Held { for_ms, .. } if age_ms < *for_ms => {
                Permission::Refused { after_ms: (for_ms - age_ms).max(COME_BACK_MIN_MS) }
            }
            Standing::OnTrial { gateway, .. } => {
                let decided_ms = if *gateway == self.gateway { DECIDED_MS } else { TRIAL_MS };
                if age_ms >= decided_ms {
                    return Permission::Ask;
                }
                Permission::Refused { after_ms: DECIDED_MS }
            }
            Standing::Held { .. } => Permission::Ask,
        }
    }

    /// For how long a request is held from now on; none when it may be sent.
    pub fn held_for_ms(&self, now_ms: u64, key: &RequestKey) -> Option<u64> {
        let Known { standing: Standing::Held { for_ms, .. }, since_ms } = self.known.get(key)?
        else {
            return None;
        };
        Some((since_ms + for_ms).saturating_sub(now_ms).max(COME_BACK_MIN_MS))
    }

    /// Takes the trial that the leader gave to this gateway; false when there is none, or no longer.
    pub fn take_trial(&mut self, key: &RequestKey) -> bool {
        let Some(Known { standing: Standing::OnTrial { gateway, .. }, .. }) = self.known.get(key)
        else {
            return false;
        };
        *gateway == self.gateway && self.tried.insert(*key)
    }

    /// True when this gateway has used its trial of the request.
    pub fn has_used_trial(&self, key: &RequestKey) -> bool {
        self.tried.contains(key)
    }
}
