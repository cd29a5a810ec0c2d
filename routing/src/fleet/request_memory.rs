//! How much of unfinished requests a process holds at a time, and which of them gives way.
//!
//! Limits for one request do not bound what many requests hold that never end. All requests
//! share one capacity. Where it is used up, a request whose sender has stopped sending gives way
//! to one whose sender goes on.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// The part of a host's memory that requests may take, as a divisor: five bodies of 4 MiB on
/// the smallest host, which has 160 MB.
const CAPACITY_DIVISOR: usize = 8;

/// The part of the capacity that only small requests may take, as a divisor, so that large ones
/// do not keep ordinary ones out.
const SMALL_RESERVE_DIVISOR: usize = 4;

/// The largest request that may use the reserve, in bytes.
pub const MAX_SMALL_BYTES: usize = 64 * 1024;

/// The time without progress after which a sender counts as stopped. Links of all deployments
/// queue for up to half a second.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(750);

/// The bytes that count as progress. Fewer bytes in [`STALL_TIMEOUT`] are slower than the
/// slowest link by a factor of more than a hundred.
pub const MIN_PROGRESS_BYTES: usize = 1024;

/// The largest number of requests that wait for memory at a time; each may wake up whenever
/// memory becomes free.
pub const MAX_WAITING: usize = 64;

/// The part of a host's memory that open connections may take, as a divisor.
const CONNECTIONS_DIVISOR: usize = 3;

/// The memory of an open connection without a request: 12 to 14 KiB were measured.
const CONNECTION_BYTES: usize = 16 * 1024;

/// The number of connections that are accepted in any case.
const MIN_CONNECTIONS: usize = 256;

/// Returns how many connections a process that may use `process_bytes` in all keeps open.
pub const fn max_connections(process_bytes: usize) -> usize {
    let connections = process_bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
    if connections < MIN_CONNECTIONS {
        MIN_CONNECTIONS
    } else {
        connections
    }
}

/// Returns how many bytes the requests of a process may hold that may use `process_bytes` in all.
pub const fn capacity_bytes(process_bytes: usize) -> usize {
    process_bytes / CAPACITY_DIVISOR
}

/// A request, or a connection that waits for one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HolderKey(u64);

/// What is short.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Need {
    /// A connection, or the place of a request in progress.
    Connection,
    /// Memory.
    Memory,
}

/// What one request holds.
#[derive(Debug)]
struct Holder {
    held_bytes: usize,
    /// When the sender last made progress; `None` if nothing is expected of it.
    receiving_since: Option<Instant>,
    unnoted_bytes: usize,
}

/// The memory that all requests of a process share.
#[derive(Debug)]
pub struct RequestMemory {
    capacity_bytes: usize,
    used_bytes: usize,
    holders: HashMap<HolderKey, Holder>,
    /// The holders that are received, with the one first that made no progress for longest.
    receiving: BTreeSet<(Instant, HolderKey)>,
    /// Those of them that hold memory.
    receiving_with_memory: BTreeSet<(Instant, HolderKey)>,
    next_key: u64,
}

impl RequestMemory {
    /// Creates the memory with a capacity.
    pub fn new(capacity_bytes: usize) -> Self {
        Self {
            capacity_bytes,
            used_bytes: 0,
            holders: HashMap::new(),
            receiving: BTreeSet::new(),
            receiving_with_memory: BTreeSet::new(),
            next_key: 0,
        }
    }

    /// Returns how many bytes are held.
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Returns how many bytes may be held.
    pub const fn capacity_bytes(&self) -> usize {
        self.capacity_bytes
    }

    /// Adds a request that holds nothing and of whose sender nothing is expected yet.
    pub fn add(&mut self) -> HolderKey {
        let key = HolderKey(self.next_key);
        self.next_key += 1;
        let holder = Holder {
            held_bytes: 0,
            receiving_since: None,
            unnoted_bytes: 0,
        };
        self.holders.insert(key, holder);
        key
    }

    /// Removes a request and frees what it holds.
    pub fn remove(&mut self, key: HolderKey) {
        self.end_receiving(key);
        if let Some(holder) = self.holders.remove(&key) {
            self.used_bytes -= holder.held_bytes;
        }
    }

    /// Sets how much a request holds. Returns whether it may hold that much; otherwise nothing
    /// changes. A request may hold any number of bytes while no other holds any.
    pub fn try_hold(&mut self, key: HolderKey, bytes: usize) -> bool {
        let Some(holder) = self.holders.get_mut(&key) else {
            return false;
        };
        let others_bytes = self.used_bytes - holder.held_bytes;
        let usable_bytes = if bytes <= MAX_SMALL_BYTES {
            self.capacity_bytes
        } else {
            self.capacity_bytes - self.capacity_bytes / SMALL_RESERVE_DIVISOR
        };
        let may_hold = bytes <= holder.held_bytes
            || others_bytes == 0
            || others_bytes.saturating_add(bytes) <= usable_bytes;
        if may_hold {
            self.used_bytes = others_bytes + bytes;
            holder.held_bytes = bytes;
            if let Some(since) = holder.receiving_since {
                if bytes > 0 {
                    self.receiving_with_memory.insert((since, key));
                } else {
                    self.receiving_with_memory.remove(&(since, key));
                }
            }
        }
        may_hold
    }

    /// Records that bytes of a request are expected from now on.
    pub fn begin_receiving(&mut self, key: HolderKey, now: Instant) {
        self.end_receiving(key);
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.receiving_since = Some(now);
            holder.unnoted_bytes = 0;
            self.receiving.insert((now, key));
            if holder.held_bytes > 0 {
                self.receiving_with_memory.insert((now, key));
            }
        }
    }

    /// Records that a request's sender has sent or taken bytes. Fewer than [`MIN_PROGRESS_BYTES`] are
    /// counted together with the next ones.
    pub fn on_progress(&mut self, key: HolderKey, bytes: usize, now: Instant) {
        let Some(holder) = self.holders.get_mut(&key) else {
            return;
        };
        holder.unnoted_bytes = holder.unnoted_bytes.saturating_add(bytes);
        if holder.unnoted_bytes >= MIN_PROGRESS_BYTES && holder.receiving_since.is_some() {
            self.begin_receiving(key, now);
        }
    }

    /// Records that nothing more is expected of a request's sender.
    pub fn end_receiving(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(&key)
            && let Some(since) = holder.receiving_since.take()
        {
            self.receiving.remove(&(since, key));
            self.receiving_with_memory.remove(&(since, key));
        }
    }

    /// Returns the request that gives way to one that needs `need`: the one whose sender has
    /// stopped for longest. It is returned once.
    pub fn take_stalled(&mut self, need: Need, now: Instant) -> Option<HolderKey> {
        let (since, key) = *self.candidates(need).first()?;
        if now.saturating_duration_since(since) < STALL_TIMEOUT {
            return None;
        }
        self.end_receiving(key);
        Some(key)
    }

    /// Returns when a sender may count as stopped next that would free what is needed.
    pub fn next_stall_at(&self, need: Need) -> Option<Instant> {
        let (since, _) = self.candidates(need).first()?;
        Some(*since + STALL_TIMEOUT)
    }

    const fn candidates(&self, need: Need) -> &BTreeSet<(Instant, HolderKey)> {
        match need {
            Need::Connection => &self.receiving,
            Need::Memory => &self.receiving_with_memory,
        }
    }
}
