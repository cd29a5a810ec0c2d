//! Handlers for the messages and deadlines of an agent's stages.

use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_protocol::stream::CachePart;
use jujubewall_protocol::stream::CacheTransfer;
use jujubewall_protocol::stream::GeneratedToken;
use jujubewall_protocol::stream::OpenStream;
use jujubewall_protocol::stream::ProbeStage;
use jujubewall_protocol::stream::QuiesceStage;
use jujubewall_protocol::stream::ResumeStage;
use jujubewall_protocol::stream::SendCache;
use jujubewall_protocol::stream::StageActivity;
use jujubewall_protocol::stream::StageFailed;
use jujubewall_protocol::stream::StageLeaving;
use jujubewall_protocol::stream::StageProgress;
use jujubewall_protocol::stream::Step;
use jujubewall_protocol::stream::StreamId;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use log::debug;
use tokio::time::Instant;

use crate::stream::action::AgentAction;
use crate::stream::agent::AgentStreams;
use crate::stream::agent::StageKey;
use crate::stream::agent::stage::IdleTransition;
use crate::stream::agent::stage::Phase;
use crate::stream::agent::stage::Stage;
use crate::stream::agent::stage::StoredCheckpoint;
use crate::stream::agent::stage::transfer::send_cache;
use crate::stream::agent::stage_table;
use crate::stream::invariant::StreamInvariant;
use crate::stream::payload;

/// The interval at which entries are notified again about streams at a leaving upstream.
const LEAVING_NOTICE_INTERVAL: Duration = Duration::from_secs(1);

impl AgentStreams {
    /// Handles one message.
    pub(super) fn handle(&mut self, now: Instant, from: SocketAddr, message: StreamMessage) {
        match message {
            StreamMessage::Open(open) => self.on_open(now, open),
            StreamMessage::Resume(resume) => self.on_resume(now, resume),
            StreamMessage::Step(step) => self.on_step(now, step),
            StreamMessage::Token(token) => self.on_token(now, token),
            StreamMessage::Probe(probe) => self.on_probe(now, from, probe),
            StreamMessage::Resend(resend) => {
                let chunk_positions = self.settings.replay_chunk_positions;
                self.update_addressed(now, resend.id, resend.stage, |stage, effects| {
                    stage.resend_if_running(resend.from, chunk_positions, effects);
                });
            }
            StreamMessage::Quiesce(quiesce) => self.on_quiesce(now, &quiesce),
            StreamMessage::SendCache(order) => self.on_send_cache(now, order),
            StreamMessage::Cache(part) => {
                let deadline = now + self.settings.cache_timeout();
                self.update_addressed(now, part.id, part.stage, |stage, effects| {
                    stage.accept_cache_part(*part, deadline, effects);
                });
            }
            StreamMessage::Checkpoint(transfer) => self.on_checkpoint(now, *transfer),
            StreamMessage::Close(id) => self.on_close(id),
            other => debug!(
                "dropped a message of {:?} that only an entry handles",
                other.id()
            ),
        }
    }

    fn on_open(&mut self, now: Instant, open: Box<OpenStream>) {
        if self.closed.contains(open.id) || usize::from(open.stage) >= open.route.len() {
            return;
        }
        if let Some(key) = self.find_same_engine_stage(&open) {
            self.on_reopen(now, key, open);
        } else if self.is_leaving(&open.route[usize::from(open.stage)].upstream) {
            self.refuse_leaving(&open);
        } else {
            self.insert(now, open);
        }
    }

    fn on_reopen(&mut self, now: Instant, key: StageKey, open: Box<OpenStream>) {
        let current = self.stages[key].open.id;
        if open.id < current {
            return;
        }
        let (id, index) = (open.id, open.stage);
        self.update(now, key, |stage, effects| {
            if id > current {
                stage.reopen(open, effects);
            } else if !matches!(stage.phase, Phase::Admitting | Phase::FinishingStep(_)) {
                stage.report_opened(effects);
            }
        });
        self.add_unopened_steps(now, key, id, index);
    }

    fn insert(&mut self, now: Instant, open: Box<OpenStream>) {
        let is_leaving = self.is_leaving(&open.route[usize::from(open.stage)].upstream);
        self.effects
            .check(StreamInvariant::NoNewWorkAfterLeave, !is_leaving);
        let (id, index) = (open.id, open.stage);
        let open_to_admit = open.clone();
        let new = |key| Stage::new(key, open, now);
        let key = self.stages.insert_with_key(new);
        self.by_request.entry(id.request).or_default().push(key);
        self.effects.push(AgentAction::Admit {
            ticket: key,
            open: open_to_admit,
        });
        self.add_unopened_steps(now, key, id, index);
        self.arm(now, key);
    }

    fn add_unopened_steps(&mut self, now: Instant, key: StageKey, id: StreamId, index: u8) {
        for step in self.unopened.take(id, index) {
            self.add_step(now, key, step);
        }
    }

    fn refuse_leaving(&mut self, open: &OpenStream) {
        let refused = StageFailed {
            id: open.id,
            stage: open.stage,
            failure: Failure::new(ErrorKind::Draining, "the upstream is leaving"),
        };
        self.effects
            .send(open.entry_address, StreamMessage::Refused(refused));
    }

    fn on_resume(&mut self, now: Instant, resume: ResumeStage) {
        let chunk_positions = self.settings.replay_chunk_positions;
        let deadline = now + self.settings.cache_timeout();
        self.update_addressed(now, resume.id, resume.stage, |stage, effects| {
            if stage.phase != Phase::Opened {
                return;
            }
            if resume.imports_cache {
                stage.await_cache(resume, deadline, effects);
            } else {
                stage.resume(resume, chunk_positions, effects);
            }
        });
    }

    /// Handles a generated token, which is the first stage's input for the token's position.
    fn on_token(&mut self, now: Instant, token: GeneratedToken) {
        let step = Step {
            id: token.id,
            stage: 0,
            first_position: token.position,
            positions: 1,
            layers_done: 0,
            payload: payload::encode_tokens(&[token.token]),
        };
        self.on_step(now, step);
    }

    fn on_step(&mut self, now: Instant, step: Step) {
        if !payload::has_whole_records(&step.payload, step.positions) {
            debug!("dropped a malformed step of {:?}", step.id);
        } else if let Some(key) = self.find(step.id, step.stage) {
            self.add_step(now, key, step);
        } else if !self.closed.contains(step.id) && !self.is_superseded(step.id) {
            self.unopened.push(step);
        }
    }

    fn add_step(&mut self, now: Instant, key: StageKey, step: Step) {
        let free_bytes = self.settings.early_bytes.saturating_sub(self.pending_bytes);
        if step.payload.len() as u64 > free_bytes {
            debug!(
                "dropped a step of {:?} over the limit on pending steps",
                step.id
            );
            return;
        }
        self.update(now, key, |stage, effects| {
            let is_in_order = step.layers_done == stage.route_stage().layers.first;
            effects.check(StreamInvariant::LayersInOrder, is_in_order);
            if is_in_order {
                stage.pending.insert(step);
            }
        });
    }

    fn on_probe(&mut self, now: Instant, from: SocketAddr, probe: ProbeStage) {
        let mut progress = StageProgress {
            id: probe.id,
            stage: probe.stage,
            ran: 0,
            activity: StageActivity::Unknown,
        };
        self.update_addressed(now, probe.id, probe.stage, |stage, effects| {
            progress.ran = stage.positions_run();
            progress.activity = stage.activity();
            if stage.is_last() {
                stage.resend_tokens(probe.known_tokens, effects);
            }
        });
        self.effects.send(from, StreamMessage::Progress(progress));
    }

    fn on_quiesce(&mut self, now: Instant, quiesce: &QuiesceStage) {
        let id = quiesce.id;
        let is_match = |found: &Stage| {
            found.route_stage().upstream == quiesce.upstream && found.open.id.attempt < id.attempt
        };
        if let Some(key) = self.find_where(id.request, is_match) {
            self.update(now, key, |found, effects| {
                let transition = IdleTransition::Quiesced {
                    id,
                    stage: quiesce.stage,
                    known_tokens: quiesce.known_tokens,
                };
                found.transition_when_idle(transition, effects);
            });
        }
    }

    fn on_send_cache(&mut self, now: Instant, order: SendCache) {
        let is_quiesced = |stage: &Stage| {
            stage.phase == Phase::Quiesced && stage.route_stage().layers == order.layers
        };
        if let Some(key) = self.find_where(order.id.request, is_quiesced) {
            self.update(now, key, |stage, effects| stage.export_to(order, effects));
            return;
        }
        let checkpoint_of = |stage: &Stage| {
            let checkpoint = stage.checkpoint.as_ref();
            checkpoint
                .filter(|checkpoint| checkpoint.cache.layers == order.layers)
                .cloned()
        };
        let keys = self.by_request.get(&order.id.request);
        let mut stages = keys
            .into_iter()
            .flatten()
            .filter_map(|&key| self.stages.get(key));
        if let Some(checkpoint) = stages.find_map(checkpoint_of) {
            let transfer = CacheTransfer {
                id: order.id,
                stage: order.stage,
                cache: checkpoint.cache,
                part: CachePart::WHOLE,
                output: None,
            };
            send_cache(&transfer, order.to_address, &mut self.effects);
        }
    }

    fn on_checkpoint(&mut self, now: Instant, transfer: CacheTransfer) {
        let attempt = transfer.id.attempt;
        let is_holder = |stage: &Stage| {
            let layers = transfer.cache.layers;
            stage.open.route.iter().any(|other| other.layers == layers)
        };
        if let Some(key) = self.find_where(transfer.id.request, is_holder) {
            self.update(now, key, |stage, _| {
                if let Some(complete) = stage.incoming_checkpoint.add(transfer) {
                    let cache = complete.cache;
                    stage.checkpoint = Some(StoredCheckpoint { attempt, cache });
                }
            });
        }
    }

    fn on_close(&mut self, id: StreamId) {
        self.closed.insert(id);
        self.unopened.discard(id);
        let keys = self
            .by_request
            .get(&id.request)
            .cloned()
            .unwrap_or_default();
        for key in keys {
            if self.stages[key].open.id <= id {
                self.stages[key].phase = Phase::Ending;
                self.release_if_ended(key);
            }
        }
    }

    /// Handles the deadlines of one stage that have passed, and rearms its timer.
    pub(super) fn check_deadlines(&mut self, now: Instant, key: StageKey) {
        let Some(stage) = self.stages.get_mut(key) else {
            return;
        };
        if now >= stage.last_message_at + self.settings.orphan_timeout() {
            self.release(key);
            return;
        }
        if stage
            .step_deadline()
            .is_some_and(|deadline| now >= deadline)
        {
            stage.time_out(&mut self.effects);
        }
        if matches!(stage.phase, Phase::AwaitingCache { deadline } if now >= deadline) {
            stage.fail("the cache did not come in time", &mut self.effects);
        }
        self.arm(now, key);
    }

    /// Notifies the entries of all running stages whose upstream is leaving.
    ///
    /// The notices are repeated, so that an entry which found no other route for a
    /// stream tries again.
    pub(super) fn send_leaving_notices(&mut self, now: Instant) {
        self.next_leaving_notice = None;
        for stage in self.stages.values() {
            let grace_end = stage_table::grace_end(self.grace_end, &self.leaving_upstreams, stage);
            let Some(grace_end) = grace_end.filter(|_| stage.phase == Phase::Running) else {
                continue;
            };
            let grace = grace_end.saturating_duration_since(now);
            let leaving = StageLeaving {
                id: stage.open.id,
                stage: stage.open.stage,
                grace_ms: u64::try_from(grace.as_millis()).unwrap_or(u64::MAX),
            };
            let entry = stage.open.entry_address;
            self.effects.send(entry, StreamMessage::Leaving(leaving));
            self.next_leaving_notice = Some(now + LEAVING_NOTICE_INTERVAL);
        }
    }
}
