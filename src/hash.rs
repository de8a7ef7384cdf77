//! Hash functions whose values are the same in every process.

/// Returns the hash of `text`.
pub fn stable(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// Returns the hash of a sequence that ends with `bytes`; `before` is the hash of the part before
/// them.
pub fn chained(before: u64, bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(bytes, before)
}

/// Returns the affinity of two items by their hashes, for rendezvous hashing: every process finds
/// the same pair to have the highest affinity.
pub fn affinity(one: u64, other: u64) -> u64 {
    // Fibonacci hashing: the constant is 2^64 divided by the golden ratio.
    let mixed = (one ^ other).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed ^ (mixed >> 29)
}
