//! Payloads that consist of one record for each position, all of the same length.

use bytes::Bytes;
use bytes::BytesMut;
use jujubewall_protocol::stream::Token;

/// The length of an encoded token, in bytes.
pub const TOKEN_BYTES: usize = size_of::<Token>();

/// Encodes tokens as the payload of a first stage's step.
pub fn encode_tokens(tokens: &[Token]) -> Bytes {
    tokens
        .iter()
        .flat_map(|token| token.to_le_bytes())
        .collect()
}

/// Decodes one token, or returns `None` if the length is wrong.
pub fn decode_token(payload: &[u8]) -> Option<Token> {
    let bytes = payload.try_into().ok()?;
    Some(Token::from_le_bytes(bytes))
}

/// Returns whether `payload` divides into one non-empty record for each of `positions`.
pub fn has_whole_records(payload: &Bytes, positions: u32) -> bool {
    positions > 0 && !payload.is_empty() && payload.len().is_multiple_of(positions as usize)
}

/// Drops the records of the first `skipped` of `positions`.
pub fn skip_positions(payload: &Bytes, positions: u32, skipped: u32) -> Bytes {
    let record_bytes = payload.len() / positions as usize;
    payload.slice(record_bytes * skipped as usize..)
}

/// Keeps the records of the first `taken` of `positions`.
pub fn take_positions(payload: &Bytes, positions: u32, taken: u32) -> Bytes {
    let record_bytes = payload.len() / positions as usize;
    payload.slice(..record_bytes * taken as usize)
}

/// Joins payloads of consecutive positions.
pub fn join(parts: &[Bytes]) -> Bytes {
    if let [one] = parts {
        return one.clone();
    }
    let mut joined = BytesMut::with_capacity(parts.iter().map(Bytes::len).sum());
    for part in parts {
        joined.extend_from_slice(part);
    }
    joined.freeze()
}
