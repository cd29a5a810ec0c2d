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

/// The budget that one retry costs, in thousandths of a retry.
const RETRY_COST_PERMILLE: u64 = 1_000;

/// The settings of retries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// The number of retries after a failure per thousand first attempts.
    pub failure_permille: u32,
    /// The number of retries after a refusal, when nothing had run, per thousand
    /// first attempts.
    pub refusal_permille: u32,
    /// The maximum number of unused retries that a budget accumulates.
    pub max_saved: u32,
    /// The maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// The mean delay before the first retry, in milliseconds, which doubles with
    /// each further retry.
    pub base_delay_ms: u64,
    /// The maximum mean delay, in milliseconds.
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

/// The reason that an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryCause {
    /// The attempt failed after it may have run, and work may have been lost.
    Failure,
    /// An agent refused the attempt before any of it had run.
    Refusal,
}

/// The unused retries of an account by cause, in thousandths of a retry.
#[derive(Clone, Copy, Debug)]
struct Balance {
    failures: u64,
    refusals: u64,
}

/// The reason that a request is not retried.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RetryDenied {
    /// The request has used all its attempts.
    #[error("the request was tried as often as allowed")]
    AttemptsExhausted,
    /// The account's retry budget is exhausted.
    #[error("retries make up their whole share of traffic")]
    BudgetExhausted,
}

/// The retry budgets of one entry, one per account.
///
/// With separate budgets, an account whose requests are often refused exhausts
/// only its own retries.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    rng: ChaCha8Rng,
    balances: HashMap<AccountName, Balance>,
}

impl RetryBudget {
    /// Creates a set of budgets, each full at first; entries use different seeds.
    pub fn new(settings: RetrySettings, seed: u64) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            balances: HashMap::new(),
        }
    }

    /// Records the first attempt of a request, which replenishes the budget.
    pub fn on_first_attempt(&mut self, account: &AccountName) {
        let max = u64::from(self.settings.max_saved) * RETRY_COST_PERMILLE;
        let full = Balance {
            failures: max,
            refusals: max,
        };
        let Some(balances) = self.balances.get_mut(account) else {
            self.balances.insert(account.clone(), full);
            return;
        };
        balances.failures =
            (balances.failures + u64::from(self.settings.failure_permille)).min(max);
        balances.refusals =
            (balances.refusals + u64::from(self.settings.refusal_permille)).min(max);
    }

    /// Takes one retry from the account's budget and returns the delay before it.
    pub fn try_retry(
        &mut self,
        account: &AccountName,
        failed: Attempt,
        cause: RetryCause,
    ) -> Result<Duration, RetryDenied> {
        if failed.0 >= self.settings.max_attempts {
            return Err(RetryDenied::AttemptsExhausted);
        }
        let balances = self
            .balances
            .get_mut(account)
            .ok_or(RetryDenied::BudgetExhausted)?;
        let balance = match cause {
            RetryCause::Failure => &mut balances.failures,
            RetryCause::Refusal => &mut balances.refusals,
        };
        *balance = balance
            .checked_sub(RETRY_COST_PERMILLE)
            .ok_or(RetryDenied::BudgetExhausted)?;
        Ok(self.delay(failed))
    }

    /// Removes accounts that are no longer configured.
    pub fn retain_accounts(&mut self, is_configured: impl Fn(&AccountName) -> bool) {
        self.balances.retain(|account, _| is_configured(account));
    }

    /// Returns a random delay between zero and twice the mean delay of this retry.
    fn delay(&mut self, failed: Attempt) -> Duration {
        let doublings = failed.0.saturating_sub(1).min(16);
        let mean_ms = self.settings.base_delay_ms << doublings;
        let mean_ms = mean_ms.min(self.settings.max_delay_ms);
        Duration::from_micros(self.rng.random_range(0..=2 * mean_ms * 1_000))
    }
}
