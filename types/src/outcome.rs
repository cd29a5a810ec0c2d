//! What is known about a request that has ended.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The outcome of a request as it is told to its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and its whole answer is given.
    Completed,
    /// The request did not run and never will.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the outcome as it is written in headers and documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
