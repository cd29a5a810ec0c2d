//! When a silent stream is checked, and when its run is given up.
//!
//! Silence alone proves nothing, because a full engine is slow as well. After a silence
//! that a healthy path rarely reaches, each part of the path is probed for whether it
//! accepts a connection. If all do, the first engine is asked which part it waits for. A
//! part that is known to be lost needs no further proof, so the stream continues elsewhere
//! before its client notices a pause.
//!
//! A part that is only silent may go on after a moment. Its stream is moved only if another
//! run is allowed and possible; otherwise the run is the only one that the stream has left,
//! and waiting for it is better than none.

use std::time::Duration;

/// The shortest silence between events after which the parts are probed.
const MIN_GAP_PROBE_DELAY: Duration = Duration::from_millis(60);

/// The factor on the expected time between events after which the parts are probed.
const PROBE_GAP_FACTOR: f64 = 2.0;

/// The shortest silence before the first event after which the parts are probed.
const MIN_FIRST_EVENT_PROBE_DELAY: Duration = Duration::from_millis(200);

/// The shortest silence between events after which the first engine is asked.
const MIN_GAP_QUERY_DELAY: Duration = Duration::from_millis(250);

/// The shortest silence before the first event after which the first engine is asked.
const MIN_FIRST_EVENT_QUERY_DELAY: Duration = Duration::from_millis(400);

/// The factor on the expected time between events that a healthy path rarely exceeds.
const QUERY_GAP_FACTOR: f64 = 4.0;

/// The share of the client's timeout after which a stream leaves a silent path although its
/// first engine answers and has no queue. Another path needs the rest of that time.
/// Requests queued at a full engine are not moved to the next one, which is full as well.
const MAX_SILENCE_SHARE: f64 = 0.6;

/// What is known of a silent stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SilentStream {
    /// Whether this run has delivered an event.
    pub has_begun: bool,
    /// The time since the last event.
    pub silence: Duration,
    /// The expected time between two events.
    pub expected_gap: Duration,
    /// The silence after which the client gives up.
    pub client_timeout: Duration,
    /// What is known of the path.
    pub path: PathState,
    /// Whether the stream may continue on another path.
    pub can_reroute: bool,
}

/// What is known of the path of a silent stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathState {
    /// There is no evidence against it.
    Intact,
    /// Requests are queued at its first engine, according to the engine's report.
    Queued,
    /// A part does not answer, and may still go on.
    PartSilent,
    /// A part has ended.
    PartLost,
}

/// The next action for a silent stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilenceAction {
    /// Keep waiting.
    Wait,
    /// Probe whether each part of the path accepts a connection.
    ProbeParts,
    /// Ask the first engine of the path which part it waits for.
    QueryFirst,
    /// Move the stream to another path if that is allowed and possible, and else wait.
    Move,
    /// Give up the run.
    GiveUp,
}

/// Returns the next action for a silent stream.
pub fn silence_action(stream: &SilentStream) -> SilenceAction {
    if stream.path == PathState::PartLost {
        return SilenceAction::GiveUp;
    }
    let max_silence = stream.client_timeout.mul_f64(MAX_SILENCE_SHARE);
    let is_overdue = stream.silence >= max_silence && stream.path != PathState::Queued;
    if stream.path == PathState::PartSilent || (is_overdue && stream.can_reroute) {
        return SilenceAction::Move;
    }
    let query_delay = query_delay(stream);
    if stream.silence >= query_delay {
        SilenceAction::QueryFirst
    } else if stream.silence >= probe_delay(stream) {
        SilenceAction::ProbeParts
    } else {
        SilenceAction::Wait
    }
}

/// Returns whether a run that was given up in this state may have run.
///
/// A path without one of its parts produces no first token. A stream that may not be
/// repeated is still never reported as not run, because it was sent.
pub fn may_have_run(stream: &SilentStream) -> bool {
    stream.has_begun || stream.path != PathState::PartLost || !stream.can_reroute
}

fn probe_delay(stream: &SilentStream) -> Duration {
    if stream.has_begun {
        MIN_GAP_PROBE_DELAY.max(stream.expected_gap.mul_f64(PROBE_GAP_FACTOR))
    } else {
        MIN_FIRST_EVENT_PROBE_DELAY
    }
}

fn query_delay(stream: &SilentStream) -> Duration {
    let floor = if stream.has_begun {
        MIN_GAP_QUERY_DELAY
    } else {
        MIN_FIRST_EVENT_QUERY_DELAY
    };
    floor.max(stream.expected_gap.mul_f64(QUERY_GAP_FACTOR))
}

/// The longest time between two checks of a silent stream.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the time until the next check of a silent stream.
pub fn next_check_delay(stream: &SilentStream) -> Duration {
    match probe_delay(stream).checked_sub(stream.silence) {
        Some(left) if !left.is_zero() => left,
        _ => MAX_CHECK_INTERVAL,
    }
}
