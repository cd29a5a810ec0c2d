//! Content digests.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;
use sha2::Digest as _;
use sha2::Sha256;
use thiserror::Error;

/// The length of a digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// A SHA-256 digest, written as 64 hexadecimal digits.
///
/// Binary formats carry its bytes instead, which takes half the room.
#[derive(Clone, Copy, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd)]
#[schemars(with = "String")]
pub struct Digest([u8; DIGEST_BYTES]);

/// The reason that a text is not a digest.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a digest is written as 64 hexadecimal digits")]
pub struct ParseDigestError;

impl Digest {
    /// Creates the digest from its bytes.
    pub const fn new(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }

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

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(D::Error::custom)
        } else {
            Ok(Self(<[u8; DIGEST_BYTES]>::deserialize(deserializer)?))
        }
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
