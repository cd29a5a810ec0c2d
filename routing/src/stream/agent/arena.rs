//! How an agent finds, changes and forgets its stages.

use std::collections::HashMap;

use jujubewall_protocol::stream::OpenStream;
use jujubewall_protocol::stream::StreamId;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::UpstreamName;
use tokio::time::Instant;

use crate::stream::action::AgentAction;
use crate::stream::agent::AgentStreams;
use crate::stream::agent::StageKey;
use crate::stream::agent::effects::Effects;
use crate::stream::agent::stage::Phase;
use crate::stream::agent::stage::Stage;
use crate::stream::invariant::StreamInvariant;

/// The part of the retention limit that is freed when the limit is reached.
const RETENTION_SLACK_DIVISOR: u64 = 16;

impl AgentStreams {
    /// Handles the messages to the agent itself, and returns the actions.
    pub(super) fn finish(&mut self, now: Instant) -> Vec<AgentAction> {
        let own_address = self.fx.own_address();
        while let Some(message) = self.fx.next_own_message() {
            self.handle(now, own_address, message);
        }
        self.bound_retention();
        self.fx.take_actions()
    }

    /// Changes a stage, and lets it run its next step.
    pub(super) fn update(
        &mut self,
        now: Instant,
        key: StageKey,
        change: impl FnOnce(&mut Stage, &mut Effects),
    ) {
        let Some(stage) = self.stages.get_mut(key) else {
            return;
        };
        let waiting_before = stage.waiting.bytes();
        let retained_before = stage.retained_bytes();
        change(stage, &mut self.fx);
        let (settings, times) = (&self.settings, &self.step_times);
        let upstream = stage.own().upstream.clone();
        let timeout = |positions| times.timeout(&upstream, settings.step_timeout(positions));
        stage.advance(now, timeout, &mut self.fx);
        self.waiting_bytes = self.waiting_bytes - waiting_before + stage.waiting.bytes();
        self.retained_bytes = self.retained_bytes - retained_before + stage.retained_bytes();
        self.arm(now, key);
    }

    /// Notes the time that the engine took for a stage's step.
    pub(super) fn record_step_time(&mut self, now: Instant, key: StageKey) {
        if let Some(stage) = self.stages.get(key)
            && let Some(begun_at) = stage.step_begun_at()
        {
            let time = now.saturating_duration_since(begun_at);
            self.step_times.record(&stage.own().upstream, time);
        }
    }

    /// Changes the stage that a message is about, if it is known.
    pub(super) fn update_at(
        &mut self,
        now: Instant,
        id: StreamId,
        index: u8,
        change: impl FnOnce(&mut Stage, &mut Effects),
    ) {
        let Some(key) = self.find(id, index) else {
            return;
        };
        self.update(now, key, |stage, fx| {
            stage.heard = now;
            change(stage, fx);
        });
    }

    /// Returns the stage with this index in this attempt.
    pub(super) fn find(&self, id: StreamId, index: u8) -> Option<StageKey> {
        let is_meant = |stage: &Stage| stage.open.id == id && stage.open.stage == index;
        self.find_where(id.request, is_meant)
    }

    /// Returns a stage of the request for which `is_meant` holds.
    pub(super) fn find_where(
        &self,
        request: RequestId,
        is_meant: impl Fn(&Stage) -> bool,
    ) -> Option<StageKey> {
        let keys = self.by_request.get(&request)?;
        let mut found = keys.iter().copied();
        found.find(|&key| self.stages.get(key).is_some_and(&is_meant))
    }

    /// Returns the stage that runs the same layers of the same weights at the same engine.
    pub(super) fn same_engine_stage(&self, open: &OpenStream) -> Option<StageKey> {
        let asked = &open.route[usize::from(open.stage)];
        let is_same = |stage: &Stage| {
            let own = stage.own();
            own.upstream == asked.upstream
                && own.layers == asked.layers
                && stage.open.version == open.version
                && stage.phase != Phase::Ending
        };
        self.find_where(open.id.request, is_same)
    }

    /// Returns whether the agent knows a later attempt of the request.
    pub(super) fn is_superseded(&self, id: StreamId) -> bool {
        let is_later = |stage: &Stage| stage.open.id.attempt > id.attempt;
        self.find_where(id.request, is_later).is_some()
    }

    /// Returns whether no new stage may begin at `upstream`.
    pub(super) fn is_leaving(&self, upstream: &UpstreamName) -> bool {
        self.grace_end.is_some() || self.leaving_upstreams.contains_key(upstream)
    }

    /// Arms the timer of a stage for what is due next.
    pub(super) fn arm(&mut self, now: Instant, key: StageKey) {
        let Some(stage) = self.stages.get_mut(key) else {
            return;
        };
        let orphaned = stage.heard + self.settings.orphan_timeout();
        let awaited = match stage.phase {
            Phase::AwaitingCache { until } => Some(until),
            _ => None,
        };
        let deadlines = [stage.step_deadline(), awaited];
        let due = deadlines.into_iter().flatten().fold(orphaned, Instant::min);
        self.timers.arm(&mut stage.timer, key, due.max(now));
    }

    /// Forgets a stage that has ended as soon as its engine computes nothing.
    pub(super) fn end_if_over(&mut self, key: StageKey) {
        let is_over = |stage: &Stage| stage.phase == Phase::Ending && !stage.is_running();
        if self.stages.get(key).is_some_and(is_over) {
            self.end(key);
        }
    }

    /// Forgets a stage, and lets its engine and admission forget it.
    pub(super) fn end(&mut self, key: StageKey) {
        let Some(stage) = self.remove(key) else {
            return;
        };
        self.fx.push(AgentAction::Release {
            upstream: stage.own().upstream.clone(),
            request: stage.open.id.request,
            attempt: stage.open.id.attempt,
        });
        self.fx.push(AgentAction::Ended { ticket: key });
    }

    /// Forgets a stage.
    pub(super) fn remove(&mut self, key: StageKey) -> Option<Stage> {
        let mut stage = self.stages.remove(key)?;
        self.timers.disarm(&mut stage.timer, key);
        self.waiting_bytes -= stage.waiting.bytes();
        self.retained_bytes -= stage.retained_bytes();
        let request = stage.open.id.request;
        if let Some(keys) = self.by_request.get_mut(&request) {
            keys.retain(|&mut other| other != key);
            if keys.is_empty() {
                self.by_request.remove(&request);
            }
        }
        Some(stage)
    }

    /// Gives back the largest retained outputs and copies while they exceed the limit.
    fn bound_retention(&mut self) {
        let limit = self.settings.retained_bytes;
        if self.retained_bytes <= limit {
            return;
        }
        let goal = limit - limit / RETENTION_SLACK_DIVISOR;
        let sizes = self
            .stages
            .iter()
            .map(|(key, stage)| (stage.retained_bytes(), key));
        let mut by_size: Vec<(u64, StageKey)> = sizes.collect();
        by_size.sort_unstable_by(|one, other| other.cmp(one));
        for shrink in [Stage::shrink_retained, Stage::clear_retained] {
            for &(_, key) in &by_size {
                if self.retained_bytes <= goal {
                    return;
                }
                let stage = &mut self.stages[key];
                let before = stage.retained_bytes();
                shrink(stage);
                self.retained_bytes = self.retained_bytes - before + stage.retained_bytes();
            }
        }
        let is_bounded = self.retained_bytes <= limit;
        self.fx.check(StreamInvariant::RetentionBounded, is_bounded);
    }
}

/// Returns the end of the time that a leaving stage still has.
pub(super) fn grace_end(
    agent: Option<Instant>,
    upstreams: &HashMap<UpstreamName, Instant>,
    stage: &Stage,
) -> Option<Instant> {
    let upstream = upstreams.get(&stage.own().upstream).copied();
    [agent, upstream].into_iter().flatten().min()
}
