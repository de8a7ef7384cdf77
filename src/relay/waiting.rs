//! Estimates how long a request waits at an engine before its first token.
//!
//! Engines read prompts one after another, so a long prompt delays all requests behind it. The wait
//! is estimated from the requests that were sent and not answered yet.

/// The initial estimate of the time to read a token; it matches the engines of the users'
/// deployments.
const INITIAL_TOKEN_US: f64 = 26.0;
/// Responses to shorter prompts are ignored: their latency depends more on links and batches than
/// on reading.
const PACE_PROMPT_MIN_TOKENS: u32 = 500;
/// The quantile of the response times per token that the pace tracks: most requests wait a little
/// behind others, so the faster responses show the reading time.
const PACE_QUANTILE: f64 = 0.3;
/// How far one response moves the pace.
const PACE_STEP: f64 = 0.05;

/// The speed at which engines read prompts, learned from responses.
#[derive(Debug, Clone, Copy)]
pub struct ReadingPace {
    token_us: f64,
    samples: u32,
}

impl ReadingPace {
    /// Creates the initial estimate.
    pub fn new() -> Self {
        Self { token_us: INITIAL_TOKEN_US, samples: 0 }
    }

    /// Learns from a prompt of `tokens` whose first token came after `took_ms`.
    pub fn note(&mut self, tokens: u32, took_ms: u64) {
        if tokens < PACE_PROMPT_MIN_TOKENS {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let seen_us = took_ms as f64 * 1_000.0 / f64::from(tokens);
        let factor = if seen_us < self.token_us {
            1.0 - PACE_STEP * (1.0 - PACE_QUANTILE)
        } else {
            1.0 + PACE_STEP * PACE_QUANTILE
        };
        self.token_us *= factor;
    }

    /// Creates a pace that starts from the estimate of another one.
    pub fn with_start(start: Self) -> Self {
        Self { token_us: start.token_us, samples: 0 }
    }

    /// The number of responses that the pace was learned from.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// The time to read `tokens`.
    pub fn reading_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.token_us / 1_000.0
    }
}

impl Default for ReadingPace {
    fn default() -> Self {
        Self::new()
    }
}

/// The prompt of a request that is sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Prompt {
    /// The length of the prompt.
    pub tokens: u32,
    /// The estimated time to read the prompt.
    pub reading_ms: f64,
    /// True if the request will miss its latency objective in any case.
    pub is_late: bool,
}

/// A request that was sent and not answered yet.
#[derive(Debug, Clone, Copy)]
struct Unanswered {
    number: u64,
    sent_at_ms: u64,
    tokens: u32,
    reading_ms: f64,
    is_late: bool,
}

/// The time that an endpoint needs to read the prompts that it has not read yet. It reads late
/// requests after all others.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UnreadMs {
    /// For requests that may be answered in time.
    pub in_time: f64,
    /// For requests that are late.
    pub late: f64,
}

/// The requests that one endpoint has not started to answer.
#[derive(Debug, Default)]
pub struct UnansweredRequests {
    own: Vec<Unanswered>,
    others: UnreadMs,
    answered_at_ms: u64,
}

impl UnansweredRequests {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request that is sent under `number`.
    pub fn send(&mut self, now_ms: u64, number: u64, prompt: Prompt) {
        let Prompt { tokens, reading_ms, is_late } = prompt;
        self.own.push(Unanswered { number, sent_at_ms: now_ms, tokens, reading_ms, is_late });
    }

    /// Removes the request `number`; returns its tokens and how long it waited, if it was present.
    pub fn end(&mut self, now_ms: u64, number: u64) -> Option<(u32, u64)> {
        let position = self.own.iter().position(|sent| sent.number == number)?;
        let ended = self.own.swap_remove(position);
        Some((ended.tokens, now_ms.saturating_sub(ended.sent_at_ms)))
    }

    /// Records that the endpoint started a response.
    pub fn answered(&mut self, now_ms: u64) {
        self.answered_at_ms = now_ms;
    }

    /// True if the endpoint has started no response since `at_ms`.
    pub fn is_silent_since(&self, at_ms: u64) -> bool {
        self.answered_at_ms <= at_ms
    }

    /// When the endpoint last answered; 0 if it has not.
    pub fn answered_at_ms(&self) -> u64 {
        self.answered_at_ms
    }

    /// The number of this gateway's unanswered requests.
    pub fn len(&self) -> usize {
        self.own.len()
    }

    /// True if none of this gateway's requests is unanswered.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty()
    }

    /// Sets the unread prompts of the other gateways' requests.
    pub fn set_others(&mut self, others: UnreadMs) {
        self.others = others;
    }

    /// The unread prompts of this gateway's requests.
    pub fn own_unread(&self) -> UnreadMs {
        let mut own = UnreadMs::default();
        for sent in &self.own {
            let kind = if sent.is_late { &mut own.late } else { &mut own.in_time };
            *kind += sent.reading_ms;
        }
        own
    }

    /// The expected wait of a request that is sent now and is not late; late requests are read
    /// after it.
    pub fn wait_ms(&self, now_ms: u64) -> f64 {
        let unread_ms = self.own_unread().in_time + self.others.in_time;
        unread_ms.max(self.silent_ms(now_ms) as f64)
    }

    /// The expected wait of a late request that is sent now.
    pub fn late_wait_ms(&self, now_ms: u64) -> f64 {
        self.wait_ms(now_ms) + self.own_unread().late + self.others.late
    }

    /// How long the oldest request that is not late has waited without any response from the
    /// endpoint.
    pub fn silent_ms(&self, now_ms: u64) -> u64 {
        let mut oldest_ms: Option<u64> = None;
        for sent in &self.own {
            if !sent.is_late {
                oldest_ms = Some(oldest_ms.map_or(sent.sent_at_ms, |at| at.min(sent.sent_at_ms)));
            }
        }
        let Some(oldest_ms) = oldest_ms else { return 0 };
        if self.answered_at_ms > oldest_ms {
            return 0;
        }
        now_ms.saturating_sub(oldest_ms)
    }
}
