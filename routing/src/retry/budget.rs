//! The budget and the delays of retries.

use std::collections::HashMap;
use std::time::Duration;

use jujubewall_types::id::AccountName;
use jujubewall_types::id::Attempt;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The units of budget that one retry costs.
const RETRY_COST: u64 = 1_000;

/// The settings of retries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// The retries after a failure allowed for a thousand first attempts.
    pub failure_permille: u32,
    /// The retries after a refusal, when nothing had run, allowed for the same.
    pub refusal_permille: u32,
    /// The retries that may be saved up.
    pub max_saved: u32,
    /// The number of attempts of one request, the first included.
    pub max_attempts: u32,
    /// The mean delay before the first retry; each further one doubles it.
    pub base_delay_ms: u64,
    /// The longest mean delay.
    pub max_delay_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            failure_permille: 100,
            refusal_permille: 500,
            max_saved: 10,
            max_attempts: 4,
            base_delay_ms: 5,
            max_delay_ms: 500,
        }
    }
}

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryCause {
    /// Something broke, and work may have been lost.
    Failure,
    /// An agent refused the attempt before anything had run.
    Refusal,
}

/// The retries that an account has saved, in thousandths.
#[derive(Clone, Copy, Debug)]
struct Saved {
    failures: u64,
    refusals: u64,
}

/// The reason that a request is not tried again.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum NoRetry {
    /// The request was tried as often as allowed.
    #[error("the request was tried as often as allowed")]
    AttemptsUsedUp,
    /// Retries already make up their share of traffic.
    #[error("retries make up their whole share of traffic")]
    BudgetUsedUp,
}

/// The budgets of one entry, one for each account.
///
/// An account whose requests are refused in great number thus uses up its own
/// retries only.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    rng: ChaCha8Rng,
    saved: HashMap<AccountName, Saved>,
}

impl RetryBudget {
    /// Creates full budgets; entries use different seeds.
    pub fn new(settings: RetrySettings, seed: u64) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            saved: HashMap::new(),
        }
    }

    /// Notes the first attempt of a request.
    pub fn on_first_attempt(&mut self, account: &AccountName) {
        let max = u64::from(self.settings.max_saved) * RETRY_COST;
        let full = Saved {
            failures: max,
            refusals: max,
        };
        let Some(saved) = self.saved.get_mut(account) else {
            self.saved.insert(account.clone(), full);
            return;
        };
        saved.failures = (saved.failures + u64::from(self.settings.failure_permille)).min(max);
        saved.refusals = (saved.refusals + u64::from(self.settings.refusal_permille)).min(max);
    }

    /// Takes one retry from an account's budget and returns the delay before it.
    pub fn try_retry(
        &mut self,
        account: &AccountName,
        failed: Attempt,
        cause: RetryCause,
    ) -> Result<Duration, NoRetry> {
        if failed.0 >= self.settings.max_attempts {
            return Err(NoRetry::AttemptsUsedUp);
        }
        let saved = self.saved.get_mut(account).ok_or(NoRetry::BudgetUsedUp)?;
        let pool = match cause {
            RetryCause::Failure => &mut saved.failures,
            RetryCause::Refusal => &mut saved.refusals,
        };
        *pool = pool.checked_sub(RETRY_COST).ok_or(NoRetry::BudgetUsedUp)?;
        Ok(self.delay(failed))
    }

    /// Forgets accounts that are no longer configured.
    pub fn retain_accounts(&mut self, is_configured: impl Fn(&AccountName) -> bool) {
        self.saved.retain(|account, _| is_configured(account));
    }

    /// Draws a delay between zero and twice the mean of this attempt.
    fn delay(&mut self, failed: Attempt) -> Duration {
        let doublings = failed.0.saturating_sub(1).min(16);
        let mean_ms = self.settings.base_delay_ms << doublings;
        let mean_ms = mean_ms.min(self.settings.max_delay_ms);
        Duration::from_micros(self.rng.random_range(0..=2 * mean_ms * 1_000))
    }
}
