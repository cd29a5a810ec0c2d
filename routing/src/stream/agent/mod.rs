//! The state machine of the stages that an agent runs.
//!
//! An agent runs each stage's steps in order at its engine, sends their output
//! on, and retains outputs and KV cache checkpoints so that a lost stage can be
//! replaced without rerunning the whole stream.

mod cache_parts;
mod closed;
mod effects;
mod handlers;
mod pending;
mod retained;
mod stage;
mod stage_table;
mod step_times;
mod token_log;

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;
use jujubewall_protocol::stream::KvCache;
use jujubewall_protocol::stream::StageFailed;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_types::config::Assignment;
use jujubewall_types::error::Failure;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::UpstreamName;
use slotmap::SlotMap;
use slotmap::new_key_type;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::stream::action::AgentAction;
use crate::stream::action::StageError;
use crate::stream::agent::closed::ClosedStreams;
use crate::stream::agent::effects::Effects;
use crate::stream::agent::pending::UnopenedSteps;
use crate::stream::agent::stage::Phase;
use crate::stream::agent::stage::Stage;
use crate::stream::agent::step_times::StepTimes;
use crate::stream::invariant::StreamInvariants;
use crate::stream::settings::AgentSettings;
use crate::timer::Timers;

new_key_type! {
    /// Identifies one stage that an agent runs for one request.
    pub struct StageKey;
}

/// The stages of one agent.
#[derive(Debug)]
pub struct AgentStreams {
    settings: AgentSettings,
    stages: SlotMap<StageKey, Stage>,
    by_request: HashMap<RequestId, SmallVec<[StageKey; 2]>>,
    unopened: UnopenedSteps,
    closed: ClosedStreams,
    timers: Timers<StageKey>,
    step_times: StepTimes,
    grace_end: Option<Instant>,
    leaving_upstreams: HashMap<UpstreamName, Instant>,
    next_leaving_notice: Option<Instant>,
    pending_bytes: u64,
    retained_bytes: u64,
    effects: Effects,
}

impl AgentStreams {
    /// Creates the state of an agent that receives messages at `own_address`.
    pub fn new(own_address: SocketAddr, settings: AgentSettings) -> Self {
        let max_unopened = settings.max_early_streams as usize;
        Self {
            settings,
            stages: SlotMap::with_key(),
            by_request: HashMap::new(),
            unopened: UnopenedSteps::new(max_unopened, settings.early_bytes),
            closed: ClosedStreams::new(settings.max_closed_streams as usize),
            timers: Timers::new(),
            step_times: StepTimes::default(),
            grace_end: None,
            leaving_upstreams: HashMap::new(),
            next_leaving_notice: None,
            pending_bytes: 0,
            retained_bytes: 0,
            effects: Effects::new(own_address),
        }
    }

    /// Returns the number of violations of each invariant.
    pub const fn invariants(&self) -> &StreamInvariants {
        &self.effects.invariants
    }

    /// Returns the size of all retained outputs and checkpoints.
    pub const fn retained_bytes(&self) -> u64 {
        self.retained_bytes
    }

    /// Returns the number of stages that have not ended.
    pub fn stage_count(&self) -> usize {
        self.stages.len()
    }

    /// Returns the keys of the stages that have not ended.
    pub fn stage_keys(&self) -> impl Iterator<Item = StageKey> {
        self.stages.keys()
    }

    /// Returns whether no stage is left.
    pub fn is_idle(&self) -> bool {
        self.stages.is_empty()
    }

    /// Returns whether a stage runs any of the layers of `assignment` at `upstream`.
    pub fn uses(&self, upstream: &UpstreamName, assignment: &Assignment) -> bool {
        self.stages.values().any(|stage| {
            let own = stage.route_stage();
            own.upstream == *upstream
                && stage.open.model == assignment.model
                && stage.open.version == assignment.version
                && own.layers.first < assignment.layers.end
                && assignment.layers.first < own.layers.end
        })
    }

    /// Returns when [`Self::on_tick`] is to be called next, or `None` if nothing is due.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let notice = self.next_leaving_notice;
        [self.timers.next(), notice].into_iter().flatten().min()
    }

    /// Handles a message from the process that accepts connections at `from`.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: StreamMessage,
    ) -> Vec<AgentAction> {
        self.handle(now, from, message);
        self.finish_call(now)
    }

    /// Handles the admission of a stage.
    pub fn on_admitted(&mut self, now: Instant, ticket: StageKey) -> Vec<AgentAction> {
        self.update(now, ticket, |stage, effects| {
            if stage.phase == Phase::Admitting {
                stage.admitted(now, effects);
            }
        });
        self.finish_call(now)
    }

    /// Handles the refusal of a stage by admission.
    pub fn on_refused(
        &mut self,
        now: Instant,
        ticket: StageKey,
        failure: Failure,
    ) -> Vec<AgentAction> {
        let is_admitting = |stage: &&Stage| stage.phase == Phase::Admitting;
        if let Some(stage) = self.stages.get(ticket).filter(is_admitting) {
            let refused = StageFailed {
                id: stage.open.id,
                stage: stage.open.stage,
                failure,
            };
            let entry = stage.open.entry_address;
            self.effects.send(entry, StreamMessage::Refused(refused));
            self.remove(ticket);
        }
        self.finish_call(now)
    }

    /// Handles the result of [`AgentAction::RunStep`].
    pub fn on_step_done(
        &mut self,
        now: Instant,
        ticket: StageKey,
        result: Result<Bytes, StageError>,
    ) -> Vec<AgentAction> {
        self.record_step_time(now, ticket);
        self.update(now, ticket, |stage, effects| {
            match result {
                Ok(output) => stage.step_done(output, effects),
                Err(error) => stage.step_failed(&error.message, effects),
            }
            if let Phase::FinishingStep(transition) = stage.phase {
                stage.transition_when_idle(transition, effects);
            }
        });
        let interval_positions = self.settings.checkpoint_positions;
        self.update(now, ticket, |stage, effects| {
            stage.export_checkpoint(interval_positions, effects);
        });
        self.release_if_ended(ticket);
        self.finish_call(now)
    }

    /// Handles the result of [`AgentAction::ExportCache`].
    pub fn on_exported(
        &mut self,
        now: Instant,
        ticket: StageKey,
        result: Result<KvCache, StageError>,
    ) -> Vec<AgentAction> {
        self.update(now, ticket, |stage, effects| {
            stage.exported(result.ok(), effects);
        });
        self.release_if_ended(ticket);
        self.finish_call(now)
    }

    /// Handles the result of [`AgentAction::ImportCache`].
    pub fn on_imported(
        &mut self,
        now: Instant,
        ticket: StageKey,
        result: Result<(), StageError>,
    ) -> Vec<AgentAction> {
        let chunk_positions = self.settings.replay_chunk_positions;
        self.update(now, ticket, |stage, effects| match result {
            Ok(()) => stage.imported(chunk_positions, effects),
            Err(error) => stage.import_failed(&error.message, effects),
        });
        self.release_if_ended(ticket);
        self.finish_call(now)
    }

    /// Announces to the entries that the agent is leaving, and refuses new streams from now on.
    pub fn leave(&mut self, now: Instant, grace_end: Instant) -> Vec<AgentAction> {
        self.grace_end = Some(grace_end);
        self.send_leaving_notices(now);
        self.finish_call(now)
    }

    /// Announces that one upstream is leaving, and refuses new streams at it.
    ///
    /// The agent's other upstreams are not affected.
    pub fn leave_upstream(
        &mut self,
        now: Instant,
        upstream: &UpstreamName,
        grace_end: Instant,
    ) -> Vec<AgentAction> {
        self.leaving_upstreams.insert(upstream.clone(), grace_end);
        self.send_leaving_notices(now);
        self.finish_call(now)
    }

    /// Accepts new streams at an upstream that was leaving.
    pub fn cancel_upstream_leave(&mut self, upstream: &UpstreamName) {
        self.leaving_upstreams.remove(upstream);
    }

    /// Handles every timer that is due at `now`.
    pub fn on_tick(&mut self, now: Instant) -> Vec<AgentAction> {
        if self.next_leaving_notice.is_some_and(|due| now >= due) {
            self.send_leaving_notices(now);
        }
        while let Some(key) = self.timers.pop_due(now) {
            if let Some(stage) = self.stages.get_mut(key) {
                stage.timer.clear();
            }
            self.check_deadlines(now, key);
        }
        self.finish_call(now)
    }
}
