//! The life cycle of a process: it runs, drains and stops.
//!
//! Each state is a type of its own, so that only a running process can take
//! new work and only a draining one can stop.

use std::time::Duration;

use tokio::time::Instant;

/// A process takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Running;

/// A process finishes what is in progress and takes nothing new.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Draining {
    grace_end: Instant,
}

/// A process is about to exit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stopped {
    cut_off: usize,
}

/// The life cycle of a process in the state `S`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lifecycle<S> {
    state: S,
}

/// What a draining process does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainStep {
    /// It waits for work that is in progress.
    Wait(Lifecycle<Draining>),
    /// It stops.
    Stop(Lifecycle<Stopped>),
}

impl Lifecycle<Running> {
    /// Creates the life cycle of a process that has just started.
    pub const fn new() -> Self {
        Self { state: Running }
    }

    /// Begins to drain; work that is in progress has `grace` to end or to move.
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
    /// Returns when the process stops at the latest.
    pub const fn grace_end(&self) -> Instant {
        self.state.grace_end
    }

    /// Stops once nothing is in progress or the grace time has ended.
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
    /// Returns the amount of work that was still in progress.
    pub const fn cut_off(&self) -> usize {
        self.state.cut_off
    }
}
