//! Runs a property on inputs drawn from a fixed seed, so that the verdict is the same each time.
//!
//! `WINCHVANE_FUZZ_CASES=20000` draws that many inputs for each property, and `WINCHVANE_FUZZ_SEED`
//! draws others.

use std::fmt::Debug;

use proptest::prelude::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseResult, TestRng, TestRunner};

/// Inputs for each property where nothing else is asked for: all properties together take a few
/// seconds then, also in a debug build.
const CASES: u32 = 256;
/// Inputs that may be put aside as unfit for each one that is used.
const REJECTS_PER_CASE: u32 = 64;
const SEED_BYTES: usize = 32;

fn number_from(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().unwrap_or_else(|_| panic!("{variable} is not a whole number: {text}")))
}

/// Checks `property` on inputs of `strategy`; the smallest input found that breaks it is told.
pub fn check<S>(strategy: S, property: impl Fn(S::Value) -> TestCaseResult)
where
    S: Strategy,
    S::Value: Debug,
{
    let cases = number_from("WINCHVANE_FUZZ_CASES").map_or(CASES, |cases| cases as u32);
    let mut seed = [0; SEED_BYTES];
    let drawn = number_from("WINCHVANE_FUZZ_SEED").unwrap_or(1);
    seed[..8].copy_from_slice(&drawn.to_le_bytes());
    let config = Config {
        cases,
        failure_persistence: None,
        max_local_rejects: cases.saturating_mul(REJECTS_PER_CASE),
        max_global_rejects: cases.saturating_mul(REJECTS_PER_CASE),
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    if let Err(error) = TestRunner::new_with_rng(config, rng).run(&strategy, property) {
        panic!("{error}");
    }
}
