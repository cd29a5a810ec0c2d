//! The state of one stage of one request.

mod output;
mod phase;
pub mod transfer;

use std::time::Duration;

use bytes::Bytes;
use jujubewall_protocol::stream::Checkpoint;
use jujubewall_protocol::stream::HeldState;
use jujubewall_protocol::stream::KvCache;
use jujubewall_protocol::stream::OpenStream;
use jujubewall_protocol::stream::ResumeStage;
use jujubewall_protocol::stream::RouteStage;
use jujubewall_protocol::stream::StageActivity;
use jujubewall_protocol::stream::StageFailed;
use jujubewall_protocol::stream::StageHeld;
use jujubewall_protocol::stream::StageOutput;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::Position;
use tokio::time::Instant;

use crate::stream::action::AgentAction;
use crate::stream::action::StageStep;
use crate::stream::agent::StageKey;
use crate::stream::agent::cache_parts::CacheAssembly;
use crate::stream::agent::effects::Effects;
use crate::stream::agent::pending::PendingSteps;
use crate::stream::agent::retained::RetainedOutputs;
use crate::stream::agent::retained::end_position;
pub use crate::stream::agent::stage::phase::IdleTransition;
pub use crate::stream::agent::stage::phase::Phase;
use crate::stream::agent::stage::transfer::Transfers;
use crate::stream::agent::token_log::TokenLog;
use crate::stream::invariant::StreamInvariant;
use crate::stream::payload;
use crate::timer::TimerSlot;

/// The step that the engine currently computes.
#[derive(Clone, Debug)]
struct RunningStep {
    attempt: Attempt,
    first: u32,
    positions: u32,
    /// The tokens of a first stage's step; empty for other stages.
    tokens: Bytes,
    begun_at: Instant,
    deadline: Instant,
}

/// A checkpoint of another stage's KV cache.
#[derive(Clone, Debug)]
pub struct StoredCheckpoint {
    /// The attempt in which the checkpoint was made.
    pub attempt: Attempt,
    /// The cache.
    pub cache: KvCache,
}

/// One stage of one request at one engine.
#[derive(Debug)]
pub struct Stage {
    /// The `Open` message of the current attempt.
    pub open: Box<OpenStream>,
    /// The current phase.
    pub phase: Phase,
    /// The steps that have not run.
    pub pending: PendingSteps,
    /// The outputs that are retained for resending.
    pub outputs: RetainedOutputs,
    /// A checkpoint of another stage's KV cache, if this stage holds one.
    pub checkpoint: Option<StoredCheckpoint>,
    /// The parts of the next checkpoint that have arrived.
    pub incoming_checkpoint: CacheAssembly,
    /// The state of KV cache imports and exports.
    pub transfers: Transfers,
    /// When the last message about the stage arrived.
    pub last_message_at: Instant,
    /// The slot of the stage's timer.
    pub timer: TimerSlot,
    key: StageKey,
    positions_run: u32,
    ran_attempt: Attempt,
    send_from: u32,
    running: Option<RunningStep>,
    tokens: TokenLog,
}

impl Stage {
    /// Creates a stage that has run nothing and waits for admission.
    pub fn new(key: StageKey, open: Box<OpenStream>, now: Instant) -> Self {
        Self {
            open,
            phase: Phase::Admitting,
            pending: PendingSteps::default(),
            outputs: RetainedOutputs::default(),
            checkpoint: None,
            incoming_checkpoint: CacheAssembly::default(),
            transfers: Transfers::default(),
            last_message_at: now,
            timer: TimerSlot::default(),
            key,
            positions_run: 0,
            ran_attempt: Attempt(0),
            send_from: 0,
            running: None,
            tokens: TokenLog::default(),
        }
    }

    /// Returns the key of the stage.
    pub const fn key(&self) -> StageKey {
        self.key
    }

    /// Returns the route's entry for this stage.
    pub fn route_stage(&self) -> &RouteStage {
        &self.open.route[usize::from(self.open.stage)]
    }

    /// Returns the next stage of the route, or `None` if this one is the last.
    pub fn next_stage(&self) -> Option<&RouteStage> {
        self.open.route.get(usize::from(self.open.stage) + 1)
    }

    /// Returns the stage that holds checkpoints of this one's KV cache.
    ///
    /// It is the previous stage of the route; for the first stage it is the last one.
    pub fn checkpoint_holder(&self) -> &RouteStage {
        let stages = self.open.route.len();
        &self.open.route[(usize::from(self.open.stage) + stages - 1) % stages]
    }

    /// Returns whether the stage runs the model's last layer.
    pub fn is_last(&self) -> bool {
        self.next_stage().is_none()
    }

    /// Returns whether the engine currently computes a step.
    pub const fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Returns the number of positions in the stage's KV cache.
    pub const fn positions_run(&self) -> u32 {
        self.positions_run
    }

    /// Returns the attempt in which the stage last ran a step.
    pub const fn ran_attempt(&self) -> Attempt {
        self.ran_attempt
    }

    /// Returns the size of the retained outputs and the checkpoint.
    pub fn retained_bytes(&self) -> u64 {
        let checkpoint_bytes =
            |checkpoint: &StoredCheckpoint| checkpoint.cache.payload.len() as u64;
        self.outputs.bytes() + self.checkpoint.as_ref().map_or(0, checkpoint_bytes)
    }

    /// Drops the checkpoint if there is one, and otherwise every output but the newest.
    pub fn shrink_retained(&mut self) {
        if self.checkpoint.take().is_none() {
            self.outputs.keep_newest();
        }
    }

    /// Drops the checkpoint and every retained output.
    pub fn clear_retained(&mut self) {
        self.checkpoint = None;
        self.outputs.clear();
    }

    /// Returns the description of what the stage holds, from which a later attempt resumes.
    pub fn held(&self) -> HeldState {
        let retained_from = if self.is_last() {
            self.tokens
                .first()
                .map_or(self.positions_run, |first| first - 1)
        } else {
            self.outputs.first_position(self.positions_run)
        };
        HeldState {
            attempt: self.ran_attempt,
            cached: self.positions_run,
            retained_from,
            checkpoint: self.checkpoint.as_ref().map(checkpoint_of),
        }
    }

    /// Returns the activity that the stage reports to a probe.
    pub fn activity(&self) -> StageActivity {
        match self.phase {
            Phase::Admitting => StageActivity::Queued,
            Phase::Opened => StageActivity::Opened,
            Phase::AwaitingCache { .. } | Phase::Importing => StageActivity::Running,
            _ if self.is_running() => StageActivity::Running,
            _ => StageActivity::Idle,
        }
    }

    /// Reports to the entry what the stage holds.
    pub fn report_opened(&self, effects: &mut Effects) {
        let held = StageHeld {
            id: self.open.id,
            stage: self.open.stage,
            held: self.held(),
            tokens: self.tokens.complete_since(self.open.known_tokens),
        };
        effects.send(self.open.entry_address, StreamMessage::Opened(held));
    }

    /// Marks the stage as failed in this attempt, and reports it to the entry.
    pub fn fail(&mut self, message: &str, effects: &mut Effects) {
        let failure = Failure::new(ErrorKind::StreamLost, message);
        self.report_failure(failure, effects);
    }

    /// Reports to the entry that the engine has not answered in time, but may still.
    pub fn time_out(&mut self, effects: &mut Effects) {
        let message = "the engine did not answer in time";
        let failure = Failure::new(ErrorKind::OutcomeUnknown, message);
        self.report_failure(failure, effects);
    }

    fn report_failure(&mut self, failure: Failure, effects: &mut Effects) {
        self.phase = Phase::Failed;
        let failed = StageFailed {
            id: self.open.id,
            stage: self.open.stage,
            failure,
        };
        effects.send(self.open.entry_address, StreamMessage::Failed(failed));
    }

    /// Switches to a later attempt.
    pub fn reopen(&mut self, open: Box<OpenStream>, effects: &mut Effects) {
        let transition = if open.resumes {
            IdleTransition::Opened
        } else {
            IdleTransition::Restarted
        };
        self.open = open;
        self.pending.clear();
        self.transfers.reopen();
        if self.phase != Phase::Admitting {
            self.transition_when_idle(transition, effects);
        }
    }

    /// Makes `transition` now, or once the engine has finished its step.
    pub fn transition_when_idle(&mut self, transition: IdleTransition, effects: &mut Effects) {
        if self.is_running() {
            self.phase = Phase::FinishingStep(transition);
            return;
        }
        match transition {
            IdleTransition::Opened => {
                self.phase = Phase::Opened;
                self.report_opened(effects);
            }
            IdleTransition::Restarted => {
                self.restart();
                self.report_opened(effects);
            }
            IdleTransition::Quiesced {
                id,
                stage,
                known_tokens,
            } => {
                self.phase = Phase::Quiesced;
                self.outputs.keep_newest();
                let quiesced = StageHeld {
                    id,
                    stage,
                    held: self.held(),
                    tokens: self.tokens.complete_since(known_tokens),
                };
                effects.send(self.open.entry_address, StreamMessage::Quiesced(quiesced));
            }
        }
    }

    /// Handles the admission of the stage.
    pub fn admitted(&mut self, now: Instant, effects: &mut Effects) {
        if self.open.resumes {
            self.phase = Phase::Opened;
        } else {
            self.restart();
        }
        self.report_opened(effects);
        self.last_message_at = now;
    }

    /// Drops all state and starts from the first position.
    fn restart(&mut self) {
        self.truncate(0);
        self.send_from = 0;
        self.ran_attempt = self.open.id.attempt;
        self.phase = Phase::Running;
    }

    /// Replaces the stage's state by that of an imported KV cache of `positions`.
    ///
    /// Retains `output`, which was transferred with the cache, if it ends at `positions`.
    pub fn adopt_imported_cache(&mut self, positions: u32, output: Option<StageOutput>) {
        self.truncate(0);
        self.positions_run = positions;
        let fits = |output: &StageOutput| {
            end_position(output) == positions
                && payload::has_whole_records(&output.payload, output.positions)
        };
        if let Some(output) = output.filter(fits) {
            self.outputs.push(output);
        }
    }

    /// Resumes from the state that the stage holds.
    pub fn resume(&mut self, resume: ResumeStage, chunk_positions: u32, effects: &mut Effects) {
        effects.check(
            StreamInvariant::PositionsInOrder,
            resume.keep <= self.positions_run,
        );
        self.truncate(resume.keep);
        self.ran_attempt = self.open.id.attempt;
        self.open.known_tokens = resume.known_tokens;
        self.send_from = resume.send_from;
        self.phase = Phase::Running;
        self.resend(resume.send_from, chunk_positions, effects);
    }

    /// Starts the next step if the engine is idle and the step's input has arrived.
    pub fn start_next_step(
        &mut self,
        now: Instant,
        timeout: impl Fn(u32) -> Duration,
        effects: &mut Effects,
    ) {
        if self.phase != Phase::Running || self.is_running() {
            return;
        }
        let Some(input) = self.pending.take_at(self.positions_run) else {
            return;
        };
        effects.check(
            StreamInvariant::PositionsInOrder,
            input.first == self.positions_run,
        );
        self.running = Some(RunningStep {
            attempt: self.open.id.attempt,
            first: input.first,
            positions: input.positions,
            tokens: if self.open.stage == 0 {
                input.payload.clone()
            } else {
                Bytes::new()
            },
            begun_at: now,
            deadline: now + timeout(input.positions),
        });
        let step = self.engine_step(input);
        effects.push(AgentAction::RunStep {
            ticket: self.key,
            upstream: self.route_stage().upstream.clone(),
            step,
        });
    }

    fn engine_step(&self, input: StageOutput) -> StageStep {
        StageStep {
            request: self.open.id.request,
            attempt: self.open.id.attempt,
            model: self.open.model.clone(),
            version: self.open.version.clone(),
            first_position: Position(input.first),
            positions: input.positions,
            layers: self.route_stage().layers,
            is_last: self.is_last(),
            priority: self.open.priority,
            payload: input.payload,
        }
    }

    /// Handles the output of the step that the engine has computed.
    pub fn step_done(&mut self, output: Bytes, effects: &mut Effects) {
        let Some(step) = self.running.take() else {
            return;
        };
        self.positions_run = step.first + step.positions;
        self.ran_attempt = step.attempt;
        let is_current = self.phase == Phase::Running;
        if self.is_last() {
            self.accept_token(&output, is_current, effects);
            return;
        }
        if self.open.stage == 0 {
            let answer_start = self.open.prompt_tokens;
            self.tokens.extend(step.first, &step.tokens, answer_start);
        }
        self.accept_activations(&step, output, is_current, effects);
    }

    /// Handles the failure of a step, after which the KV cache counts as lost.
    pub fn step_failed(&mut self, message: &str, effects: &mut Effects) {
        self.running = None;
        self.truncate(0);
        if self.phase == Phase::Running {
            self.fail(message, effects);
        }
    }

    /// Returns when the engine began its current step.
    pub fn step_begun_at(&self) -> Option<Instant> {
        self.running.as_ref().map(|step| step.begun_at)
    }

    /// Returns the deadline of the current step, or `None` if the stage is not running.
    pub fn step_deadline(&self) -> Option<Instant> {
        let is_timed = self.phase == Phase::Running;
        let running = self.running.as_ref().filter(|_| is_timed);
        running.map(|step| step.deadline)
    }

    fn truncate(&mut self, keep: u32) {
        self.positions_run = self.positions_run.min(keep);
        self.transfers.truncate(keep);
        self.outputs.truncate(keep);
        // The output of the last kept position is the token that follows it.
        let generated = u32::from(self.is_last() && keep > 0);
        self.tokens.truncate(keep + generated);
    }
}

fn checkpoint_of(checkpoint: &StoredCheckpoint) -> Checkpoint {
    Checkpoint {
        layers: checkpoint.cache.layers,
        attempt: checkpoint.attempt,
        positions: checkpoint.cache.positions,
    }
}
