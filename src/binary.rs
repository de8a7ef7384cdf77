//! Reading values from `bincode`, with no more memory than their bytes can need.

use bincode::config::{Config, standard};
use serde::de::DeserializeOwned;

/// Reads one value that takes all of `bytes`.
///
/// A length that stands in the bytes is memory asked for before what it counts is read, so what a
/// value may claim is bounded: an encoded byte stands for 16 at most, those of a small `u128`, and the
/// bounds go up by the same factor.
///
/// # Errors
/// Bytes that are no such value, that claim more than they hold, or that go on behind it; told as one
/// line.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    const KIB: usize = 1 << 10;
    const MIB: usize = 1 << 20;
    let size_bytes = bytes.len();
    if size_bytes <= 4 * KIB {
        return decode_with(bytes, standard().with_limit::<{ 64 * KIB }>());
    }
    if size_bytes <= 64 * KIB {
        return decode_with(bytes, standard().with_limit::<MIB>());
    }
    if size_bytes <= MIB {
        return decode_with(bytes, standard().with_limit::<{ 16 * MIB }>());
    }
    if size_bytes <= 16 * MIB {
        return decode_with(bytes, standard().with_limit::<{ 256 * MIB }>());
    }
    decode_with(bytes, standard().with_limit::<{ 4096 * MIB }>())
}

fn decode_with<T: DeserializeOwned>(bytes: &[u8], configuration: impl Config) -> Result<T, String> {
    let (value, read_bytes) = bincode::serde::decode_from_slice(bytes, configuration)
        .map_err(|error| error.to_string())?;
    if read_bytes < bytes.len() {
        return Err(format!("{} bytes are left over behind it", bytes.len() - read_bytes));
    }
    Ok(value)
}
