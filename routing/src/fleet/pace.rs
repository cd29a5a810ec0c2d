//! The pace at which one gateway starts requests at an upstream that is new or has recovered.
//!
//! Such an upstream has no work in flight, so every gateway would choose it at once. Each
//! gateway starts at its share of an initial rate, doubles the rate with each round of answers
//! that arrive as expected, and halves it after an answer that is late or fails. No messages
//! are exchanged: the answers show the load that all gateways cause together.
//!
//! Pacing only changes which upstream is preferred. A request that no other upstream can take
//! is admitted at any pace.

use std::fmt;
use std::time::Duration;

use jujubewall_types::fleet::EngineSpec;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::instances::InstanceTable;
use super::layer_path::LayerPath;
use super::layer_path::StreamNeed;

/// The requests a second that all gateways together start at an upstream at first. An engine of
/// a fleet of ten copies serves about 32 a second at 320 requests a second.
const INITIAL_STARTS_PER_S: f64 = 20.0;

/// The lowest pace, as a share of the gateway's initial one. It keeps answers coming from an
/// upstream that stays slow.
const MIN_INITIAL_SHARE: f64 = 1.0 / 4.0;

/// The shortest time between two raises: about twice the usual time to a first event.
const ROUND: Duration = Duration::from_millis(200);

/// The number of kept answers that suffice for a raise at any pace.
const MAX_KEPT_FOR_RAISE: f64 = 8.0;

/// The factor of a raise after one round.
const RAISE_FACTOR: f64 = 2.0;

/// The factor of a raise after several rounds, which are needed for one answer at the pace of a
/// gateway among many. With a factor of two, thirty gateways took over six seconds.
const MAX_RAISE_FACTOR: f64 = 4.0;

/// The factor after an answer that is late or fails.
const LOWER_FACTOR: f64 = 0.5;

/// The time without a late or failed answer after which pacing ends.
const MAX_KEPT_TIME: Duration = Duration::from_secs(10);

/// The longest time for which an upstream is paced. After it, the cost of an upstream that stays
/// slow limits its load, as for any other.
const MAX_PACED_TIME: Duration = Duration::from_mins(1);

/// The time after a recovery within which another one starts at half the pace of the last.
const FLAP_WINDOW: Duration = Duration::from_mins(1);

/// The number of times that repeated recoveries halve the initial pace.
const MAX_FLAP_HALVINGS: u32 = 2;

/// The factor on the usual time to an answer above which it is late. Times to a first event
/// vary by less than this between engines of the same load.
const LATE_FACTOR: f64 = 2.0;

/// The delay that does not make an answer late: some times the pause of a busy gateway.
const LATE_SLACK: Duration = Duration::from_millis(20);

/// The weight of one answer in the usual ratio of actual to predicted times.
const USUAL_WEIGHT: f64 = 0.05;

/// The largest factor on the usual ratio by which one answer counts, so that a single stalled
/// stream does not hide lateness.
const MAX_SAMPLE_FACTOR: f64 = 4.0;

/// The largest share of candidates that is paced. If more have recovered, the others would get
/// over twice their load.
const MAX_PACED_SHARE: f64 = 0.5;

/// The failure rate from which an upstream counts as failing: four failures in a row.
const FAILING_RATE: f64 = 0.3;

/// The failure rate below which an upstream no longer counts as failing.
const RECOVERED_RATE: f64 = 0.15;

/// The slowdown from which an engine counts as slow.
const SLOW_FACTOR: f64 = 1.5;

/// The slowdown below which an engine no longer counts as slow.
const RECOVERED_FACTOR: f64 = 1.25;

/// Why pacing begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recovery {
    /// The upstream has started.
    NewIncarnation,
    /// The engine holds other layers than before.
    LayersChanged,
    /// The upstream is no longer suspected.
    SuspicionCleared,
    /// Requests no longer fail at the upstream.
    FailuresEnded,
    /// The engine is no longer slow.
    SlowdownEnded,
}

impl Recovery {
    /// Returns whether the upstream had been lost. A load of layers is planned, so a second
    /// one says nothing about how well the upstream works.
    const fn follows_loss(self) -> bool {
        matches!(
            self,
            Self::NewIncarnation | Self::SuspicionCleared | Self::FailuresEnded
        )
    }
}

impl fmt::Display for Recovery {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NewIncarnation => "new_incarnation",
            Self::LayersChanged => "layers_changed",
            Self::SuspicionCleared => "suspicion_cleared",
            Self::FailuresEnded => "failures_ended",
            Self::SlowdownEnded => "slowdown_ended",
        })
    }
}

/// A change of an upstream's pace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PaceStep {
    /// Pacing begins.
    Begin(Recovery),
    /// A round of answers was kept.
    Raise,
    /// An answer was late.
    LowerLate,
    /// A request failed.
    LowerFailed,
    /// Pacing ends because fewer requests are started than the pace allows.
    EndAboveDemand,
    /// Pacing ends because no answer was late for a while.
    EndKept,
    /// Pacing ends after the longest time.
    EndTimeLimit,
}

impl PaceStep {
    /// Returns the reason of the change, for log lines.
    pub fn reason(self) -> SmolStr {
        match self {
            Self::Begin(recovery) => smol_str::format_smolstr!("{recovery}"),
            Self::Raise | Self::EndKept => "kept".into(),
            Self::LowerLate => "late".into(),
            Self::LowerFailed => "failed".into(),
            Self::EndAboveDemand => "above_demand".into(),
            Self::EndTimeLimit => "time_limit".into(),
        }
    }
}

/// A change of the pace of one upstream, to be logged.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// The upstream.
    pub id: SmolStr,
    /// What has changed.
    pub step: PaceStep,
    /// The pace of this gateway after the change.
    pub starts_per_s: f64,
}

/// The pace of one upstream.
#[derive(Clone, Copy, Debug)]
struct Pace {
    starts_per_s: f64,
    min_starts_per_s: f64,
    /// The starts that are allowed now, as of `credit_at`.
    credit: f64,
    credit_at: Instant,
    changed_at: Instant,
    lowered_at: Instant,
    begun_at: Instant,
    /// The kept answers to requests that were started since the last change.
    kept: u32,
    has_kept: bool,
}

impl Pace {
    /// Returns the credit up to which unused starts add up: one start that has been unused for
    /// a round.
    fn max_credit(&self) -> f64 {
        1.0 + self.starts_per_s * ROUND.as_secs_f64()
    }

    fn credit(&self, now: Instant) -> f64 {
        let age_s = now.saturating_duration_since(self.credit_at).as_secs_f64();
        (self.credit + self.starts_per_s * age_s).min(self.max_credit())
    }

    /// Returns how pacing has ended by now, if it has.
    fn ended(&self, now: Instant) -> Option<PaceStep> {
        if now.saturating_duration_since(self.begun_at) >= MAX_PACED_TIME {
            return Some(PaceStep::EndTimeLimit);
        }
        let kept_time = now.saturating_duration_since(self.lowered_at);
        (self.has_kept && kept_time >= MAX_KEPT_TIME).then_some(PaceStep::EndKept)
    }

    fn on_start(&mut self, now: Instant) {
        // Starts beyond the pace, for which there is no other upstream, delay others by the
        // time of one start at most.
        self.credit = (self.credit(now) - 1.0).max(-1.0);
        self.credit_at = now;
    }

    fn set(&mut self, starts_per_s: f64, now: Instant) {
        self.credit = self.credit(now);
        self.credit_at = now;
        self.starts_per_s = starts_per_s;
        self.changed_at = now;
        self.kept = 0;
    }

    fn on_kept(&mut self, started_at: Instant, now: Instant) -> Option<PaceStep> {
        // Earlier requests show nothing about the present pace.
        if started_at < self.changed_at {
            return None;
        }
        self.kept += 1;
        self.has_kept = true;
        let starts_in_round = self.starts_per_s * ROUND.as_secs_f64();
        let is_round = f64::from(self.kept) >= starts_in_round.clamp(1.0, MAX_KEPT_FOR_RAISE)
            && now.saturating_duration_since(self.changed_at) >= ROUND;
        if !is_round {
            return None;
        }
        if self.credit(now) >= self.max_credit() {
            return Some(PaceStep::EndAboveDemand);
        }
        let rounds =
            now.saturating_duration_since(self.changed_at).as_secs_f64() / ROUND.as_secs_f64();
        let factor = RAISE_FACTOR.powf(rounds).min(MAX_RAISE_FACTOR);
        self.set(factor * self.starts_per_s, now);
        Some(PaceStep::Raise)
    }

    fn on_late(&mut self, started_at: Instant, now: Instant) -> Option<PaceStep> {
        (started_at >= self.lowered_at).then(|| self.lower(PaceStep::LowerLate, now))
    }

    fn on_failure(&mut self, now: Instant) -> Option<PaceStep> {
        // Several requests fail together if their upstream ends.
        let is_new = now.saturating_duration_since(self.lowered_at) >= ROUND;
        is_new.then(|| self.lower(PaceStep::LowerFailed, now))
    }

    fn lower(&mut self, step: PaceStep, now: Instant) -> PaceStep {
        let lower = (LOWER_FACTOR * self.starts_per_s).max(self.min_starts_per_s);
        self.set(lower, now);
        self.credit = self.credit.min(1.0);
        self.lowered_at = now;
        self.has_kept = false;
        step
    }
}

/// The pacing of one upstream, and what later recoveries depend on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pacing {
    pace: Option<Pace>,
    last_begun_at: Option<Instant>,
    flap_halvings: u32,
    was_failing: bool,
    was_slow: bool,
}

impl Pacing {
    /// Returns the pacing of the next incarnation of the same upstream.
    pub(super) const fn for_next_incarnation(&self) -> Self {
        Self {
            pace: None,
            was_failing: false,
            was_slow: false,
            ..*self
        }
    }

    /// Begins to pace the upstream, at this gateway's share of the initial pace. `phase`, from
    /// zero to one, is the part of a start that is allowed at once; it differs among gateways,
    /// so that they do not all start their first requests at the same time.
    pub(super) fn begin(
        &mut self,
        recovery: Recovery,
        sharers: f64,
        phase: f64,
        now: Instant,
    ) -> PaceStep {
        if recovery.follows_loss() {
            let flaps = self
                .last_begun_at
                .is_some_and(|at| now.saturating_duration_since(at) < FLAP_WINDOW);
            self.flap_halvings = if flaps {
                (self.flap_halvings + 1).min(MAX_FLAP_HALVINGS)
            } else {
                0
            };
        }
        let share = INITIAL_STARTS_PER_S / sharers.max(1.0);
        let initial = share / f64::from(1_u32 << self.flap_halvings);
        let running = self.pace.filter(|_| recovery.follows_loss());
        let starts_per_s = running.map_or(initial, |pace| pace.starts_per_s.min(initial));
        let min_starts_per_s = MIN_INITIAL_SHARE * share;
        self.last_begun_at = Some(now);
        self.pace = Some(Pace {
            starts_per_s,
            min_starts_per_s,
            credit: phase,
            credit_at: now,
            changed_at: now,
            lowered_at: now,
            begun_at: now,
            kept: 0,
            has_kept: false,
        });
        PaceStep::Begin(recovery)
    }

    /// Returns whether the upstream is paced.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.pace.is_some_and(|pace| pace.ended(now).is_none())
    }

    /// Returns whether the upstream is paced and takes no further request at its pace now.
    pub(super) fn is_used_up(&self, now: Instant) -> bool {
        self.pace
            .is_some_and(|pace| pace.credit(now) < 1.0 && pace.ended(now).is_none())
    }

    /// Returns the present pace, if the upstream is paced.
    pub(super) fn starts_per_s(&self) -> Option<f64> {
        self.pace.map(|pace| pace.starts_per_s)
    }

    /// Records that a request was started.
    pub(super) fn on_start(&mut self, now: Instant) {
        if let Some(pace) = &mut self.pace {
            pace.on_start(now);
        }
    }

    /// Records the answer to a request.
    pub(super) fn on_answer(
        &mut self,
        started_at: Instant,
        is_late: bool,
        now: Instant,
    ) -> Option<PaceStep> {
        let pace = self.pace.as_mut()?;
        if is_late {
            pace.on_late(started_at, now)
        } else {
            pace.on_kept(started_at, now)
        }
    }

    /// Records that a request failed.
    pub(super) fn on_failure(&mut self, now: Instant) -> Option<PaceStep> {
        self.pace.as_mut()?.on_failure(now)
    }

    /// Returns how pacing has ended by now, if it has.
    pub(super) fn ended(&self, now: Instant) -> Option<PaceStep> {
        self.pace.and_then(|pace| pace.ended(now))
    }

    /// Stops pacing the upstream.
    pub(super) fn end(&mut self) {
        self.pace = None;
    }

    /// Records the failure rate. Returns whether the upstream has stopped failing.
    pub(super) fn note_failure_rate(&mut self, rate: f64) -> bool {
        let has_recovered = self.was_failing && rate < RECOVERED_RATE;
        self.was_failing = (self.was_failing && !has_recovered) || rate >= FAILING_RATE;
        has_recovered
    }

    /// Returns whether the failure rate has been high and has not been seen to fall.
    pub(super) const fn was_failing(&self) -> bool {
        self.was_failing
    }

    /// Records the slowdown. Returns whether the engine has stopped being slow.
    pub(super) fn note_slowdown(&mut self, factor: f64) -> bool {
        let has_recovered = self.was_slow && factor < RECOVERED_FACTOR;
        self.was_slow = (self.was_slow && !has_recovered) || factor >= SLOW_FACTOR;
        has_recovered
    }
}

/// The usual ratio of the actual time to an answer to the predicted one, at upstreams that are
/// not paced. It includes what the prediction does not know, such as queues at the usual load.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UsualRatio(Option<f64>);

impl UsualRatio {
    /// Records the time to an answer.
    pub(super) fn note(&mut self, actual: Duration, predicted: Duration) {
        let ratio = actual.as_secs_f64() / predicted.as_secs_f64().max(f64::EPSILON);
        self.0 = Some(self.0.map_or(ratio, |usual| {
            let sample = ratio.min(MAX_SAMPLE_FACTOR * usual);
            usual + USUAL_WEIGHT * (sample - usual)
        }));
    }

    /// Returns whether an answer is late.
    pub(super) fn is_late(self, actual: Duration, predicted: Duration) -> bool {
        let usual_s = self.0.unwrap_or(1.0) * predicted.as_secs_f64();
        actual.as_secs_f64() > LATE_FACTOR * usual_s + LATE_SLACK.as_secs_f64()
    }
}

/// Returns whether paces are heeded in a choice among `usable` upstreams, of which `paced` are
/// paced.
pub(super) fn is_heeded(paced: usize, usable: usize) -> bool {
    paced > 0 && paced as f64 <= MAX_PACED_SHARE * usable as f64
}

/// Returns the time to the first event of a stream that the specification of the engines
/// predicts for a path.
pub fn predicted_first_event(
    table: &InstanceTable,
    spec: &EngineSpec,
    need: &StreamNeed,
    path: &LayerPath,
) -> Duration {
    let token_layers_per_s = spec.prompt_tokens_per_s * f64::from(spec.layer_count);
    let parts = path.parts.iter().filter_map(|part| {
        let tracked = table.get(part.instance)?;
        let accelerator = spec.accelerator(tracked.instance.accelerator.as_deref()?)?;
        let token_layers = need.prompt_tokens * f64::from(part.layers.len())
            + tracked.pending_prefill_token_layers();
        Some(token_layers * accelerator.prompt_factor * tracked.slowdown() / token_layers_per_s)
    });
    let prefill_s: f64 = parts.sum();
    let first_event_s = prefill_s + spec.tokens_per_event * path.token_ms / 1_000.0;
    Duration::try_from_secs_f64(first_event_s).unwrap_or(Duration::MAX)
}
