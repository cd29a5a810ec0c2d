//! Early rejection, at an entry, of requests that agents would reject anyway.

use std::collections::HashMap;
use std::time::Duration;

use jujubewall_types::id::AccountName;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::request::Refusal;
use super::request::RefusalReason;

/// The settings of an entry gate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryGateSettings {
    /// The half-life of the rate at which agents accept requests.
    pub half_life_ms: u64,
    /// The half-life of the rate at which accounts send requests.
    pub demand_half_life_ms: u64,
    /// The share of requests, in thousandths, that agents may reject while the
    /// offered rate grows.
    pub tolerated_permille: u32,
    /// The share of rejected requests, in thousandths, above which the offered
    /// rate is cut towards the rate that agents accept.
    pub excess_permille: u32,
    /// The rate, in requests per second, up to which all requests are offered.
    pub floor_per_s: u32,
    /// The time after which a rejected caller may retry.
    pub retry_after_ms: u64,
}

impl Default for EntryGateSettings {
    fn default() -> Self {
        Self {
            half_life_ms: 1_000,
            demand_half_life_ms: 5_000,
            tolerated_permille: 20,
            excess_permille: 100,
            floor_per_s: 2,
            retry_after_ms: 500,
        }
    }
}

/// An exponentially decaying rate of events.
#[derive(Clone, Copy, Debug)]
struct DecayingRate {
    count: f64,
    updated_at: Option<Instant>,
}

impl DecayingRate {
    const fn new() -> Self {
        Self {
            count: 0.0,
            updated_at: None,
        }
    }

    fn count_at(&self, now: Instant, half_life: Duration) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at);
        self.count * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
    }

    fn add(&mut self, now: Instant, half_life: Duration) {
        self.count = self.count_at(now, half_life) + 1.0;
        self.updated_at = Some(now);
    }

    fn per_s(&self, now: Instant, half_life: Duration) -> f64 {
        self.count_at(now, half_life) * std::f64::consts::LN_2 / half_life.as_secs_f64()
    }
}

/// The demand of one account at this entry.
#[derive(Clone, Copy, Debug)]
struct Demand {
    rate: DecayingRate,
    weight: u32,
}

/// Divides the rate that agents accept from one entry among its accounts.
///
/// The entry offers agents a rate of which they reject little. Requests of an
/// account beyond its fair share of that rate are rejected here, so that the
/// queues at the agents hold no more work of that account than of the others.
/// The fair share is found by water-filling over the demands of the accounts.
/// The load balancer spreads requests over the entries, so each entry sees the
/// same proportions without exchanging messages with the others.
#[derive(Debug)]
pub struct EntryGate {
    settings: EntryGateSettings,
    rng: ChaCha8Rng,
    demands: HashMap<AccountName, Demand>,
    accepted: DecayingRate,
    refused: DecayingRate,
    /// The rate at which requests are offered to agents.
    offered_per_s: f64,
    /// The offered rate of which agents last rejected too much.
    ceiling_per_s: f64,
    /// The cached fair level and the time at which it was computed.
    fair_level: Option<(Instant, f64)>,
}

/// The time for which the fair level is cached, and between adjustments of the
/// offered rate.
const FAIR_LEVEL_LIFETIME: Duration = Duration::from_millis(100);
/// The factor by which the offered rate grows at an adjustment while little is
/// rejected.
const OFFER_GROWTH: f64 = 1.01;
/// The factor by which the offered rate grows at an adjustment well below the
/// ceiling.
const FAST_OFFER_GROWTH: f64 = 1.15;
/// The factor by which the offered rate shrinks at an adjustment while more than
/// the tolerated share is rejected.
const OFFER_DECAY: f64 = 0.99;
/// The lowest factor by which one adjustment cuts the offered rate.
const MIN_OFFER_FACTOR: f64 = 0.9;
/// The fraction of the ceiling up to which the offered rate grows fast.
const FAST_GROWTH_CEILING_FRACTION: f64 = 0.9;
/// The largest ratio of the offered rate to the total demand of all accounts.
const MAX_OFFER_TO_DEMAND: f64 = 1.2;

impl EntryGate {
    /// Creates a gate without measurements; entries use different seeds.
    pub fn new(settings: EntryGateSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            demands: HashMap::new(),
            accepted: DecayingRate::new(),
            refused: DecayingRate::new(),
            offered_per_s: f64::INFINITY,
            ceiling_per_s: f64::INFINITY,
            fair_level: None,
        }
    }

    /// Decides whether a new request of an account is offered to agents.
    pub fn admit(
        &mut self,
        now: Instant,
        account: &AccountName,
        weight: u32,
    ) -> Result<(), Refusal> {
        let demand_per_s = self.record_demand(now, account, weight);
        let fair_per_s = self.fair_level(now) * f64::from(weight.max(1));
        if demand_per_s <= fair_per_s || self.rng.random_bool(fair_per_s / demand_per_s) {
            return Ok(());
        }
        Err(Refusal {
            reason: RefusalReason::QueueFull,
            retry_after_ms: self.settings.retry_after_ms,
        })
    }

    /// Records that agents accepted a request.
    pub fn on_accepted(&mut self, now: Instant) {
        let half_life = self.half_life();
        self.accepted.add(now, half_life);
    }

    /// Records that agents rejected a request and that it is not retried.
    pub fn on_refused(&mut self, now: Instant) {
        let half_life = self.half_life() / 4;
        self.refused.add(now, half_life);
    }

    fn half_life(&self) -> Duration {
        Duration::from_millis(self.settings.half_life_ms.max(1))
    }

    fn demand_half_life(&self) -> Duration {
        Duration::from_millis(self.settings.demand_half_life_ms.max(1))
    }

    /// Counts a request and returns the request rate of its account.
    fn record_demand(&mut self, now: Instant, account: &AccountName, weight: u32) -> f64 {
        let half_life = self.demand_half_life();
        if !self.demands.contains_key(account) {
            let rate = DecayingRate::new();
            self.demands
                .insert(account.clone(), Demand { rate, weight });
        }
        let demand = self
            .demands
            .get_mut(account)
            .expect("the account was just added");
        demand.weight = weight.max(1);
        demand.rate.add(now, half_life);
        demand.rate.per_s(now, half_life)
    }

    /// Returns the rate per unit of weight up to which accounts are served.
    fn fair_level(&mut self, now: Instant) -> f64 {
        if let Some((at, level)) = self.fair_level
            && now.saturating_duration_since(at) < FAIR_LEVEL_LIFETIME
        {
            return level;
        }
        let level = self.compute_fair_level(now);
        self.fair_level = Some((now, level));
        level
    }

    /// Adjusts the offered rate so that agents reject little of it.
    fn adjust_offer(&mut self, now: Instant) {
        let half_life = self.half_life();
        let demand = self.demands.values();
        let demand_half_life = self.demand_half_life();
        let demand_per_s: f64 = demand
            .map(|known| known.rate.per_s(now, demand_half_life))
            .sum();
        let accepted_per_s = self.accepted.per_s(now, half_life);
        let refused_per_s = self.refused.per_s(now, half_life / 4);
        let refused_fraction =
            refused_per_s / (accepted_per_s + refused_per_s).max(f64::MIN_POSITIVE);
        let is_below_ceiling =
            self.offered_per_s < self.ceiling_per_s * FAST_GROWTH_CEILING_FRACTION;
        let offered = if refused_fraction > f64::from(self.settings.excess_permille) / 1000.0 {
            let cut = self.offered_per_s.min(demand_per_s * MAX_OFFER_TO_DEMAND) * MIN_OFFER_FACTOR;
            self.ceiling_per_s = accepted_per_s.max(cut);
            self.ceiling_per_s
        } else if refused_fraction > f64::from(self.settings.tolerated_permille) / 1000.0 {
            self.ceiling_per_s = self.offered_per_s;
            self.offered_per_s * OFFER_DECAY
        } else if is_below_ceiling {
            self.offered_per_s * FAST_OFFER_GROWTH
        } else {
            self.offered_per_s * OFFER_GROWTH
        };
        let floor = f64::from(self.settings.floor_per_s);
        self.offered_per_s = offered.min(demand_per_s * MAX_OFFER_TO_DEMAND).max(floor);
    }

    fn compute_fair_level(&mut self, now: Instant) -> f64 {
        let half_life = self.demand_half_life();
        self.demands
            .retain(|_, demand| demand.rate.count_at(now, half_life) > 0.01);
        self.adjust_offer(now);
        let mut per_weight: Vec<(f64, f64)> = self
            .demands
            .values()
            .map(|demand| {
                let weight = f64::from(demand.weight);
                (demand.rate.per_s(now, half_life) / weight, weight)
            })
            .collect();
        per_weight.sort_by(|a, b| a.0.total_cmp(&b.0));
        water_level(&per_weight, self.offered_per_s)
    }
}

/// Returns the level at which demands, capped there, add up to `offered`.
///
/// Each item is a demand per unit of weight and its weight, sorted by demand.
fn water_level(per_weight: &[(f64, f64)], offered: f64) -> f64 {
    let mut remaining = offered;
    let mut remaining_weight: f64 = per_weight.iter().map(|item| item.1).sum();
    for &(demand, weight) in per_weight {
        let level = remaining / remaining_weight;
        if demand >= level {
            return level;
        }
        remaining -= demand * weight;
        remaining_weight -= weight;
    }
    f64::INFINITY
}
