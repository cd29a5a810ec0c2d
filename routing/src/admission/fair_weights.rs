//! Request weights that equalize the service of accounts across the fleet.

use std::collections::HashMap;
use std::time::Duration;

use jujubewall_types::id::AccountName;
use tokio::time::Instant;

/// The half-life of the service that an account has received.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// The weight of a request per unit of the account's configured weight, for an
/// account that receives the mean service.
const WEIGHT_SCALE: f64 = 1_024.0;
/// The largest factor by which a weight is raised or lowered.
const MAX_FACTOR: f64 = 64.0;

/// The service, relative to the mean, above which an account is above its fair share. Accounts
/// that ask for the same seem to differ by less in the few requests that an entry sees.
const FAIR_SHARE_FACTOR: f64 = 2.0;

/// The service that one account has recently received.
#[derive(Clone, Copy, Debug)]
struct AttainedService {
    cost: f64,
    updated_at: Instant,
    weight: u32,
}

impl AttainedService {
    fn decayed_cost(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.cost * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

/// Tracks the service that accounts receive through one entry and derives the
/// weights of their requests.
///
/// Accounts with few prefixes compete at few engines, where equal weights would
/// give each of them a share of those engines only. Requests of an account that
/// receives less than the mean service per unit of weight therefore weigh more,
/// and those of the other accounts less. The load balancer spreads every account
/// over the entries, so each entry sees the same proportions without exchanging
/// messages with the others.
#[derive(Debug, Default)]
pub struct FairWeights {
    accounts: HashMap<AccountName, AttainedService>,
    mean: Option<(Instant, f64)>,
}

/// The time for which the mean over all accounts is cached.
const MEAN_LIFETIME: Duration = Duration::from_millis(100);

impl FairWeights {
    /// Creates weights without any recorded service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that work of the given cost was served for an account of the given
    /// configured weight.
    pub fn on_served(&mut self, now: Instant, account: &AccountName, weight: u32, cost: u64) {
        let added = cost as f64;
        if let Some(service) = self.accounts.get_mut(account) {
            service.cost = service.decayed_cost(now) + added;
            service.updated_at = now;
            service.weight = weight;
            return;
        }
        let attained = AttainedService {
            cost: added,
            updated_at: now,
            weight,
        };
        self.accounts.insert(account.clone(), attained);
    }

    /// Returns the weight of an account's next request.
    pub fn weight(&mut self, now: Instant, account: &AccountName, weight: u32) -> u32 {
        let configured = f64::from(weight.max(1));
        let mean = self.mean_per_weight(now);
        let attained = self
            .accounts
            .get(account)
            .map_or(0.0, |service| service.decayed_cost(now));
        let relative_deficit = mean / (attained / configured).max(f64::MIN_POSITIVE);
        let factor = (relative_deficit * relative_deficit).clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        let scaled = (configured * WEIGHT_SCALE * factor).min(f64::from(u32::MAX));
        // The value is at least 16 and at most `u32::MAX`.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let scaled = scaled as u32;
        scaled
    }

    /// Returns whether an account has recently received far more than the mean service.
    pub fn is_above_fair_share(&mut self, now: Instant, account: &AccountName) -> bool {
        let mean = self.mean_per_weight(now);
        let service = self.accounts.get(account);
        service.is_some_and(|service| {
            let per_weight = service.decayed_cost(now) / f64::from(service.weight.max(1));
            per_weight > FAIR_SHARE_FACTOR * mean
        })
    }

    /// Returns the mean service that accounts received per unit of weight.
    fn mean_per_weight(&mut self, now: Instant) -> f64 {
        if let Some((computed_at, mean)) = self.mean
            && now.saturating_duration_since(computed_at) < MEAN_LIFETIME
        {
            return mean;
        }
        self.accounts
            .retain(|_, service| service.decayed_cost(now) >= 1.0);
        let per_weight = |service: &AttainedService| {
            service.decayed_cost(now) / f64::from(service.weight.max(1))
        };
        let total: f64 = self.accounts.values().map(per_weight).sum();
        let mean = (total / self.accounts.len().max(1) as f64).max(1.0);
        self.mean = Some((now, mean));
        mean
    }
}
