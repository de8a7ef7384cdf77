//! The parts of prompts, and which of them an endpoint still keeps.
//!
//! An engine does not read a part again that it keeps for the same weights, if it keeps every part
//! before it too. What it keeps is guessed from what was sent there: the parts unused longest give way.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::hash;
use crate::message::WeightsName;

/// Parts of a prompt that are looked at; clients may tell any number.
const PARTS_MAX: usize = 64;
/// A part counts as at least this much, so that clients cannot fill a gateway's memory with empty
/// parts; engines keep prompts in blocks of about this size.
const PART_TOKENS_MIN: u32 = 16;
/// Uses that are remembered for each part before the outdated ones are dropped.
const USES_PER_PART_MAX: usize = 4;
/// Uses that are remembered in any case.
const USES_MIN: usize = 256;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// What tells it from other parts.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// A part together with all parts before it, for one adapter.
#[derive(Debug, Clone, Copy)]
struct Link {
    hash: u64,
    tokens: u32,
}

/// The parts of one prompt in order. The last one is the request's own, the others are shared.
#[derive(Debug, Clone, Default)]
pub struct PromptChain {
    links: Arc<[Link]>,
}

impl PromptChain {
    /// The chain of `parts` for `weights`.
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

    /// The hash of what the prompt shares with others, and its tokens.
    pub fn shared(&self) -> Option<(u64, u32)> {
        let (_, shared) = self.links.split_last()?;
        let last = shared.last()?;
        let tokens = shared.iter().fold(0, |sum: u32, link| sum.saturating_add(link.tokens));
        Some((last.hash, tokens))
    }
}

#[derive(Debug, Clone, Copy)]
struct Kept {
    tokens: u32,
    used: u64,
}

/// What an endpoint keeps of the prompts that this gateway sent there.
#[derive(Debug, Default)]
pub struct PrefixCache {
    parts: HashMap<u64, Kept>,
    /// Each use of a part, the oldest first.
    uses: VecDeque<(u64, u64)>,
    tokens: u64,
    count: u64,
}

impl PrefixCache {
    /// Keeps nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// How many parts are remembered.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// True when nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// The tokens of `chain` that need not be read.
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

    /// Notes that `chain` was sent, where there is room for `capacity_tokens`.
    pub fn note(&mut self, chain: &PromptChain, capacity_tokens: u64) {
        for link in &*chain.links {
            self.count += 1;
            let used = self.count;
            let known = self.parts.insert(link.hash, Kept { tokens: link.tokens, used });
            // Clients may tell a part again with another length.
            self.tokens += u64::from(link.tokens);
            self.tokens -= known.map_or(0, |kept| u64::from(kept.tokens));
            self.uses.push_back((link.hash, used));
        }
        self.drop_unused_longest(capacity_tokens);
        if self.uses.len() > self.parts.len() * USES_PER_PART_MAX + USES_MIN {
            let parts = &self.parts;
            self.uses.retain(|(hash, used)| parts.get(hash).is_some_and(|kept| kept.used == *used));
        }
    }

    fn drop_unused_longest(&mut self, capacity_tokens: u64) {
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
