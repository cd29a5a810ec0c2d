//! Encoding of frames.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The largest frame that is accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// The reason that a frame cannot be written or read.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("a frame of {len} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLarge {
        /// The length of the frame, in bytes.
        len: usize,
    },
    /// The bytes are not a frame of this protocol version.
    #[error("a frame is malformed")]
    Malformed(#[from] postcard::Error),
}

/// Encodes `value` as the body of a frame.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, CodecError> {
    let body = postcard::to_stdvec(value)?;
    check_len(body.len())?;
    Ok(Bytes::from(body))
}

/// Decodes the body of a frame.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CodecError> {
    check_len(body.len())?;
    Ok(postcard::from_bytes(body)?)
}

/// Checks that a frame of `len` bytes is within the limit.
pub fn check_len(len: usize) -> Result<(), CodecError> {
    if len > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge { len });
    }
    Ok(())
}
