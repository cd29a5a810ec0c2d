//! Time limits of calls.

use std::time::Duration;

/// The time that a connection may take to open unless configured otherwise.
const DEFAULT_CONNECT: Duration = Duration::from_millis(500);
/// The time that a reply may take unless configured otherwise.
const DEFAULT_REPLY: Duration = Duration::from_secs(2);

/// The time limits that every call obeys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallDeadlines {
    /// The time within which a connection opens.
    pub connect: Duration,
    /// The time within which the whole reply arrives.
    pub reply: Duration,
}

impl Default for CallDeadlines {
    fn default() -> Self {
        Self {
            connect: DEFAULT_CONNECT,
            reply: DEFAULT_REPLY,
        }
    }
}

impl CallDeadlines {
    /// Creates deadlines from the limits of connecting and of replying.
    pub const fn new(connect: Duration, reply: Duration) -> Self {
        Self { connect, reply }
    }
}
