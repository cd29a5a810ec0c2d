//! Records of claimed idempotency keys in the key-value service.
//!
//! Each shard is a log. Entries are appended to its head by compare-and-swap.
//! A head that has reached the segment size is copied to a key of its own (the
//! segment is sealed) and then replaced by an empty head, which keeps writes
//! small.

use jujubewall_protocol::call::ServiceReply;
use jujubewall_types::digest::Digest;
use jujubewall_types::id::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::order::key::KeyDigest;

/// A random number that identifies the agent process that made a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ClaimerId(pub u64);

/// The recorded state of the call that claimed a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeyState {
    /// The call may have run.
    Claimed,
    /// The call did not run and never will; the key may be claimed again.
    NotRun,
    /// The call ran; the reply is `None` if it was too large to be kept.
    Completed(Option<ServiceReply>),
}

/// One entry of the log; the last entry of a key supersedes the earlier ones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerEntry {
    /// The digest of the idempotency key.
    pub key: KeyDigest,
    /// The digest of the call that claimed the key.
    pub call_digest: Digest,
    /// The request that claimed the key.
    pub request: RequestId,
    /// The process that claimed the key.
    pub claimer: ClaimerId,
    /// The time of the claim, in seconds since the Unix epoch.
    pub claimed_at_unix_s: u64,
    /// The state of the call.
    pub state: KeyState,
}

impl LedgerEntry {
    /// Returns whether both entries belong to the same claim of the same key.
    pub fn is_same_claim(&self, other: &Self) -> bool {
        self.key == other.key && self.request == other.request && self.claimer == other.claimer
    }

    /// Returns the entry that records a new state of the same call.
    #[must_use]
    pub fn with_state(&self, state: KeyState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }
}

/// The head of a shard: its open segment and the list of sealed segments.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadRecord {
    /// The number of the open segment.
    pub segment: u32,
    /// The entry counts of the retained sealed segments, oldest first.
    pub sealed_lens: Vec<u32>,
    /// The entries of the open segment, oldest first.
    pub entries: Vec<LedgerEntry>,
}

impl HeadRecord {
    /// Returns the number of the oldest retained segment.
    pub fn first_segment(&self) -> u32 {
        let sealed = u32::try_from(self.sealed_lens.len()).unwrap_or(u32::MAX);
        self.segment.saturating_sub(sealed)
    }
}

/// A sealed segment of a shard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SegmentRecord {
    /// The entries, oldest first.
    pub entries: Vec<LedgerEntry>,
}
