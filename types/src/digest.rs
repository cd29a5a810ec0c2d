//! Content digests.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use thiserror::Error;

/// The length of a digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// A SHA-256 digest, written as 64 hexadecimal digits.
#[derive(Clone, Copy, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String")]
pub struct Digest([u8; DIGEST_BYTES]);

/// The reason that a text is not a digest.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a digest is written as 64 hexadecimal digits")]
pub struct ParseDigestError;

impl Digest {
    /// Computes the digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, ParseDigestError> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(ParseDigestError);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| ParseDigestError)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = ParseDigestError;

    fn try_from(text: String) -> Result<Self, ParseDigestError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}
