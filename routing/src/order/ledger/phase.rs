//! The phases of a shard at one agent.

use jujubewall_types::id::Revision;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::order::action::ShardWrite;
use crate::order::record::HeadRecord;
use crate::order::record::LedgerEntry;
use crate::order::shard::ShardContent;

/// The purpose of a write.
#[derive(Clone, Debug)]
pub enum WriteGoal {
    /// Appends entries to the head.
    Append {
        /// The new head.
        head: HeadRecord,
        /// The appended entries.
        entries: Vec<LedgerEntry>,
        /// The keys of the segments that the new head no longer retains, with their revisions.
        dropped: Vec<(SmolStr, Revision)>,
    },
    /// Copies the entries of the head to a sealed segment.
    Seal {
        /// The number of the segment.
        segment: u32,
        /// The entries of the segment.
        entries: Vec<LedgerEntry>,
    },
}

/// A write that was started and has no conclusive result yet.
#[derive(Clone, Debug)]
pub struct InFlight {
    pub write: ShardWrite,
    pub goal: WriteGoal,
    /// When the write was last sent.
    pub sent_at: Instant,
    /// Whether a reply was lost, so that the write may only be retried unchanged.
    pub is_uncertain: bool,
    /// When the write is retried; `None` while a reply is awaited.
    pub retry_at: Option<Instant>,
}

/// The phase of a shard.
#[derive(Clone, Debug)]
pub enum Phase {
    /// The content is unknown; it is read once an entry is pending.
    Unloaded {
        /// The earliest instant of the read; `None` means at once.
        load_at: Option<Instant>,
    },
    /// The content is being read.
    Loading,
    /// The content is known; a write starts once an entry is pending.
    Ready {
        /// The content as last read or written.
        content: ShardContent,
        /// The earliest instant of the write; `None` means at once.
        write_at: Option<Instant>,
    },
    /// A write is in flight or is to be retried.
    Writing {
        /// The content before the write.
        content: ShardContent,
        /// The write that was started.
        write: Box<InFlight>,
    },
}
