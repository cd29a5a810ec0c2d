//! Counts of what has been decided about calls.

/// The counts of one agent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AgentOrderCounters {
    /// Calls that were begun.
    pub begun: u64,
    /// Calls that ended completed.
    pub completed: u64,
    /// Calls that ended not run.
    pub not_run: u64,
    /// Calls that ended unknown.
    pub unknown: u64,
    /// Keys that were claimed.
    pub claimed: u64,
    /// Calls refused because the key-value service does not answer.
    pub refused_in_outage: u64,
    /// Repeats of a key.
    pub repeated_keys: u64,
    /// Reuses of a key with another call.
    pub reused_keys: u64,
    /// Writes to the key-value service.
    pub writes: u64,
    /// Reads of the key-value service.
    pub reads: u64,
    /// Writes that found another revision.
    pub conflicts: u64,
    /// Writes whose reply was lost.
    pub lost_replies: u64,
}

/// The counts of one entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EntryOrderCounters {
    /// Callers that were told `completed`.
    pub completed: u64,
    /// Callers that were told `not_run`.
    pub not_run: u64,
    /// Callers that were told `unknown`.
    pub unknown: u64,
    /// Cancellations that were sent.
    pub cancels: u64,
    /// Results that came too late to be told.
    pub late_results: u64,
}
