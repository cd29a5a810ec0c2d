//! The state of one shard: its content, pending entries and write in flight.

use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_types::id::Revision;
use tokio::time::Instant;

use super::InFlight;
use super::LedgerEvent;
use super::Phase;
use super::WriteGoal;
use crate::order::action::AgentOrderAction;
use crate::order::action::ShardWrite;
use crate::order::key::KeyDigest;
use crate::order::key::ShardName;
use crate::order::record::HeadRecord;
use crate::order::record::KeyState;
use crate::order::record::LedgerEntry;
use crate::order::record::SegmentRecord;
use crate::order::settings::AgentOrderSettings;
use crate::order::shard::ContentError;
use crate::order::shard::ShardContent;
use crate::order::shard::StoredSegment;
use crate::order::shard::decode;
use crate::order::shard::encode;
use crate::order::shard::is_claimable;
use crate::order::shard::read_segment;

/// The number of consecutive conflicts up to which a shard takes precedence over others.
const MAX_URGENT_CONFLICTS: u32 = 3;

/// One shard and the entries to be written to it.
#[derive(Debug)]
pub struct ShardQueue {
    pub name: ShardName,
    /// Entries to be written, oldest first.
    pub pending: Vec<LedgerEntry>,
    /// Entries that may have been written, to be looked up once the shard is read.
    unresolved: Vec<LedgerEntry>,
    /// The number of consecutive writes that failed with a conflict.
    consecutive_conflicts: u32,
    phase: Phase,
}

impl ShardQueue {
    /// Creates a shard that has not been read.
    pub const fn new(name: ShardName) -> Self {
        Self {
            name,
            pending: Vec::new(),
            unresolved: Vec::new(),
            consecutive_conflicts: 0,
            phase: Phase::Unloaded { load_at: None },
        }
    }

    /// Returns the newest entry of a key, unwritten entries included.
    pub fn latest(&self, key: KeyDigest) -> Option<&LedgerEntry> {
        let is_key = |entry: &&LedgerEntry| entry.key == key;
        let (content, in_flight) = match &self.phase {
            Phase::Unloaded { .. } | Phase::Loading => (None, [].as_slice()),
            Phase::Ready { content, .. } => (Some(content), [].as_slice()),
            Phase::Writing { content, write } => (Some(content), write.appended()),
        };
        let pending = self.pending.iter().rfind(is_key);
        let in_flight = pending.or_else(|| in_flight.iter().rfind(is_key));
        let unresolved = in_flight.or_else(|| self.unresolved.iter().rfind(is_key));
        unresolved.or_else(|| content?.latest(key))
    }

    /// Returns whether an entry is pending or unresolved, or a read or write is in flight.
    pub fn has_work(&self) -> bool {
        let is_busy = matches!(self.phase, Phase::Loading | Phase::Writing { .. });
        is_busy || !self.pending.is_empty() || !self.unresolved.is_empty()
    }

    /// Returns when the next read or write is due.
    ///
    /// `None` if there is nothing to do or a reply is awaited.
    pub fn due_at(&self, now: Instant) -> Option<Instant> {
        if !self.has_work() {
            return None;
        }
        match &self.phase {
            Phase::Unloaded { load_at: at } | Phase::Ready { write_at: at, .. } => {
                Some(at.unwrap_or(now))
            }
            Phase::Loading => None,
            Phase::Writing { write, .. } => write.retry_at,
        }
    }

    /// Returns whether the shard has to be read before it can be written.
    pub const fn is_loading_next(&self) -> bool {
        matches!(self.phase, Phase::Unloaded { .. })
    }

    /// Returns whether a write can be started.
    pub fn is_writable(&self, now: Instant) -> bool {
        !self.is_loading_next() && self.due_at(now).is_some_and(|at| at <= now)
    }

    /// Returns whether the next write takes precedence over other shards.
    ///
    /// Right after a conflict the content is up to date, and a prompt write is
    /// least likely to conflict again.
    pub const fn is_urgent(&self) -> bool {
        0 < self.consecutive_conflicts && self.consecutive_conflicts <= MAX_URGENT_CONFLICTS
    }

    /// Returns the instant before which a failed access is not retried.
    pub const fn retry_at(&self) -> Option<Instant> {
        match &self.phase {
            Phase::Unloaded { load_at: at } | Phase::Ready { write_at: at, .. } => *at,
            Phase::Loading | Phase::Writing { .. } => None,
        }
    }

    /// Starts a read if one is due, and returns whether it did.
    pub fn start_load(&mut self, now: Instant) -> bool {
        let is_due = self.due_at(now).is_some_and(|at| at <= now);
        let starts = self.is_loading_next() && is_due;
        if starts {
            self.phase = Phase::Loading;
        }
        starts
    }

    /// Starts a read although no entry is pending.
    pub fn start_probe(&mut self) {
        self.phase = Phase::Loading;
    }

    /// Discards the content, unless a write is in flight, whose result brings it up to date.
    pub fn unload(&mut self, load_at: Instant) {
        if matches!(self.phase, Phase::Ready { .. }) {
            let load_at = Some(load_at);
            self.phase = Phase::Unloaded { load_at };
        }
    }

    /// Handles a failed read.
    pub fn on_load_failed(&mut self, retry_at: Instant) {
        let load_at = Some(retry_at);
        self.phase = Phase::Unloaded { load_at };
    }

    /// Handles a successful read, and resolves entries that may have been written.
    pub fn on_loaded(&mut self, content: ShardContent, events: &mut Vec<LedgerEvent>) {
        let unresolved = std::mem::take(&mut self.unresolved);
        self.resolve(content, unresolved, events);
    }

    /// Starts the next write, or retries the same one if its reply was lost.
    pub fn start_write(
        &mut self,
        settings: &AgentOrderSettings,
        now: Instant,
        unix_s: u64,
        events: &mut Vec<LedgerEvent>,
    ) -> Option<ShardWrite> {
        let phase = std::mem::replace(&mut self.phase, Phase::Loading);
        let content = match phase {
            Phase::Ready { content, .. } => content,
            Phase::Writing { content, mut write } => {
                write.retry_at = None;
                write.sent_at = now;
                let retry = write.write.clone();
                self.phase = Phase::Writing { content, write };
                return Some(retry);
            }
            other => {
                self.phase = other;
                return None;
            }
        };
        self.drop_taken_claims(&content, events);
        let Some((write, goal)) = self.plan_write(&content, settings, unix_s, events) else {
            let write_at = None;
            self.phase = Phase::Ready { content, write_at };
            return None;
        };
        let in_flight = InFlight {
            write: write.clone(),
            goal,
            sent_at: now,
            is_uncertain: false,
            retry_at: None,
        };
        let boxed_write = Box::new(in_flight);
        self.phase = Phase::Writing {
            content,
            write: boxed_write,
        };
        Some(write)
    }

    /// Handles a write that took effect.
    pub fn on_write_done(
        &mut self,
        revision: Revision,
        events: &mut Vec<LedgerEvent>,
        actions: &mut Vec<AgentOrderAction>,
    ) {
        let Some((mut content, write)) = self.take_write() else {
            return;
        };
        self.consecutive_conflicts = 0;
        match write.goal {
            WriteGoal::Append {
                head,
                entries,
                dropped,
            } => {
                let replaced = content.replace_head(revision, head);
                let deletions = dropped
                    .into_iter()
                    .map(|(key, expected)| AgentOrderAction::DeleteSegment { key, expected });
                actions.extend(deletions);
                self.resolve_or_reload(replaced, content, entries, events);
            }
            WriteGoal::Seal { segment, entries } => {
                content.put_segment(segment, StoredSegment { revision, entries });
                self.set_ready(content);
            }
        }
    }

    /// Handles a conflict: the key has another revision.
    ///
    /// From then on, the write can no longer take effect.
    pub fn on_write_conflict(
        &mut self,
        found: Option<&KeyValueEntry>,
        events: &mut Vec<LedgerEvent>,
    ) {
        let Some((mut content, write)) = self.take_write() else {
            return;
        };
        self.consecutive_conflicts += 1;
        match write.goal {
            WriteGoal::Append { entries, .. } => {
                let replaced = adopt_head(&mut content, found);
                self.resolve_or_reload(replaced, content, entries, events);
            }
            WriteGoal::Seal { segment, .. } => match found.map(read_segment) {
                Some(Ok(stored)) => {
                    content.put_segment(segment, stored);
                    self.set_ready(content);
                }
                _ => self.phase = Phase::Unloaded { load_at: None },
            },
        }
    }

    /// Handles a failed write, and returns when it was sent.
    ///
    /// A write that may have taken effect is retried unchanged.
    pub fn on_write_failed(&mut self, retry_at: Instant, is_lost: bool) -> Option<Instant> {
        let (content, mut write) = self.take_write()?;
        let sent_at = write.sent_at;
        write.is_uncertain |= is_lost;
        if write.is_uncertain {
            write.retry_at = Some(retry_at);
            self.phase = Phase::Writing { content, write };
            return Some(sent_at);
        }
        if let WriteGoal::Append { entries, .. } = write.goal {
            self.pending.splice(0..0, entries);
        }
        let write_at = Some(retry_at);
        self.phase = Phase::Ready { content, write_at };
        Some(sent_at)
    }

    fn take_write(&mut self) -> Option<(ShardContent, Box<InFlight>)> {
        match std::mem::replace(&mut self.phase, Phase::Loading) {
            Phase::Writing { content, write } => Some((content, write)),
            other => {
                self.phase = other;
                None
            }
        }
    }

    /// Resolves the entries of a write, or schedules a read if the content is inconsistent.
    fn resolve_or_reload(
        &mut self,
        replaced: Result<(), ContentError>,
        content: ShardContent,
        entries: Vec<LedgerEntry>,
        events: &mut Vec<LedgerEvent>,
    ) {
        if replaced.is_ok() {
            self.resolve(content, entries, events);
        } else {
            self.unresolved.extend(entries);
            self.phase = Phase::Unloaded { load_at: None };
        }
    }

    /// Reports the claims that were written, and queues unwritten entries again.
    fn resolve(
        &mut self,
        content: ShardContent,
        entries: Vec<LedgerEntry>,
        events: &mut Vec<LedgerEvent>,
    ) {
        let (written, unwritten): (Vec<_>, Vec<_>) = entries
            .into_iter()
            .partition(|entry| content.contains(entry));
        let claims = written
            .iter()
            .filter(|entry| entry.state == KeyState::Claimed);
        events.extend(claims.map(|entry| LedgerEvent::Granted(entry.request)));
        if content.has_double_claim() {
            events.push(LedgerEvent::DoubleClaim);
        }
        self.pending.splice(0..0, unwritten);
        self.set_ready(content);
    }

    fn set_ready(&mut self, content: ShardContent) {
        let write_at = None;
        self.phase = Phase::Ready { content, write_at };
    }

    /// Drops pending claims of keys that are already claimed, and reports them.
    fn drop_taken_claims(&mut self, content: &ShardContent, events: &mut Vec<LedgerEvent>) {
        let mut kept: Vec<LedgerEntry> = Vec::with_capacity(self.pending.len());
        for entry in self.pending.drain(..) {
            let queued = kept.iter().rfind(|other| other.key == entry.key);
            let before = queued.or_else(|| content.latest(entry.key));
            match before {
                Some(before) if entry.state == KeyState::Claimed && !is_claimable(Some(before)) => {
                    events.push(LedgerEvent::Taken(entry.request, before.clone()));
                }
                _ => kept.push(entry),
            }
        }
        self.pending = kept;
    }

    /// Chooses the next write: an append to the head, or the sealing of a full head.
    fn plan_write(
        &mut self,
        content: &ShardContent,
        settings: &AgentOrderSettings,
        unix_s: u64,
        events: &mut Vec<LedgerEvent>,
    ) -> Option<(ShardWrite, WriteGoal)> {
        if self.pending.is_empty() {
            return None;
        }
        let head_len = encode(content.head()).ok()?.len();
        if head_len <= settings.segment_bytes {
            let head = content.head().clone();
            return self.plan_append(content, head, Vec::new(), settings);
        }
        let expire_before_unix_s = unix_s.saturating_sub(settings.key_retention.as_secs());
        let (head, dropped) = content.next_segment_head(&self.name, expire_before_unix_s);
        if head.sealed_lens.len() > settings.max_segments {
            self.reject_claims(events);
            return None;
        }
        if is_head_sealed(content) {
            return self.plan_append(content, head, dropped, settings);
        }
        self.plan_seal(content)
    }

    fn plan_append(
        &mut self,
        content: &ShardContent,
        mut head: HeadRecord,
        dropped: Vec<(smol_str::SmolStr, Revision)>,
        settings: &AgentOrderSettings,
    ) -> Option<(ShardWrite, WriteGoal)> {
        let count = self.pending.len().min(settings.max_batch);
        let entries: Vec<LedgerEntry> = self.pending.drain(..count).collect();
        head.entries.extend_from_slice(&entries);
        let write = ShardWrite {
            key: self.name.head_key(),
            expected: content.head_revision(),
            value: encode(&head).ok()?,
        };
        let goal = WriteGoal::Append {
            head,
            entries,
            dropped,
        };
        Some((write, goal))
    }

    fn plan_seal(&self, content: &ShardContent) -> Option<(ShardWrite, WriteGoal)> {
        let segment = content.head().segment;
        let entries = content.head().entries.clone();
        let record = SegmentRecord { entries };
        let stored = content.stored_segment(segment);
        let write = ShardWrite {
            key: self.name.segment_key(segment),
            expected: stored.map(|stored| stored.revision),
            value: encode(&record).ok()?,
        };
        let entries = record.entries;
        Some((write, WriteGoal::Seal { segment, entries }))
    }

    /// Rejects all pending claims because the shard has reached its segment limit.
    fn reject_claims(&mut self, events: &mut Vec<LedgerEvent>) {
        let is_claim = |entry: &LedgerEntry| entry.state == KeyState::Claimed;
        let claims = self.pending.iter().filter(|entry| is_claim(entry));
        events.extend(claims.map(|entry| LedgerEvent::Full(entry.request)));
        // The ends of calls cannot be recorded either, so their keys stay claimed.
        self.pending.clear();
    }
}

impl InFlight {
    /// Returns the entries that the write appends.
    fn appended(&self) -> &[LedgerEntry] {
        match &self.goal {
            WriteGoal::Append { entries, .. } => entries,
            WriteGoal::Seal { .. } => &[],
        }
    }
}

/// Returns whether all entries of the open segment have been copied to a sealed one.
fn is_head_sealed(content: &ShardContent) -> bool {
    let head = content.head();
    let stored = content.stored_segment(head.segment);
    stored.is_some_and(|stored| stored.entries.starts_with(&head.entries))
}

/// Replaces the head by the one found in the key-value service.
fn adopt_head(
    content: &mut ShardContent,
    found: Option<&KeyValueEntry>,
) -> Result<(), ContentError> {
    let found = found.ok_or(ContentError::Torn)?;
    content.replace_head(found.revision, decode(&found.value)?)
}
