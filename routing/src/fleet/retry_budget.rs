//! The budget for sending requests to an upstream again.
//!
//! The platform limits repeated sends over all gateways in any window of a fixed length.
//! Each gateway stays within its part without asking the others: the ratio of its own
//! requests, and an equal share of the burst. A process that has just started knows neither
//! what was sent before nor how many gateways there are, so its part of the burst grows
//! over the first window, starting when it has heard of all gateways.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use jujubewall_types::id::ServiceName;
use tokio::time::Instant;

/// The number of buckets into which the window is divided.
const BUCKETS_PER_WINDOW: u32 = 50;

/// The share of the allowance that is used, because gateways may disagree about how many
/// they are.
const USED_SHARE: f64 = 0.85;

/// The time after its start in which a process hears of all gateways.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// The limits of repeated sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// The repeated sends allowed for each request.
    pub ratio: f64,
    /// The repeated sends allowed in addition to the ratio, over all gateways.
    pub burst: f64,
    /// The window over which both are counted.
    pub window: Duration,
}

/// The sends of one bucket of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Instant,
    requests: u32,
    repeats: u32,
}

/// The repeated sends of this gateway.
#[derive(Debug)]
pub struct WindowedRetryBudget {
    bounds: RetryBounds,
    started_at: Instant,
    services: HashMap<ServiceName, VecDeque<Bucket>>,
}

impl WindowedRetryBudget {
    /// Creates an unused budget.
    pub fn new(bounds: RetryBounds, now: Instant) -> Self {
        Self {
            bounds,
            started_at: now,
            services: HashMap::new(),
        }
    }

    /// Changes the limits; earlier sends still count.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Counts a client's request for a service.
    pub fn on_request(&mut self, service: &ServiceName, now: Instant) {
        self.bucket(service, now).requests += 1;
    }

    /// Returns whether the budget allows a repeated send, given this gateway's share of the
    /// burst.
    pub fn allows_retry(&mut self, service: &ServiceName, burst_share: f64, now: Instant) -> bool {
        let bounds = self.bounds;
        self.bucket(service, now);
        let buckets = &self.services[service];
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = buckets.iter().map(|bucket| bucket.repeats).sum();
        let age = now.saturating_duration_since(self.started_at + DISCOVERY_TIME);
        let known_share = (age.as_secs_f64() / bounds.window.as_secs_f64()).min(1.0);
        let burst = known_share * bounds.burst * burst_share;
        let allowed = USED_SHARE * (bounds.ratio * f64::from(requests) + burst);
        f64::from(repeats) + 1.0 <= allowed
    }

    /// Takes one repeated send if the budget allows it, given this gateway's share of the
    /// burst.
    pub fn try_retry(&mut self, service: &ServiceName, burst_share: f64, now: Instant) -> bool {
        let may_repeat = self.allows_retry(service, burst_share, now);
        if may_repeat {
            self.bucket(service, now).repeats += 1;
        }
        may_repeat
    }

    /// Returns the current bucket, after dropping those that have left the window.
    fn bucket(&mut self, service: &ServiceName, now: Instant) -> &mut Bucket {
        let span = self.bounds.window / BUCKETS_PER_WINDOW;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let buckets = self.services.get_mut(service).expect("it was just added");
        let window = self.bounds.window;
        while buckets
            .front()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.start) > window)
        {
            buckets.pop_front();
        }
        let is_current = buckets
            .back()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.start) < span);
        if !is_current {
            buckets.push_back(Bucket {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        buckets.back_mut().expect("a bucket was just added")
    }
}
