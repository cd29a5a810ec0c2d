//! Load reports that lag.

use std::collections::VecDeque;
use std::time::Duration;

use jujubewall_upstream::engine::LoadReport;
use tokio::time::Instant;

/// The shortest time between two recorded loads.
const RECORD_INTERVAL: Duration = Duration::from_millis(5);

struct Recorded {
    at: Instant,
    report: LoadReport,
}

/// The loads of the recent past.
#[derive(Default)]
pub(super) struct LoadHistory {
    recorded: VecDeque<Recorded>,
}

impl LoadHistory {
    /// Records the load at `now`.
    pub(super) fn record(&mut self, report: LoadReport, lag: Duration, now: Instant) {
        match self.recorded.back_mut() {
            Some(last) if now < last.at + RECORD_INTERVAL => last.report = report,
            _ => self.recorded.push_back(Recorded { at: now, report }),
        }
        while self
            .recorded
            .get(1)
            .is_some_and(|next| next.at + lag <= now)
        {
            self.recorded.pop_front();
        }
    }

    /// Returns the load of `lag` ago.
    pub(super) fn report(&self, lag: Duration, now: Instant) -> LoadReport {
        let old = self.recorded.iter().rev();
        let mut old = old.skip_while(|recorded| recorded.at + lag > now);
        let mut report = old.next().map_or(LoadReport::default(), |old| old.report);
        report.age_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        report
    }
}
