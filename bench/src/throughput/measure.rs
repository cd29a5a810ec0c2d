//! The runs of the measurement and their figures.

use argh::FromArgs;
use hdrhistogram::Histogram;
use jujubewall_routing::bound::BoundSettings;
use jujubewall_routing::bound::find_bound;
use serde::Serialize;

use super::policy::PolicyKind;
use super::scenario;
use super::world::Fault;
use super::world::Measured;
use super::world::World;
use super::world::WorldSettings;

/// One second.
const SECOND_US: u64 = 1_000_000;
/// The time before a run is counted.
const WARM_UP_US: u64 = 15 * SECOND_US;
/// The end of a run.
const END_US: u64 = 40 * SECOND_US;
/// The time that a caller waits for a whole answer.
const PATIENCE_US: u64 = 12 * SECOND_US;
/// The span over which a rate is taken when recovery is timed.
const RATE_SPAN_US: u64 = SECOND_US;
/// The step by which that span is moved.
const RATE_STEP_US: u64 = 100_000;
/// The part of the bound at which a fleet counts as recovered.
const RECOVERED: f64 = 0.95;

/// The longest time that a percentile shows.
const MAX_TIME_US: u64 = 60 * SECOND_US;

/// Measures throughput against the bound, fairness and recovery.
#[derive(FromArgs)]
#[argh(subcommand, name = "throughput")]
pub struct ThroughputCommand {
    /// print one JSON document
    #[argh(switch)]
    json: bool,
    /// the seed, by which every figure repeats
    #[argh(option, default = "20261204")]
    seed: u64,
    /// the number of entries
    #[argh(option, default = "4")]
    entries: usize,
    /// measure the product's own policy only
    #[argh(switch)]
    no_baselines: bool,
}

/// Times in milliseconds.
#[derive(Serialize)]
struct Percentiles {
    samples: u64,
    p50_ms: f64,
    p95_ms: f64,
    p99_ms: f64,
}

/// The figures of one policy.
#[derive(Serialize)]
struct PolicyFigures {
    policy: PolicyKind,
    throughput_to_bound: f64,
    goodput_at_double_load_to_peak: f64,
    smallest_account_to_fair_share: f64,
    cached_prompts: f64,
    engine_busy_mean: f64,
    engine_busy_min: f64,
    refused_at_double_load: f64,
    first_token_at_0_8_load: Percentiles,
    token_gap_at_0_8_load: Percentiles,
    token_gap_at_saturation: Percentiles,
    domain_lost_recovery_s: Option<f64>,
    domain_joins_recovery_s: Option<f64>,
    half_of_entries_lost_recovery_s: Option<f64>,
    outage_with_caller_retries_recovery_s: Option<f64>,
    slow_engine_throughput_to_bound: f64,
    slow_engine_healed_recovery_s: Option<f64>,
}

/// Everything that was measured.
#[derive(Serialize)]
struct Figures {
    clock: &'static str,
    seed: u64,
    entries: usize,
    bound_requests_per_s: f64,
    bound_tokens_per_s: f64,
    bound_lower_tokens_per_s: f64,
    policies: Vec<PolicyFigures>,
}

/// Runs of one policy.
struct Runs {
    seed: u64,
    entries: usize,
    policy: PolicyKind,
    bound: f64,
}

/// Returns the bound on requests a second when engines run at these speeds.
fn bound_requests_per_s(speeds: &[f64]) -> eyre::Result<(f64, f64)> {
    let problem = scenario::bound_problem(&scenario::engines(), speeds);
    let bound = find_bound(&problem, &BoundSettings::default())?;
    Ok((bound.upper_requests_per_s, bound.lower_requests_per_s))
}

fn rated_speeds() -> Vec<f64> {
    vec![1.0; scenario::engines().len()]
}

/// Returns the engines of one failure domain.
fn engines_of_domain(domain: usize) -> Vec<usize> {
    let name = format!("domain-{domain}");
    let engines = scenario::engines();
    let is_inside = |&index: &usize| engines[index].failure_domain.as_str() == name;
    (0..engines.len()).filter(is_inside).collect()
}

fn speeds_with(engines: &[usize], speed: f64) -> Vec<f64> {
    let mut speeds = rated_speeds();
    for &engine in engines {
        speeds[engine] = speed;
    }
    speeds
}

fn equal_shares(requests_per_s: f64) -> Vec<f64> {
    // Two large accounts ask for three times as much as the others.
    let weights: Vec<f64> = (0..scenario::ACCOUNTS)
        .map(|a| if a < 2 { 3.0 } else { 1.0 })
        .collect();
    let total: f64 = weights.iter().sum();
    weights
        .iter()
        .map(|weight| requests_per_s * weight / total)
        .collect()
}

fn tokens_between(measured: &Measured, from_us: u64, to_us: u64) -> usize {
    let tokens = &measured.tokens;
    let start = tokens.partition_point(|&(at, _)| at < from_us);
    let end = tokens.partition_point(|&(at, _)| at < to_us);
    end - start
}

fn token_rate(measured: &Measured, from_us: u64, to_us: u64) -> f64 {
    let span_s = (to_us - from_us) as f64 / SECOND_US as f64;
    tokens_between(measured, from_us, to_us) as f64 / span_s
}

/// Returns the rate of tokens of answers that were complete in time.
fn goodput(measured: &Measured) -> f64 {
    let in_span = |&&(at, _, _): &&(u64, usize, u32)| (WARM_UP_US..END_US).contains(&at);
    let tokens: u64 = measured
        .completed
        .iter()
        .filter(in_span)
        .map(|c| u64::from(c.2))
        .sum();
    tokens as f64 * SECOND_US as f64 / (END_US - WARM_UP_US) as f64
}

/// Returns the part of the whole run that each engine was busy.
fn busy_parts(measured: &Measured) -> Vec<f64> {
    let part = |&busy_us: &u64| busy_us as f64 / END_US as f64;
    measured.engine_busy_us.iter().map(part).collect()
}

/// Returns the time after `fault_us` at which the rate first reaches `wanted`.
fn recovery_s(measured: &Measured, fault_us: u64, wanted: f64) -> Option<f64> {
    let mut from_us = fault_us;
    while from_us + RATE_SPAN_US <= END_US {
        if token_rate(measured, from_us, from_us + RATE_SPAN_US) >= wanted {
            return Some((from_us + RATE_SPAN_US - fault_us) as f64 / SECOND_US as f64);
        }
        from_us += RATE_STEP_US;
    }
    None
}

fn percentiles(items: &[(u64, u64)]) -> Percentiles {
    let mut histogram: Histogram<u64> =
        Histogram::new_with_max(MAX_TIME_US, 3).expect("three digits are supported");
    for &(at_us, value_us) in items {
        if at_us >= WARM_UP_US {
            histogram.saturating_record(value_us);
        }
    }
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        samples: histogram.len(),
        p50_ms: at(0.5),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
    }
}

impl Runs {
    fn run(
        &self,
        requests_per_s: Vec<f64>,
        caller_repeats: u32,
        faults: Vec<(u64, Fault)>,
    ) -> Measured {
        World::run(WorldSettings {
            seed: self.seed,
            policy: self.policy,
            entries: self.entries,
            requests_per_s,
            caller_repeats,
            faults,
            end_us: END_US,
        })
    }

    fn run_at(&self, load: f64, faults: Vec<(u64, Fault)>) -> Measured {
        self.run(equal_shares(load * self.bound), 0, faults)
    }

    fn speed_fault(engines: &[usize], speed: f64) -> Fault {
        Fault::Speed {
            engines: engines.to_vec(),
            speed,
        }
    }

    fn bound_tokens(speeds: &[f64]) -> eyre::Result<f64> {
        Ok(bound_requests_per_s(speeds)?.0 * scenario::mean_answer_tokens())
    }

    /// Returns the part of its fair share that the smallest account gets while
    /// one account asks for ten times as much as each other.
    fn smallest_share(&self) -> f64 {
        // The others together ask for less than the fleet gives, each for
        // less than its fair share, so each is due all that it asks for.
        let each = self.bound * 0.9 / scenario::ACCOUNTS as f64;
        let mut rates = vec![each; scenario::ACCOUNTS];
        rates[0] = 10.0 * each;
        let measured = self.run(rates, 0, Vec::new());
        // Requests that arrive later may end after the run.
        let counted = WARM_UP_US..END_US - PATIENCE_US;
        let tokens = |items: &[(u64, usize, u32)], account: usize| {
            let is_counted = |c: &&(u64, usize, u32)| c.1 == account && counted.contains(&c.0);
            items
                .iter()
                .filter(is_counted)
                .map(|c| f64::from(c.2))
                .sum::<f64>()
        };
        let share =
            |account: usize| tokens(&measured.answered, account) / tokens(&measured.asked, account);
        let shares = (1..scenario::ACCOUNTS).map(share);
        shares.fold(f64::INFINITY, f64::min)
    }

    fn figures(&self) -> eyre::Result<PolicyFigures> {
        let bound_tokens = self.bound * scenario::mean_answer_tokens();
        let saturated = self.run_at(1.2, Vec::new());
        let doubled = self.run_at(2.0, Vec::new());
        let normal = self.run_at(0.8, Vec::new());
        let peak = goodput(&saturated)
            .max(goodput(&normal))
            .max(goodput(&doubled));
        let busy = busy_parts(&saturated);
        let lost = engines_of_domain(2);
        let remaining = Self::bound_tokens(&speeds_with(&lost, 0.0))?;
        let domain_lost = self.run_at(1.2, vec![(WARM_UP_US, Self::speed_fault(&lost, 0.0))]);
        let domain_joins = self.run_at(
            1.2,
            vec![
                (0, Self::speed_fault(&lost, 0.0)),
                (WARM_UP_US, Self::speed_fault(&lost, 1.0)),
            ],
        );
        let entries_lost = self.run_at(
            1.2,
            vec![(WARM_UP_US, Fault::LoseEntries(self.entries / 2))],
        );
        let all: Vec<usize> = (0..rated_speeds().len()).collect();
        let outage_end_us = WARM_UP_US + 3 * SECOND_US;
        let outage = self.run(
            equal_shares(self.bound),
            8,
            vec![
                (WARM_UP_US, Self::speed_fault(&all, 0.0)),
                (outage_end_us, Self::speed_fault(&all, 1.0)),
            ],
        );
        let slow_engine = [0];
        let slow_bound = Self::bound_tokens(&speeds_with(&slow_engine, 0.2))?;
        let heal_us = WARM_UP_US + 8 * SECOND_US;
        let slow = self.run_at(
            1.2,
            vec![
                (2 * SECOND_US, Self::speed_fault(&slow_engine, 0.2)),
                (heal_us, Self::speed_fault(&slow_engine, 1.0)),
            ],
        );
        Ok(PolicyFigures {
            policy: self.policy,
            throughput_to_bound: token_rate(&saturated, WARM_UP_US, END_US) / bound_tokens,
            goodput_at_double_load_to_peak: goodput(&doubled) / peak,
            smallest_account_to_fair_share: self.smallest_share(),
            cached_prompts: saturated.cached_prompts.0 as f64 / saturated.cached_prompts.1 as f64,
            engine_busy_mean: busy.iter().sum::<f64>() / busy.len() as f64,
            engine_busy_min: busy.iter().copied().fold(1.0, f64::min),
            refused_at_double_load: doubled.refused as f64,
            first_token_at_0_8_load: percentiles(&normal.first_token_us),
            token_gap_at_0_8_load: percentiles(&normal.token_gap_us),
            token_gap_at_saturation: percentiles(&saturated.token_gap_us),
            domain_lost_recovery_s: recovery_s(&domain_lost, WARM_UP_US, RECOVERED * remaining),
            domain_joins_recovery_s: recovery_s(
                &domain_joins,
                WARM_UP_US,
                RECOVERED * bound_tokens,
            ),
            half_of_entries_lost_recovery_s: recovery_s(
                &entries_lost,
                WARM_UP_US,
                RECOVERED * bound_tokens,
            ),
            outage_with_caller_retries_recovery_s: recovery_s(
                &outage,
                outage_end_us,
                RECOVERED * bound_tokens,
            ),
            slow_engine_throughput_to_bound: token_rate(&slow, WARM_UP_US, heal_us) / slow_bound,
            slow_engine_healed_recovery_s: recovery_s(&slow, heal_us, RECOVERED * bound_tokens),
        })
    }
}

impl ThroughputCommand {
    /// Runs every policy and prints the figures.
    pub fn run(self) -> eyre::Result<()> {
        let (upper, lower) = bound_requests_per_s(&rated_speeds())?;
        let mean = scenario::mean_answer_tokens();
        let count = if self.no_baselines {
            1
        } else {
            PolicyKind::ALL.len()
        };
        let policies: eyre::Result<Vec<PolicyFigures>> = PolicyKind::ALL[..count]
            .iter()
            .map(|&policy| {
                let runs = Runs {
                    seed: self.seed,
                    entries: self.entries,
                    policy,
                    bound: upper,
                };
                runs.figures()
            })
            .collect();
        let figures = Figures {
            clock: "virtual, moved by events only",
            seed: self.seed,
            entries: self.entries,
            bound_requests_per_s: upper,
            bound_tokens_per_s: upper * mean,
            bound_lower_tokens_per_s: lower * mean,
            policies: policies?,
        };
        let text = if self.json {
            serde_json::to_string(&figures)?
        } else {
            serde_json::to_string_pretty(&figures)?
        };
        println!("{text}");
        Ok(())
    }
}
