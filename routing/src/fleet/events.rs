//! Filters the events of a stream that are sent to the client.
//!
//! An upstream may stop in the middle of an event, and another one continues after the last
//! complete event. Only complete events are therefore sent, each once and in order.

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// The bytes that end an event.
const EVENT_END: &[u8] = b"\n\n";

/// The field that holds the identifier of an event.
const ID_FIELD: &[u8] = b"id:";

/// The field that holds the kind of an event.
const KIND_FIELD: &[u8] = b"event:";

/// The kind of an event that reports an upstream's failure.
const ERROR_KIND: &[u8] = b"error";

/// The largest event that is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The reason for giving up a run of a stream.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EventError {
    /// An event does not follow the previous one.
    #[error("event {got} follows event {last}")]
    OutOfOrder {
        /// The identifier of the last event that was sent.
        last: u64,
        /// The identifier of the event.
        got: u64,
    },
    /// An event reports that its upstream failed.
    #[error("an event reports an error")]
    Failed,
    /// An event has no readable identifier.
    #[error("an event carries no readable identifier")]
    NoId,
    /// An event does not end within the largest size.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
}

/// Splits the bytes of a stream into complete events and checks their order.
#[derive(Debug, Default)]
pub struct EventFilter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventFilter {
    /// Creates a filter for a stream whose client has the events up to `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Returns the identifier of the last event that was sent.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the memory that an incomplete event takes.
    pub fn partial_bytes(&self) -> usize {
        if self.partial.is_empty() {
            0
        } else {
            self.partial.capacity()
        }
    }

    /// Takes the incomplete event of a run that has ended or is set aside.
    pub fn take_partial_event(&mut self) -> BytesMut {
        std::mem::take(&mut self.partial)
    }

    /// Restores the incomplete event of a run that was set aside, and drops that of the run
    /// that replaced it. The identifier of the last event must be the same as then.
    pub fn restore_partial_event(&mut self, partial: BytesMut) {
        self.partial = partial;
    }

    /// Adds bytes of the stream and returns the events that they complete.
    ///
    /// If a wrong event follows correct ones, these are returned. The wrong one stays
    /// buffered as incomplete, and fails the next call.
    pub fn push(&mut self, chunk: Bytes) -> Result<Bytes, EventError> {
        if self.partial.is_empty() && chunk.ends_with(EVENT_END) {
            let correct = self.check(&chunk)?;
            if correct == chunk.len() {
                return Ok(chunk);
            }
            self.partial.extend_from_slice(&chunk[correct..]);
            return Ok(chunk.slice(..correct));
        }
        self.partial.extend_from_slice(&chunk);
        let whole = memchr::memmem::rfind(&self.partial, EVENT_END)
            .map_or(0, |position| position + EVENT_END.len());
        if self.partial.len() - whole > MAX_EVENT_BYTES {
            return Err(EventError::TooLarge);
        }
        let partial = self.partial.split().freeze();
        let correct = self.check(&partial[..whole])?;
        self.partial.extend_from_slice(&partial[correct..]);
        Ok(partial.slice(..correct))
    }

    /// Checks that complete events follow the last one, and records the last identifier.
    ///
    /// Returns the length of the correct events, or what is wrong with the first one.
    fn check(&mut self, events: &[u8]) -> Result<usize, EventError> {
        let mut correct = 0;
        while let Some(end) = memchr::memmem::find(&events[correct..], EVENT_END) {
            let end = correct + end + EVENT_END.len();
            let event = &events[correct..end];
            if !is_comment(event) {
                match self.next_id(event) {
                    Ok(id) => self.last_id = Some(id),
                    Err(fault) if correct == 0 => return Err(fault),
                    Err(_) => return Ok(correct),
                }
            }
            correct = end;
        }
        Ok(correct)
    }

    /// Returns the identifier of an event that follows the last one.
    fn next_id(&self, event: &[u8]) -> Result<u64, EventError> {
        if reports_error(event) {
            return Err(EventError::Failed);
        }
        let id = event_id(event).ok_or(EventError::NoId)?;
        match self.last_id {
            Some(last) if last.checked_add(1) != Some(id) => {
                Err(EventError::OutOfOrder { last, got: id })
            }
            _ => Ok(id),
        }
    }
}

/// Returns whether an event reports that its upstream failed.
fn reports_error(event: &[u8]) -> bool {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(KIND_FIELD))
        .any(|kind| kind.trim_ascii() == ERROR_KIND)
}

/// Returns whether an event consists only of comments, which have no identifier.
fn is_comment(event: &[u8]) -> bool {
    event
        .split(|byte| *byte == b'\n')
        .all(|line| line.is_empty() || line.starts_with(b":"))
}

/// Returns the identifier of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
