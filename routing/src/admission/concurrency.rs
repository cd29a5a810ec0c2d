//! The adaptive limit on the work in flight at one upstream.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// The settings of the concurrency limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConcurrencySettings {
    /// The limit before any response time has been measured.
    pub initial: u32,
    /// The lowest limit.
    pub min: u32,
    /// The highest limit.
    pub max: u32,
    /// The response time of one step above which the limit is lowered.
    pub target_response_us: u64,
    /// The time over which response times are averaged before the limit changes.
    pub window_ms: u64,
    /// The largest decrease of the limit at the end of a window, in thousandths.
    pub max_decrease_permille: u32,
    /// The largest increase of the limit at the end of a window, in thousandths.
    pub max_increase_permille: u32,
}

impl Default for ConcurrencySettings {
    fn default() -> Self {
        Self {
            initial: 64,
            min: 2,
            max: 4096,
            target_response_us: 50_000,
            window_ms: 250,
            max_decrease_permille: 200,
            max_increase_permille: 500,
        }
    }
}

/// A concurrency limit that follows the measured response time.
///
/// At the end of each window, the limit is set to the mean work in flight times
/// the square root of the ratio of target to mean response time. It is based on
/// the work in flight rather than on the previous limit, because admitted work
/// stays for a while and several windows would otherwise lower the limit for the
/// same excess.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    settings: ConcurrencySettings,
    limit: f64,
    window_end: Option<Instant>,
    sample_count: u32,
    total_response: Duration,
    total_in_flight: u64,
    was_reached: bool,
}

impl ConcurrencyLimit {
    /// Creates a limit at its initial value.
    pub(super) fn new(settings: ConcurrencySettings) -> Self {
        let limit = f64::from(settings.initial.clamp(settings.min, settings.max));
        Self {
            settings,
            limit,
            window_end: None,
            sample_count: 0,
            total_response: Duration::ZERO,
            total_in_flight: 0,
            was_reached: false,
        }
    }

    /// Returns the current limit.
    pub(super) fn get(&self) -> usize {
        // The limit lies between two settings of 32 bits.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = self.limit as usize;
        limit
    }

    /// Records the response time of one step while `in_flight` requests were
    /// admitted.
    pub(super) fn on_response(&mut self, now: Instant, response: Duration, in_flight: usize) {
        let window = Duration::from_millis(self.settings.window_ms);
        let window_end = *self.window_end.get_or_insert(now + window);
        self.sample_count += 1;
        self.total_response += response;
        self.total_in_flight += in_flight as u64;
        self.was_reached |= in_flight >= self.get();
        if now >= window_end {
            self.adjust();
            self.window_end = Some(now + window);
        }
    }

    fn adjust(&mut self) {
        let mean_s = self.total_response.as_secs_f64() / f64::from(self.sample_count.max(1));
        let target_s = Duration::from_micros(self.settings.target_response_us).as_secs_f64();
        let max_decrease = f64::from(self.settings.max_decrease_permille) / 1000.0;
        let max_increase = f64::from(self.settings.max_increase_permille) / 1000.0;
        let gradient = (target_s / mean_s.max(f64::MIN_POSITIVE)).sqrt();
        let factor = gradient.clamp(1.0 - max_decrease, 1.0 + max_increase);
        let in_flight = self.total_in_flight as f64 / f64::from(self.sample_count.max(1));
        if factor < 1.0 {
            self.limit = self.limit.min(in_flight * factor);
        } else if self.was_reached {
            self.limit = self.limit.max(in_flight * factor);
        }
        let min = f64::from(self.settings.min);
        let max = f64::from(self.settings.max);
        self.limit = self.limit.clamp(min, max);
        self.sample_count = 0;
        self.total_response = Duration::ZERO;
        self.total_in_flight = 0;
        self.was_reached = false;
    }
}
