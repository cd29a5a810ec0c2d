//! When a rejected client should retry.
//!
//! In a burst, clients that all get the same retry time return as the next burst. Instead,
//! each client gets a time of its own, at the rate at which requests end, so that most find
//! a free slot when they return.

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
