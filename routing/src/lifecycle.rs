//! The life cycle of a process, which runs, drains and stops.
//!
//! Each state is a separate type, so that only a running process can be drained
//! and only a draining process can stop.

use std::time::Duration;

use tokio::time::Instant;

/// The state of a process that takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Running;

/// The state of a process that finishes work in progress and takes no new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Draining {
    grace_end: Instant,
}

/// The state of a process that is about to exit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stopped {
    cut_off: usize,
}

/// The life cycle of a process in the state `S`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lifecycle<S> {
    state: S,
}

/// The next step of a draining process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainStep {
    /// The process waits for work in progress.
    Wait(Lifecycle<Draining>),
    /// The process stops.
    Stop(Lifecycle<Stopped>),
}

impl Lifecycle<Running> {
    /// Creates the life cycle of a process that has just started.
    pub const fn new() -> Self {
        Self { state: Running }
    }

    /// Starts to drain; work in progress has `grace` to end or to move to another
    /// process.
    pub fn drain(self, now: Instant, grace: Duration) -> Lifecycle<Draining> {
        let grace_end = now + grace;
        Lifecycle {
            state: Draining { grace_end },
        }
    }
}

impl Default for Lifecycle<Running> {
    fn default() -> Self {
        Self::new()
    }
}

impl Lifecycle<Draining> {
    /// Returns the time at which the process stops at the latest.
    pub const fn grace_end(&self) -> Instant {
        self.state.grace_end
    }

    /// Stops if nothing is in progress or the grace period has ended.
    pub fn step(self, now: Instant, in_progress: usize) -> DrainStep {
        if in_progress > 0 && now < self.state.grace_end {
            return DrainStep::Wait(self);
        }
        let cut_off = in_progress;
        DrainStep::Stop(Lifecycle {
            state: Stopped { cut_off },
        })
    }
}

impl Lifecycle<Stopped> {
    /// Returns the number of work items that were still in progress at the stop.
    pub const fn cut_off(&self) -> usize {
        self.state.cut_off
    }
}
