//! Messages that carry a call to a plain service.

use std::net::SocketAddr;

use bytes::Bytes;
use jujubewall_types::error::Failure;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::ServiceName;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::outcome::Outcome;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The place of a call among all calls of one entry process.
///
/// An agent forgets calls that ended long ago. By the sequence it tells whether
/// a call that it does not know can be one that it has forgotten.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CallOrigin {
    /// The entry.
    pub entry: MemberName,
    /// The incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// The number of the call, which rises by one with each call of the process.
    pub sequence: u64,
}

/// A call that an agent is to send to a plain service.
///
/// An entry hands each call to its transport at most once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceCall {
    /// The request.
    pub request: RequestId,
    /// Where the call comes from.
    pub origin: CallOrigin,
    /// The address of the entry, which receives the result.
    pub entry_address: SocketAddr,
    /// The incarnation of the agent's process that may send the call; another one must not.
    pub agent_incarnation: Incarnation,
    /// The account that pays.
    pub account: AccountName,
    /// The service that is called.
    pub service: ServiceName,
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

/// The demand that a call which has not been sent never be sent.
///
/// The agent answers `not_run` if it has kept the call from being sent, and
/// with the result if the call has ended. While the call runs it answers
/// nothing, since the result follows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CancelCall {
    /// The request.
    pub request: RequestId,
    /// Where the call comes from.
    pub origin: CallOrigin,
    /// The address of the entry, which receives the result.
    pub entry_address: SocketAddr,
    /// The incarnation of the agent's process to which the call was sent.
    pub agent_incarnation: Incarnation,
}

/// Any message about a call to a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallMessage {
    /// Entry to agent: run a call.
    Call(Box<ServiceCall>),
    /// Agent to entry: a call has ended.
    Result(CallResult),
    /// Entry to agent: never send this call from now on, and tell what is known about it.
    Cancel(CancelCall),
}
