//! The gateway's metrics.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::metrics::duration_histogram;
use crate::metrics::observe;

/// The label that names an event or an outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EventLabel {
    event: &'static str,
}

/// The labels of a stream that got no capacity.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct NotAdmittedLabels {
    rank: u32,
    resource: &'static str,
    cause: &'static str,
}

/// The metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    outcomes: Family<EventLabel, Counter>,
    events: Family<EventLabel, Counter>,
    answer_time: Histogram,
    first_event_time: Histogram,
    wait_time: Histogram,
    not_admitted: Family<NotAdmittedLabels, Counter>,
    message_bytes: Counter,
    /// The number of requests in progress.
    pub in_flight: Gauge,
    /// The memory that unfinished requests hold, in bytes.
    pub request_memory: Gauge,
    /// The version of the configuration in force.
    pub config_version: Gauge,
}

impl GatewayMetrics {
    /// Creates and registers the metrics.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("jujubewall_gateway"),
            outcomes: Family::default(),
            events: Family::default(),
            answer_time: duration_histogram(),
            first_event_time: duration_histogram(),
            wait_time: duration_histogram(),
            not_admitted: Family::default(),
            message_bytes: Counter::default(),
            in_flight: Gauge::default(),
            request_memory: Gauge::default(),
            config_version: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests that ended, by outcome",
            self.outcomes.clone(),
        );
        registry.register(
            "events",
            "Repeated sends, suspicions, orders and lost dependencies",
            self.events.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time from a request to the end of its answer",
            self.answer_time.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time from a request to the first event of its stream",
            self.first_event_time.clone(),
        );
        registry.register(
            "wait_seconds",
            "Time for which streams that were started had waited for capacity",
            self.wait_time.clone(),
        );
        registry.register(
            "not_admitted",
            "Streams that got no capacity, by rank, scarce resource and cause",
            self.not_admitted.clone(),
        );
        registry.register(
            "message_bytes",
            "Bytes of the messages sent to other gateways",
            self.message_bytes.clone(),
        );
        registry.register("in_flight", "Requests in progress", self.in_flight.clone());
        registry.register(
            "request_memory_bytes",
            "Memory that unfinished requests hold",
            self.request_memory.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
    }

    /// Counts a request that ended, and records the time from its arrival to its end.
    pub fn count_outcome(&self, outcome: &'static str, time: Duration) {
        let label = EventLabel { event: outcome };
        self.outcomes.get_or_create(&label).inc();
        observe(&self.answer_time, time);
    }

    /// Records the time to the first event of a stream.
    pub fn observe_first_event(&self, time: Duration) {
        observe(&self.first_event_time, time);
    }

    /// Records the time for which a stream waited before it was started.
    pub fn observe_wait(&self, time: Duration) {
        observe(&self.wait_time, time);
    }

    /// Counts a stream that got no capacity.
    pub fn count_not_admitted(&self, rank: u32, resource: &'static str, cause: &'static str) {
        let labels = NotAdmittedLabels {
            rank,
            resource,
            cause,
        };
        self.not_admitted.get_or_create(&labels).inc();
    }

    /// Counts a message to another gateway, and its size in bytes.
    pub fn count_message(&self, bytes: usize) {
        self.count("telling");
        self.message_bytes
            .inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Counts an event under its metric label.
    pub fn count(&self, event: &'static str) {
        self.events.get_or_create(&EventLabel { event }).inc();
    }

    /// Writes all metrics in the text format of the `OpenMetrics` specification.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
