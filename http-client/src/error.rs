//! Errors of calls.

use thiserror::Error;

/// The reason that a call has no reply.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum HttpCallError {
    /// No byte of the call was written.
    #[error("the call was not sent: {0}")]
    NotSent(String),
    /// The call may have reached the other side.
    #[error("the reply was lost: {0}")]
    ReplyLost(String),
}
