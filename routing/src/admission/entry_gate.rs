//! The refusal, at an entry, of what agents would refuse anyway.

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

/// The settings of the gate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryGateSettings {
    /// The time in which half of what agents accepted is forgotten.
    pub half_life_ms: u64,
    /// The time in which half of what accounts asked for is forgotten.
    pub demand_half_life_ms: u64,
    /// The part of requests that agents may refuse while the offer grows, in
    /// thousandths.
    pub tolerated_permille: u32,
    /// The part of refused requests above which only what agents accept is
    /// offered, in thousandths.
    pub excess_permille: u32,
    /// The rate of work below which nothing is refused, in requests a second.
    pub floor_per_s: u32,
    /// The time after which a refused caller is asked to come back.
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

/// A rate of events that halves with time.
#[derive(Clone, Copy, Debug)]
struct DecayingRate {
    count: f64,
    updated: Option<Instant>,
}

impl DecayingRate {
    const fn new() -> Self {
        Self {
            count: 0.0,
            updated: None,
        }
    }

    fn count_at(&self, now: Instant, half_life: Duration) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated);
        self.count * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
    }

    fn add(&mut self, now: Instant, half_life: Duration) {
        self.count = self.count_at(now, half_life) + 1.0;
        self.updated = Some(now);
    }

    fn per_s(&self, now: Instant, half_life: Duration) -> f64 {
        self.count_at(now, half_life) * std::f64::consts::LN_2 / half_life.as_secs_f64()
    }
}

/// What one account asks of this entry.
#[derive(Clone, Copy, Debug)]
struct Demand {
    rate: DecayingRate,
    weight: u32,
}

/// Shares out what the agents accept from one entry over its accounts.
///
/// The entry offers agents what they accept and refuse little of. Accounts that ask for more than their fair share of it are refused
/// here, so that the queues at agents hold no more of their work than of the
/// others'. The share is found by water-filling over what each account asks
/// for. Requests are spread over the entries by the balancer, so each sees the
/// same proportions without asking the others.
#[derive(Debug)]
pub struct EntryGate {
    settings: EntryGateSettings,
    rng: ChaCha8Rng,
    demands: HashMap<AccountName, Demand>,
    accepted: DecayingRate,
    refused: DecayingRate,
    /// The rate at which requests are offered to agents.
    offered_per_s: f64,
    /// The offer of which agents last refused too much.
    ceiling_per_s: f64,
    level: Option<(Instant, f64)>,
}

/// The time for which the fair level is used again.
const LEVEL_LIFETIME: Duration = Duration::from_millis(100);
/// The factor by which the offer grows in that time while little is refused.
const OFFER_GROWTH: f64 = 1.01;
/// The factor by which the offer grows in that time well below the ceiling.
const FAST_OFFER_GROWTH: f64 = 1.15;
/// The factor by which the offer shrinks in that time while too much is refused.
const OFFER_DECAY: f64 = 0.99;
/// The part of the offer that is kept at least in that time.
const OFFER_CUT: f64 = 0.9;
/// The part of the ceiling up to which the offer grows fast.
const NEAR_CEILING: f64 = 0.9;
/// The offer beyond what all accounts ask for, above which it stops growing.
const MAX_OFFER_TO_DEMAND: f64 = 1.2;

impl EntryGate {
    /// Creates a gate that has measured nothing; entries use different seeds.
    pub fn new(settings: EntryGateSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            demands: HashMap::new(),
            accepted: DecayingRate::new(),
            refused: DecayingRate::new(),
            offered_per_s: f64::INFINITY,
            ceiling_per_s: f64::INFINITY,
            level: None,
        }
    }

    /// Decides whether a new request of an account is offered to agents.
    pub fn admit(
        &mut self,
        now: Instant,
        account: &AccountName,
        weight: u32,
    ) -> Result<(), Refusal> {
        let asked_per_s = self.note_demand(now, account, weight);
        let due_per_s = self.fair_level(now) * f64::from(weight.max(1));
        if asked_per_s <= due_per_s || self.rng.random_bool(due_per_s / asked_per_s) {
            return Ok(());
        }
        Err(Refusal {
            reason: RefusalReason::QueueFull,
            retry_after_ms: self.settings.retry_after_ms,
        })
    }

    /// Notes that agents accepted a request.
    pub fn on_accepted(&mut self, now: Instant) {
        let half_life = self.half_life();
        self.accepted.add(now, half_life);
    }

    /// Notes that agents refused a request for good.
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

    /// Counts a request, and returns the rate at which its account asks.
    fn note_demand(&mut self, now: Instant, account: &AccountName, weight: u32) -> f64 {
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

    /// Returns the rate for each unit of weight up to which accounts are served.
    fn fair_level(&mut self, now: Instant) -> f64 {
        if let Some((at, level)) = self.level
            && now.saturating_duration_since(at) < LEVEL_LIFETIME
        {
            return level;
        }
        let level = self.compute_level(now);
        self.level = Some((now, level));
        level
    }

    /// Moves the offer to where agents refuse little of it.
    fn adjust_offer(&mut self, now: Instant) {
        let half_life = self.half_life();
        let demand = self.demands.values();
        let demand_half_life = self.demand_half_life();
        let asked: f64 = demand
            .map(|known| known.rate.per_s(now, demand_half_life))
            .sum();
        let accepted = self.accepted.per_s(now, half_life);
        let refused = self.refused.per_s(now, half_life / 4);
        let part = refused / (accepted + refused).max(f64::MIN_POSITIVE);
        let is_below_ceiling = self.offered_per_s < self.ceiling_per_s * NEAR_CEILING;
        let offered = if part > f64::from(self.settings.excess_permille) / 1000.0 {
            let cut = self.offered_per_s.min(asked * MAX_OFFER_TO_DEMAND) * OFFER_CUT;
            self.ceiling_per_s = accepted.max(cut);
            self.ceiling_per_s
        } else if part > f64::from(self.settings.tolerated_permille) / 1000.0 {
            self.ceiling_per_s = self.offered_per_s;
            self.offered_per_s * OFFER_DECAY
        } else if is_below_ceiling {
            self.offered_per_s * FAST_OFFER_GROWTH
        } else {
            self.offered_per_s * OFFER_GROWTH
        };
        let floor = f64::from(self.settings.floor_per_s);
        self.offered_per_s = offered.min(asked * MAX_OFFER_TO_DEMAND).max(floor);
    }

    fn compute_level(&mut self, now: Instant) -> f64 {
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

/// Returns the level at which demands, cut off there, add up to `offered`.
///
/// Each item is a demand for each unit of weight and its weight, sorted.
fn water_level(per_weight: &[(f64, f64)], offered: f64) -> f64 {
    let mut left = offered;
    let mut weight_left: f64 = per_weight.iter().map(|item| item.1).sum();
    for &(demand, weight) in per_weight {
        let level = left / weight_left;
        if demand >= level {
            return level;
        }
        left -= demand * weight;
        weight_left -= weight;
    }
    f64::INFINITY
}
