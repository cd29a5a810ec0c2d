//! The messages that the actor of an entry handles.

use std::net::SocketAddr;
use std::sync::Arc;

use jujubewall_protocol::call::CallResult;
use jujubewall_protocol::limit::LimitMessage;
use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_protocol::stream::Token;
use jujubewall_routing::order::entry::NewCall;
use jujubewall_routing::stream::action::RerouteRequest;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::RequestId;
use jujubewall_types::priority::Priority;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::entry::reply::StreamEvent;
use crate::entry::view::View;

/// A caller's request for an answer.
#[derive(Debug)]
pub struct StartStream {
    /// The account that pays.
    pub account: AccountName,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: Vec<Token>,
    /// The number of tokens to generate.
    pub max_answer_tokens: u32,
    /// The priority.
    pub priority: Priority,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// A stream that has been started.
#[derive(Debug)]
pub struct StartedStream {
    /// The request.
    pub request: RequestId,
    /// The pipeline that was chosen first.
    pub route: Route,
    /// What happens to it.
    pub events: mpsc::UnboundedReceiver<StreamEvent>,
}

/// The caller of a stream has gone.
#[derive(Debug)]
pub struct CancelStream {
    /// The request.
    pub request: RequestId,
}

/// A message about a stream has arrived.
#[derive(Debug)]
pub struct StreamReceived {
    /// The address at which the sender accepts connections.
    pub from: SocketAddr,
    /// The message.
    pub message: StreamMessage,
}

/// A call that an agent is to run.
#[derive(Debug)]
pub struct StartCall {
    /// The address of the agent.
    pub agent_address: SocketAddr,
    /// The call.
    pub call: Box<NewCall>,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// The result of a call has arrived.
#[derive(Debug)]
pub struct CallEnded(pub CallResult);

/// A peer does not answer over a new connection either.
#[derive(Debug)]
pub struct PeerLost(pub SocketAddr);

/// A peer is alive; a higher incarnation than before tells that it was replaced.
#[derive(Debug)]
pub struct PeerAlive {
    /// The address at which the peer accepts connections.
    pub peer: SocketAddr,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

/// A peer takes no new work, and finishes what is in progress until `grace_end`.
#[derive(Debug)]
pub struct PeerLeaving {
    /// The address at which the peer accepts connections.
    pub peer: SocketAddr,
    /// When its streams have to have ended or moved.
    pub grace_end: Instant,
}

/// Another configuration is to be applied.
#[derive(Debug)]
pub struct ApplyView(pub Arc<View>);

/// A message about the limits of accounts has arrived.
#[derive(Debug)]
pub struct LimitReceived {
    /// The sender.
    pub from: MemberName,
    /// The message.
    pub message: LimitMessage,
}

/// The period of the sharing of limits has passed.
pub(super) struct LimitTick;

/// The states of the agents have changed.
#[derive(Debug)]
pub struct MembersChanged;

/// What engines hold has changed.
#[derive(Debug)]
pub struct HoldingsChanged;

/// Asks the entry to take no new work.
#[derive(Debug)]
pub struct Drain;

/// Asks whether nothing is in progress.
#[derive(Debug)]
pub struct IsIdle;

/// The delay before a refused stream looks for another route has passed.
pub(super) struct RetryRoute(pub(super) Box<RerouteRequest>);

/// The alarm has rung.
pub(super) struct Wake;
