//! Group commit of idempotency key claims to the key-value service.
//!
//! The pending entries of a shard are written together. The ledger starts at
//! most one write per commit interval, whatever the call rate, and has at most
//! one write in flight per shard.

mod phase;
mod queue;

use std::collections::HashMap;

use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_platform::key_value::Swap;
use jujubewall_types::id::RequestId;
use slotmap::SlotMap;
use tokio::time::Instant;

use self::phase::InFlight;
use self::phase::Phase;
use self::phase::WriteGoal;
use self::queue::ShardQueue;
use crate::order::action::AgentOrderAction;
use crate::order::action::ShardKey;
use crate::order::counters::AgentOrderCounters;
use crate::order::key::KeyDigest;
use crate::order::key::ShardName;
use crate::order::record::KeyState;
use crate::order::record::LedgerEntry;
use crate::order::settings::AgentOrderSettings;
use crate::order::shard::ContentError;
use crate::order::shard::ShardContent;

/// The outcome of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerEvent {
    /// The key was claimed for this request.
    Granted(RequestId),
    /// The key is already claimed, by the call of the given entry.
    Taken(RequestId, LedgerEntry),
    /// The claim was rejected because the shard has reached its segment limit.
    Full(RequestId),
    /// The log contains a claim of a key that was already claimed.
    DoubleClaim,
}

/// The shards that an agent reads and writes.
#[derive(Debug)]
pub struct KeyLedger {
    settings: AgentOrderSettings,
    shards: SlotMap<ShardKey, ShardQueue>,
    by_name: HashMap<ShardName, ShardKey>,
    next_write_at: Instant,
    last_served: Option<ShardKey>,
    /// When the key-value service started to fail; `None` while it works.
    failing_since: Option<Instant>,
    /// The shard of the last failed access, which is used for probing.
    failed_shard: Option<ShardKey>,
    events: Vec<LedgerEvent>,
    pub counters: AgentOrderCounters,
}

impl KeyLedger {
    /// Creates a ledger that has read no shard.
    pub fn new(settings: AgentOrderSettings, now: Instant) -> Self {
        Self {
            settings,
            shards: SlotMap::with_key(),
            by_name: HashMap::new(),
            next_write_at: now,
            last_served: None,
            failing_since: None,
            failed_shard: None,
            events: Vec::new(),
            counters: AgentOrderCounters::default(),
        }
    }

    /// Returns the shard with the given name, which is read once an entry is pending.
    pub fn shard(&mut self, name: ShardName) -> ShardKey {
        if let Some(shard) = self.by_name.get(&name) {
            return *shard;
        }
        let shard = self.shards.insert(ShardQueue::new(name.clone()));
        self.by_name.insert(name, shard);
        shard
    }

    /// Returns the newest entry of a key, unwritten entries included.
    pub fn latest(&self, shard: ShardKey, key: KeyDigest) -> Option<&LedgerEntry> {
        self.shards.get(shard)?.latest(key)
    }

    /// Queues an entry for the next write.
    pub fn push(&mut self, shard: ShardKey, entry: LedgerEntry) {
        if let Some(queue) = self.shards.get_mut(shard) {
            queue.pending.push(entry);
        }
    }

    /// Schedules a read of a shard before its next write, as other agents may have written to it.
    pub fn refresh(&mut self, shard: ShardKey, now: Instant) {
        if let Some(queue) = self.shards.get_mut(shard) {
            queue.unload(now + self.settings.commit_interval);
        }
    }

    /// Removes a claim that is not part of a write yet, and returns whether there was one.
    pub fn withdraw(&mut self, shard: ShardKey, request: RequestId) -> bool {
        let Some(queue) = self.shards.get_mut(shard) else {
            return false;
        };
        let before = queue.pending.len();
        queue.pending.retain(|entry| !is_claim_of(entry, request));
        queue.pending.len() < before
    }

    /// Returns whether the key-value service has failed for `outage_after`.
    pub fn is_down(&self, now: Instant) -> bool {
        self.failing_since
            .is_some_and(|since| now.duration_since(since) >= self.settings.outage_after)
    }

    /// Returns whether no entry is pending and no read or write is in flight.
    pub fn is_idle(&self) -> bool {
        self.shards.values().all(|queue| !queue.has_work())
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<LedgerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Starts the reads and writes that are due.
    pub fn on_tick(&mut self, now: Instant, unix_s: u64, actions: &mut Vec<AgentOrderAction>) {
        self.start_loads(now, actions);
        self.probe(now, actions);
        if now < self.next_write_at {
            return;
        }
        let Some(shard) = self.next_writable(now) else {
            return;
        };
        let queue = &mut self.shards[shard];
        let write = queue.start_write(&self.settings, now, unix_s, &mut self.events);
        self.last_served = Some(shard);
        if let Some(write) = write {
            self.next_write_at = now + self.settings.commit_interval;
            self.counters.writes += 1;
            actions.push(AgentOrderAction::WriteShard { shard, write });
        }
    }

    /// Returns the instant at which the next read, write or probe is due.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let due = self.shards.values().filter_map(|queue| {
            let at = queue.due_at(now)?;
            Some(if queue.is_loading_next() {
                at
            } else {
                at.max(self.next_write_at)
            })
        });
        let probe = self.probe_at();
        due.chain(probe).min()
    }

    /// Handles the result of reading a shard.
    pub fn on_loaded(
        &mut self,
        now: Instant,
        shard: ShardKey,
        result: Result<Vec<KeyValueEntry>, PlatformError>,
    ) {
        let Some(queue) = self.shards.get_mut(shard) else {
            return;
        };
        let retry_at = now + self.settings.retry_interval;
        let content = match result {
            Ok(entries) => ShardContent::from_entries(&queue.name, &entries),
            Err(error) => {
                queue.on_load_failed(retry_at);
                self.record_failure(now, now, shard, &error);
                return;
            }
        };
        match content {
            Ok(content) => queue.on_loaded(content, &mut self.events),
            Err(ContentError::Torn) => queue.on_load_failed(now),
            Err(ContentError::Malformed) => {
                log::error!("malformed record under {}", queue.name.prefix());
                queue.on_load_failed(retry_at);
            }
        }
        self.record_success();
    }

    /// Handles the result of a write.
    pub fn on_written(
        &mut self,
        now: Instant,
        shard: ShardKey,
        result: Result<Swap, PlatformError>,
        actions: &mut Vec<AgentOrderAction>,
    ) {
        let Some(queue) = self.shards.get_mut(shard) else {
            return;
        };
        match result {
            Ok(Swap::Done(revision)) => {
                queue.on_write_done(revision, &mut self.events, actions);
                self.record_success();
            }
            Ok(Swap::Conflict(found)) => {
                self.counters.conflicts += 1;
                queue.on_write_conflict(found.as_ref(), &mut self.events);
                self.record_success();
            }
            Err(error) => {
                let is_lost = !has_no_effect(&error);
                self.counters.lost_replies += u64::from(is_lost);
                let retry_at = now + self.settings.retry_interval;
                let sent_at = queue.on_write_failed(retry_at, is_lost).unwrap_or(now);
                self.record_failure(now, sent_at, shard, &error);
            }
        }
    }

    fn start_loads(&mut self, now: Instant, actions: &mut Vec<AgentOrderAction>) {
        for (shard, queue) in &mut self.shards {
            if queue.start_load(now) {
                self.counters.reads += 1;
                let prefix = queue.name.prefix();
                actions.push(AgentOrderAction::LoadShard { shard, prefix });
            }
        }
    }

    /// Reads a shard to detect the end of an outage when no other access is due.
    fn probe(&mut self, now: Instant, actions: &mut Vec<AgentOrderAction>) {
        if self.probe_at().is_none_or(|at| at > now) {
            return;
        }
        let Some(shard) = self.failed_shard else {
            return;
        };
        let queue = &mut self.shards[shard];
        queue.start_probe();
        self.counters.reads += 1;
        let prefix = queue.name.prefix();
        actions.push(AgentOrderAction::LoadShard { shard, prefix });
    }

    fn probe_at(&self) -> Option<Instant> {
        self.failing_since?;
        let has_work = self.shards.values().any(ShardQueue::has_work);
        let queue = self.shards.get(self.failed_shard?)?;
        if has_work {
            return None;
        }
        queue.retry_at()
    }

    /// Returns the shard to write next: an urgent one, else the next in round-robin order.
    fn next_writable(&self, now: Instant) -> Option<ShardKey> {
        let is_due = |shard: &ShardKey| self.shards[*shard].is_writable(now);
        let mut due: Vec<ShardKey> = self.shards.keys().filter(is_due).collect();
        due.sort_unstable();
        if let Some(urgent) = due.iter().find(|shard| self.shards[**shard].is_urgent()) {
            return Some(*urgent);
        }
        let after_last = due.iter().find(|shard| Some(**shard) > self.last_served);
        after_last.or(due.first()).copied()
    }

    fn record_success(&mut self) {
        if self.failing_since.take().is_some() {
            log::info!("the key-value service answers again");
        }
    }

    fn record_failure(
        &mut self,
        now: Instant,
        failing_from: Instant,
        shard: ShardKey,
        error: &PlatformError,
    ) {
        if *error == PlatformError::RateLimited {
            return;
        }
        self.failed_shard = Some(shard);
        if self.failing_since.is_none() {
            log::warn!("the key-value service fails: {error}");
            self.failing_since = Some(failing_from.min(now));
        }
    }
}

/// Returns whether a write that failed with `error` certainly had no effect.
fn has_no_effect(error: &PlatformError) -> bool {
    match error {
        PlatformError::Unavailable(_)
        | PlatformError::RateLimited
        | PlatformError::TooLarge(_)
        | PlatformError::LeaseLapsed => true,
        PlatformError::ReplyLost(_) | PlatformError::Malformed(_) => false,
    }
}

fn is_claim_of(entry: &LedgerEntry, request: RequestId) -> bool {
    entry.state == KeyState::Claimed && entry.request == request
}
