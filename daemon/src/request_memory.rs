//! The memory that unfinished requests share, and the reading of bodies within it.
//!
//! The decisions are in `jujubewall_routing::fleet::request_memory`. This module lets requests
//! wait for memory and wakes up those that give way.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use hyper::body::Body;
use jujubewall_routing::fleet::request_memory::HolderKey;
use jujubewall_routing::fleet::request_memory::MAX_SMALL_BYTES;
use jujubewall_routing::fleet::request_memory::MAX_WAITING;
use jujubewall_routing::fleet::request_memory::Need;
use jujubewall_routing::fleet::request_memory::RequestMemory;
use jujubewall_routing::fleet::request_memory::STALL_TIMEOUT;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::metered_socket::Meter;

/// The longest time for which a body waits for memory: until those whose senders have stopped
/// by now have given way.
pub const MEMORY_WAIT: Duration = Duration::from_secs(1);

/// The time that a request which gives way may take to free its memory before another one
/// gives way as well.
const RELEASE_WAIT: Duration = Duration::from_millis(20);

/// The largest number of refused requests whose bodies are read and dropped at a time. Each
/// takes processor time and the read buffer of its connection.
const MAX_DISCARDS: usize = 64;

/// The memory that is held at first for a body of unknown length, in bytes.
const FIRST_CHUNKED_BYTES: usize = 4 * 1024;

const _: () = assert!(MEMORY_WAIT.as_millis() > STALL_TIMEOUT.as_millis());
const _: () = assert!(FIRST_CHUNKED_BYTES <= MAX_SMALL_BYTES);

/// The reason why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadFault {
    /// The body is larger than the limit.
    TooLarge,
    /// The body broke off before its end.
    Cut,
    /// There is no memory for the body.
    NoMemory,
    /// The sender stopped before the end of the body while others waited for memory.
    Stalled,
}

/// The memory that all requests of a process share.
#[derive(Debug)]
pub struct SharedRequestMemory {
    state: Mutex<State>,
    released: Notify,
    discards: Arc<Semaphore>,
}

#[derive(Debug)]
struct State {
    memory: RequestMemory,
    evictions: HashMap<HolderKey, Arc<Notify>>,
    waiting: usize,
}

impl State {
    /// Makes a request give way. Returns whether there is one.
    fn evict(&mut self, need: Need) -> bool {
        let Some(key) = self.memory.take_stalled(need, Instant::now()) else {
            return false;
        };
        if let Some(evicted) = self.evictions.get(&key) {
            evicted.notify_one();
        }
        true
    }
}

impl SharedRequestMemory {
    /// Creates the memory with a capacity.
    pub fn new(capacity_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                memory: RequestMemory::new(capacity_bytes),
                evictions: HashMap::new(),
                waiting: 0,
            }),
            released: Notify::new(),
            discards: Arc::new(Semaphore::new(MAX_DISCARDS)),
        })
    }

    /// Makes the request or connection give way whose sender has stopped for longest, in favour
    /// of one that needs `need`. Returns whether there is one.
    pub fn evict(&self, need: Need) -> bool {
        self.state().evict(need)
    }

    /// Returns whether one more connection or request is accepted beside `count` open ones.
    ///
    /// Beyond `max`, one whose sender has stopped gives way to it. As long as those are being
    /// closed, at most `max_evicting` more are open.
    pub fn make_room(&self, count: usize, max: usize, max_evicting: usize) -> bool {
        count < max || (count < max + max_evicting && self.evict(Need::Connection))
    }

    /// Returns leave to read and drop the body of a refused request while it is kept; `None` if
    /// that is done for too many.
    pub fn try_discard(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.discards).try_acquire_owned().ok()
    }

    /// Returns how many bytes are held.
    pub fn used_bytes(&self) -> usize {
        self.state().memory.used_bytes()
    }

    /// Returns how many bytes may be held.
    pub fn capacity_bytes(&self) -> usize {
        self.state().memory.capacity_bytes()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What one request or connection holds, given back on drop.
#[derive(Debug)]
pub struct RequestShare {
    memory: Arc<SharedRequestMemory>,
    key: HolderKey,
    /// What the head of the request takes, held together with its body.
    head_bytes: usize,
    evicted: Arc<Notify>,
}

impl RequestShare {
    /// Creates a share that holds nothing.
    pub fn new(memory: &Arc<SharedRequestMemory>) -> Self {
        Self::with_head(memory, 0)
    }

    /// Creates a share that holds nothing until it holds a body, and then its head as well.
    pub fn with_head(memory: &Arc<SharedRequestMemory>, head_bytes: usize) -> Self {
        let evicted = Arc::new(Notify::new());
        let mut state = memory.state();
        let key = state.memory.add();
        state.evictions.insert(key, Arc::clone(&evicted));
        drop(state);
        Self {
            memory: Arc::clone(memory),
            key,
            head_bytes,
            evicted,
        }
    }

    /// Sets how much is held. Returns whether there is memory for it; otherwise the share stays
    /// as it was and a request whose sender has stopped gives way.
    pub fn try_hold(&self, bytes: usize) -> bool {
        let bytes = bytes.saturating_add(self.head_bytes);
        let mut state = self.memory.state();
        let may_hold = state.memory.try_hold(self.key, bytes);
        if !may_hold {
            state.evict(Need::Memory);
        }
        may_hold
    }

    /// Sets how much is held to less than before.
    pub fn shrink(&self, bytes: usize) {
        let bytes = bytes.saturating_add(self.head_bytes);
        let mut state = self.memory.state();
        state.memory.try_hold(self.key, bytes);
        let has_waiting = state.waiting > 0;
        drop(state);
        if has_waiting {
            self.memory.released.notify_waiters();
        }
    }

    /// Sets how much is held, and waits until there is memory for it. Returns whether there was
    /// before `give_up_at`.
    pub async fn hold(&self, bytes: usize, give_up_at: Instant) -> bool {
        let bytes = bytes.saturating_add(self.head_bytes);
        if self.memory.state().memory.try_hold(self.key, bytes) {
            return true;
        }
        let Some(_waiting) = WaitingGuard::new(&self.memory) else {
            return false;
        };
        loop {
            let mut released = std::pin::pin!(self.memory.released.notified());
            // From here on, memory that is released is noticed.
            released.as_mut().enable();
            let retry_at = {
                let mut state = self.memory.state();
                if state.memory.try_hold(self.key, bytes) {
                    return true;
                }
                if state.evict(Need::Memory) {
                    Instant::now() + RELEASE_WAIT
                } else {
                    let next_stall_at = state.memory.next_stall_at(Need::Memory);
                    next_stall_at.map_or(give_up_at, |at| at.min(give_up_at))
                }
            };
            tokio::select! {
                () = released => {}
                () = sleep_until(retry_at) => {}
            }
            if Instant::now() >= give_up_at {
                return false;
            }
        }
    }

    /// Records that bytes are expected from the sender.
    pub fn begin_receiving(&self) {
        let mut state = self.memory.state();
        state.memory.begin_receiving(self.key, Instant::now());
    }

    /// Records that bytes have arrived, or that the client has taken bytes of an answer.
    pub fn on_progress(&self, bytes: usize) {
        let mut state = self.memory.state();
        state.memory.on_progress(self.key, bytes, Instant::now());
    }

    /// Records that nothing more is expected from the sender.
    pub fn end_receiving(&self) {
        self.memory.state().memory.end_receiving(self.key);
    }

    /// Waits until this request has to give way to others.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Meter for Arc<RequestShare> {
    fn on_read(&self, bytes: usize) -> io::Result<()> {
        self.on_progress(bytes);
        Ok(())
    }

    fn on_written(&self, bytes: usize) {
        self.on_progress(bytes);
    }
}

impl Drop for RequestShare {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.memory.remove(self.key);
        state.evictions.remove(&self.key);
        let has_waiting = state.waiting > 0;
        drop(state);
        if has_waiting {
            self.memory.released.notify_waiters();
        }
    }
}

/// Counts a request as waiting until it is dropped.
struct WaitingGuard<'a> {
    memory: &'a SharedRequestMemory,
}

impl<'a> WaitingGuard<'a> {
    /// Returns `None` if too many requests wait.
    fn new(memory: &'a SharedRequestMemory) -> Option<Self> {
        let mut state = memory.state();
        if state.waiting >= MAX_WAITING {
            state.evict(Need::Memory);
            return None;
        }
        state.waiting += 1;
        Some(Self { memory })
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.memory.state().waiting -= 1;
    }
}

/// Reads a body of at most `max_bytes` as far as there is memory for it, until `give_up_at`.
///
/// The data is copied into one buffer, since each frame would keep the connection's read buffer.
/// A body that there is no memory for is not read. After a fault, the rest of it is left.
pub async fn read_body<B: Body<Data = Bytes> + Unpin>(
    body: &mut B,
    share: &RequestShare,
    max_bytes: usize,
    give_up_at: Instant,
) -> Result<Bytes, ReadFault> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced = body.size_hint().exact();
    let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if announced.is_some_and(|bytes| bytes > max_bytes) {
        return Err(ReadFault::TooLarge);
    }
    let first_bytes = announced.unwrap_or_else(|| FIRST_CHUNKED_BYTES.min(max_bytes));
    let wait_end = give_up_at.min(Instant::now() + MEMORY_WAIT);
    if !share.hold(first_bytes, wait_end).await {
        return Err(ReadFault::NoMemory);
    }
    let mut buffer = BytesMut::with_capacity(first_bytes);
    share.begin_receiving();
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = share.evicted() => return Err(ReadFault::Stalled),
        };
        let Some(frame) = frame else {
            break;
        };
        let Ok(data) = frame.map_err(|_| ReadFault::Cut)?.into_data() else {
            continue;
        };
        let len = buffer.len() + data.len();
        if len > max_bytes {
            return Err(ReadFault::TooLarge);
        }
        if len > buffer.capacity() {
            // Doubled, so that each byte is copied a bounded number of times.
            let capacity = len.max(buffer.capacity().saturating_mul(2)).min(max_bytes);
            // Not awaited: a body that holds memory while it waits for more could block others
            // that do the same.
            if !share.try_hold(capacity.saturating_add(buffer.capacity())) {
                return Err(ReadFault::NoMemory);
            }
            let mut larger = BytesMut::with_capacity(capacity);
            larger.extend_from_slice(&buffer);
            buffer = larger;
            share.shrink(buffer.capacity());
        }
        buffer.extend_from_slice(&data);
        share.on_progress(data.len());
    }
    share.end_receiving();
    Ok(buffer.freeze())
}

/// Reads and drops the rest of a body, up to a size and a time. Returns whether it has ended.
pub async fn discard<B: Body<Data = Bytes> + Unpin>(
    body: &mut B,
    max_bytes: usize,
    limit: Duration,
) -> bool {
    let discarded = timeout_at(Instant::now() + limit, async {
        let mut discarded_bytes = 0;
        while discarded_bytes < max_bytes {
            let Some(Ok(frame)) = body.frame().await else {
                return true;
            };
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
        }
        false
    });
    discarded.await.unwrap_or(false)
}
