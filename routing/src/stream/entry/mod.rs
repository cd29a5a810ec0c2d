//! The state machine of an entry's streams.
//!
//! An entry opens every stage of a stream's route, commits and delivers the
//! generated tokens, detects stalls, and continues the stream with a new attempt
//! when a stage is lost or its upstream is leaving.

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
use crate::stream::entry::recovery::open_attempt;
use crate::stream::entry::stream::Loss;
use crate::stream::entry::stream::Phase;
use crate::stream::entry::stream::Stream;
use crate::stream::entry::stream::stage_index;
use crate::stream::invariant::StreamInvariants;
use crate::stream::settings::EntrySettings;
use crate::timer::Timers;

/// A caller's request for an answer.
#[derive(Clone, Debug)]
pub struct StreamRequest {
    /// The identifier of the request.
    pub request: RequestId,
    /// The account that is charged.
    pub account: AccountName,
    /// The model that answers the request.
    pub model: ModelName,
    /// The version of the weights, which stays the same for the whole answer.
    pub version: VersionName,
    /// The priority at admission and at the engines.
    pub priority: Priority,
    /// The number of the model's layers, all of which the route covers.
    pub layer_count: u32,
    /// The tokens of the prompt, at least one.
    pub prompt: Vec<Token>,
    /// The number of tokens to generate, at least one.
    pub max_answer_tokens: u32,
    /// When the stream fails if its answer is not complete.
    pub deadline: Instant,
    /// The route of the first attempt.
    pub route: Route,
}

/// The streams of one entry that have not ended.
#[derive(Debug)]
pub struct EntryStreams {
    settings: EntrySettings,
    streams: BTreeMap<RequestId, Stream>,
    timers: Timers<RequestId>,
    effects: Effects,
}

impl EntryStreams {
    /// Creates the state of an entry that receives messages at `own_address`.
    pub fn new(own_address: SocketAddr, settings: EntrySettings) -> Self {
        Self {
            settings,
            streams: BTreeMap::new(),
            timers: Timers::new(),
            effects: Effects::new(own_address),
        }
    }

    /// Returns the number of violations of each invariant.
    pub const fn invariants(&self) -> &StreamInvariants {
        &self.effects.invariants
    }

    /// Returns the number of streams that have not ended.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is left.
    pub fn is_idle(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns when [`Self::on_tick`] is to be called next, or `None` if no timer is armed.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Begins the first attempt of a stream, or fails the request if it is empty.
    pub fn start(&mut self, now: Instant, request: StreamRequest) -> Vec<EntryAction> {
        let id = request.request;
        let route = request.route.clone();
        let is_empty = request.prompt.is_empty() || request.max_answer_tokens == 0;
        let mut stream = Stream::new(now, request);
        if is_empty {
            let failure = Failure::new(ErrorKind::BadRequest, "the prompt or answer is empty");
            self.effects.push(EntryAction::Fail {
                request: id,
                failure,
            });
        } else {
            open_attempt(
                now,
                &mut stream,
                route,
                None,
                &self.settings,
                &mut self.effects,
            );
            self.streams.insert(id, stream);
            self.rearm_or_remove(now, id);
        }
        self.effects.take_actions()
    }

    /// Handles a message from the process that accepts connections at `from`.
    ///
    /// Messages are matched by stream identifier; `from` is only logged.
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
            handlers::handle(now, stream, message, &self.settings, &mut self.effects);
            self.rearm_or_remove(now, id.request);
        } else {
            debug!("dropped a message from {from} that belongs to no current attempt");
        }
        self.effects.take_actions()
    }

    /// Handles the answer to [`EntryAction::ChooseRoute`].
    pub fn on_route(
        &mut self,
        now: Instant,
        request: RequestId,
        route: Result<Route, Failure>,
    ) -> Vec<EntryAction> {
        if let Some(stream) = self.streams.get_mut(&request) {
            handlers::on_route(now, stream, route, &self.settings, &mut self.effects);
            self.rearm_or_remove(now, request);
        }
        self.effects.take_actions()
    }

    /// Handles the report from membership that a process is dead.
    pub fn on_peer_lost(&mut self, now: Instant, peer: SocketAddr) -> Vec<EntryAction> {
        for request in self.requests_through(peer) {
            if let Some(stream) = self.streams.get_mut(&request) {
                let lost = stages_at(stream, peer);
                let (settings, effects) = (&self.settings, &mut self.effects);
                recovery::recover(now, stream, &lost, true, Loss::Silent, settings, effects);
                self.rearm_or_remove(now, request);
            }
        }
        self.effects.take_actions()
    }

    /// Handles the report from membership that a process is leaving.
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
                recovery::consider_migration(stream, stage, grace, &mut self.effects);
            }
        }
        self.effects.take_actions()
    }

    /// Ends a stream whose caller has disconnected.
    pub fn cancel(&mut self, now: Instant, request: RequestId) -> Vec<EntryAction> {
        if let Some(stream) = self.streams.get_mut(&request) {
            stream.close_all(&mut self.effects);
            stream.phase = Phase::Ended;
            self.rearm_or_remove(now, request);
        }
        self.effects.take_actions()
    }

    /// Handles every timer that is due at `now`.
    pub fn on_tick(&mut self, now: Instant) -> Vec<EntryAction> {
        while let Some(request) = self.timers.pop_due(now) {
            if let Some(stream) = self.streams.get_mut(&request) {
                stream.timer.clear();
                handlers::check_due(now, stream, &self.settings, &mut self.effects);
            }
            self.rearm_or_remove(now, request);
        }
        self.effects.take_actions()
    }

    /// Removes a stream that has ended, and arms the timer of any other.
    fn rearm_or_remove(&mut self, now: Instant, request: RequestId) {
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
