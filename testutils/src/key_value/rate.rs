//! Rate limits of the key-value service.

use std::time::Duration;

use tokio::time::Instant;

/// The length of the period that a rate refers to.
const PERIOD: Duration = Duration::from_secs(1);

/// The kinds of calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    Get,
    List,
    CompareAndSwap,
    Delete,
    Watch,
    GrantLease,
    KeepAlive,
    RevokeLease,
}

impl CallKind {
    /// Returns whether the call writes one key conditionally.
    pub(super) const fn is_swap(self) -> bool {
        matches!(self, Self::CompareAndSwap | Self::Delete)
    }

    /// Returns whether the call counts as a write.
    pub(super) const fn is_write(self) -> bool {
        !matches!(self, Self::Get | Self::List | Self::Watch)
    }
}

/// Counts the calls of the current period.
#[derive(Default)]
pub(super) struct RateLimit {
    period_start: Option<Instant>,
    used: u32,
}

impl RateLimit {
    /// Uses one call of the period if the limit allows it.
    pub(super) fn take(&mut self, limit: Option<u32>, now: Instant) -> bool {
        let start = *self.period_start.get_or_insert(now);
        if now.duration_since(start) >= PERIOD {
            self.period_start = Some(now);
            self.used = 0;
        }
        if limit.is_some_and(|limit| self.used >= limit) {
            return false;
        }
        self.used += 1;
        true
    }
}
