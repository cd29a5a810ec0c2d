//! Names and counters that identify things.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

/// The longest name that is accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The reason that a text is not accepted as a name.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum NameError {
    /// The text holds no characters.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("a name must be at most {MAX_NAME_BYTES} bytes")]
    TooLong,
    /// The text holds a character outside letters, digits, `-`, `_`, `.`, `:` and `/`.
    #[error("a name may hold only letters, digits, '-', '_', '.', ':' and '/'")]
    BadCharacter,
}

/// Checks that `text` can serve as a name.
pub fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong);
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    if text.chars().all(allowed) {
        Ok(())
    } else {
        Err(NameError::BadCharacter)
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        #[schemars(with = "String")]
        pub struct $name(SmolStr);

        impl $name {
            /// Creates the name after checking its characters and length.
            pub fn new(text: impl Into<SmolStr>) -> Result<Self, NameError> {
                let text = text.into();
                check_name(&text)?;
                Ok(Self(text))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = NameError;

            fn try_from(text: SmolStr) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$name> for SmolStr {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// The name of a model that callers ask for.
    ModelName
}
name_type! {
    /// The name of one version of a model's weights.
    VersionName
}
name_type! {
    /// The name of an adapter that refines a model.
    AdapterName
}
name_type! {
    /// The name of a client account.
    AccountName
}
name_type! {
    /// The name of one of the partners that share the pool.
    PartnerName
}
name_type! {
    /// The name of an upstream: one model engine or one plain service.
    UpstreamName
}
name_type! {
    /// The name of a plain service, which one or more upstreams offer.
    ServiceName
}
name_type! {
    /// The name of a host.
    HostName
}
name_type! {
    /// The name of a failure domain.
    FailureDomainName
}
name_type! {
    /// The name of a region, which holds one or more failure domains.
    RegionName
}
name_type! {
    /// The name of one process of the system.
    MemberName
}
name_type! {
    /// The identifier that an operator gives to a release note.
    NoteId
}
name_type! {
    /// The name of a kind of accelerator.
    AcceleratorName
}

macro_rules! counter_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq,
            PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the value that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

counter_type! {
    /// One try at carrying a request through a pipeline; higher replaces lower.
    Attempt, u32
}
counter_type! {
    /// The place of a token in the sequence of a request, prompt included.
    Position, u32
}
counter_type! {
    /// The revision of a value in the key-value service.
    Revision, u64
}
counter_type! {
    /// One more than the number by which the key-value service tells its eras apart, which
    /// rises when it comes back from an older copy; zero if it has named none.
    StoreEra, u64
}

/// A point in the history of the key-value service.
///
/// One that has come back from an older copy gives revisions out again, so that a revision
/// says nothing without its era.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// The revision.
    pub revision: Revision,
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

impl FromStr for StorePosition {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once('.').unwrap_or((text, ""));
        Ok(Self {
            era: StoreEra(era.parse()?),
            revision: Revision(revision.parse()?),
        })
    }
}

counter_type! {
    /// The number that orders conflicting authorities; a lower one is refused.
    FencingNumber, u64
}
counter_type! {
    /// The count of a member's restarts and refutations.
    Incarnation, u64
}

/// The identifier of one request, unique across the fleet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Defines a digest of 64 bits that is written in hexadecimal.
macro_rules! digest {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u64::from_str_radix(text, 16).map(Self)
            }
        }
    };
}

digest!(
    /// The digest of one part of a prompt that several requests may share.
    PromptPartKey
);

digest!(
    /// The digest of what stays the same when a request is sent again under another
    /// identifier: its method, path, client account and body.
    RequestDigest
);
