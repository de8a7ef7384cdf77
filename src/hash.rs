//! Hashes that are the same in every process.

/// The hash of `text`.
pub fn stable(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// The hash of `bytes` that follow something with the hash `before`.
pub fn chained(before: u64, bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(bytes, before)
}

/// How well two hashes fit each other; whoever compares them agrees on the best pair.
pub fn affinity(one: u64, other: u64) -> u64 {
    // A multiplicative mix: the constant is 2^64 divided by the golden ratio.
    let mixed = (one ^ other).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed ^ (mixed >> 29)
}
