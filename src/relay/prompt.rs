//! The parts of prompts: what they have in common as features, and which of them each endpoint has in
//! its prefix cache.
//!
//! An engine skips a part of a prompt that it has cached for the same weights, if it has cached all
//! parts before it too. The content of the cache is estimated from the prompts sent there, with the
//! least recently used parts evicted first.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::hash;
use crate::message::{FeatureKey, WeightsName};

/// The number of parts of a prompt that are considered; clients may send any number.
const PARTS_MAX: usize = 64;
/// The smallest size that a part counts as. It keeps clients from filling a gateway's memory with
/// empty parts; engines cache prompts in blocks of about this size.
const PART_TOKENS_MIN: u32 = 16;
/// The number of uses kept per part before stale ones are dropped.
const USES_PER_PART_MAX: usize = 4;
/// The number of uses that are always kept.
const USES_MIN: usize = 256;

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The identity of the part's content.
    pub id: u64,
    /// The length of the part.
    pub tokens: u32,
}

/// The features of a prompt: its parts but the last, which belongs to the request or its session.
pub(super) fn shared_features(parts: &[PromptPart]) -> Vec<FeatureKey> {
    let mut features = Vec::new();
    let Some((_own, shared)) = parts.split_last() else { return features };
    for part in shared.iter().take(PARTS_MAX) {
        let key = FeatureKey::of_prompt_part(part.id);
        if !features.contains(&key) {
            features.push(key);
        }
    }
    features
}

/// A part together with all parts before it, for one adapter.
#[derive(Debug, Clone, Copy)]
struct Link {
    hash: u64,
    tokens: u32,
}

/// The parts of one prompt in order. The last part is specific to the request, the others are
/// shared.
#[derive(Debug, Clone, Default)]
pub struct PromptChain {
    links: Arc<[Link]>,
}

impl PromptChain {
    /// Creates the chain of `parts` for `weights`.
    pub fn new(weights: &WeightsName, parts: &[PromptPart]) -> Self {
        let mut link_hash = hash::stable(&weights.to_string());
        let mut links = Vec::with_capacity(parts.len());
        for part in parts.iter().take(PARTS_MAX) {
            link_hash = hash::chained(link_hash, &part.id.to_le_bytes());
            let tokens = part.tokens.max(PART_TOKENS_MIN);
            links.push(Link { hash: link_hash, tokens });
        }
        Self { links: links.into() }
    }

    /// The hash and the length of the shared parts.
    pub fn shared(&self) -> Option<(u64, u32)> {
        let (_, shared) = self.links.split_last()?;
        let last = shared.last()?;
        let tokens = shared.iter().fold(0, |sum: u32, link| sum.saturating_add(link.tokens));
        Some((last.hash, tokens))
    }
}

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u32,
    used: u64,
}

/// An estimate of an endpoint's prefix cache, from the prompts that this gateway sent there.
#[derive(Debug, Default)]
pub struct PrefixCache {
    parts: HashMap<u64, CachedPart>,
    /// Each use of a part as hash and use number, oldest first.
    uses: VecDeque<(u64, u64)>,
    tokens: u64,
    count: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// The number of cached parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// True if no part is cached.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// The tokens of `chain` that the endpoint does not have to read.
    pub fn cached_tokens(&self, chain: &PromptChain) -> u32 {
        let mut tokens: u32 = 0;
        for link in &*chain.links {
            if !self.parts.contains_key(&link.hash) {
                break;
            }
            tokens = tokens.saturating_add(link.tokens);
        }
        tokens
    }

    /// Records that `chain` was sent to an endpoint whose cache holds `capacity_tokens`.
    pub fn note(&mut self, chain: &PromptChain, capacity_tokens: u64) {
        for link in &*chain.links {
            self.count += 1;
            let used = self.count;
            let known = self.parts.insert(link.hash, CachedPart { tokens: link.tokens, used });
            // Clients may send the same part with different lengths.
            self.tokens += u64::from(link.tokens);
            self.tokens -= known.map_or(0, |kept| u64::from(kept.tokens));
            self.uses.push_back((link.hash, used));
        }
        self.evict_least_recently_used(capacity_tokens);
        if self.uses.len() > self.parts.len() * USES_PER_PART_MAX + USES_MIN {
            let parts = &self.parts;
            self.uses.retain(|(hash, used)| parts.get(hash).is_some_and(|kept| kept.used == *used));
        }
    }

    fn evict_least_recently_used(&mut self, capacity_tokens: u64) {
        while self.tokens > capacity_tokens {
            let Some((hash, used)) = self.uses.pop_front() else { return };
            let Some(kept) = self.parts.get(&hash) else { continue };
            if kept.used != used {
                continue;
            }
            self.tokens -= u64::from(kept.tokens);
            self.parts.remove(&hash);
        }
    }
}
