//! The weights that even out what accounts get across the fleet.

use std::collections::HashMap;
use std::time::Duration;

use jujubewall_types::id::AccountName;
use tokio::time::Instant;

/// The time in which half of what an account got is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// The weight of a request per unit of the account's configured weight, for an
/// account that gets the mean.
const WEIGHT_SCALE: f64 = 1_024.0;
/// The largest factor by which a weight is raised or lowered.
const MAX_FACTOR: f64 = 64.0;

/// What one account got lately.
#[derive(Clone, Copy, Debug)]
struct Attained {
    cost: f64,
    updated: Instant,
    weight: u32,
}

impl Attained {
    fn at(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        self.cost * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

/// Tracks what accounts get through one entry and weighs their requests.
///
/// Accounts with few prefixes meet at few engines, where equal weights would
/// give each a part of those engines only. Requests of an account that gets
/// less than the mean for its weight therefore weigh more, and the others
/// less. The balancer spreads every account over the entries, so each entry
/// sees the same proportions without talking to the others.
#[derive(Debug, Default)]
pub struct FairWeights {
    accounts: HashMap<AccountName, Attained>,
    mean: Option<(Instant, f64)>,
}

/// The time for which the mean over all accounts is used again.
const MEAN_LIFETIME: Duration = Duration::from_millis(100);

impl FairWeights {
    /// Creates weights for accounts that got nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an account of some configured weight got work worth `cost`.
    pub fn on_served(&mut self, now: Instant, account: &AccountName, weight: u32, cost: u64) {
        let added = cost as f64;
        if let Some(known) = self.accounts.get_mut(account) {
            known.cost = known.at(now) + added;
            known.updated = now;
            known.weight = weight;
            return;
        }
        let attained = Attained {
            cost: added,
            updated: now,
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
            .map_or(0.0, |known| known.at(now));
        let relative = mean / (attained / configured).max(f64::MIN_POSITIVE);
        let factor = (relative * relative).clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        let scaled = (configured * WEIGHT_SCALE * factor).min(f64::from(u32::MAX));
        // The figure is at least sixteen and at most the largest weight.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let scaled = scaled as u32;
        scaled
    }

    /// Returns what accounts got on average for each unit of weight.
    fn mean_per_weight(&mut self, now: Instant) -> f64 {
        if let Some((at, mean)) = self.mean
            && now.saturating_duration_since(at) < MEAN_LIFETIME
        {
            return mean;
        }
        self.accounts.retain(|_, known| known.at(now) >= 1.0);
        let per_weight = |known: &Attained| known.at(now) / f64::from(known.weight.max(1));
        let total: f64 = self.accounts.values().map(per_weight).sum();
        let mean = (total / self.accounts.len().max(1) as f64).max(1.0);
        self.mean = Some((now, mean));
        mean
    }
}
