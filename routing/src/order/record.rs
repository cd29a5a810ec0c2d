//! Records of claimed keys in the key-value service.
//!
//! Each shard has one head, to which entries are appended by compare-and-swap.
//! A head that has grown to the size of a segment is copied to a key of its
//! own and then replaced by an empty one, so that a write stays small.

use jujubewall_protocol::call::ServiceReply;
use jujubewall_types::digest::Digest;
use jujubewall_types::id::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::order::key::KeyDigest;

/// The random number of an agent's process, which tells its claims from all others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ClaimerId(pub u64);

/// What is known about the call that claimed a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeyState {
    /// The call may have run.
    Claimed,
    /// The call did not run and never will, so that the key may be claimed again.
    NotRun,
    /// The call ran; the reply is kept unless it is large.
    Completed(Option<ServiceReply>),
}

/// One line of the record; a later line of the same key replaces an earlier one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerEntry {
    /// The key.
    pub key: KeyDigest,
    /// The digest of the call that claimed the key.
    pub call: Digest,
    /// The request that claimed the key.
    pub request: RequestId,
    /// The process that claimed the key.
    pub claimer: ClaimerId,
    /// The time of the claim, in seconds since the Unix epoch.
    pub claimed_at_unix_s: u64,
    /// What is known about the call.
    pub state: KeyState,
}

impl LedgerEntry {
    /// Returns whether `self` tells of the same call as `other`.
    pub fn is_same_claim(&self, other: &Self) -> bool {
        self.key == other.key && self.request == other.request && self.claimer == other.claimer
    }

    /// Returns the line that follows this one when the call has ended.
    #[must_use]
    pub fn with_state(&self, state: KeyState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }
}

/// The open end of a shard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadRecord {
    /// The number of the open segment.
    pub segment: u32,
    /// The numbers of entries of the sealed segments before it, the newest last.
    pub sealed_lens: Vec<u32>,
    /// The entries of the open segment.
    pub entries: Vec<LedgerEntry>,
}

impl HeadRecord {
    /// Returns the number of the oldest segment that is kept.
    pub fn first_segment(&self) -> u32 {
        let sealed = u32::try_from(self.sealed_lens.len()).unwrap_or(u32::MAX);
        self.segment.saturating_sub(sealed)
    }
}

/// A sealed segment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SegmentRecord {
    /// The entries.
    pub entries: Vec<LedgerEntry>,
}
