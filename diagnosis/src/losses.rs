//! Counts requests by outcome, cause, second, failure domain, route and client account.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use hdrhistogram::Histogram;
use serde::Serialize;
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::line::LineFault;
use crate::line::LogLine;
use crate::outcome::Cause;
use crate::outcome::Outcome;
use crate::outcome::RequestEnd;

/// The number of example identifiers of a cause.
const EXAMPLES: usize = 2;

/// The largest number of requests whose end is awaited; the oldest ones are forgotten first.
const MAX_OPEN: usize = 200_000;

/// The largest number of names in one grouping; further ones are counted together.
const MAX_NAMES: usize = 10_000;

/// The name under which requests are counted whose line lacks it, or that exceed
/// [`MAX_NAMES`].
const OTHER: &str = "other";

/// The largest time that is told apart, in milliseconds.
const MAX_TIME_MS: u64 = 3_600_000;

/// A span of time in seconds, in the clock of the lines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Span {
    /// The first moment.
    pub from_s: f64,
    /// The moment at which it ends.
    pub to_s: f64,
}

impl Span {
    /// The span that holds every line.
    pub const ALL: Self = Self {
        from_s: f64::NEG_INFINITY,
        to_s: f64::INFINITY,
    };

    /// Returns whether a moment lies in the span.
    pub fn contains(&self, time_s: f64) -> bool {
        (self.from_s..self.to_s).contains(&time_s)
    }
}

/// The requests of one group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct GroupCount {
    /// All requests.
    pub requests: u64,
    /// Those that were answered as fast as their route wants.
    pub served: u64,
    /// Those that were answered later than that, or with a longer pause.
    pub slow: u64,
    /// Those that were rejected without having run.
    pub rejected: u64,
    /// Those that ended in any other way through the system or its upstreams.
    pub failed: u64,
}

impl GroupCount {
    fn add(&mut self, outcome: Outcome) {
        self.requests += 1;
        match outcome {
            Outcome::Served => self.served += 1,
            Outcome::Rejected => self.rejected += 1,
            outcome if outcome.is_answered() => self.slow += 1,
            outcome if outcome.is_loss() => self.failed += 1,
            _ => {}
        }
    }
}

/// The requests of one cause.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CauseCount {
    /// The cause.
    #[serde(flatten)]
    pub cause: Cause,
    /// The number of requests.
    pub requests: u64,
    /// The median of the time that counts for the outcome, in milliseconds.
    pub p50_ms: u64,
    /// The time that nine of ten requests do not exceed, in milliseconds.
    pub p90_ms: u64,
    /// Identifiers of some of the requests.
    pub examples: SmallVec<[SmolStr; EXAMPLES]>,
}

/// The requests of one group with its name.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NamedCount {
    /// The name of the group.
    pub name: SmolStr,
    /// Its requests.
    #[serde(flatten)]
    pub count: GroupCount,
}

/// How the requests of a span ended.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LossReport {
    /// All requests.
    pub total: GroupCount,
    /// By cause, most requests first.
    pub causes: Vec<CauseCount>,
    /// By the second in which they ended.
    pub seconds: Vec<NamedCount>,
    /// By the failure domain of the gateway.
    pub domains: Vec<NamedCount>,
    /// By route.
    pub routes: Vec<NamedCount>,
    /// By client account.
    pub accounts: Vec<NamedCount>,
    /// The number of lines that were read.
    pub lines: u64,
    /// The number of lines that could not be read.
    pub unreadable_lines: u64,
    /// The number of lines that processes say they have dropped.
    pub dropped_lines: u64,
    /// The number of requests whose end was no longer awaited, since too many were open.
    pub forgotten: u64,
}

/// The times and examples of one cause.
struct CauseTally {
    times_ms: Histogram<u64>,
    examples: SmallVec<[SmolStr; EXAMPLES]>,
}

impl CauseTally {
    fn new() -> Self {
        let times_ms =
            Histogram::new_with_max(MAX_TIME_MS, 2).expect("the bounds are constants that fit");
        Self {
            times_ms,
            examples: SmallVec::new(),
        }
    }
}

/// The requests that a process has sent and not ended.
#[derive(Default)]
struct OpenRequests {
    domain: SmolStr,
    ids: HashMap<SmolStr, f64>,
}

/// Counts the requests of log lines, which each process has written in order.
pub struct LossTally {
    span: Span,
    total: GroupCount,
    causes: BTreeMap<Cause, CauseTally>,
    seconds: BTreeMap<i64, GroupCount>,
    domains: BTreeMap<SmolStr, GroupCount>,
    routes: BTreeMap<SmolStr, GroupCount>,
    accounts: BTreeMap<SmolStr, GroupCount>,
    open: HashMap<SmolStr, OpenRequests>,
    opened: VecDeque<(SmolStr, SmolStr)>,
    lines: u64,
    unreadable_lines: u64,
    dropped_lines: u64,
    forgotten: u64,
}

impl LossTally {
    /// Creates a tally of the requests that end within `span`.
    pub fn new(span: Span) -> Self {
        Self {
            span,
            total: GroupCount::default(),
            causes: BTreeMap::new(),
            seconds: BTreeMap::new(),
            domains: BTreeMap::new(),
            routes: BTreeMap::new(),
            accounts: BTreeMap::new(),
            open: HashMap::new(),
            opened: VecDeque::new(),
            lines: 0,
            unreadable_lines: 0,
            dropped_lines: 0,
            forgotten: 0,
        }
    }

    /// Adds a line of `process`.
    pub fn on_line(&mut self, process: &SmolStr, line: Result<LogLine<'_>, LineFault>) {
        self.lines += 1;
        let Ok(line) = line else {
            self.unreadable_lines += 1;
            return;
        };
        match line.event {
            "start" => self.on_start(process, &line),
            "path" | "send" => self.on_send(process, &line),
            "end" => self.on_end(process, &line),
            "reject" => self.on_reject(process, &line),
            "refuse" => self.on_refuse(process, &line),
            "log_lines_dropped" => {
                self.dropped_lines += line.number::<u64>("count").unwrap_or_default();
            }
            _ => {}
        }
    }

    /// A process that starts has lost the requests of its life before.
    fn on_start(&mut self, process: &SmolStr, line: &LogLine<'_>) {
        let open = self.open.entry(process.clone()).or_default();
        open.domain = SmolStr::new(line.get("domain").unwrap_or(OTHER));
        let lost: Vec<(SmolStr, f64)> = open.ids.drain().collect();
        for (id, sent_s) in lost {
            let end = RequestEnd {
                cause: Cause::new(Outcome::GatewayEnded, "the process started again"),
                time_ms: 0,
            };
            self.count(process, sent_s, &id, &end, None, None);
        }
    }

    fn on_send(&mut self, process: &SmolStr, line: &LogLine<'_>) {
        let Some(id) = line.get("id") else { return };
        let open = self.open.entry(process.clone()).or_default();
        let id = SmolStr::new(id);
        if open.ids.insert(id.clone(), line.time_s).is_some() {
            return;
        }
        self.opened.push_back((process.clone(), id));
        if self.opened.len() > MAX_OPEN
            && let Some((process, id)) = self.opened.pop_front()
            && let Some(open) = self.open.get_mut(&process)
            && open.ids.remove(&id).is_some()
        {
            self.forgotten += 1;
        }
    }

    fn on_end(&mut self, process: &SmolStr, line: &LogLine<'_>) {
        let id = line.get("id").unwrap_or_default();
        if let Some(open) = self.open.get_mut(process) {
            open.ids.remove(id);
        }
        let end = RequestEnd::from_end(line);
        let (route, account) = (line.get("route"), line.get("account"));
        self.count(process, line.time_s, id, &end, route, account);
    }

    /// Counts a request that was rejected before it had a route; the others have an `end`.
    fn on_reject(&mut self, process: &SmolStr, line: &LogLine<'_>) {
        if line.get("stage") != Some("accept") {
            return;
        }
        self.count_unrouted(process, line, Outcome::Rejected);
    }

    fn on_refuse(&mut self, process: &SmolStr, line: &LogLine<'_>) {
        self.count_unrouted(process, line, Outcome::Refused);
    }

    fn count_unrouted(&mut self, process: &SmolStr, line: &LogLine<'_>, outcome: Outcome) {
        let id = line.get("id").unwrap_or_default();
        let end = RequestEnd {
            cause: Cause::new(outcome, line.get("reason").unwrap_or_default()),
            time_ms: 0,
        };
        self.count(process, line.time_s, id, &end, None, None);
    }

    fn count(
        &mut self,
        process: &SmolStr,
        time_s: f64,
        id: &str,
        end: &RequestEnd,
        route: Option<&str>,
        account: Option<&str>,
    ) {
        if !self.span.contains(time_s) {
            return;
        }
        let outcome = end.cause.outcome;
        self.total.add(outcome);
        let tally = self.causes.entry(end.cause.clone());
        let tally = tally.or_insert_with(CauseTally::new);
        tally.times_ms.saturating_record(end.time_ms);
        if tally.examples.len() < EXAMPLES {
            tally.examples.push(SmolStr::new(id));
        }
        // Log times are far below the range of whole numbers.
        #[expect(clippy::cast_possible_truncation)]
        let second = time_s.floor() as i64;
        self.seconds.entry(second).or_default().add(outcome);
        let domain = self.open.get(process).map(|open| open.domain.clone());
        add_named(&mut self.domains, domain.as_deref(), outcome);
        add_named(&mut self.routes, route, outcome);
        add_named(&mut self.accounts, account, outcome);
    }

    /// Returns the report of all lines so far.
    pub fn report(&self) -> LossReport {
        let mut causes: Vec<CauseCount> = self
            .causes
            .iter()
            .map(|(cause, tally)| CauseCount {
                cause: cause.clone(),
                requests: tally.times_ms.len(),
                p50_ms: tally.times_ms.value_at_quantile(0.5),
                p90_ms: tally.times_ms.value_at_quantile(0.9),
                examples: tally.examples.clone(),
            })
            .collect();
        causes.sort_by_key(|count| std::cmp::Reverse(count.requests));
        let seconds = self.seconds.iter().map(|(second, count)| NamedCount {
            name: SmolStr::new(second.to_string()),
            count: *count,
        });
        LossReport {
            total: self.total,
            causes,
            seconds: seconds.collect(),
            domains: named_counts(&self.domains),
            routes: named_counts(&self.routes),
            accounts: named_counts(&self.accounts),
            lines: self.lines,
            unreadable_lines: self.unreadable_lines,
            dropped_lines: self.dropped_lines,
            forgotten: self.forgotten,
        }
    }
}

fn add_named(groups: &mut BTreeMap<SmolStr, GroupCount>, name: Option<&str>, outcome: Outcome) {
    let name = name.filter(|name| !name.is_empty()).unwrap_or(OTHER);
    let has_place = groups.len() < MAX_NAMES || groups.contains_key(name);
    let name = SmolStr::new(if has_place { name } else { OTHER });
    groups.entry(name).or_default().add(outcome);
}

fn named_counts(groups: &BTreeMap<SmolStr, GroupCount>) -> Vec<NamedCount> {
    let named = groups.iter().map(|(name, count)| NamedCount {
        name: name.clone(),
        count: *count,
    });
    named.collect()
}
