//! The accounts whose work an agent currently refuses.

use std::collections::HashMap;
use std::time::Duration;

use jujubewall_types::id::AccountName;
use tokio::time::Instant;

/// The number of refusals from which on expired ones are removed.
const PRUNE_THRESHOLD: usize = 64;

/// The refusals of one engine's agent, by account.
///
/// An agent refuses an account that has more work waiting than its share, so a
/// refusal says nothing about other accounts.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    refused_until: HashMap<AccountName, Instant>,
}

impl Refusals {
    /// Records a refusal that ends after `retry_after`.
    pub(super) fn on_refused(
        &mut self,
        now: Instant,
        account: &AccountName,
        retry_after: Duration,
    ) {
        if self.refused_until.len() >= PRUNE_THRESHOLD {
            self.refused_until
                .retain(|_, refused_until| *refused_until > now);
        }
        self.refused_until
            .insert(account.clone(), now + retry_after);
    }

    /// Returns the end of the refusal of an account's work, if one is active.
    pub(super) fn refused_until(&self, now: Instant, account: &AccountName) -> Option<Instant> {
        let refused_until = *self.refused_until.get(account)?;
        (refused_until > now).then_some(refused_until)
    }
}
