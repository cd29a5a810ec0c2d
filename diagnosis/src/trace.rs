//! Collects the decisions that led to the end of one request.
//!
//! The request's own lines name the upstreams that it was sent to. The second pass adds what
//! the same gateway came to believe about these upstreams shortly before and, if the request
//! was rejected, what changed the capacity of the fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;
use smol_str::SmolStr;

use crate::line::LineFault;
use crate::line::LogLine;

/// How long before a request's first line its cause is looked for, in seconds.
const CAUSE_WINDOW_S: f64 = 8.0;

/// The largest number of lines of a trace; further ones are only counted.
const MAX_LINES: usize = 400;

/// The events that tell a gateway's belief about one upstream.
const BELIEF_EVENTS: &[&str] = &[
    "cleared",
    "health",
    "load",
    "paused",
    "says_leaving",
    "slowdown",
    "suspect",
    "upstream",
    "upstream_gone",
];

/// The events of the gateway itself that explain how it treats requests.
const GATEWAY_EVENTS: &[&str] = &[
    "drain",
    "planner",
    "start",
    "stop",
    "store_lost",
    "store_regained",
];

/// The events of any gateway that change the capacity of the fleet.
const CAPACITY_EVENTS: &[&str] = &["order", "order_settled", "planner"];

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TracedLine {
    /// The time in seconds, in the clock of the lines.
    pub time_s: f64,
    /// The process that wrote it.
    pub process: SmolStr,
    /// Whether the line belongs to the request itself.
    pub is_own: bool,
    /// What the process wrote.
    pub text: String,
}

/// The lines of a request, and those that explain them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TraceReport {
    /// The identifier of the request.
    pub id: SmolStr,
    /// The lines by time.
    pub lines: Vec<TracedLine>,
    /// The number of lines that were left out, since there were too many.
    pub omitted: u64,
    /// The number of lines that could not be read.
    pub unreadable_lines: u64,
}

/// The first pass: the request's own lines, and the addresses of all upstreams.
pub struct RequestScan {
    id: SmolStr,
    own: Vec<TracedLine>,
    /// The identifiers of upstreams by address.
    upstreams: BTreeMap<SmolStr, SmolStr>,
    unreadable_lines: u64,
}

impl RequestScan {
    /// Creates the scan for the request `id`.
    pub fn new(id: &str) -> Self {
        Self {
            id: SmolStr::new(id),
            own: Vec::new(),
            upstreams: BTreeMap::new(),
            unreadable_lines: 0,
        }
    }

    /// Adds a line of `process`.
    pub fn on_line(&mut self, process: &SmolStr, line: Result<LogLine<'_>, LineFault>) {
        let Ok(line) = line else {
            self.unreadable_lines += 1;
            return;
        };
        if line.event == "upstream"
            && let (Some(id), Some(address)) = (line.get("id"), line.get("address"))
        {
            let known = self.upstreams.get(address);
            if known.is_none_or(|known| known != id) {
                self.upstreams.insert(address.into(), id.into());
            }
        }
        if line.get("id") == Some(self.id.as_str()) && self.own.len() < MAX_LINES {
            self.own.push(TracedLine::new(process, &line, true));
        }
    }

    /// Returns the second pass; `None` if no line names the request.
    pub fn into_cause_scan(self) -> Option<CauseScan> {
        let first = self.own.iter().map(|line| line.time_s);
        let from_s = first.fold(f64::INFINITY, f64::min) - CAUSE_WINDOW_S;
        let last = self.own.iter().map(|line| line.time_s);
        let to_s = last.fold(f64::NEG_INFINITY, f64::max);
        let mut names = BTreeSet::new();
        let mut is_rejected = false;
        for own in &self.own {
            is_rejected |= own.text.contains("event=reject ");
            add_upstream_names(&own.text, &self.upstreams, &mut names);
        }
        let process = self.own.first()?.process.clone();
        Some(CauseScan {
            from_s,
            to_s,
            process,
            names,
            is_rejected,
            report: TraceReport {
                id: self.id,
                lines: self.own,
                omitted: 0,
                unreadable_lines: self.unreadable_lines,
            },
        })
    }
}

/// The second pass: the lines that explain the request's own.
pub struct CauseScan {
    from_s: f64,
    to_s: f64,
    process: SmolStr,
    /// The identifiers and addresses of the upstreams that the request was sent to.
    names: BTreeSet<SmolStr>,
    is_rejected: bool,
    report: TraceReport,
}

impl CauseScan {
    /// Adds a line of `process`.
    pub fn on_line(&mut self, process: &SmolStr, line: Result<LogLine<'_>, LineFault>) {
        let Ok(line) = line else { return };
        if line.time_s < self.from_s || line.time_s > self.to_s || !self.explains(process, &line) {
            return;
        }
        if self.report.lines.len() >= MAX_LINES {
            self.report.omitted += 1;
            return;
        }
        self.report
            .lines
            .push(TracedLine::new(process, &line, false));
    }

    fn explains(&self, process: &SmolStr, line: &LogLine<'_>) -> bool {
        if self.is_rejected && CAPACITY_EVENTS.contains(&line.event) {
            return true;
        }
        if *process != self.process {
            return false;
        }
        if GATEWAY_EVENTS.contains(&line.event) {
            return true;
        }
        let names = ["upstream", "id", "address"];
        BELIEF_EVENTS.contains(&line.event)
            && ((self.is_rejected && line.event != "load")
                || names
                    .iter()
                    .filter_map(|name| line.get(name))
                    .any(|name| self.names.contains(name)))
    }

    /// Returns the trace, its lines by time.
    pub fn into_report(mut self) -> TraceReport {
        self.report
            .lines
            .sort_by(|line, other| line.time_s.total_cmp(&other.time_s));
        self.report
    }
}

impl TracedLine {
    fn new(process: &SmolStr, line: &LogLine<'_>, is_own: bool) -> Self {
        Self {
            time_s: line.time_s,
            process: process.clone(),
            is_own,
            text: line.text.to_owned(),
        }
    }
}

/// Adds the identifiers and addresses of the upstreams that a request's line names.
fn add_upstream_names(
    text: &str,
    upstreams: &BTreeMap<SmolStr, SmolStr>,
    names: &mut BTreeSet<SmolStr>,
) {
    let Ok(line) = LogLine::parse(text) else {
        return;
    };
    let keys = ["upstream", "first"];
    names.extend(
        keys.iter()
            .filter_map(|key| line.get(key))
            .map(SmolStr::new),
    );
    let hops = line.get("path").unwrap_or_default().split(',');
    let addresses = hops.map(|hop| hop.split('=').next().unwrap_or_default());
    for address in addresses.chain(line.get("faulty")) {
        if address.is_empty() {
            continue;
        }
        names.insert(SmolStr::new(address));
        names.extend(upstreams.get(address).cloned());
    }
}
