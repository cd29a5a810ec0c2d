//! What every process of the system is and what is known about it.

use std::fmt;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The role of a process.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts callers and operators.
    Entry,
    /// Stands in front of the upstreams of one host.
    Agent,
}

impl Role {
    /// Returns the role as it is written in documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// What is claimed about a member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member answers.
    Alive,
    /// The member did not answer and may refute this.
    Suspect,
    /// The member takes no new work and is about to stop.
    Leaving,
    /// The member is gone.
    Dead,
}

impl MemberState {
    /// Returns the state as it is written in documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        }
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
