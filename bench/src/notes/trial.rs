//! The trials that one fleet goes through.

use std::time::Duration;

use eyre::Result;
use hdrhistogram::Histogram;
use jujubewall_testutils::key_value::Outage;
use serde::Serialize;
use tokio::time::Instant;

use crate::notes::fleet::Fleet;

/// The pause between two notes.
const NOTE_INTERVAL: Duration = Duration::from_millis(500);

/// The time after which no watch that began before a fault is still held.
const WATCHES_RENEWED: Duration = Duration::from_secs(6);

/// The number of clock ticks a second in which the kernel counts processor time.
const TICKS_PER_S: f64 = 100.0;

/// Quantiles of a time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Quantiles {
    /// The number of times, one for each member and note.
    pub samples: u64,
    /// Half of the times are at most this long.
    pub p50_ms: f64,
    /// Ninety-nine in a hundred times are at most this long.
    pub p99_ms: f64,
    /// The longest time.
    pub max_ms: f64,
}

/// What something costs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cost {
    /// Reads of the service, a watch being one.
    pub service_reads: f64,
    /// Writes of the service.
    pub service_writes: f64,
    /// The bytes of the values that cross to the service and back.
    pub service_bytes: f64,
    /// Messages that one member sends.
    pub messages_per_node: f64,
    /// The bytes of those messages, without what QUIC adds.
    pub bytes_per_node: f64,
    /// The processor time that one member takes, with all that QUIC adds.
    pub cpu_ms_per_node: f64,
}

/// Counters at one time.
#[derive(Clone, Copy, Debug)]
struct Reading {
    reads: u64,
    writes: u64,
    service_bytes: u64,
    messages: u64,
    bytes: u64,
    cpu_ms: f64,
}

impl Reading {
    fn new(fleet: &Fleet) -> Self {
        let counts = fleet.service.inner().counts();
        Self {
            reads: counts.reads(),
            writes: counts.writes(),
            service_bytes: fleet.service.bytes(),
            messages: fleet.traffic.messages(),
            bytes: fleet.traffic.bytes(),
            cpu_ms: processor_time_ms(),
        }
    }

    /// Divides what was spent since `earlier` by `units`.
    fn cost_since(&self, earlier: &Self, fleet: &Fleet, units: f64) -> Cost {
        let nodes = fleet.len() as f64;
        Cost {
            service_reads: (self.reads - earlier.reads) as f64 / units,
            service_writes: (self.writes - earlier.writes) as f64 / units,
            service_bytes: (self.service_bytes - earlier.service_bytes) as f64 / units,
            messages_per_node: (self.messages - earlier.messages) as f64 / nodes / units,
            bytes_per_node: (self.bytes - earlier.bytes) as f64 / nodes / units,
            cpu_ms_per_node: (self.cpu_ms - earlier.cpu_ms) / nodes / units,
        }
    }
}

/// Measures the cost of a second without notes.
pub async fn idle(fleet: &Fleet, time: Duration) -> Cost {
    let before = Reading::new(fleet);
    tokio::time::sleep(time).await;
    Reading::new(fleet).cost_since(&before, fleet, time.as_secs_f64())
}

/// Measures notes while the service works; returns the cost of one, idle cost included.
pub async fn with_service(fleet: &mut Fleet, notes: u32) -> Result<(Quantiles, Cost)> {
    let mut times = new_histogram()?;
    let before = Reading::new(fleet);
    for _ in 0..notes {
        let started_at = Instant::now();
        let revision = fleet.change_account().await?;
        fleet.announce().await;
        record(&mut times, &fleet.wait_for(revision).await?)?;
        tokio::time::sleep_until(started_at + NOTE_INTERVAL).await;
    }
    let cost = Reading::new(fleet).cost_since(&before, fleet, notes.into());
    Ok((quantiles(&times), cost))
}

/// Measures notes after whose acceptance the service is lost, and that no watch has seen.
pub async fn with_service_lost(fleet: &mut Fleet, notes: u32) -> Result<Quantiles> {
    let mut times = new_histogram()?;
    let service = fleet.service.inner().clone();
    service.set_faults(|faults| faults.silent_watches = true);
    tokio::time::sleep(WATCHES_RENEWED).await;
    for _ in 0..notes {
        let revision = fleet.change_account().await?;
        service.set_faults(|faults| faults.outage = Outage::Refusing);
        fleet.announce().await;
        record(&mut times, &fleet.wait_for(revision).await?)?;
        service.set_faults(|faults| faults.outage = Outage::None);
    }
    service.set_faults(|faults| faults.silent_watches = false);
    Ok(quantiles(&times))
}

/// Returns the quantiles of `times`.
pub fn quantiles_of(times: &[Duration]) -> Result<Quantiles> {
    let mut histogram = new_histogram()?;
    record(&mut histogram, times)?;
    Ok(quantiles(&histogram))
}

fn new_histogram() -> Result<Histogram<u64>> {
    Ok(Histogram::new(3)?)
}

fn record(histogram: &mut Histogram<u64>, times: &[Duration]) -> Result<()> {
    for time in times {
        histogram.record(u64::try_from(time.as_micros())?)?;
    }
    Ok(())
}

fn quantiles(times: &Histogram<u64>) -> Quantiles {
    let to_ms = |micros: u64| micros as f64 / 1000.0;
    Quantiles {
        samples: times.len(),
        p50_ms: to_ms(times.value_at_quantile(0.5)),
        p99_ms: to_ms(times.value_at_quantile(0.99)),
        max_ms: to_ms(times.max()),
    }
}

/// Returns the processor time of this process, or zero where the kernel does not tell.
fn processor_time_ms() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let user_and_system = after_name.split_whitespace().skip(11).take(2);
    let ticks: f64 = user_and_system
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_S * 1000.0
}
