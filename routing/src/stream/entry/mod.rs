//! An entry's decisions about its streams.

use std::net::SocketAddr;

use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_protocol::stream::Token;
use jujubewall_types::error::Failure;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::VersionName;
use jujubewall_types::priority::Priority;
use tokio::time::Instant;

use crate::stream::action::EntryAction;
use crate::stream::settings::EntrySettings;

/// A caller's request for an answer.
#[derive(Clone, Debug)]
pub struct StreamRequest {
    /// The request.
    pub request: RequestId,
    /// The account that pays.
    pub account: AccountName,
    /// The model.
    pub model: ModelName,
    /// The version of the weights, which stays the same for the whole answer.
    pub version: VersionName,
    /// The priority.
    pub priority: Priority,
    /// The tokens of the prompt, at least one.
    pub prompt: Vec<Token>,
    /// The number of tokens to generate, at least one.
    pub max_answer_tokens: u32,
    /// When the caller gives up.
    pub deadline: Instant,
    /// The first route.
    pub route: Route,
}

/// All streams of one entry.
#[derive(Debug)]
pub struct EntryStreams {
    own_address: SocketAddr,
    settings: EntrySettings,
}

impl EntryStreams {
    /// Creates the decisions of the entry that receives messages at `own_address`.
    pub fn new(own_address: SocketAddr, settings: EntrySettings) -> Self {
        Self {
            own_address,
            settings,
        }
    }

    /// Begins a stream.
    pub fn start(&mut self, now: Instant, request: StreamRequest) -> Vec<EntryAction> {
        let _ = (now, request, self.own_address, self.settings);
        Vec::new()
    }

    /// Handles a message from the process that accepts connections at `from`.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: StreamMessage,
    ) -> Vec<EntryAction> {
        let _ = (now, from, message);
        Vec::new()
    }

    /// Handles the answer to [`EntryAction::NeedRoute`].
    pub fn on_route(
        &mut self,
        now: Instant,
        request: RequestId,
        route: Result<Route, Failure>,
    ) -> Vec<EntryAction> {
        let _ = (now, request, route);
        Vec::new()
    }

    /// Handles the word of membership that a process is gone.
    pub fn on_peer_lost(&mut self, now: Instant, peer: SocketAddr) -> Vec<EntryAction> {
        let _ = (now, peer);
        Vec::new()
    }

    /// Ends a stream whose caller has gone.
    pub fn cancel(&mut self, now: Instant, request: RequestId) -> Vec<EntryAction> {
        let _ = (now, request);
        Vec::new()
    }

    /// Handles the passing of time.
    pub fn on_tick(&mut self, now: Instant) -> Vec<EntryAction> {
        let _ = now;
        Vec::new()
    }

    /// Returns when [`Self::on_tick`] has something to do.
    pub fn next_wakeup(&self) -> Option<Instant> {
        None
    }
}
