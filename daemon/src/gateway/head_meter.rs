//! Bounds what connections hold of the heads of requests by the memory that all requests share.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;

use thiserror::Error;

use crate::metered_socket::Meter;
use crate::request_memory::RequestShare;
use crate::request_memory::SharedRequestMemory;

/// The part of a head that is covered by what an open connection takes in any case: the first
/// read buffer of the HTTP library, in bytes.
const FREE_HEAD_BYTES: usize = 8 * 1024;

/// The error that ends a connection for whose request's head there is no memory.
#[derive(Debug, Error)]
#[error("no memory for the head of a request")]
struct NoHeadMemory;

/// What a connection holds of the head of a request.
pub struct HeadMeter {
    share: RequestShare,
    head_bytes: Cell<usize>,
    last_read_bytes: Cell<usize>,
    is_in_head: Cell<bool>,
    is_write_blocked: Cell<bool>,
}

impl HeadMeter {
    /// Creates the meter of a connection that has just been accepted, whose client is expected
    /// to send a request.
    pub fn new(memory: &Arc<SharedRequestMemory>) -> Rc<Self> {
        let share = RequestShare::new(memory);
        share.begin_receiving();
        Rc::new(Self {
            share,
            head_bytes: Cell::new(0),
            last_read_bytes: Cell::new(0),
            is_in_head: Cell::new(true),
            is_write_blocked: Cell::new(false),
        })
    }

    /// Records that a head has arrived. What it takes is held until its request ends.
    pub fn end_head(&self) {
        self.is_in_head.set(false);
        self.share.end_receiving();
    }

    /// Records that a request has ended, so that the next bytes are those of another head.
    pub fn end_request(&self) {
        self.is_in_head.set(true);
        // The library keeps its buffer, which may hold the begin of the next head.
        self.head_bytes.set(0);
        self.share.shrink(0);
        let buffer_bytes = self.last_read_bytes.get();
        if buffer_bytes > FREE_HEAD_BYTES && self.hold(buffer_bytes) {
            // The buffers of idle connections could otherwise take all memory until their
            // idle timeout.
            self.expect_request();
        } else {
            self.head_bytes.set(0);
        }
    }

    /// Records that the connection may give way to others while it waits for a request.
    pub fn expect_request(&self) {
        self.share.begin_receiving();
    }

    /// Waits until the connection has to give way to others.
    pub async fn evicted(&self) {
        self.share.evicted().await;
    }

    /// Returns whether the client has not taken what was written last.
    pub fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.get()
    }

    /// Counts bytes that were read. Returns whether there is memory for them.
    fn count_read(&self, bytes: usize) -> bool {
        self.last_read_bytes.set(bytes);
        if !self.is_in_head.get() {
            return true;
        }
        if self.head_bytes.get() == 0 {
            self.share.begin_receiving();
        }
        self.share.on_progress(bytes);
        self.hold(bytes)
    }

    fn hold(&self, more_bytes: usize) -> bool {
        let head_bytes = self.head_bytes.get() + more_bytes;
        self.head_bytes.set(head_bytes);
        // The library doubles the size of its buffer.
        head_bytes <= FREE_HEAD_BYTES || self.share.try_hold(head_bytes.next_power_of_two())
    }
}

impl Meter for Rc<HeadMeter> {
    fn on_read(&self, bytes: usize) -> io::Result<()> {
        if bytes > 0 && !self.count_read(bytes) {
            return Err(io::Error::other(NoHeadMemory));
        }
        Ok(())
    }

    fn on_written(&self, bytes: usize) {
        self.is_write_blocked.set(false);
        // A client that takes an answer has not stopped.
        self.share.on_progress(bytes);
    }

    fn on_write_blocked(&self) {
        self.is_write_blocked.set(true);
    }
}
