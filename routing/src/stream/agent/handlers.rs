//! How an agent handles each message and deadline.

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
use crate::stream::agent::arena;
use crate::stream::agent::stage::CacheCopy;
use crate::stream::agent::stage::Phase;
use crate::stream::agent::stage::Settled;
use crate::stream::agent::stage::Stage;
use crate::stream::agent::stage::transfer::send_cache;
use crate::stream::invariant::StreamInvariant;
use crate::stream::payload;

/// The time after which a leaving upstream's streams are told again.
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
                self.update_at(now, resend.id, resend.stage, |stage, fx| {
                    stage.resend_if_running(resend.from, chunk_positions, fx);
                });
            }
            StreamMessage::Quiesce(quiesce) => self.on_quiesce(now, &quiesce),
            StreamMessage::SendCache(order) => self.on_send_cache(now, order),
            StreamMessage::Cache(part) => {
                let until = now + self.settings.cache_timeout();
                self.update_at(now, part.id, part.stage, |stage, fx| {
                    stage.take_cache_part(*part, until, fx);
                });
            }
            StreamMessage::Checkpoint(transfer) => self.on_checkpoint(now, *transfer),
            StreamMessage::Close(id) => self.on_close(id),
            other => debug!("a message for entries came to an agent: {:?}", other.id()),
        }
    }

    fn on_open(&mut self, now: Instant, open: Box<OpenStream>) {
        if self.closed.contains(open.id) || usize::from(open.stage) >= open.route.len() {
            return;
        }
        if let Some(key) = self.same_engine_stage(&open) {
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
        self.update(now, key, |stage, fx| {
            if id > current {
                stage.reopen(open, fx);
            } else if !matches!(stage.phase, Phase::Admitting | Phase::Settling(_)) {
                stage.tell_opened(fx);
            }
        });
        self.take_unopened(now, key, id, index);
    }

    fn insert(&mut self, now: Instant, open: Box<OpenStream>) {
        let is_leaving = self.is_leaving(&open.route[usize::from(open.stage)].upstream);
        self.fx
            .check(StreamInvariant::NoNewWorkAfterLeave, !is_leaving);
        let (id, index) = (open.id, open.stage);
        let copy = open.clone();
        let new = |key| Stage::new(key, open, now);
        let key = self.stages.insert_with_key(new);
        self.by_request.entry(id.request).or_default().push(key);
        self.fx.push(AgentAction::Admit {
            ticket: key,
            open: copy,
        });
        self.take_unopened(now, key, id, index);
        self.arm(now, key);
    }

    fn take_unopened(&mut self, now: Instant, key: StageKey, id: StreamId, index: u8) {
        for step in self.unopened.take(id, index) {
            self.give_step(now, key, step);
        }
    }

    fn refuse_leaving(&mut self, open: &OpenStream) {
        let refused = StageFailed {
            id: open.id,
            stage: open.stage,
            failure: Failure::new(ErrorKind::Draining, "the upstream is leaving"),
        };
        self.fx
            .send(open.entry_address, StreamMessage::Refused(refused));
    }

    fn on_resume(&mut self, now: Instant, resume: ResumeStage) {
        let chunk_positions = self.settings.replay_chunk_positions;
        let until = now + self.settings.cache_timeout();
        self.update_at(now, resume.id, resume.stage, |stage, fx| {
            if stage.phase != Phase::Opened {
                return;
            }
            if resume.imports_cache {
                stage.await_cache(resume, until, fx);
            } else {
                stage.resume(resume, chunk_positions, fx);
            }
        });
    }

    /// The token of one position is the first stage's input for that position.
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
        if !payload::is_whole(&step.payload, step.positions) {
            debug!("a step of {:?} is malformed", step.id);
        } else if let Some(key) = self.find(step.id, step.stage) {
            self.give_step(now, key, step);
        } else if !self.closed.contains(step.id) && !self.is_superseded(step.id) {
            self.unopened.push(step);
        }
    }

    fn give_step(&mut self, now: Instant, key: StageKey, step: Step) {
        let room = self.settings.early_bytes.saturating_sub(self.waiting_bytes);
        if step.payload.len() as u64 > room {
            debug!("a step of {:?} exceeds the room for early steps", step.id);
            return;
        }
        self.update(now, key, |stage, fx| {
            let is_in_order = step.layers_done == stage.own().layers.first;
            fx.check(StreamInvariant::LayersInOrder, is_in_order);
            if is_in_order {
                stage.waiting.insert(step);
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
        self.update_at(now, probe.id, probe.stage, |stage, fx| {
            progress.ran = stage.ran();
            progress.activity = stage.activity();
            if stage.is_last() {
                stage.resend_tokens(probe.known_tokens, fx);
            }
        });
        self.fx.send(from, StreamMessage::Progress(progress));
    }

    fn on_quiesce(&mut self, now: Instant, quiesce: &QuiesceStage) {
        let id = quiesce.id;
        let is_meant = |found: &Stage| {
            found.own().upstream == quiesce.upstream && found.open.id.attempt < id.attempt
        };
        if let Some(key) = self.find_where(id.request, is_meant) {
            self.update(now, key, |found, fx| {
                let settled = Settled::Quiesced {
                    id,
                    stage: quiesce.stage,
                    known_tokens: quiesce.known_tokens,
                };
                found.settle(settled, fx);
            });
        }
    }

    fn on_send_cache(&mut self, now: Instant, order: SendCache) {
        let is_quiesced =
            |stage: &Stage| stage.phase == Phase::Quiesced && stage.own().layers == order.layers;
        if let Some(key) = self.find_where(order.id.request, is_quiesced) {
            self.update(now, key, |stage, fx| stage.export_to(order, fx));
            return;
        }
        let copy_of = |stage: &Stage| {
            let copy = stage.copy.as_ref();
            copy.filter(|copy| copy.cache.layers == order.layers)
                .cloned()
        };
        let keys = self.by_request.get(&order.id.request);
        let mut stages = keys
            .into_iter()
            .flatten()
            .filter_map(|&key| self.stages.get(key));
        if let Some(copy) = stages.find_map(copy_of) {
            let transfer = CacheTransfer {
                id: order.id,
                stage: order.stage,
                cache: copy.cache,
                part: CachePart::WHOLE,
                output: None,
            };
            send_cache(&transfer, order.to_address, &mut self.fx);
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
                if let Some(whole) = stage.incoming_copy.add(transfer) {
                    let cache = whole.cache;
                    stage.copy = Some(CacheCopy { attempt, cache });
                }
            });
        }
    }

    fn on_close(&mut self, id: StreamId) {
        self.closed.insert(id);
        self.unopened.forget(id);
        let keys = self
            .by_request
            .get(&id.request)
            .cloned()
            .unwrap_or_default();
        for key in keys {
            if self.stages[key].open.id <= id {
                self.stages[key].phase = Phase::Ending;
                self.end_if_over(key);
            }
        }
    }

    /// Checks what is due at one stage, and arms its timer again.
    pub(super) fn check_deadlines(&mut self, now: Instant, key: StageKey) {
        let Some(stage) = self.stages.get_mut(key) else {
            return;
        };
        if now >= stage.heard + self.settings.orphan_timeout() {
            self.end(key);
            return;
        }
        if stage
            .step_deadline()
            .is_some_and(|deadline| now >= deadline)
        {
            stage.fail("the engine did not answer in time", &mut self.fx);
        }
        if matches!(stage.phase, Phase::AwaitingCache { until } if now >= until) {
            stage.fail("the cache did not come in time", &mut self.fx);
        }
        self.arm(now, key);
    }

    /// Tells the entries of all stages whose upstream is leaving, and again later.
    ///
    /// An entry that found no other route for a stream looks for one again then.
    pub(super) fn tell_leaving(&mut self, now: Instant) {
        self.next_leaving_notice = None;
        for stage in self.stages.values() {
            let grace_end = arena::grace_end(self.grace_end, &self.leaving_upstreams, stage);
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
            self.fx.send(entry, StreamMessage::Leaving(leaving));
            self.next_leaving_notice = Some(now + LEAVING_NOTICE_INTERVAL);
        }
    }
}
