//! When a silent stream is looked into, and when it is given up.
//!
//! Silence alone proves nothing: a full engine is slow as well. After a time
//! that a sound path rarely needs, the first engine of the path is asked over a
//! new connection which part it waits for. Only its answer, or its own silence,
//! ends the run. A part that is already suspected needs no such proof.

use std::time::Duration;

/// The silence after which a path with a suspected part is given up.
const SUSPECTED_SILENCE: Duration = Duration::from_millis(120);

/// The shortest silence between events after which the first engine is asked.
const MIN_GAP_SILENCE: Duration = Duration::from_millis(250);

/// The shortest silence before the first event after which the first engine is asked.
const MIN_FIRST_SILENCE: Duration = Duration::from_millis(400);

/// The factor on the expected time between events that a sound path rarely exceeds.
const USUAL_SPREAD: f64 = 4.0;

/// The silence after which a path is given up although its first engine answers:
/// clients leave after two seconds, and another path needs some of that time.
const MAX_SILENCE: Duration = Duration::from_millis(1_200);

/// What is known of a silent stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SilentStream {
    /// Whether an event has come in this run.
    pub has_begun: bool,
    /// The time without an event.
    pub silence: Duration,
    /// The expected time between two events.
    pub expected_gap: Duration,
    /// Whether a part of the path is suspected or gone.
    pub has_suspected_part: bool,
    /// Whether the stream may go on over another path.
    pub may_move: bool,
}

/// What is done about a silent stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilenceStep {
    /// Wait until this much silence has passed.
    WaitUntil(Duration),
    /// Ask the first engine of the path.
    Ask,
    /// Give the run up.
    GiveUp,
}

/// Decides what is done about a silent stream.
pub fn on_silence(stream: &SilentStream) -> SilenceStep {
    if stream.has_suspected_part && stream.may_move {
        if stream.silence >= SUSPECTED_SILENCE {
            return SilenceStep::GiveUp;
        }
        return SilenceStep::WaitUntil(SUSPECTED_SILENCE);
    }
    if stream.silence >= MAX_SILENCE && stream.may_move {
        return SilenceStep::GiveUp;
    }
    let patience = patience(stream);
    if stream.silence >= patience {
        SilenceStep::Ask
    } else {
        SilenceStep::WaitUntil(patience)
    }
}

fn patience(stream: &SilentStream) -> Duration {
    let floor = if stream.has_begun {
        MIN_GAP_SILENCE
    } else {
        MIN_FIRST_SILENCE
    };
    floor.max(stream.expected_gap.mul_f64(USUAL_SPREAD))
}

/// The time between two looks at a silent stream, which bounds how late a part
/// that was found lost by another stream is noticed.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(120);
