//! How long a request waits at an engine before its first token.
//!
//! Engines read prompts one after the other, so that one long prompt holds up every request that
//! comes after it. What waits there is known from what was sent and not answered yet.

/// What reading a token takes until answers showed it; engines of the users' deployments take this.
const FIRST_TOKEN_US: f64 = 26.0;
/// Prompts below this tell more of links and batches than of reading.
const PACE_PROMPT_MIN_TOKENS: u32 = 500;
/// Which share of the answers came faster than the pace: most wait a little behind others, so the
/// faster ones tell it.
const PACE_QUANTILE: f64 = 0.3;
/// How far one answer moves the pace.
const PACE_STEP: f64 = 0.05;

/// How fast engines read prompts, learnt from answers.
#[derive(Debug, Clone, Copy)]
pub struct ReadingPace {
    token_us: f64,
}

impl ReadingPace {
    /// The pace before any answer.
    pub fn new() -> Self {
        Self { token_us: FIRST_TOKEN_US }
    }

    /// Takes in that a prompt of `tokens` had its first token after `took_ms`.
    pub fn note(&mut self, tokens: u32, took_ms: u64) {
        if tokens < PACE_PROMPT_MIN_TOKENS {
            return;
        }
        let seen_us = took_ms as f64 * 1_000.0 / f64::from(tokens);
        let factor = if seen_us < self.token_us {
            1.0 - PACE_STEP * (1.0 - PACE_QUANTILE)
        } else {
            1.0 + PACE_STEP * PACE_QUANTILE
        };
        self.token_us *= factor;
    }

    /// How long `tokens` take.
    pub fn reading_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.token_us / 1_000.0
    }
}

impl Default for ReadingPace {
    fn default() -> Self {
        Self::new()
    }
}

/// One request that was sent.
#[derive(Debug, Clone, Copy)]
struct Unanswered {
    number: u64,
    sent_at_ms: u64,
    tokens: u32,
}

/// The requests that one endpoint has not begun to answer.
#[derive(Debug, Default)]
pub struct Waiting {
    own: Vec<Unanswered>,
    others_tokens: u32,
    answered_at_ms: u64,
}

impl Waiting {
    /// Nothing waits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that is sent under `number`.
    pub fn send(&mut self, now_ms: u64, number: u64, tokens: u32) {
        self.own.push(Unanswered { number, sent_at_ms: now_ms, tokens });
    }

    /// Ends the wait of `number`; returns its tokens and how long it took, if it waited.
    pub fn end(&mut self, now_ms: u64, number: u64) -> Option<(u32, u64)> {
        let position = self.own.iter().position(|sent| sent.number == number)?;
        let ended = self.own.swap_remove(position);
        Some((ended.tokens, now_ms.saturating_sub(ended.sent_at_ms)))
    }

    /// Notes that the endpoint began an answer.
    pub fn answered(&mut self, now_ms: u64) {
        self.answered_at_ms = now_ms;
    }

    /// Notes the tokens that the other gateways have waiting here.
    pub fn set_others(&mut self, tokens: u32) {
        self.others_tokens = tokens;
    }

    /// The tokens that this gateway has waiting here.
    pub fn own_tokens(&self) -> u32 {
        self.own.iter().fold(0, |tokens, sent| tokens.saturating_add(sent.tokens))
    }

    /// How long a request sent now would wait.
    pub fn wait_ms(&self, now_ms: u64, pace: ReadingPace) -> f64 {
        let reading_ms = pace.reading_ms(self.own_tokens().saturating_add(self.others_tokens));
        reading_ms.max(self.silent_ms(now_ms) as f64)
    }

    /// For how long something has waited here while nothing at all was answered.
    fn silent_ms(&self, now_ms: u64) -> u64 {
        let Some(oldest) = self.own.iter().map(|sent| sent.sent_at_ms).min() else { return 0 };
        if self.answered_at_ms > oldest {
            return 0;
        }
        now_ms.saturating_sub(oldest)
    }
}
