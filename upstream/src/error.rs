//! Errors of upstreams.

use jujubewall_http_client::HttpCallError;
use thiserror::Error;

/// The reason that an upstream gave no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum UpstreamError {
    /// The call was never sent, so that it did not run.
    #[error("the call was not sent: {0}")]
    NotSent(String),
    /// The upstream refused the call and did not run it.
    #[error("the upstream refused the call: {0}")]
    Refused(String),
    /// The upstream refused an order because of its fencing number.
    #[error("the upstream refused an order with an old fencing number")]
    Fenced,
    /// The call was sent and may have run.
    #[error("the upstream's reply was lost: {0}")]
    ReplyLost(String),
}

impl From<HttpCallError> for UpstreamError {
    fn from(error: HttpCallError) -> Self {
        match error {
            HttpCallError::NotSent(text) => Self::NotSent(text),
            HttpCallError::ReplyLost(text) => Self::ReplyLost(text),
        }
    }
}
