//! What has been measured.

use hdrhistogram::Histogram;
use serde::Serialize;

/// The waits of calls, in milliseconds of the paused clock.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Waits {
    /// The number of calls.
    pub count: u64,
    /// The median.
    pub p50_ms: u64,
    /// The 95th percentile.
    pub p95_ms: u64,
    /// The longest.
    pub max_ms: u64,
}

impl Waits {
    /// Reads the waits from a histogram of milliseconds.
    pub fn new(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_ms: histogram.value_at_quantile(0.5),
            p95_ms: histogram.value_at_quantile(0.95),
            max_ms: histogram.max(),
        }
    }
}

/// The outcomes that callers were told.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Told {
    /// Calls that ran.
    pub completed: u64,
    /// Calls that did not run.
    pub not_run: u64,
    /// Calls of which nothing is known.
    pub unknown: u64,
}

/// The measurements of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// The rate of calls.
    pub orders_per_s: u32,
    /// Whether the calls of one shard go to one agent.
    pub by_shard: bool,
    /// Whether the calls carry a key.
    pub has_key: bool,
    /// What callers were told of calls outside the outage.
    pub told: Told,
    /// What callers were told of calls that began during the outage.
    pub told_in_outage: Told,
    /// The runs that the service counted.
    pub service_runs: u64,
    /// Writes to the key-value service a second, conflicts included.
    pub writes_per_s: f64,
    /// The largest number of writes in one second.
    pub max_writes_in_1_s: u64,
    /// Bytes written to the key-value service a second.
    pub write_bytes_per_s: f64,
    /// Reads of the key-value service a second.
    pub reads_per_s: f64,
    /// Writes that found another revision.
    pub conflicts: u64,
    /// The time from call to answer, outside the outage.
    pub waits: Waits,
    /// The time from call to answer during the outage.
    pub waits_in_outage: Waits,
    /// The time from the end of the outage to the first call that ran.
    pub recovery_ms: Option<u64>,
}

/// All measurements.
#[derive(Clone, Debug, Serialize)]
pub struct OrdersReport {
    /// The clock on which all times were taken.
    pub clock: &'static str,
    /// Runs at steady rates.
    pub rates: Vec<RunReport>,
    /// A run with an outage, in which every call carries a key.
    pub outage_with_key: RunReport,
    /// A run with an outage, in which no call carries a key.
    pub outage_without_key: RunReport,
}

impl OrdersReport {
    /// Prints the report as text.
    pub fn print(&self) {
        println!("all times are of a paused clock");
        for run in &self.rates {
            println!(
                "{:5} orders/s, by shard {:5}: {:6.1} writes/s (max {}), {:9.0} bytes/s, \
                 {} conflicts, wait p50 {} p95 {} max {} ms, {:?}",
                run.orders_per_s,
                run.by_shard,
                run.writes_per_s,
                run.max_writes_in_1_s,
                run.write_bytes_per_s,
                run.conflicts,
                run.waits.p50_ms,
                run.waits.p95_ms,
                run.waits.max_ms,
                run.told,
            );
        }
        for run in [&self.outage_with_key, &self.outage_without_key] {
            println!(
                "outage, key {}: before and after {:?}, during {:?}, wait p95 {} max {} ms, \
                 back after {:?} ms",
                run.has_key,
                run.told,
                run.told_in_outage,
                run.waits_in_outage.p95_ms,
                run.waits_in_outage.max_ms,
                run.recovery_ms,
            );
        }
    }
}
