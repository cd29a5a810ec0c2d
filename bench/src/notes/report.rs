//! Slopes over the number of members, and what they give at fleet size.

use serde::Serialize;

use crate::fit;
use crate::fit::Fit;
use crate::notes::trial::Cost;
use crate::notes::trial::Quantiles;

/// The number of nodes that the projection is for.
pub const PROJECTED_NODES: f64 = 1_200.0;

/// The number of failure domains that the projection is for.
pub const PROJECTED_DOMAINS: f64 = 7.0;

/// The number of changes a day that the projection is for.
pub const PROJECTED_CHANGES_PER_DAY: f64 = 2_600.0;

/// The seconds in a day.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// The reads a second that the service handles.
const SERVICE_READS_PER_S: f64 = 2_000.0;

/// The writes a second that the service handles.
const SERVICE_WRITES_PER_S: f64 = 400.0;

/// What was measured with one number of members.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// The members.
    pub nodes: usize,
    /// The failure domains.
    pub failure_domains: usize,
    /// The client accounts in the configuration.
    pub accounts: u32,
    /// The upstreams in the configuration.
    pub upstreams: u32,
    /// The first note, which holds the whole configuration.
    pub first_note: Quantiles,
    /// The time from acceptance to in force, with the service.
    pub in_force: Quantiles,
    /// The time from acceptance to in force, with the service lost right after it.
    pub in_force_service_lost: Quantiles,
    /// The cost of one second without notes.
    pub idle_per_s: Cost,
    /// The cost of one note that changes one account, idle cost included.
    pub per_change: Cost,
}

/// What the points give for the whole fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Projection {
    /// The nodes.
    pub nodes: f64,
    /// The 99th percentile of the time to in force, by the number of nodes.
    pub in_force_p99_ms: Fit,
    /// Its value for the fleet.
    pub projected_in_force_p99_ms: f64,
    /// The same with the service lost right after acceptance.
    pub in_force_service_lost_p99_ms: Fit,
    /// Its value for the fleet.
    pub projected_in_force_service_lost_p99_ms: f64,
    /// Reads of the service in an idle second, by the number of nodes.
    pub idle_reads_per_s: Fit,
    /// Its value for the fleet, scaled to its failure domains.
    pub projected_reads_per_s: f64,
    /// The share of the service's reads.
    pub projected_read_share: f64,
    /// The writes of the service for all changes of a day.
    pub projected_writes_per_s: f64,
    /// The share of the service's writes.
    pub projected_write_share: f64,
    /// Bytes that a node sends in an idle second, by the number of nodes.
    pub idle_bytes_per_node_per_s: Fit,
    /// Bytes that a node sends for one change, by the number of nodes.
    pub bytes_per_node_per_change: Fit,
    /// The bytes that a node sends a second, with all changes of a day.
    pub projected_bytes_per_node_per_s: f64,
}

/// All results.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The time in which the service answers a call.
    pub service_delay_ms: u64,
    /// The results by number of members.
    pub points: Vec<Point>,
    /// The results with a configuration of fleet size.
    pub fleet_configuration: Option<Point>,
    /// What the points give for the whole fleet.
    pub projection: Projection,
}

impl Projection {
    /// Projects from `points`.
    pub fn new(points: &[Point]) -> eyre::Result<Self> {
        let line = |name, unit, value: fn(&Point) -> f64| {
            let measured = |point: &Point| fit::Point {
                size: point.nodes as f64,
                cost: value(point),
            };
            Fit::new(name, "nodes", unit, points.iter().map(measured).collect())
        };
        let changes_per_s = PROJECTED_CHANGES_PER_DAY / SECONDS_PER_DAY;
        let domains = points
            .first()
            .map_or(1.0, |point| point.failure_domains as f64);
        let in_force = line("in force, p99", "ms", |point| point.in_force.p99_ms)?;
        let service_lost = line("in force with the service lost, p99", "ms", |point| {
            point.in_force_service_lost.p99_ms
        })?;
        let reads = line("idle reads", "reads/s", |point| {
            point.idle_per_s.service_reads
        })?;
        let reads_per_change = line("reads for a change", "reads", |point| {
            point.per_change.service_reads
        })?;
        let writes_per_change = line("writes for a change", "writes", |point| {
            point.per_change.service_writes
        })?;
        let bytes = line("idle bytes of a node", "bytes/s", |point| {
            point.idle_per_s.bytes_per_node
        })?;
        let bytes_per_change = line("bytes of a node for a change", "bytes", |point| {
            point.per_change.bytes_per_node
        })?;
        let idle_reads = reads.at(PROJECTED_NODES) / domains * PROJECTED_DOMAINS;
        let change_reads = reads_per_change.at(PROJECTED_NODES) / domains * PROJECTED_DOMAINS;
        let projected_reads_per_s = idle_reads + change_reads * changes_per_s;
        let projected_writes_per_s = writes_per_change.at(PROJECTED_NODES) * changes_per_s;
        let change_bytes = bytes_per_change.at(PROJECTED_NODES) * changes_per_s;
        Ok(Self {
            nodes: PROJECTED_NODES,
            projected_in_force_p99_ms: in_force.at(PROJECTED_NODES),
            in_force_p99_ms: in_force,
            projected_in_force_service_lost_p99_ms: service_lost.at(PROJECTED_NODES),
            in_force_service_lost_p99_ms: service_lost,
            idle_reads_per_s: reads,
            projected_reads_per_s,
            projected_read_share: projected_reads_per_s / SERVICE_READS_PER_S,
            projected_writes_per_s,
            projected_write_share: projected_writes_per_s / SERVICE_WRITES_PER_S,
            projected_bytes_per_node_per_s: bytes.at(PROJECTED_NODES) + change_bytes,
            idle_bytes_per_node_per_s: bytes,
            bytes_per_node_per_change: bytes_per_change,
        })
    }
}
