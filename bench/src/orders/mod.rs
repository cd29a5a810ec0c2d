//! Claims of idempotency keys: writes, waits and what an outage refuses.

mod report;
mod run;

use argh::FromArgs;

use self::report::OrdersReport;
use self::report::RunReport;
use self::run::Load;
use self::run::run;

/// The rates of calls that are measured, in calls a second.
const RATES: [u32; 4] = [10, 100, 1000, 4000];
/// The length of a run without an outage, in seconds of the paused clock.
const RUN_S: u64 = 60;
/// The length of the outage, in seconds of the paused clock.
const OUTAGE_S: u64 = 600;
/// The time before and after the outage, in seconds of the paused clock.
const AROUND_OUTAGE_S: u64 = 30;
/// The rate of calls of each kind in the run with an outage, in calls a second.
const OUTAGE_RATE: u32 = 20;

/// Measures claims of idempotency keys on a paused clock.
#[derive(FromArgs)]
#[argh(subcommand, name = "orders")]
pub struct OrdersCommand {
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

impl OrdersCommand {
    /// Runs the measurements and prints the report.
    pub fn run(&self) -> eyre::Result<()> {
        let report = measure()?;
        if self.json {
            println!("{}", serde_json::to_string_pretty(&report)?);
        } else {
            report.print();
        }
        Ok(())
    }
}

fn measure() -> eyre::Result<OrdersReport> {
    let mut rates = Vec::new();
    for rate in RATES {
        for by_shard in [true, false] {
            rates.push(run_paused(Load::steady(rate, RUN_S, by_shard))?);
        }
    }
    let with_key = Load::outage(OUTAGE_RATE, AROUND_OUTAGE_S, OUTAGE_S, true);
    let without_key = Load::outage(OUTAGE_RATE, AROUND_OUTAGE_S, OUTAGE_S, false);
    Ok(OrdersReport {
        clock: "paused",
        rates,
        outage_with_key: run_paused(with_key)?,
        outage_without_key: run_paused(without_key)?,
    })
}

fn run_paused(load: Load) -> eyre::Result<RunReport> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    runtime.block_on(run(load))
}
