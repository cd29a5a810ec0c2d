//! How a request ended, and why.

use std::fmt;

use serde::Serialize;
use smol_str::SmolStr;

use crate::line::LogLine;

/// The reason that is given where a line states none.
const UNSTATED: &str = "not stated";

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was answered as fast as its route wants.
    Served,
    /// The answer, or its first event, came later than the route wants.
    Late,
    /// The events of the answer stood still for longer than the route wants.
    Paused,
    /// It was rejected without having run, with a time to come back.
    Rejected,
    /// The configuration does not allow it.
    Refused,
    /// The answer broke off.
    Cut,
    /// No answer came until its deadline.
    TimedOut,
    /// It may have run, and its answer was lost.
    Unknown,
    /// The upstream's own answer was a failure.
    UpstreamFailure,
    /// The client closed its connection first.
    ClientGone,
    /// The gateway ended before the request.
    GatewayEnded,
}

impl Outcome {
    /// Returns whether the client got its whole answer.
    pub const fn is_answered(self) -> bool {
        matches!(self, Self::Served | Self::Late | Self::Paused)
    }

    /// Returns whether the loss is the system's own: the client waited longer than its route
    /// wants, or did not get an answer that the configuration allows.
    pub const fn is_loss(self) -> bool {
        !matches!(self, Self::Served | Self::Refused | Self::ClientGone)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Served => "served",
            Self::Late => "late",
            Self::Paused => "paused",
            Self::Rejected => "rejected",
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::TimedOut => "timed out",
            Self::Unknown => "unknown",
            Self::UpstreamFailure => "upstream failure",
            Self::ClientGone => "client gone",
            Self::GatewayEnded => "gateway ended",
        })
    }
}

/// An outcome with its reason.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Cause {
    /// How the request ended.
    pub outcome: Outcome,
    /// Why, in the words of the log line.
    pub reason: SmolStr,
}

impl Cause {
    /// Creates a cause.
    pub fn new(outcome: Outcome, reason: &str) -> Self {
        let reason = SmolStr::new(reason);
        Self { outcome, reason }
    }
}

/// The end of a request as a log line tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestEnd {
    /// Why it ended as it did.
    pub cause: Cause,
    /// The time that counts for the outcome in milliseconds: the longest pause of a stream
    /// that paused, the time to the first event of one that was late, and else the whole
    /// time.
    pub time_ms: u64,
}

impl RequestEnd {
    /// Reads the end of a request from a line of the event `end`.
    pub fn from_end(line: &LogLine<'_>) -> Self {
        let total_ms = line.number("ms").unwrap_or_default();
        let reason = line.get("reason").unwrap_or(UNSTATED);
        let plain = |outcome| Self {
            cause: Cause::new(outcome, reason),
            time_ms: total_ms,
        };
        match line.get("outcome") {
            Some("completed") => Self::from_answered(line, total_ms),
            Some("rejected") => plain(Outcome::Rejected),
            Some("cut") => plain(Outcome::Cut),
            Some("timed_out") => plain(Outcome::TimedOut),
            Some("upstream_failure") => plain(Outcome::UpstreamFailure),
            Some("client_gone") => plain(Outcome::ClientGone),
            _ => plain(Outcome::Unknown),
        }
    }

    /// Judges a complete answer by the times that the route wants.
    fn from_answered(line: &LogLine<'_>, total_ms: u64) -> Self {
        let first_ms: Option<u64> = line.number("first_ms");
        let target_ms = line.number("target_ms").unwrap_or(u64::MAX);
        let gap_ms: u64 = line.number("longest_gap_ms").unwrap_or_default();
        let gap_limit_ms = line.number("gap_limit_ms").unwrap_or(u64::MAX);
        let sends: u32 = line.number("sends").unwrap_or(1);
        let repaths: u32 = line.number("repaths").unwrap_or_default();
        let interruption = match (sends, repaths) {
            (..=1, 0) => "no engine lost",
            (..=1, _) => "path repaired",
            _ => "sent again",
        };
        let judged = |outcome, time_ms| Self {
            cause: Cause::new(outcome, interruption),
            time_ms,
        };
        let answer_ms = first_ms.unwrap_or(total_ms);
        if answer_ms > target_ms {
            judged(Outcome::Late, answer_ms)
        } else if gap_ms > gap_limit_ms {
            judged(Outcome::Paused, gap_ms)
        } else {
            judged(Outcome::Served, total_ms)
        }
    }
}
