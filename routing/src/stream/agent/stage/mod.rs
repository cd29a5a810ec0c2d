//! One stage of one request.

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
use crate::stream::agent::early::WaitingSteps;
use crate::stream::agent::effects::Effects;
use crate::stream::agent::retained::RetainedOutputs;
use crate::stream::agent::retained::end_of;
pub use crate::stream::agent::stage::phase::Phase;
pub use crate::stream::agent::stage::phase::Settled;
use crate::stream::agent::stage::transfer::Transfers;
use crate::stream::agent::token_log::TokenLog;
use crate::stream::invariant::StreamInvariant;
use crate::stream::payload;
use crate::timer::TimerSlot;

/// A step that the engine computes.
#[derive(Clone, Debug)]
struct RunningStep {
    attempt: Attempt,
    first: u32,
    positions: u32,
    /// The tokens of a first stage's step.
    tokens: Bytes,
    begun_at: Instant,
    deadline: Instant,
}

/// A copy of another stage's KV cache.
#[derive(Clone, Debug)]
pub struct CacheCopy {
    /// The attempt under which the copy was made.
    pub attempt: Attempt,
    /// The cache.
    pub cache: KvCache,
}

/// One stage of one request at one engine.
#[derive(Debug)]
pub struct Stage {
    /// The current attempt's `Open`.
    pub open: Box<OpenStream>,
    /// What the stage does next.
    pub phase: Phase,
    /// The steps that wait for their turn.
    pub waiting: WaitingSteps,
    /// The outputs that are kept.
    pub outputs: RetainedOutputs,
    /// A copy of another stage's KV cache.
    pub copy: Option<CacheCopy>,
    /// The parts of the next copy.
    pub incoming_copy: CacheAssembly,
    /// The KV caches that the stage waits for or gives away.
    pub transfers: Transfers,
    /// When a message about the stage came last.
    pub heard: Instant,
    /// The stage's timer.
    pub timer: TimerSlot,
    key: StageKey,
    ran: u32,
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
            waiting: WaitingSteps::default(),
            outputs: RetainedOutputs::default(),
            copy: None,
            incoming_copy: CacheAssembly::default(),
            transfers: Transfers::default(),
            heard: now,
            timer: TimerSlot::default(),
            key,
            ran: 0,
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

    /// Returns this stage's place in the route.
    pub fn own(&self) -> &RouteStage {
        &self.open.route[usize::from(self.open.stage)]
    }

    /// Returns the stage that follows, unless this one is the last.
    pub fn next(&self) -> Option<&RouteStage> {
        self.open.route.get(usize::from(self.open.stage) + 1)
    }

    /// Returns the stage that keeps copies of this one's KV cache.
    pub fn copy_holder(&self) -> &RouteStage {
        let stages = self.open.route.len();
        &self.open.route[(usize::from(self.open.stage) + stages - 1) % stages]
    }

    /// Returns whether the stage runs the model's last layer.
    pub fn is_last(&self) -> bool {
        self.next().is_none()
    }

    /// Returns whether the engine computes a step.
    pub const fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Returns the number of positions that the stage has run.
    pub const fn ran(&self) -> u32 {
        self.ran
    }

    /// Returns the attempt under which the stage ran last.
    pub const fn ran_attempt(&self) -> Attempt {
        self.ran_attempt
    }

    /// Returns the size of what the stage keeps for others.
    pub fn retained_bytes(&self) -> u64 {
        let copy_bytes = |copy: &CacheCopy| copy.cache.payload.len() as u64;
        self.outputs.bytes() + self.copy.as_ref().map_or(0, copy_bytes)
    }

    /// Gives back the largest part of what the stage keeps for others.
    pub fn shrink_retained(&mut self) {
        if self.copy.take().is_none() {
            self.outputs.keep_newest();
        }
    }

    /// Gives back all that the stage keeps for others.
    pub fn clear_retained(&mut self) {
        self.copy = None;
        self.outputs.clear();
    }

    /// Returns what the stage holds.
    pub fn held(&self) -> HeldState {
        let retained_from = if self.is_last() {
            self.tokens.first().map_or(self.ran, |first| first - 1)
        } else {
            self.outputs.first(self.ran)
        };
        HeldState {
            attempt: self.ran_attempt,
            cached: self.ran,
            retained_from,
            checkpoint: self.copy.as_ref().map(checkpoint_of),
        }
    }

    /// Returns what the stage is doing.
    pub fn activity(&self) -> StageActivity {
        match self.phase {
            Phase::Admitting => StageActivity::Queued,
            Phase::Opened => StageActivity::Opened,
            Phase::AwaitingCache { .. } | Phase::Importing => StageActivity::Running,
            _ if self.is_running() => StageActivity::Running,
            _ => StageActivity::Idle,
        }
    }

    /// Tells the entry what the stage holds.
    pub fn tell_opened(&self, fx: &mut Effects) {
        let held = StageHeld {
            id: self.open.id,
            stage: self.open.stage,
            held: self.held(),
            tokens: self.tokens.since(self.open.known_tokens),
        };
        fx.send(self.open.entry_address, StreamMessage::Opened(held));
    }

    /// Tells the entry that the stage can run nothing in this attempt.
    pub fn fail(&mut self, message: &str, fx: &mut Effects) {
        self.phase = Phase::Failed;
        let failed = StageFailed {
            id: self.open.id,
            stage: self.open.stage,
            failure: Failure::new(ErrorKind::StreamLost, message),
        };
        fx.send(self.open.entry_address, StreamMessage::Failed(failed));
    }

    /// Takes up a later attempt.
    pub fn reopen(&mut self, open: Box<OpenStream>, fx: &mut Effects) {
        let settled = if open.resumes {
            Settled::Opened
        } else {
            Settled::Restarted
        };
        self.open = open;
        self.waiting.clear();
        self.transfers.reopen();
        if self.phase != Phase::Admitting {
            self.settle(settled, fx);
        }
    }

    /// Does what `settled` says as soon as the engine computes nothing.
    pub fn settle(&mut self, settled: Settled, fx: &mut Effects) {
        if self.is_running() {
            self.phase = Phase::Settling(settled);
            return;
        }
        match settled {
            Settled::Opened => {
                self.phase = Phase::Opened;
                self.tell_opened(fx);
            }
            Settled::Restarted => {
                self.begin();
                self.tell_opened(fx);
            }
            Settled::Quiesced {
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
                    tokens: self.tokens.since(known_tokens),
                };
                fx.send(self.open.entry_address, StreamMessage::Quiesced(quiesced));
            }
        }
    }

    /// Handles the decision of admission.
    pub fn admitted(&mut self, now: Instant, fx: &mut Effects) {
        if self.open.resumes {
            self.phase = Phase::Opened;
        } else {
            self.begin();
        }
        self.tell_opened(fx);
        self.heard = now;
    }

    /// Begins from the first position.
    fn begin(&mut self) {
        self.truncate(0);
        self.send_from = 0;
        self.ran_attempt = self.open.id.attempt;
        self.phase = Phase::Running;
    }

    /// Notes that the engine holds a KV cache of `positions` that it did not compute.
    pub fn set_ran(&mut self, positions: u32, output: Option<StageOutput>) {
        self.truncate(0);
        self.ran = positions;
        let fits = |output: &StageOutput| {
            end_of(output) == positions && payload::is_whole(&output.payload, output.positions)
        };
        if let Some(output) = output.filter(fits) {
            self.outputs.push(output);
        }
    }

    /// Goes on from what the stage holds.
    pub fn resume(&mut self, resume: ResumeStage, chunk_positions: u32, fx: &mut Effects) {
        fx.check(StreamInvariant::PositionsInOrder, resume.keep <= self.ran);
        self.truncate(resume.keep);
        self.ran_attempt = self.open.id.attempt;
        self.open.known_tokens = resume.known_tokens;
        self.send_from = resume.send_from;
        self.phase = Phase::Running;
        self.resend(resume.send_from, chunk_positions, fx);
    }

    /// Starts the next step if the engine is free and the step's input is there.
    pub fn advance(&mut self, now: Instant, timeout: impl Fn(u32) -> Duration, fx: &mut Effects) {
        if self.phase != Phase::Running || self.is_running() {
            return;
        }
        let Some(input) = self.waiting.take_at(self.ran) else {
            return;
        };
        fx.check(StreamInvariant::PositionsInOrder, input.first == self.ran);
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
        fx.push(AgentAction::RunStep {
            ticket: self.key,
            upstream: self.own().upstream.clone(),
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
            layers: self.own().layers,
            is_last: self.is_last(),
            priority: self.open.priority,
            payload: input.payload,
        }
    }

    /// Takes in the output of the step that the engine has computed.
    pub fn step_done(&mut self, output: Bytes, fx: &mut Effects) {
        let Some(step) = self.running.take() else {
            return;
        };
        self.ran = step.first + step.positions;
        self.ran_attempt = step.attempt;
        let is_current = self.phase == Phase::Running;
        if self.is_last() {
            self.take_token(&output, is_current, fx);
            return;
        }
        if self.open.stage == 0 {
            let answer_start = self.open.prompt_tokens;
            self.tokens.extend(step.first, &step.tokens, answer_start);
        }
        self.take_activations(&step, output, is_current, fx);
    }

    /// Notes that the engine has lost the KV cache.
    pub fn step_failed(&mut self, message: &str, fx: &mut Effects) {
        self.running = None;
        self.truncate(0);
        if self.phase == Phase::Running {
            self.fail(message, fx);
        }
    }

    /// Returns when the engine began the step that it computes.
    pub fn step_begun_at(&self) -> Option<Instant> {
        self.running.as_ref().map(|step| step.begun_at)
    }

    /// Returns when the engine is to have finished the step that it computes.
    pub fn step_deadline(&self) -> Option<Instant> {
        let is_timed = self.phase == Phase::Running;
        let running = self.running.as_ref().filter(|_| is_timed);
        running.map(|step| step.deadline)
    }

    fn truncate(&mut self, keep: u32) {
        self.ran = self.ran.min(keep);
        self.transfers.truncate(keep);
        self.outputs.truncate(keep);
        // The output of the last position that is kept is the token after it.
        let generated = u32::from(self.is_last() && keep > 0);
        self.tokens.truncate(keep + generated);
    }
}

fn checkpoint_of(copy: &CacheCopy) -> Checkpoint {
    Checkpoint {
        layers: copy.cache.layers,
        attempt: copy.attempt,
        positions: copy.cache.positions,
    }
}
