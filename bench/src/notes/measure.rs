//! The subcommand that runs the trials.

use std::time::Duration;

use argh::FromArgs;
use eyre::Result;
use eyre::ensure;

use crate::notes::fleet::ConfigurationSize;
use crate::notes::fleet::Fleet;
use crate::notes::report::Point;
use crate::notes::report::Projection;
use crate::notes::report::Report;
use crate::notes::trial;

/// The configuration of today.
const TODAY: ConfigurationSize = ConfigurationSize {
    accounts: 20,
    upstreams: 86,
    models: 2,
};

/// The configuration of the large fleet.
const FLEET: ConfigurationSize = ConfigurationSize {
    accounts: 2_500,
    upstreams: 4_100,
    models: 17,
};

/// The number of members with which the configuration of the large fleet is measured.
const FLEET_CONFIGURATION_NODES: usize = 50;

/// The time for members to connect before anything is measured.
const WARM_UP: Duration = Duration::from_secs(3);

/// The time over which the idle cost is measured.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Measures the time from a note's acceptance to in force everywhere, and its cost.
#[derive(FromArgs)]
#[argh(subcommand, name = "notes")]
pub struct NotesCommand {
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
    /// the numbers of members, by default 12, 50, 100 and 200
    #[argh(option)]
    nodes: Vec<usize>,
    /// the number of failure domains, by default 6
    #[argh(option, default = "6")]
    failure_domains: usize,
    /// the number of notes in each trial, by default 30
    #[argh(option, default = "30")]
    notes: u32,
    /// the time in which the service answers, by default 2
    #[argh(option, default = "2")]
    service_delay_ms: u64,
}

impl NotesCommand {
    /// Runs the trials and prints the report.
    pub fn run(self) -> Result<()> {
        ensure!(self.failure_domains > 0, "there must be a failure domain");
        let runtime = tokio::runtime::Runtime::new()?;
        let report = runtime.block_on(self.measure())?;
        if self.json {
            println!("{}", serde_json::to_string_pretty(&report)?);
        } else {
            print(&report);
        }
        Ok(())
    }

    async fn measure(&self) -> Result<Report> {
        let sizes: &[usize] = if self.nodes.is_empty() {
            &[12, 50, 100, 200]
        } else {
            &self.nodes
        };
        let mut points = Vec::new();
        for size in sizes {
            points.push(self.measure_point(*size, TODAY).await?);
        }
        let fleet_configuration = self.measure_point(FLEET_CONFIGURATION_NODES, FLEET).await?;
        Ok(Report {
            service_delay_ms: self.service_delay_ms,
            projection: Projection::new(&points)?,
            points,
            fleet_configuration: Some(fleet_configuration),
        })
    }

    async fn measure_point(&self, size: usize, configuration: ConfigurationSize) -> Result<Point> {
        let delay = Duration::from_millis(self.service_delay_ms);
        let mut fleet = Fleet::start(size, self.failure_domains, delay).await?;
        tokio::time::sleep(WARM_UP).await;
        let first_note = trial::quantiles_of(&fleet.build(configuration).await?)?;
        tokio::time::sleep(WARM_UP).await;
        let idle_per_s = trial::idle(&fleet, IDLE_TIME).await;
        let (in_force, per_change) = trial::with_service(&mut fleet, self.notes).await?;
        let in_force_service_lost = trial::with_service_lost(&mut fleet, self.notes).await?;
        fleet.stop().await;
        Ok(Point {
            nodes: size,
            failure_domains: self.failure_domains,
            accounts: configuration.accounts,
            upstreams: configuration.upstreams,
            first_note,
            in_force,
            in_force_service_lost,
            idle_per_s,
            per_change,
        })
    }
}

fn print(report: &Report) {
    for point in report.points.iter().chain(&report.fleet_configuration) {
        println!(
            "{} nodes, {} upstreams: in force p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms; \
             with the service lost p99 {:.1} ms; idle {:.1} reads/s, {:.0} bytes/s per node; \
             per change {:.1} reads, {:.1} writes, {:.0} bytes per node",
            point.nodes,
            point.upstreams,
            point.in_force.p50_ms,
            point.in_force.p99_ms,
            point.in_force.max_ms,
            point.in_force_service_lost.p99_ms,
            point.idle_per_s.service_reads,
            point.idle_per_s.bytes_per_node,
            point.per_change.service_reads,
            point.per_change.service_writes,
            point.per_change.bytes_per_node,
        );
    }
    let projection = &report.projection;
    println!(
        "{} nodes, projected: in force p99 {:.0} ms, with the service lost {:.0} ms, \
         {:.1} reads/s, {:.2} writes/s, {:.0} bytes/s per node",
        projection.nodes,
        projection.projected_in_force_p99_ms,
        projection.projected_in_force_service_lost_p99_ms,
        projection.projected_reads_per_s,
        projection.projected_writes_per_s,
        projection.projected_bytes_per_node_per_s,
    );
}
