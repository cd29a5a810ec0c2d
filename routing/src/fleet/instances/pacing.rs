//! The pace of upstreams that are new or have recovered, see [`crate::fleet::pace`].

use std::time::Duration;

use jujubewall_types::id::ServiceName;
use tokio::time::Instant;
use twox_hash::XxHash64;

use super::InstanceKey;
use super::InstanceTable;
use super::TrackedInstance;
use crate::fleet::pace::PaceChange;
use crate::fleet::pace::PaceStep;
use crate::fleet::pace::Recovery;

/// The largest number of changes that are kept until they are logged.
const MAX_KEPT_CHANGES: usize = 256;

/// An answer, or the first event of a stream, that shows how an upstream keeps up.
#[derive(Clone, Copy, Debug)]
pub struct TimedAnswer<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The time to the answer that was expected of the upstreams.
    pub predicted: Duration,
    /// When the request was sent.
    pub started_at: Instant,
}

impl TrackedInstance {
    /// Returns whether the upstream is paced.
    pub fn is_paced(&self, now: Instant) -> bool {
        self.pacing.is_active(now)
    }

    /// Returns whether the upstream is paced and has no start left now.
    pub fn is_at_pace(&self, now: Instant) -> bool {
        self.pacing.is_used_up(now)
    }

    /// Returns the requests a second that this gateway starts at the upstream while others can
    /// take requests; `None` if the upstream is not paced.
    pub fn starts_per_s(&self, now: Instant) -> Option<f64> {
        let is_paced = self.is_paced(now);
        self.pacing.starts_per_s().filter(|_| is_paced)
    }
}

impl InstanceTable {
    /// Sets the seed from which the phases of paces are drawn. It should differ among gateways.
    pub fn set_pace_seed(&mut self, seed: u64) {
        self.pace_seed = seed;
    }

    /// Records that the table has been filled once. Upstreams that appear later have started
    /// since.
    pub fn set_filled(&mut self) {
        self.is_filled = true;
    }

    /// Begins to pace an upstream that is new or has recovered.
    pub(super) fn begin_pace(&mut self, key: InstanceKey, recovery: Recovery, now: Instant) {
        if !self.is_filled {
            return;
        }
        let Some(tracked) = self.instances.get_mut(key) else {
            return;
        };
        // An engine without layers takes no requests before its layers change.
        if tracked.instance.accelerator.is_some() && tracked.instance.layers.is_none() {
            return;
        }
        let is_near = self.sharing.own_domain.as_ref() == Some(&tracked.instance.failure_domain);
        let mut sharers = 1.0 + self.sharing.same_domain_peers;
        if !is_near {
            sharers += self.sharing.cross_domain_peers;
        }
        self.pace_draws += 1;
        let draw = XxHash64::oneshot(
            self.pace_seed ^ self.pace_draws,
            &tracked.digest.to_be_bytes(),
        );
        let phase = draw as f64 / u64::MAX as f64;
        let step = tracked.pacing.begin(recovery, sharers, phase, now);
        self.record_pace_step(key, Some(step));
    }

    /// Records the request of a paced upstream, and begins to pace one whose failure rate has
    /// fallen back.
    pub(super) fn note_pace_start(&mut self, key: InstanceKey, now: Instant) {
        let Some(tracked) = self.instances.get(key) else {
            return;
        };
        if tracked.pacing.was_failing() {
            self.note_pace_failure_rate(key, now);
        }
        if let Some(tracked) = self.instances.get_mut(key) {
            tracked.pacing.on_start(now);
        }
    }

    /// Records the failure rate of an upstream.
    pub(super) fn note_pace_failure_rate(&mut self, key: InstanceKey, now: Instant) {
        let Some(tracked) = self.instances.get_mut(key) else {
            return;
        };
        let rate = tracked.failure_rate(now);
        if tracked.pacing.note_failure_rate(rate) {
            self.begin_pace(key, Recovery::FailuresEnded, now);
        }
    }

    /// Records that an upstream rejected or failed a request, or has not answered it in time.
    pub fn note_pace_failure(&mut self, key: InstanceKey, now: Instant) {
        let Some(tracked) = self.instances.get_mut(key) else {
            return;
        };
        let step = tracked.pacing.on_failure(now);
        self.record_pace_step(key, step);
    }

    /// Records an answer, or the first event of a stream, from the upstreams of its path.
    pub fn note_answer(
        &mut self,
        keys: impl Iterator<Item = InstanceKey> + Clone,
        answer: &TimedAnswer<'_>,
        now: Instant,
    ) {
        let is_paced = |key| {
            let tracked = self.instances.get(key);
            tracked.is_some_and(|tracked| tracked.is_paced(now))
        };
        let has_paced = keys.clone().any(is_paced);
        let actual = now.saturating_duration_since(answer.started_at);
        if !has_paced {
            if let Some(usual) = self.usual_ratios.get_mut(answer.service) {
                usual.note(actual, answer.predicted);
            } else {
                let usual = self.usual_ratios.entry(answer.service.clone());
                usual.or_default().note(actual, answer.predicted);
            }
            return;
        }
        let usual = self.usual_ratios.get(answer.service);
        let usual = usual.copied().unwrap_or_default();
        let is_late = usual.is_late(actual, answer.predicted);
        for key in keys {
            if let Some(tracked) = self.instances.get_mut(key) {
                let step = tracked.pacing.on_answer(answer.started_at, is_late, now);
                self.record_pace_step(key, step);
            }
        }
    }

    fn record_pace_step(&mut self, key: InstanceKey, step: Option<PaceStep>) {
        let (Some(step), Some(tracked)) = (step, self.instances.get_mut(key)) else {
            return;
        };
        if self.pace_changes.len() < MAX_KEPT_CHANGES {
            self.pace_changes.push(PaceChange {
                id: tracked.instance.id.clone(),
                step,
                starts_per_s: tracked.pacing.starts_per_s().unwrap_or_default(),
            });
        }
        let is_end = matches!(
            step,
            PaceStep::EndAboveDemand | PaceStep::EndKept | PaceStep::EndTimeLimit
        );
        if is_end {
            tracked.pacing.end();
        }
    }

    /// Ends paces whose time is over, and returns the changes since the last call.
    pub fn take_pace_changes(&mut self, now: Instant) -> Vec<PaceChange> {
        let ended: Vec<(InstanceKey, PaceStep)> = self
            .instances
            .iter()
            .filter_map(|(key, tracked)| Some((key, tracked.pacing.ended(now)?)))
            .collect();
        for (key, step) in ended {
            self.record_pace_step(key, Some(step));
        }
        std::mem::take(&mut self.pace_changes)
    }
}
