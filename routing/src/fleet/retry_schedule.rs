//! When a rejected client should retry.
//!
//! In a burst, clients that all get the same retry time return as the next burst. Instead,
//! each client gets a time of its own, at the rate at which requests end, so that most find
//! a free slot when they return. Streams get times by rank, at the rate that new arrivals
//! leave.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// The shortest wait; at usual load, slots become free within it.
const MIN_WAIT: Duration = Duration::from_millis(300);

/// The longest wait. Clients wait for at most a third of their remaining time, which is
/// above this for the usual deadlines of streams.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// The weight of a new sample in the mean time between two ended requests.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The assumed time between two ended requests before any is measured.
const INITIAL_SPACING: Duration = Duration::from_millis(50);

/// The longest time between two retries, so that a pause in traffic is not mistaken for a
/// slow service.
const MAX_SPACING: Duration = Duration::from_millis(200);

/// The longest wait of the client of a stream: about half of the period with which the demand of
/// a deployment was seen to swing, so that clients do not return in the same peak.
const MAX_STREAM_WAIT: Duration = Duration::from_secs(7);

/// The smallest part of the longest wait that a client is told while nothing is left for it.
const MIN_OVERLOAD_PART: f64 = 0.5;

/// The released capacity, as a share of all, below which nothing counts as left for returning
/// clients.
const MIN_LEFT_SHARE: f64 = 0.05;

/// The retry times that a gateway assigns to rejected clients.
#[derive(Debug)]
pub struct RetrySchedule {
    next_retry_at: Instant,
    last_end: Option<Instant>,
    spacing_s: f64,
}

impl RetrySchedule {
    /// Creates a schedule without assigned retries.
    pub fn new(now: Instant) -> Self {
        Self {
            next_retry_at: now,
            last_end: None,
            spacing_s: INITIAL_SPACING.as_secs_f64(),
        }
    }

    /// Records that a request has ended and its slot is free.
    pub fn on_end(&mut self, now: Instant) {
        if let Some(last) = self.last_end.replace(now) {
            let gap = now.saturating_duration_since(last).min(MAX_SPACING);
            self.spacing_s += SAMPLE_WEIGHT * (gap.as_secs_f64() - self.spacing_s);
        }
    }

    /// Returns what [`Self::next_retry_after`] would return, without assigning a retry.
    pub fn peek_retry_after(&self, now: Instant) -> Duration {
        let spacing = Duration::from_secs_f64(self.spacing_s);
        (self.next_retry_at + spacing).clamp(now + MIN_WAIT, now + MAX_WAIT) - now
    }

    /// Returns the time after which a rejected client should retry.
    pub fn next_retry_after(&mut self, now: Instant) -> Duration {
        let wait = self.peek_retry_after(now);
        self.next_retry_at = now + wait;
        wait
    }
}

/// The capacity that returning clients of one rank may expect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturnCapacity {
    /// The streams a second that end.
    pub released_per_s: f64,
    /// The streams a second of the same and of more urgent ranks that arrive.
    pub offered_per_s: f64,
}

/// The retry times that a gateway assigns to clients whose streams were rejected, by rank.
#[derive(Debug, Default)]
pub struct StreamRetries {
    last: BTreeMap<u32, Instant>,
}

impl StreamRetries {
    /// Creates a schedule without assigned retries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the time after which a rejected client of a rank should retry, which is at most
    /// `longest`. `draw` is uniformly distributed from zero to one.
    ///
    /// While arrivals take all that is released, the client is told most of the longest time.
    /// Otherwise it returns after all that were told before and are at least as urgent, at the
    /// rate that arrivals leave.
    pub fn next_retry_after(
        &mut self,
        rank: u32,
        capacity: ReturnCapacity,
        longest: Duration,
        draw: f64,
        now: Instant,
    ) -> Duration {
        let longest = longest.clamp(MIN_WAIT, MAX_STREAM_WAIT);
        let spread = longest.mul_f64(MIN_OVERLOAD_PART + (1.0 - MIN_OVERLOAD_PART) * draw);
        let left_per_s = capacity.released_per_s - capacity.offered_per_s;
        if left_per_s <= MIN_LEFT_SHARE * capacity.released_per_s {
            return spread.max(MIN_WAIT);
        }
        let spacing = Duration::from_secs_f64(1.0 / left_per_s).min(MAX_SPACING);
        let told = self.last.range(..=rank).map(|(_, at)| *at).max();
        let retry_at = told.unwrap_or(now).max(now + MIN_WAIT) + spacing;
        if retry_at > now + longest {
            return spread.max(MIN_WAIT);
        }
        self.last.insert(rank, retry_at);
        retry_at - now
    }
}
