//! What the head of an answer says about the stream that follows.

use hyper::HeaderMap;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::TRANSFER_ENCODING;

/// The content type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// How an answer ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// It shows where it ends.
    Delimited,
    /// It ends with its connection.
    Connection,
}

/// Returns whether the head of an answer allows for a stream of events.
pub fn is_event_stream(fields: &HeaderMap) -> bool {
    fields.get(CONTENT_TYPE).is_none_or(|value| {
        let value = value.as_bytes().trim_ascii_start();
        let kind = value.get(..EVENT_STREAM.len());
        kind.is_some_and(|kind| kind.eq_ignore_ascii_case(EVENT_STREAM))
    })
}

/// Returns how an answer ends.
pub fn framing(fields: &HeaderMap, body: &Incoming) -> Framing {
    let is_delimited = body.is_end_stream()
        || match final_transfer_encoding(fields) {
            Some(encoding) => encoding.eq_ignore_ascii_case(b"chunked"),
            None => fields.contains_key(CONTENT_LENGTH),
        };
    if is_delimited {
        Framing::Delimited
    } else {
        Framing::Connection
    }
}

/// Returns the transfer encoding that was applied last.
fn final_transfer_encoding(fields: &HeaderMap) -> Option<&[u8]> {
    let value = fields.get_all(TRANSFER_ENCODING).iter().next_back()?;
    let encoding = value.as_bytes().rsplit(|byte| *byte == b',').next()?;
    Some(encoding.trim_ascii())
}
