//! What admission is asked, and what it answers.

use jujubewall_types::error::ErrorKind;
use jujubewall_types::id::AccountName;
use jujubewall_types::priority::Priority;
use tokio::time::Instant;

/// A stream or call that asks to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest<I> {
    /// The stream or call.
    pub id: I,
    /// The account that pays.
    pub account: AccountName,
    /// The share of the account relative to others.
    pub weight: u32,
    /// The priority beside other work of the account.
    pub priority: Priority,
    /// The work that the request asks for at most, in token-layers or calls.
    pub cost: u64,
    /// Whether part of the answer was already given, by an attempt that broke.
    pub is_resumed: bool,
    /// The time at which the caller gives up.
    pub deadline: Instant,
}

/// The reason for a refusal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalReason {
    /// The account already has as much work waiting as it may.
    QueueFull,
    /// The work would not start, or not end, before the deadline.
    DeadlineUnreachable,
    /// The process is shutting down.
    Draining,
}

impl RefusalReason {
    /// Returns the error kind that the caller is given.
    pub const fn kind(self) -> ErrorKind {
        match self {
            Self::QueueFull => ErrorKind::Overloaded,
            Self::DeadlineUnreachable => ErrorKind::DeadlineUnreachable,
            Self::Draining => ErrorKind::Draining,
        }
    }
}

/// A refusal, given before anything has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the work is refused.
    pub reason: RefusalReason,
    /// The time after which asking again makes sense.
    pub retry_after_ms: u64,
}

/// The answer to an offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The work starts now.
    Admit,
    /// The work waits; its id comes back from `next` when it may start.
    Queue,
    /// The work is refused, and has not run.
    Refuse(Refusal),
}

/// Work that has left the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Released<I> {
    /// The work that starts now, in this order.
    pub admitted: Vec<I>,
    /// The work that can no longer meet its deadline.
    pub refused: Vec<(I, Refusal)>,
}
