//! Looking up, updating and removing an agent's stages.

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

/// The part of the retention limit, as a divisor, that is freed beyond the excess when
/// the limit is exceeded.
const RETENTION_SLACK_DIVISOR: u64 = 16;

impl AgentStreams {
    /// Handles messages to the agent itself, enforces the retention limit, and returns the actions.
    pub(super) fn finish_call(&mut self, now: Instant) -> Vec<AgentAction> {
        let own_address = self.effects.own_address();
        while let Some(message) = self.effects.next_own_message() {
            self.handle(now, own_address, message);
        }
        self.enforce_retention_limit();
        self.effects.take_actions()
    }

    /// Applies `change` to a stage, starts its next step, and updates the byte counts and timer.
    pub(super) fn update(
        &mut self,
        now: Instant,
        key: StageKey,
        change: impl FnOnce(&mut Stage, &mut Effects),
    ) {
        let Some(stage) = self.stages.get_mut(key) else {
            return;
        };
        let pending_before = stage.pending.bytes();
        let retained_before = stage.retained_bytes();
        change(stage, &mut self.effects);
        let (settings, times) = (&self.settings, &self.step_times);
        let upstream = stage.route_stage().upstream.clone();
        let timeout = |positions| times.timeout(&upstream, settings.step_timeout(positions));
        stage.start_next_step(now, timeout, &mut self.effects);
        self.pending_bytes = self.pending_bytes - pending_before + stage.pending.bytes();
        self.retained_bytes = self.retained_bytes - retained_before + stage.retained_bytes();
        self.arm(now, key);
    }

    /// Records the time that the engine took for a stage's current step.
    pub(super) fn record_step_time(&mut self, now: Instant, key: StageKey) {
        if let Some(stage) = self.stages.get(key)
            && let Some(begun_at) = stage.step_begun_at()
        {
            let time = now.saturating_duration_since(begun_at);
            self.step_times.record(&stage.route_stage().upstream, time);
        }
    }

    /// Applies `change` to the stage that a message addresses, if there is one.
    pub(super) fn update_addressed(
        &mut self,
        now: Instant,
        id: StreamId,
        index: u8,
        change: impl FnOnce(&mut Stage, &mut Effects),
    ) {
        let Some(key) = self.find(id, index) else {
            return;
        };
        self.update(now, key, |stage, effects| {
            stage.last_message_at = now;
            change(stage, effects);
        });
    }

    /// Returns the key of the stage with this index in this attempt.
    pub(super) fn find(&self, id: StreamId, index: u8) -> Option<StageKey> {
        let is_match = |stage: &Stage| stage.open.id == id && stage.open.stage == index;
        self.find_where(id.request, is_match)
    }

    /// Returns the key of the first stage of the request for which `is_match` holds.
    pub(super) fn find_where(
        &self,
        request: RequestId,
        is_match: impl Fn(&Stage) -> bool,
    ) -> Option<StageKey> {
        let keys = self.by_request.get(&request)?;
        let mut found = keys.iter().copied();
        found.find(|&key| self.stages.get(key).is_some_and(&is_match))
    }

    /// Returns the key of the stage that runs the same layers and version at the same engine.
    pub(super) fn find_same_engine_stage(&self, open: &OpenStream) -> Option<StageKey> {
        let asked = &open.route[usize::from(open.stage)];
        let is_same = |stage: &Stage| {
            let own = stage.route_stage();
            own.upstream == asked.upstream
                && own.layers == asked.layers
                && stage.open.version == open.version
                && stage.phase != Phase::Ending
        };
        self.find_where(open.id.request, is_same)
    }

    /// Returns whether the agent has a stage of a later attempt at the request.
    pub(super) fn is_superseded(&self, id: StreamId) -> bool {
        let is_later = |stage: &Stage| stage.open.id.attempt > id.attempt;
        self.find_where(id.request, is_later).is_some()
    }

    /// Returns whether `upstream` or the whole agent is leaving.
    pub(super) fn is_leaving(&self, upstream: &UpstreamName) -> bool {
        self.grace_end.is_some() || self.leaving_upstreams.contains_key(upstream)
    }

    /// Arms the timer of a stage for its earliest deadline.
    pub(super) fn arm(&mut self, now: Instant, key: StageKey) {
        let Some(stage) = self.stages.get_mut(key) else {
            return;
        };
        let orphaned = stage.last_message_at + self.settings.orphan_timeout();
        let awaited = match stage.phase {
            Phase::AwaitingCache { deadline } => Some(deadline),
            _ => None,
        };
        let deadlines = [stage.step_deadline(), awaited];
        let due = deadlines.into_iter().flatten().fold(orphaned, Instant::min);
        self.timers.arm(&mut stage.timer, key, due.max(now));
    }

    /// Releases a stage that is ending, unless its engine still computes a step.
    pub(super) fn release_if_ended(&mut self, key: StageKey) {
        let has_ended = |stage: &Stage| stage.phase == Phase::Ending && !stage.is_running();
        if self.stages.get(key).is_some_and(has_ended) {
            self.release(key);
        }
    }

    /// Removes a stage, and releases it at its engine and at admission.
    pub(super) fn release(&mut self, key: StageKey) {
        let Some(stage) = self.remove(key) else {
            return;
        };
        self.effects.push(AgentAction::Release {
            upstream: stage.route_stage().upstream.clone(),
            request: stage.open.id.request,
            attempt: stage.open.id.attempt,
        });
        self.effects.push(AgentAction::Ended { ticket: key });
    }

    /// Removes a stage and disarms its timer.
    pub(super) fn remove(&mut self, key: StageKey) -> Option<Stage> {
        let mut stage = self.stages.remove(key)?;
        self.timers.disarm(&mut stage.timer, key);
        self.pending_bytes -= stage.pending.bytes();
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

    /// Drops retained outputs and checkpoints, largest first, if they exceed the limit.
    ///
    /// Drops the newest output of a stage, which is needed to resend a lost message,
    /// only if dropping everything else is not enough.
    fn enforce_retention_limit(&mut self) {
        let limit = self.settings.retained_bytes;
        if self.retained_bytes <= limit {
            return;
        }
        let target_bytes = limit - limit / RETENTION_SLACK_DIVISOR;
        let sizes = self
            .stages
            .iter()
            .map(|(key, stage)| (stage.retained_bytes(), key));
        let mut by_size: Vec<(u64, StageKey)> = sizes.collect();
        by_size.sort_unstable_by(|one, other| other.cmp(one));
        for shrink in [Stage::shrink_retained, Stage::clear_retained] {
            for &(_, key) in &by_size {
                if self.retained_bytes <= target_bytes {
                    return;
                }
                let stage = &mut self.stages[key];
                let before = stage.retained_bytes();
                shrink(stage);
                self.retained_bytes = self.retained_bytes - before + stage.retained_bytes();
            }
        }
        let is_bounded = self.retained_bytes <= limit;
        self.effects
            .check(StreamInvariant::RetentionBounded, is_bounded);
    }
}

/// Returns when the grace period of a stage ends, or `None` if it is not leaving.
pub(super) fn grace_end(
    agent: Option<Instant>,
    upstreams: &HashMap<UpstreamName, Instant>,
    stage: &Stage,
) -> Option<Instant> {
    let upstream = upstreams.get(&stage.route_stage().upstream).copied();
    [agent, upstream].into_iter().flatten().min()
}
