//! Continuous batching on the runtime's clock.

use std::cmp::Reverse;
use std::time::Duration;

use jujubewall_types::priority::Priority;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A step that waits for its batch to end.
struct Waiting {
    priority: Priority,
    sequence: u64,
    arrived_at: Instant,
    duration: Duration,
    done: oneshot::Sender<()>,
}

/// The steps that one batch runs.
pub(super) struct Batch {
    pub(super) ends_at: Instant,
    steps: Vec<Waiting>,
}

impl Batch {
    /// Tells every step that it has run.
    pub(super) fn finish(self) {
        for step in self.steps {
            // A step whose caller has gone away needs no reply.
            let _ = step.done.send(());
        }
    }
}

/// Steps in the order in which they enter batches.
#[derive(Default)]
pub(super) struct BatchQueue {
    waiting: Vec<Waiting>,
    last_sequence: u64,
    busy_until: Option<Instant>,
    is_running: bool,
}

impl BatchQueue {
    /// Adds a step and returns the signal of its end, and whether a runner must be started.
    pub(super) fn push(
        &mut self,
        priority: Priority,
        duration: Duration,
        now: Instant,
    ) -> (oneshot::Receiver<()>, bool) {
        let (done, receiver) = oneshot::channel();
        self.last_sequence += 1;
        self.waiting.push(Waiting {
            priority,
            sequence: self.last_sequence,
            arrived_at: now,
            duration,
            done,
        });
        let must_start = !self.is_running;
        self.is_running = true;
        (receiver, must_start)
    }

    /// Takes the next batch; without one the runner ends.
    ///
    /// Its time counts from the end of the batch before, so that a late timer
    /// does not slow the engine down.
    pub(super) fn next_batch(&mut self, limit: usize, slow_factor: f64) -> Option<Batch> {
        self.waiting.retain(|step| !step.done.is_closed());
        if self.waiting.is_empty() {
            self.is_running = false;
            return None;
        }
        self.waiting
            .sort_by_key(|step| (Reverse(step.priority), step.sequence));
        let count = limit.max(1).min(self.waiting.len());
        let steps: Vec<Waiting> = self.waiting.drain(..count).collect();
        let duration: Duration = steps.iter().map(|step| step.duration).sum();
        let arrived_at = steps.iter().map(|step| step.arrived_at).min()?;
        let starts_at = self
            .busy_until
            .map_or(arrived_at, |end| end.max(arrived_at));
        let ends_at = starts_at + duration.mul_f64(slow_factor);
        self.busy_until = Some(ends_at);
        Some(Batch { ends_at, steps })
    }

    /// Returns the number of steps that wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}
