//! The bound on the work in flight at one upstream.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// The settings of the bound.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConcurrencySettings {
    /// The bound before anything is measured.
    pub initial: u32,
    /// The lowest bound.
    pub min: u32,
    /// The highest bound.
    pub max: u32,
    /// The response of one step above which the bound falls.
    pub target_response_us: u64,
    /// The time over which responses are averaged before the bound changes.
    pub window_ms: u64,
    /// The part by which the bound falls at most at once, in thousandths.
    pub max_decrease_permille: u32,
    /// The part by which the bound rises at most at once, in thousandths.
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

/// A bound that follows the measured response.
///
/// At the end of each window it is set to the work that was in flight times the
/// square root of target over mean response. It starts from what was in flight
/// and not from the last bound, since work that was admitted stays for a while
/// and several windows would otherwise lower the bound for the same excess.
#[derive(Debug)]
pub(super) struct ConcurrencyBound {
    settings: ConcurrencySettings,
    bound: f64,
    window_end: Option<Instant>,
    samples: u32,
    total_response: Duration,
    total_in_flight: u64,
    was_used_up: bool,
}

impl ConcurrencyBound {
    /// Creates the bound at its initial value.
    pub(super) fn new(settings: ConcurrencySettings) -> Self {
        let bound = f64::from(settings.initial.clamp(settings.min, settings.max));
        Self {
            settings,
            bound,
            window_end: None,
            samples: 0,
            total_response: Duration::ZERO,
            total_in_flight: 0,
            was_used_up: false,
        }
    }

    /// Returns the bound.
    pub(super) fn get(&self) -> usize {
        // The bound lies between two settings of 32 bits.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let bound = self.bound as usize;
        bound
    }

    /// Notes the response of one step while `in_flight` requests were admitted.
    pub(super) fn on_response(&mut self, now: Instant, response: Duration, in_flight: usize) {
        let window = Duration::from_millis(self.settings.window_ms);
        let window_end = *self.window_end.get_or_insert(now + window);
        self.samples += 1;
        self.total_response += response;
        self.total_in_flight += in_flight as u64;
        self.was_used_up |= in_flight >= self.get();
        if now >= window_end {
            self.adjust();
            self.window_end = Some(now + window);
        }
    }

    fn adjust(&mut self) {
        let mean_s = self.total_response.as_secs_f64() / f64::from(self.samples.max(1));
        let target_s = Duration::from_micros(self.settings.target_response_us).as_secs_f64();
        let lowest = f64::from(self.settings.max_decrease_permille) / 1000.0;
        let highest = f64::from(self.settings.max_increase_permille) / 1000.0;
        let gradient = (target_s / mean_s.max(f64::MIN_POSITIVE)).sqrt();
        let factor = gradient.clamp(1.0 - lowest, 1.0 + highest);
        let in_flight = self.total_in_flight as f64 / f64::from(self.samples.max(1));
        if factor < 1.0 {
            self.bound = self.bound.min(in_flight * factor);
        } else if self.was_used_up {
            self.bound = self.bound.max(in_flight * factor);
        }
        let min = f64::from(self.settings.min);
        let max = f64::from(self.settings.max);
        self.bound = self.bound.clamp(min, max);
        self.samples = 0;
        self.total_response = Duration::ZERO;
        self.total_in_flight = 0;
        self.was_used_up = false;
    }
}
