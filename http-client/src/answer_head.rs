//! Whether a caller may rely on the head of an answer.

use std::ops::RangeInclusive;

use hyper::Response;
use hyper::StatusCode;
use hyper::ext::ReasonPhrase;
use hyper::header::HeaderValue;
use thiserror::Error;

/// The statuses that an answer may have; all others are invalid (RFC 9110, section 15).
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;

/// The start of the first line of an HTTP/1 answer.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";

/// The reason why the head of an answer is not one to the call.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HeadFault {
    /// The answer switches protocols, though the call did not ask for it. What follows is no
    /// HTTP.
    #[error("the answer switches protocols")]
    SwitchesProtocols,
    /// The status is outside the classes that HTTP defines, so it says nothing about the call.
    #[error("the status {0} is none of HTTP")]
    InvalidStatus(u16),
    /// A line of the head ends in the first line of another answer, so that the rest belongs
    /// to that one.
    #[error("another answer begins in the head")]
    HoldsAnother,
}

/// Checks the head of an answer to a call that asked for no other protocol.
///
/// # Errors
///
/// Returns a fault if the answer does not show how the call ended.
pub fn check_head<B>(answer: &Response<B>) -> Result<(), HeadFault> {
    if answer.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Err(HeadFault::SwitchesProtocols);
    }
    let status = answer.status().as_u16();
    if !VALID_STATUSES.contains(&status) {
        return Err(HeadFault::InvalidStatus(status));
    }
    let reason = answer.extensions().get::<ReasonPhrase>();
    let values = answer.headers().values().map(HeaderValue::as_bytes);
    let mut lines = values.chain(reason.map(ReasonPhrase::as_bytes));
    if lines.any(ends_in_status_line) {
        return Err(HeadFault::HoldsAnother);
    }
    Ok(())
}

/// Returns whether a text ends in the first line of an answer.
fn ends_in_status_line(text: &[u8]) -> bool {
    let mut starts = text.windows(STATUS_LINE_START.len());
    let Some(start) = starts.rposition(|window| window == STATUS_LINE_START) else {
        return false;
    };
    let [minor, b' ', status @ ..] = &text[start + STATUS_LINE_START.len()..] else {
        return false;
    };
    let Some((status, reason)) = status.split_at_checked(3) else {
        return false;
    };
    minor.is_ascii_digit()
        && status.iter().all(u8::is_ascii_digit)
        && reason.first().is_none_or(|byte| *byte == b' ')
}
