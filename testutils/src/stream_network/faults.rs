//! What links do to messages.

use std::time::Duration;

/// The properties of every link.
#[derive(Clone, Copy, Debug)]
pub struct LinkFaults {
    /// The time that every message takes.
    pub delay: Duration,
    /// The largest further time that a message takes, which reorders messages.
    pub jitter: Duration,
    /// How many of a thousand messages are lost.
    pub loss_permille: u32,
    /// How many of a thousand messages come twice.
    pub duplicate_permille: u32,
}

impl Default for LinkFaults {
    fn default() -> Self {
        Self {
            delay: Duration::from_micros(250),
            jitter: Duration::ZERO,
            loss_permille: 0,
            duplicate_permille: 0,
        }
    }
}
