//! Access to the applied configuration for the rest of a process.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use jujubewall_types::config::Configuration;
use jujubewall_types::id::Revision;
use tokio::sync::watch;

use crate::dissemination::disseminator::DisseminationCounters;
use crate::invariant::Invariant;
use crate::snapshot::Snapshot;

/// Gives readers the applied snapshot without locking.
#[derive(Debug)]
pub struct ConfigHandle {
    snapshot: ArcSwap<Snapshot>,
    revision: watch::Sender<Revision>,
    counters: Mutex<DisseminationCounters>,
}

impl ConfigHandle {
    /// Creates a handle on the empty configuration.
    pub fn new() -> Self {
        let (revision, _) = watch::channel(Revision::default());
        Self {
            snapshot: ArcSwap::default(),
            revision,
            counters: Mutex::default(),
        }
    }

    /// Returns the applied configuration.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.snapshot.load().configuration().clone()
    }

    /// Returns the applied snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Returns the applied revision; zero before the first one is applied.
    pub fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Returns a receiver that is notified of each applied revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Returns the counters of the disseminator, for metrics.
    pub fn counters(&self) -> DisseminationCounters {
        *self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes `counters` visible to readers.
    pub fn set_counters(&self, counters: DisseminationCounters) {
        *self.counters.lock().unwrap_or_else(PoisonError::into_inner) = counters;
    }

    /// Makes `snapshot` visible to readers, unless it is not newer than the applied one.
    pub fn publish(&self, snapshot: Arc<Snapshot>) {
        let revision = snapshot.revision();
        let applied = self.revision();
        let is_newer = Invariant::AppliedRevisionRises.check(
            applied < revision,
            format_args!("revision {revision} would replace revision {applied}"),
        );
        if is_newer {
            self.snapshot.store(snapshot);
            self.revision.send_replace(revision);
        }
    }
}

impl Default for ConfigHandle {
    fn default() -> Self {
        Self::new()
    }
}
