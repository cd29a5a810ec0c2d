//! Requests for admission and the decisions on them.

use jujubewall_types::error::ErrorKind;
use jujubewall_types::id::AccountName;
use jujubewall_types::priority::Priority;
use tokio::time::Instant;

/// A stream or call that requests admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest<I> {
    /// The identifier of the stream or call.
    pub id: I,
    /// The account that the work is charged to.
    pub account: AccountName,
    /// The weight of the account relative to other accounts.
    pub weight: u32,
    /// The priority relative to other work of the account.
    pub priority: Priority,
    /// The maximum work that the request may use, in token-layers or calls.
    pub cost: u64,
    /// Whether an earlier attempt failed after part of the response was sent.
    pub is_resumed: bool,
    /// The time at which the caller gives up.
    pub deadline: Instant,
}

/// The reason that work is rejected.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalReason {
    /// The expected wait is too long, or the account exceeds its share.
    QueueFull,
    /// The work would not start or not end before its deadline.
    DeadlineUnreachable,
    /// The process is shutting down.
    Draining,
}

impl RefusalReason {
    /// Returns the error kind reported to the caller.
    pub const fn kind(self) -> ErrorKind {
        match self {
            Self::QueueFull => ErrorKind::Overloaded,
            Self::DeadlineUnreachable => ErrorKind::DeadlineUnreachable,
            Self::Draining => ErrorKind::Draining,
        }
    }
}

/// The rejection of work before any of it has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason that the work is rejected.
    pub reason: RefusalReason,
    /// The time after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// The decision on a request for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The work starts now.
    Admit,
    /// The work waits; `release_waiting` returns its id when it may start.
    Queue,
    /// The work is rejected and has not run.
    Refuse(Refusal),
}

/// Work that has left the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Released<I> {
    /// The work that starts now, in the order of service.
    pub admitted: Vec<I>,
    /// The work whose deadline passed while it waited, which has not run.
    pub refused: Vec<(I, Refusal)>,
}
