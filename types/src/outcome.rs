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

/// The HTTP statuses that promise a caller that its request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Returns whether an answer with an HTTP status promises its caller that the request has not run
/// and never will.
pub fn promises_not_run(status: u16) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}
