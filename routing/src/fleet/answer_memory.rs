//! How much of unfinished answers a gateway holds at a time.
//!
//! A faulty upstream may send bytes without end to many requests at once, so a limit for each
//! answer does not bound what the process holds. All answers share one capacity. The more of
//! it is taken, the less a single answer may hold, so that answers without end stop each
//! other from growing before sound ones, which are smaller, notice anything.
//!
//! Beside that, each request in progress needs buffers of its connections, so the host's memory
//! bounds their number as well.

use std::cell::Cell;
use std::rc::Rc;

/// What every answer may hold, whatever the others do.
pub const MIN_ANSWER_BYTES: usize = 4 * 1024;

/// The part of a host's memory that unfinished answers may take, as a divisor.
const CAPACITY_DIVISOR: usize = 16;

/// The part of what is free that a single answer may hold, as a divisor.
const SHARE_DIVISOR: usize = 4;

/// The memory of a process without requests, with as many open connections as it accepts.
const BASE_BYTES: usize = 100 * 1024 * 1024;

/// The memory of the buffers of a request in progress, in the worst case.
const REQUEST_BYTES: usize = 48 * 1024;

/// The number of requests that are accepted in any case.
const MIN_REQUESTS: usize = 256;

/// The memory that all answers share.
#[derive(Debug)]
pub struct AnswerMemory {
    process_bytes: usize,
    capacity_bytes: usize,
    used_bytes: Cell<usize>,
}

impl AnswerMemory {
    /// Creates the memory for answers of a process that may use `process_bytes` in all.
    pub fn new(process_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            process_bytes,
            capacity_bytes: process_bytes / CAPACITY_DIVISOR,
            used_bytes: Cell::new(0),
        })
    }

    /// Returns how many requests may be in progress at a time.
    pub const fn max_requests(&self) -> usize {
        let requests = self.process_bytes.saturating_sub(BASE_BYTES) / REQUEST_BYTES;
        if requests < MIN_REQUESTS {
            MIN_REQUESTS
        } else {
            requests
        }
    }

    /// Returns how many bytes are held.
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    /// Returns how many bytes may be held, beside what every answer may hold.
    pub const fn capacity_bytes(&self) -> usize {
        self.capacity_bytes
    }
}

/// What one answer holds, given back on drop.
#[derive(Debug)]
pub struct AnswerShare {
    memory: Rc<AnswerMemory>,
    held_bytes: usize,
}

impl AnswerShare {
    /// Creates a share that holds nothing.
    pub fn new(memory: &Rc<AnswerMemory>) -> Self {
        Self {
            memory: Rc::clone(memory),
            held_bytes: 0,
        }
    }

    /// Sets how much the answer holds. Returns whether it may hold that much; otherwise the
    /// share stays as it was.
    pub fn try_hold(&mut self, bytes: usize) -> bool {
        let others = self.memory.used_bytes.get() - self.held_bytes;
        let free = self
            .memory
            .capacity_bytes
            .saturating_sub(others.saturating_add(bytes));
        let may_hold =
            bytes <= self.held_bytes.max(MIN_ANSWER_BYTES) || bytes <= free / SHARE_DIVISOR;
        if may_hold {
            self.memory.used_bytes.set(others + bytes);
            self.held_bytes = bytes;
        }
        may_hold
    }
}

impl Drop for AnswerShare {
    fn drop(&mut self) {
        let used = self.memory.used_bytes.get();
        self.memory.used_bytes.set(used - self.held_bytes);
    }
}
