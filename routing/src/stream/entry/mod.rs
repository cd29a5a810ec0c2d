//! An entry's decisions about its streams.

mod effects;
mod handlers;
pub mod plan;
mod probe;
mod recovery;
mod stream;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_protocol::stream::Token;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::VersionName;
use jujubewall_types::priority::Priority;
use log::debug;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::stream::action::EntryAction;
use crate::stream::entry::effects::Effects;
use crate::stream::entry::recovery::begin;
use crate::stream::entry::stream::Phase;
use crate::stream::entry::stream::Stream;
use crate::stream::entry::stream::stage_index;
use crate::stream::invariant::StreamInvariants;
use crate::stream::settings::EntrySettings;
use crate::timer::Timers;

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
    /// The number of the model's layers, all of which the route covers.
    pub layer_count: u32,
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
    settings: EntrySettings,
    streams: BTreeMap<RequestId, Stream>,
    timers: Timers<RequestId>,
    fx: Effects,
}

impl EntryStreams {
    /// Creates the decisions of the entry that receives messages at `own_address`.
    pub fn new(own_address: SocketAddr, settings: EntrySettings) -> Self {
        Self {
            settings,
            streams: BTreeMap::new(),
            timers: Timers::new(),
            fx: Effects::new(own_address),
        }
    }

    /// Returns the number of violations of each invariant.
    pub const fn invariants(&self) -> &StreamInvariants {
        &self.fx.invariants
    }

    /// Returns the number of streams that have not ended.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is left.
    pub fn is_idle(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns when [`Self::on_tick`] has something to do.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Begins a stream.
    pub fn start(&mut self, now: Instant, request: StreamRequest) -> Vec<EntryAction> {
        let id = request.request;
        let route = request.route.clone();
        let is_empty = request.prompt.is_empty() || request.max_answer_tokens == 0;
        let mut stream = Stream::new(now, request);
        if is_empty {
            let failure = Failure::new(ErrorKind::BadRequest, "the prompt or answer is empty");
            self.fx.push(EntryAction::Fail {
                request: id,
                failure,
            });
        } else {
            begin(now, &mut stream, route, None, &self.settings, &mut self.fx);
            self.streams.insert(id, stream);
            self.settle(now, id);
        }
        self.fx.take_actions()
    }

    /// Handles a message from the process that accepts connections at `from`.
    ///
    /// Messages are matched by their keys, so that `from` decides nothing.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: StreamMessage,
    ) -> Vec<EntryAction> {
        let id = message.id();
        let is_current = |stream: &&mut Stream| stream.stream_id() == id;
        let stream = self.streams.get_mut(&id.request).filter(is_current);
        if let Some(stream) = stream {
            handlers::handle(now, stream, message, &self.settings, &mut self.fx);
            self.settle(now, id.request);
        } else {
            debug!("a message of {from} is about no current attempt");
        }
        self.fx.take_actions()
    }

    /// Handles the answer to [`EntryAction::NeedRoute`].
    pub fn on_route(
        &mut self,
        now: Instant,
        request: RequestId,
        route: Result<Route, Failure>,
    ) -> Vec<EntryAction> {
        if let Some(stream) = self.streams.get_mut(&request) {
            handlers::on_route(now, stream, route, &self.settings, &mut self.fx);
            self.settle(now, request);
        }
        self.fx.take_actions()
    }

    /// Handles the report of membership that a process is gone.
    pub fn on_peer_lost(&mut self, now: Instant, peer: SocketAddr) -> Vec<EntryAction> {
        for request in self.requests_through(peer) {
            if let Some(stream) = self.streams.get_mut(&request) {
                let lost = stages_at(stream, peer);
                recovery::recover(now, stream, &lost, true, &self.settings, &mut self.fx);
                self.settle(now, request);
            }
        }
        self.fx.take_actions()
    }

    /// Handles the report of membership that a process is leaving.
    pub fn on_peer_leaving(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        grace_end: Instant,
    ) -> Vec<EntryAction> {
        let grace = grace_end.saturating_duration_since(now);
        for request in self.requests_through(peer) {
            if let Some(stream) = self.streams.get_mut(&request)
                && let Some(&stage) = stages_at(stream, peer).first()
            {
                recovery::consider_move(stream, stage, grace, &mut self.fx);
            }
        }
        self.fx.take_actions()
    }

    /// Ends a stream whose caller has gone.
    pub fn cancel(&mut self, now: Instant, request: RequestId) -> Vec<EntryAction> {
        if let Some(stream) = self.streams.get_mut(&request) {
            stream.close_all(&mut self.fx);
            stream.phase = Phase::Ended;
            self.settle(now, request);
        }
        self.fx.take_actions()
    }

    /// Handles the passing of time.
    pub fn on_tick(&mut self, now: Instant) -> Vec<EntryAction> {
        while let Some(request) = self.timers.pop_due(now) {
            if let Some(stream) = self.streams.get_mut(&request) {
                stream.timer.clear();
                handlers::check_due(now, stream, &self.settings, &mut self.fx);
            }
            self.settle(now, request);
        }
        self.fx.take_actions()
    }

    /// Forgets a stream that has ended, or arms its timer.
    fn settle(&mut self, now: Instant, request: RequestId) {
        let Some(stream) = self.streams.get_mut(&request) else {
            return;
        };
        if let Some(due) = stream.due() {
            self.timers.arm(&mut stream.timer, request, due.max(now));
        } else {
            self.timers.disarm(&mut stream.timer, request);
            self.streams.remove(&request);
        }
    }

    fn requests_through(&self, peer: SocketAddr) -> Vec<RequestId> {
        let uses = |stream: &&Stream| !stages_at(stream, peer).is_empty();
        self.streams.values().filter(uses).map(Stream::id).collect()
    }
}

fn stages_at(stream: &Stream, peer: SocketAddr) -> SmallVec<[u8; 2]> {
    let stages = stream.route.iter().enumerate();
    let found = stages.filter(|(_, stage)| stage.agent_address == peer);
    found.map(|(index, _)| stage_index(index)).collect()
}
