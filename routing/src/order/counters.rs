//! Counters of call outcomes and key-value accesses.

/// The counters of one agent process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AgentOrderCounters {
    /// Calls that were released for sending to their upstream.
    pub begun: u64,
    /// Calls that ended as `completed`.
    pub completed: u64,
    /// Calls that ended as `not_run`, calls refused on arrival included.
    pub not_run: u64,
    /// Calls that ended as `unknown`, calls refused on arrival included.
    pub unknown: u64,
    /// Idempotency keys that were claimed.
    pub claimed: u64,
    /// Calls refused because the key-value service is unavailable.
    pub refused_in_outage: u64,
    /// Calls that repeat the key and content of an earlier call.
    pub repeated_keys: u64,
    /// Calls that reuse a key with different content.
    pub reused_keys: u64,
    /// Writes started at the key-value service, retries included.
    pub writes: u64,
    /// Reads started at the key-value service, probes included.
    pub reads: u64,
    /// Writes that failed because the key had another revision.
    pub conflicts: u64,
    /// Writes whose reply was lost, so that their effect is unknown.
    pub lost_replies: u64,
}

/// The counters of one entry process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EntryOrderCounters {
    /// Calls answered with `completed`.
    pub completed: u64,
    /// Calls answered with `not_run`.
    pub not_run: u64,
    /// Calls answered with `unknown`.
    pub unknown: u64,
    /// Cancellations sent to agents.
    pub cancels: u64,
    /// Results that arrived after the caller had been answered.
    pub late_results: u64,
}
