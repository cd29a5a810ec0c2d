//! The report of every size.

use std::fmt;

use serde::Serialize;

use crate::fit::Fit;
use crate::fit::Point;
use crate::membership::sample::Sample;

/// The size of the fleet for which the slopes are worked out.
const FLEET_MEMBERS: f64 = 1200.0;

/// The measured sizes and the lines through them.
#[derive(Debug, Serialize)]
pub struct MembershipReport {
    /// What was measured.
    pub samples: Vec<Sample>,
    /// Messages that each idle member sends in a second, by members.
    pub idle_messages_per_s: Fit,
    /// Bytes that each idle member sends in a second, by members.
    pub idle_sent_bytes_per_s: Fit,
    /// Bytes that the busiest idle member receives in a second, by members.
    pub idle_max_received_bytes_per_s: Fit,
}

impl MembershipReport {
    /// Creates the report.
    pub fn new(samples: Vec<Sample>) -> eyre::Result<Self> {
        let fit = |name, unit, figure: fn(&Sample) -> f64| {
            let point = |sample: &Sample| Point {
                size: sample.members as f64,
                cost: figure(sample),
            };
            Fit::new(name, "members", unit, samples.iter().map(point).collect())
        };
        let messages = fit("messages sent", "messages/s", |sample| {
            sample.idle_messages_per_s
        })?;
        let sent = fit("bytes sent", "bytes/s", |sample| {
            sample.idle_sent_bytes_per_s
        })?;
        let received = fit("most bytes received", "bytes/s", |sample| {
            sample.idle_max_received_bytes_per_s
        })?;
        Ok(Self {
            samples,
            idle_messages_per_s: messages,
            idle_sent_bytes_per_s: sent,
            idle_max_received_bytes_per_s: received,
        })
    }
}

impl fmt::Display for MembershipReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for sample in &self.samples {
            write_sample(f, sample)?;
        }
        write_line(f, &self.idle_messages_per_s)?;
        write_line(f, &self.idle_sent_bytes_per_s)?;
        write_line(f, &self.idle_max_received_bytes_per_s)
    }
}

fn write_sample(f: &mut fmt::Formatter<'_>, sample: &Sample) -> fmt::Result {
    writeln!(f, "{} members:", sample.members)?;
    writeln!(
        f,
        "  idle: {:.1} messages/s and {:.0} bytes/s sent, at most {:.0} bytes/s received, {:.0} us/s",
        sample.idle_messages_per_s,
        sample.idle_sent_bytes_per_s,
        sample.idle_max_received_bytes_per_s,
        sample.idle_processor_us_per_s,
    )?;
    writeln!(
        f,
        "  crash: suspected after {} ms (at most {}), dead after {} ms (at most {})",
        sample.suspected_everywhere.p50_ms,
        sample.suspected_everywhere.max_ms,
        sample.dead_everywhere.p50_ms,
        sample.dead_everywhere.max_ms,
    )?;
    writeln!(
        f,
        "  leaving: known after {} ms (at most {}); a restart costs {:.0} bytes",
        sample.leaving_everywhere.p50_ms, sample.leaving_everywhere.max_ms, sample.restart_bytes,
    )?;
    writeln!(
        f,
        "  domain loss: known after {} ms, {:.0} bytes in 10 s",
        sample.domain_loss_known_ms, sample.domain_loss_bytes,
    )
}

fn write_line(f: &mut fmt::Formatter<'_>, line: &Fit) -> fmt::Result {
    let at_fleet = line.at(FLEET_MEMBERS);
    writeln!(
        f,
        "{}: {:.3} + {:.6} per member, {at_fleet:.1} {} at {FLEET_MEMBERS}",
        line.name, line.intercept, line.slope, line.cost_unit
    )
}
