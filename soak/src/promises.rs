//! What clients and runners have to see, whatever fails.
//!
//! The checks read a history of what clients sent and got and what runners ran. They
//! know nothing of how the gateways work.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

use tokio::time::Instant;

/// The statuses that promise that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The statuses that HTTP defines.
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;

/// The status of a request whose key is unknown.
const UNKNOWN_KEY: u16 = 401;

/// The status of a request whose head is too large.
const HEAD_TOO_LARGE: u16 = 431;

/// The runners at which the routes allow a request to run.
const MAX_ATTEMPTS: usize = 2;

/// The requests that may run at more runners, by the platform's rules.
const MAX_EXCEEDING: usize = 3;

/// What a request is for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// A stream, which may be resumed at another engine.
    Stream,
    /// A call that may run once at most.
    Order,
    /// A call that may run more than once.
    Stock,
}

/// What a client got.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer.
    Answer {
        /// The status.
        status: u16,
        /// Whether the body is the whole body that runners give.
        is_whole: bool,
        /// Whether the answer names the request and the runner that gave it.
        is_own: bool,
    },
    /// The connection ended without a whole answer.
    Broken,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The identifier.
    pub id: String,
    /// What it is for.
    pub kind: Kind,
    /// The client's key.
    pub key: &'static str,
    /// The life of the gateway to which it was sent.
    pub gateway_life: u64,
    /// When it was sent.
    pub at: Instant,
    /// Whether the gateway and the store had been undisturbed for a while.
    pub is_calm: bool,
    /// When the gateway or the store was disturbed after that, until the answer.
    pub disturbed_at: Option<Instant>,
    /// Whether nothing but planned work touched the gateway until the answer.
    pub is_planned_only: bool,
    /// What the client got.
    pub outcome: Outcome,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request's identifier.
    pub id: String,
    /// The runner.
    pub runner: String,
    /// When it began.
    pub at: Instant,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The requests, in the order of their ends.
    pub sent: Vec<Sent>,
    /// The runs, in their order.
    pub runs: Vec<Run>,
    /// When runners said that they leave.
    pub drained: HashMap<String, Instant>,
    /// When runners ended, which may have come back under their names.
    pub ended: Vec<(String, Instant)>,
    /// When keys were taken away.
    pub revoked: HashMap<&'static str, Instant>,
}

/// The bounds that the platform states.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The time after which a leaving runner gets no request.
    pub drain: Duration,
    /// The time after which a configuration is in force.
    pub config_apply: Duration,
    /// The repeated runs allowed for each request.
    pub retry_ratio: f64,
    /// The repeated runs allowed beside the ratio.
    pub retry_burst: u32,
    /// The span over which both are counted.
    pub retry_window: Duration,
}

/// A promise that was not kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Broken {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

/// The promises.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
    /// Answers are whole, and of the right request.
    WholeAnswers,
    /// An order runs once at most.
    AtMostOnce,
    /// A request that is said not to have run has not, and does not later.
    TrueNotRun,
    /// A leaving runner gets no request.
    Drained,
    /// A key that was taken away opens nothing, and never again at one gateway.
    RevokedKeys,
    /// What every configuration allows is not refused.
    AllowedServed,
    /// Repeated runs keep to their budget.
    RetryBudget,
    /// A request runs at no more runners than its route allows.
    MaxAttempts,
    /// Planned work cuts no request that has run.
    NothingCut,
    /// All is served again soon after everything has failed.
    Recovery,
}

impl fmt::Display for Broken {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:?}: {}", self.promise, self.seen)
    }
}

/// Returns the promises that a history breaks.
pub fn check(history: &History, bounds: &Bounds) -> Vec<Broken> {
    let mut broken = Vec::new();
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &history.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    for sent in &history.sent {
        let ran = runs.get(sent.id.as_str()).map_or(0, Vec::len);
        check_answer(sent, ran, &mut broken);
    }
    check_drained(history, bounds, &mut broken);
    check_keys(history, bounds, &mut broken);
    check_budget(history, bounds, &mut broken);
    check_attempts(&runs, history, &mut broken);
    broken
}

fn check_answer(sent: &Sent, ran: usize, broken: &mut Vec<Broken>) {
    let mut note = |promise, seen: &str| {
        let seen = format!("{seen}: {sent:?}, ran {ran} times");
        broken.push(Broken { promise, seen });
    };
    if sent.kind == Kind::Order && ran > 1 {
        note(Promise::AtMostOnce, "an order ran again");
    }
    match &sent.outcome {
        Outcome::Answer {
            status,
            is_whole,
            is_own,
        } => {
            if *status == 200 && !(*is_whole && *is_own) {
                note(Promise::WholeAnswers, "a success is not the runner's");
            }
            if !VALID_STATUSES.contains(status) {
                note(Promise::WholeAnswers, "HTTP does not define the status");
            }
            if sent.kind == Kind::Order && NOT_RUN_STATUSES.contains(status) && ran > 0 {
                note(Promise::TrueNotRun, "an order ran that was said not to");
            }
            if matches!(*status, 403 | 404) {
                note(Promise::AllowedServed, "a known route is refused");
            }
            if *status == HEAD_TOO_LARGE && sent.is_calm {
                note(Promise::AllowedServed, "a head within the limit is refused");
            }
        }
        Outcome::Broken if sent.is_planned_only && ran > 0 => {
            note(Promise::NothingCut, "planned work cut a request");
        }
        Outcome::Broken => {}
    }
}

/// Checks the runs at leaving runners that gateways in touch with the store began; the
/// others need not have learned that the runner leaves. A gateway may lose touch between a
/// request and its next run.
fn check_drained(history: &History, bounds: &Bounds, broken: &mut Vec<Broken>) {
    let calm = history.sent.iter().filter(|sent| sent.is_calm);
    let calm: HashMap<&str, Option<Instant>> = calm
        .map(|sent| (sent.id.as_str(), sent.disturbed_at))
        .collect();
    for run in &history.runs {
        let Some(disturbed_at) = calm.get(run.id.as_str()) else {
            continue;
        };
        if disturbed_at.is_some_and(|at| run.at > at) {
            continue;
        }
        let drained = history.drained.get(&run.runner);
        if drained.is_some_and(|at| run.at > *at + bounds.drain) {
            broken.push(Broken {
                promise: Promise::Drained,
                seen: format!("{} ran at leaving {}", run.id, run.runner),
            });
        }
    }
}

fn check_keys(history: &History, bounds: &Bounds, broken: &mut Vec<Broken>) {
    let mut refused_at: BTreeMap<(u64, &str), Instant> = BTreeMap::new();
    for sent in &history.sent {
        let Outcome::Answer { status, .. } = sent.outcome else {
            continue;
        };
        if status != UNKNOWN_KEY {
            continue;
        }
        let first = refused_at
            .entry((sent.gateway_life, sent.key))
            .or_insert(sent.at);
        *first = sent.at.min(*first);
        if !history.revoked.contains_key(sent.key) {
            broken.push(Broken {
                promise: Promise::AllowedServed,
                seen: format!("a valid key is refused: {sent:?}"),
            });
        }
    }
    for sent in &history.sent {
        let is_served = matches!(sent.outcome, Outcome::Answer { status: 200, .. });
        if !is_served {
            continue;
        }
        let revoked = history.revoked.get(sent.key);
        let is_late = revoked.is_some_and(|at| sent.at > *at + bounds.config_apply);
        let refused = refused_at.get(&(sent.gateway_life, sent.key));
        let is_back = refused.is_some_and(|at| sent.at > *at);
        if (is_late && sent.is_calm) || is_back {
            broken.push(Broken {
                promise: Promise::RevokedKeys,
                seen: format!("a key that was taken away is served: {sent:?}"),
            });
        }
    }
}

/// Checks at how many runners each request ran that had not ended when it ran for the last time.
fn check_attempts(runs: &HashMap<&str, Vec<&Run>>, history: &History, broken: &mut Vec<Broken>) {
    let mut exceeding = Vec::new();
    for (id, runs) in runs {
        let Some(last) = runs.last() else { continue };
        let goes_on = |run: &&&Run| {
            let mut ended = history.ended.iter();
            ended.all(|(runner, at)| *runner != run.runner || *at < run.at || *at > last.at)
        };
        let runners: HashSet<&str> = runs
            .iter()
            .filter(goes_on)
            .map(|run| run.runner.as_str())
            .collect();
        if runners.len() > MAX_ATTEMPTS {
            exceeding.push(*id);
        }
    }
    if exceeding.len() > MAX_EXCEEDING {
        broken.push(Broken {
            promise: Promise::MaxAttempts,
            seen: format!("{exceeding:?} ran at more than {MAX_ATTEMPTS} runners"),
        });
    }
}

fn check_budget(history: &History, bounds: &Bounds, broken: &mut Vec<Broken>) {
    let mut seen: HashMap<&str, u32> = HashMap::new();
    let mut repeats = Vec::new();
    for run in &history.runs {
        let count = seen.entry(&run.id).or_default();
        *count += 1;
        if *count > 1 {
            repeats.push(run.at);
        }
    }
    let sent_within = |from: Instant, to: Instant| {
        let requests = history.sent.iter();
        requests
            .filter(|sent| from <= sent.at && sent.at < to)
            .count()
    };
    for (index, &end) in repeats.iter().enumerate() {
        let window = bounds.retry_window;
        let first = repeats.partition_point(|at| *at + window < end);
        let count = index + 1 - first;
        // Requests count in the window, the one before or the one half before it.
        let requests = [window, window * 3 / 2, window * 2]
            .into_iter()
            .filter_map(|back| {
                let from = end.checked_sub(back)?;
                Some(sent_within(from, from + window))
            })
            .max()
            .unwrap_or_default();
        let allowed = bounds.retry_ratio * requests as f64 + f64::from(bounds.retry_burst);
        if count as f64 > allowed {
            broken.push(Broken {
                promise: Promise::RetryBudget,
                seen: format!("{count} repeated runs in a window, {allowed:.0} allowed"),
            });
            return;
        }
    }
}
