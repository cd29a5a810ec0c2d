//! The life cycle of a shard at one agent.

use jujubewall_types::id::Revision;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::order::action::ShardWrite;
use crate::order::record::HeadRecord;
use crate::order::record::LedgerEntry;
use crate::order::shard::ShardContent;

/// What a write is for.
#[derive(Clone, Debug)]
pub enum WriteGoal {
    /// Appends entries to the head.
    Append {
        /// The head as it is written.
        head: HeadRecord,
        /// The appended entries.
        entries: Vec<LedgerEntry>,
        /// The segments that the new head no longer names.
        dropped: Vec<(SmolStr, Revision)>,
    },
    /// Copies the head to a segment of its own.
    Seal {
        /// The number of the segment.
        segment: u32,
        /// The entries of the segment.
        entries: Vec<LedgerEntry>,
    },
}

/// A write that has been started.
#[derive(Clone, Debug)]
pub struct InFlight {
    pub write: ShardWrite,
    pub goal: WriteGoal,
    pub sent_at: Instant,
    /// Whether a reply was lost, so that only the same write may be tried again.
    pub is_uncertain: bool,
    /// When the write is tried again; none while a reply is awaited.
    pub retry_at: Option<Instant>,
}

/// Where a shard stands.
#[derive(Clone, Debug)]
pub enum Phase {
    /// The content is not known, and is read once something waits.
    Unloaded {
        /// When the content is read; none means at once.
        load_at: Option<Instant>,
    },
    /// The content is being read.
    Loading,
    /// The content is known, and is written once something waits.
    Ready {
        /// The content.
        content: ShardContent,
        /// When the content is written; none means at once.
        write_at: Option<Instant>,
    },
    /// A write has been started.
    Writing {
        /// The content before the write.
        content: ShardContent,
        /// The write.
        write: Box<InFlight>,
    },
}
