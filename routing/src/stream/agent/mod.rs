//! An agent's decisions about the stages that it runs.

use std::net::SocketAddr;

use bytes::Bytes;
use jujubewall_protocol::stream::KvCache;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_types::error::Failure;
use slotmap::new_key_type;
use tokio::time::Instant;

use crate::stream::action::AgentAction;
use crate::stream::action::StageError;
use crate::stream::settings::AgentSettings;

new_key_type! {
    /// One stage that an agent runs for one request.
    pub struct StageKey;
}

/// All stages of one agent.
#[derive(Debug)]
pub struct AgentStreams {
    own_address: SocketAddr,
    settings: AgentSettings,
}

impl AgentStreams {
    /// Creates the decisions of the agent that receives messages at `own_address`.
    pub fn new(own_address: SocketAddr, settings: AgentSettings) -> Self {
        Self {
            own_address,
            settings,
        }
    }

    /// Handles a message from the process that accepts connections at `from`.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: StreamMessage,
    ) -> Vec<AgentAction> {
        let _ = (now, from, message, self.own_address, self.settings);
        Vec::new()
    }

    /// Handles the word of admission that a stage may run.
    pub fn on_admitted(&mut self, now: Instant, ticket: StageKey) -> Vec<AgentAction> {
        let _ = (now, ticket);
        Vec::new()
    }

    /// Handles the word of admission that a stage may not run.
    pub fn on_refused(
        &mut self,
        now: Instant,
        ticket: StageKey,
        failure: Failure,
    ) -> Vec<AgentAction> {
        let _ = (now, ticket, failure);
        Vec::new()
    }

    /// Handles the result of [`AgentAction::RunStep`].
    pub fn on_step_done(
        &mut self,
        now: Instant,
        ticket: StageKey,
        result: Result<Bytes, StageError>,
    ) -> Vec<AgentAction> {
        let _ = (now, ticket, result);
        Vec::new()
    }

    /// Handles the result of [`AgentAction::ExportCache`].
    pub fn on_exported(
        &mut self,
        now: Instant,
        ticket: StageKey,
        result: Result<KvCache, StageError>,
    ) -> Vec<AgentAction> {
        let _ = (now, ticket, result);
        Vec::new()
    }

    /// Handles the result of [`AgentAction::ImportCache`].
    pub fn on_imported(
        &mut self,
        now: Instant,
        ticket: StageKey,
        result: Result<(), StageError>,
    ) -> Vec<AgentAction> {
        let _ = (now, ticket, result);
        Vec::new()
    }

    /// Begins to leave: tells every entry, and refuses new streams.
    pub fn leave(&mut self, now: Instant, grace_end: Instant) -> Vec<AgentAction> {
        let _ = (now, grace_end);
        Vec::new()
    }

    /// Returns whether no stage is left.
    pub fn is_idle(&self) -> bool {
        true
    }

    /// Handles the passing of time.
    pub fn on_tick(&mut self, now: Instant) -> Vec<AgentAction> {
        let _ = now;
        Vec::new()
    }

    /// Returns when [`Self::on_tick`] has something to do.
    pub fn next_wakeup(&self) -> Option<Instant> {
        None
    }
}
