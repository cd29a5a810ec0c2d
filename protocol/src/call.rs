//! Messages that carry a call to a plain service.

use std::net::SocketAddr;

use bytes::Bytes;
use jujubewall_types::error::Failure;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::outcome::Outcome;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// A call that an agent is to send to a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceCall {
    /// The request.
    pub request: RequestId,
    /// The address of the entry, which receives the result.
    pub entry_address: SocketAddr,
    /// The account that pays.
    pub account: AccountName,
    /// The upstream that is to run the call.
    pub upstream: UpstreamName,
    /// The caller's idempotency key.
    pub idempotency_key: Option<SmolStr>,
    /// Whether the service allows its calls to be repeated.
    pub idempotent: bool,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query at the service.
    pub path: SmolStr,
    /// The media type of the body.
    pub content_type: Option<SmolStr>,
    /// The body.
    pub body: Bytes,
    /// The time left until the caller gives up.
    pub deadline_ms: u64,
}

/// What a plain service answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceReply {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: Option<SmolStr>,
    /// The body.
    pub body: Bytes,
}

/// How a call ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallResult {
    /// The request.
    pub request: RequestId,
    /// Whether the call ran.
    pub outcome: Outcome,
    /// The service's answer, if there is one.
    pub reply: Option<ServiceReply>,
    /// The reason that there is no answer.
    pub failure: Option<Failure>,
}

/// Any message about a call to a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallMessage {
    /// Entry to agent: run a call.
    Call(ServiceCall),
    /// Agent to entry: a call has ended.
    Result(CallResult),
    /// Entry to agent: never send this call, and say whether it was sent.
    Cancel {
        /// The request.
        request: RequestId,
        /// The address of the entry, which receives the result.
        entry_address: SocketAddr,
    },
}
