//! The accounts whose work an agent refuses for now.

use std::collections::HashMap;
use std::time::Duration;

use jujubewall_types::id::AccountName;
use tokio::time::Instant;

/// The number of refusals above which lapsed ones are dropped.
const PRUNE_ABOVE: usize = 64;

/// The refusals of one engine's agent by account.
///
/// An agent refuses an account that has more waiting than its share, so the
/// refusal says nothing about other accounts.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    until: HashMap<AccountName, Instant>,
}

impl Refusals {
    /// Notes a refusal.
    pub(super) fn on_refused(
        &mut self,
        now: Instant,
        account: &AccountName,
        retry_after: Duration,
    ) {
        if self.until.len() >= PRUNE_ABOVE {
            self.until.retain(|_, until| *until > now);
        }
        self.until.insert(account.clone(), now + retry_after);
    }

    /// Returns the time until which an account's work is refused.
    pub(super) fn until(&self, now: Instant, account: &AccountName) -> Option<Instant> {
        let until = *self.until.get(account)?;
        (until > now).then_some(until)
    }
}
