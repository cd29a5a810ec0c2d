//! The time that the system adds to each hop, beside a raw QUIC echo.
//!
//! Both run on the real clock, over loopback and in one process. A hop is what
//! lies between an engine's answer and the next engine's call: the message, its
//! handling and the decisions. The engines' own calls are timed apart and
//! taken off.

mod echo;
mod pipeline;

use argh::FromArgs;
use hdrhistogram::Histogram;
use serde::Serialize;

use self::echo::measure_echo;
use self::pipeline::measure_pipeline;

/// The number of nanoseconds in a microsecond.
const NS_PER_US: f64 = 1_000.0;

/// The longest time that is told apart, in nanoseconds.
const MAX_TIME_NS: u64 = 60_000_000_000;

/// The number of significant digits that are kept of a time.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The ratio that the design allows.
const TARGET_RATIO: f64 = 2.0;

/// Measures the added time of a hop beside a raw QUIC echo.
#[derive(FromArgs)]
#[argh(subcommand, name = "overhead")]
pub struct OverheadCommand {
    /// the number of tokens of the measured answer
    #[argh(option, default = "2000")]
    tokens: usize,
    /// the number of stages of the pipeline, each at an agent of its own
    #[argh(option, default = "3")]
    stages: usize,
    /// the number of echoes
    #[argh(option, default = "2000")]
    echoes: usize,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Percentiles of a time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Times {
    /// The median.
    pub p50_us: f64,
    /// The 95th percentile.
    pub p95_us: f64,
    /// The number of samples.
    pub samples: u64,
}

/// The result of the measurement.
#[derive(Debug, Serialize)]
struct Overhead {
    clock: &'static str,
    stages: usize,
    echo_round_trip: Times,
    engine_call: Times,
    token_gap: Times,
    added_per_hop_p50_us: f64,
    ratio_to_echo: f64,
    target_ratio: f64,
    meets_target: bool,
}

impl Times {
    fn of(histogram: &Histogram<u64>) -> Self {
        let quantile = |quantile| histogram.value_at_quantile(quantile) as f64 / NS_PER_US;
        Self {
            p50_us: quantile(0.5),
            p95_us: quantile(0.95),
            samples: histogram.len(),
        }
    }
}

impl OverheadCommand {
    /// Runs the measurement.
    pub fn run(self) -> eyre::Result<()> {
        let runtime = tokio::runtime::Runtime::new()?;
        let overhead = runtime.block_on(self.measure())?;
        if self.json {
            println!("{}", serde_json::to_string_pretty(&overhead)?);
        } else {
            println!("{overhead:#?}");
        }
        Ok(())
    }

    async fn measure(&self) -> eyre::Result<Overhead> {
        let echo = Times::of(&measure_echo(self.echoes).await?);
        let pipeline = measure_pipeline(self.stages, self.tokens).await?;
        let token_gap = Times::of(&pipeline.token_gap);
        let engine_call = Times::of(&pipeline.engine_call);
        let stages = self.stages as f64;
        let added = (token_gap.p50_us - stages * engine_call.p50_us).max(0.0) / stages;
        let ratio = added / echo.p50_us;
        Ok(Overhead {
            clock: "real",
            stages: self.stages,
            echo_round_trip: echo,
            engine_call,
            token_gap,
            added_per_hop_p50_us: added,
            ratio_to_echo: ratio,
            target_ratio: TARGET_RATIO,
            meets_target: ratio <= TARGET_RATIO,
        })
    }
}

/// Creates a histogram of nanoseconds.
fn histogram() -> eyre::Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(
        1,
        MAX_TIME_NS,
        SIGNIFICANT_DIGITS,
    )?)
}

/// Records the time since `started`.
fn record(histogram: &mut Histogram<u64>, started: std::time::Instant) {
    let ns = u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
    histogram.saturating_record(ns.max(1));
}
