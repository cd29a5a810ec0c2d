//! Text output of `losses` and `trace`.

use std::fmt::Write;

use jujubewall_diagnosis::losses::LossReport;
use jujubewall_diagnosis::losses::NamedCount;
use jujubewall_diagnosis::trace::TraceReport;

use crate::print::Render;
use crate::render::table::Table;

impl Render for LossReport {
    fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "lines {}, unreadable {}, dropped by processes {}, requests forgotten {}\n",
            self.lines, self.unreadable_lines, self.dropped_lines, self.forgotten
        );
        text.push_str(&causes(self));
        for (title, counts) in [
            ("SECOND", &self.seconds),
            ("DOMAIN", &self.domains),
            ("ROUTE", &self.routes),
            ("ACCOUNT", &self.accounts),
        ] {
            text.push('\n');
            text.push_str(&groups(title, counts));
        }
        text
    }
}

fn causes(report: &LossReport) -> String {
    let mut table = Table::new([
        "OUTCOME", "REASON", "REQUESTS", "P50_MS", "P90_MS", "EXAMPLES",
    ]);
    for count in &report.causes {
        table.push([
            count.cause.outcome.to_string(),
            count.cause.reason.to_string(),
            count.requests.to_string(),
            count.p50_ms.to_string(),
            count.p90_ms.to_string(),
            count.examples.join(" "),
        ]);
    }
    table.render()
}

fn groups(title: &str, counts: &[NamedCount]) -> String {
    let mut table = Table::new([title, "REQUESTS", "SERVED", "SLOW", "REJECTED", "FAILED"]);
    for NamedCount { name, count } in counts {
        table.push([
            name.to_string(),
            count.requests.to_string(),
            count.served.to_string(),
            count.slow.to_string(),
            count.rejected.to_string(),
            count.failed.to_string(),
        ]);
    }
    table.render()
}

impl Render for TraceReport {
    fn render(&self) -> String {
        let mut text = String::new();
        for line in &self.lines {
            let mark = if line.is_own { '*' } else { ' ' };
            let _ = writeln!(
                text,
                "{mark} {:.3} {} {}",
                line.time_s, line.process, line.text
            );
        }
        let _ = writeln!(
            text,
            "omitted {}, unreadable {}",
            self.omitted, self.unreadable_lines
        );
        text
    }
}
