//! The metrics of a process.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jujubewall_types::error::ErrorKind;
use jujubewall_types::id::Revision;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// The upper bound of the smallest time bucket, in seconds.
const SMALLEST_BUCKET_S: f64 = 0.000_1;

/// The ratio between the upper bounds of adjacent time buckets.
const BUCKET_RATIO: f64 = 2.0;

/// The number of time buckets.
const BUCKET_COUNT: u16 = 18;

/// The label of a request's result: the code of its error kind, or `completed`.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CodeLabel {
    code: &'static str,
}

/// The label that names an invariant.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct InvariantLabel {
    invariant: &'static str,
}

/// The label that names the result of a release note.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ResultLabel {
    result: &'static str,
}

/// The label that names an event.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EventLabel {
    event: &'static str,
}

/// The metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<CodeLabel, Counter>,
    notes: Family<ResultLabel, Counter>,
    violations: Family<InvariantLabel, Counter>,
    limit_events: Family<EventLabel, Counter>,
    /// The number of tokens sent to callers.
    pub tokens: Counter,
    /// The time from a request to its first token, in seconds.
    pub first_token: Histogram,
    /// The time between two tokens of a stream, in seconds.
    pub token_gap: Histogram,
    /// The time that a stream stalled until its pipeline was repaired, in seconds.
    pub stall: Histogram,
    step: Histogram,
    step_time_us: AtomicU64,
    step_count: AtomicU64,
    /// The number of positions that were recomputed after a stage was lost.
    pub rerun_positions: Counter,
    /// The number of requests in progress.
    pub in_flight: Gauge,
    applied_revision: Gauge,
    /// The number of peers that could not be reached over a new connection.
    pub lost_peers: Counter,
    /// The number of times that this process judged its own link to be the cause of
    /// unreachable peers.
    pub own_link_suspicions: Counter,
    /// The number of peers that were refused at the handshake.
    pub refused_peers: Counter,
    /// The number of frames that were dropped because there was no connection or a queue was
    /// full.
    pub dropped_frames: Counter,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Arc<Self> {
        let mut metrics = Self {
            registry: Registry::with_prefix("jujubewall"),
            requests: Family::default(),
            notes: Family::default(),
            violations: Family::default(),
            limit_events: Family::default(),
            tokens: Counter::default(),
            first_token: duration_histogram(),
            token_gap: duration_histogram(),
            stall: duration_histogram(),
            step: duration_histogram(),
            step_time_us: AtomicU64::new(0),
            step_count: AtomicU64::new(0),
            rerun_positions: Counter::default(),
            in_flight: Gauge::default(),
            applied_revision: Gauge::default(),
            lost_peers: Counter::default(),
            own_link_suspicions: Counter::default(),
            refused_peers: Counter::default(),
            dropped_frames: Counter::default(),
        };
        metrics.register_requests();
        metrics.register_process();
        Arc::new(metrics)
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests that ended, by code",
            self.requests.clone(),
        );
        registry.register("tokens", "Tokens given to callers", self.tokens.clone());
        registry.register(
            "first_token_seconds",
            "Time from a request to its first token",
            self.first_token.clone(),
        );
        registry.register(
            "token_gap_seconds",
            "Time between two tokens of a stream",
            self.token_gap.clone(),
        );
        registry.register(
            "stall_seconds",
            "Time that a stream stood still until its pipeline was repaired",
            self.stall.clone(),
        );
        registry.register(
            "step_seconds",
            "Time of a step at an engine",
            self.step.clone(),
        );
        registry.register(
            "rerun_positions",
            "Positions that were run again after a stage was lost",
            self.rerun_positions.clone(),
        );
        registry.register("in_flight", "Requests in progress", self.in_flight.clone());
    }

    fn register_process(&mut self) {
        let registry = &mut self.registry;
        registry.register("notes", "Release notes, by result", self.notes.clone());
        registry.register(
            "invariant_violations",
            "Violations of what must always hold",
            self.violations.clone(),
        );
        registry.register(
            "limit_events",
            "Requests and connections that gave way because memory or connections were short",
            self.limit_events.clone(),
        );
        registry.register(
            "applied_revision",
            "Configuration revision that is applied",
            self.applied_revision.clone(),
        );
        registry.register(
            "lost_peers",
            "Peers that could not be reached over a new connection",
            self.lost_peers.clone(),
        );
        registry.register(
            "own_link_suspicions",
            "Times that this process judged its own link to be the cause",
            self.own_link_suspicions.clone(),
        );
        registry.register(
            "refused_peers",
            "Peers that were refused at the handshake",
            self.refused_peers.clone(),
        );
        registry.register(
            "dropped_frames",
            "Frames that were dropped for want of a connection or of room",
            self.dropped_frames.clone(),
        );
    }

    /// Counts a request whose answer was completed.
    pub fn count_completed(&self) {
        let label = CodeLabel { code: "completed" };
        self.requests.get_or_create(&label).inc();
    }

    /// Counts a request that failed, under the code of its error kind.
    pub fn count_failed(&self, kind: ErrorKind) {
        let label = CodeLabel {
            code: kind.answer().code,
        };
        self.requests.get_or_create(&label).inc();
    }

    /// Counts a request or connection that gave way because a limit was reached.
    pub fn count_limit(&self, event: &'static str) {
        self.limit_events.get_or_create(&EventLabel { event }).inc();
    }

    /// Sets the configuration revision that is applied.
    pub fn set_applied_revision(&self, revision: Revision) {
        let revision = i64::try_from(revision.0).unwrap_or(i64::MAX);
        self.applied_revision.set(revision);
    }

    /// Returns whether a configuration has been applied.
    pub fn has_configuration(&self) -> bool {
        self.applied_revision.get() > 0
    }

    /// Counts a release note by its result.
    pub fn count_note(&self, result: &'static str) {
        self.notes.get_or_create(&ResultLabel { result }).inc();
    }

    /// Records the duration of a step at an engine.
    pub fn count_step(&self, time: Duration) {
        observe(&self.step, time);
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.step_time_us.fetch_add(time_us, Ordering::Relaxed);
        self.step_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the mean duration of a step at an engine; zero if there was none.
    pub fn mean_step(&self) -> Duration {
        let count = self.step_count.load(Ordering::Relaxed).max(1);
        Duration::from_micros(self.step_time_us.load(Ordering::Relaxed) / count)
    }

    /// Raises the counter of an invariant's violations to `violations`, the total that its
    /// owner has counted.
    pub fn set_violations(&self, invariant: &'static str, violations: u64) {
        let counter = self
            .violations
            .get_or_create_owned(&InvariantLabel { invariant });
        let known = counter.get();
        counter.inc_by(violations.saturating_sub(known));
    }

    /// Writes all metrics in the text format of the `OpenMetrics` specification.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Records a duration in a histogram of seconds.
pub fn observe(histogram: &Histogram, time: Duration) {
    histogram.observe(time.as_secs_f64());
}

/// Creates a histogram of durations in seconds.
pub fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        SMALLEST_BUCKET_S,
        BUCKET_RATIO,
        BUCKET_COUNT,
    ))
}
