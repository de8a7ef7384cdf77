//! Decoding of `bincode` values, with memory limited in proportion to the size of the input.

use bincode::config::{Config, standard};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Decodes one value, which must use all of `bytes`.
///
/// The decoder allocates memory for a length prefix before it reads the data. The total that a
/// value may claim is therefore limited: an encoded byte decodes to at most 16 bytes (a small
/// `u128`), and the limits grow by the same factor.
///
/// # Errors
/// The bytes are not a valid value, claim more data than they hold, or continue after the value.
/// The error is a single line of text.
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

/// The size of `value` once it is encoded.
pub(crate) fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    bincode::serde::encode_into_std_write(value, &mut std::io::sink(), standard())
        .expect("messages hold only types that bincode can encode")
}
