//! State of one engine on this agent's host.

use jujubewall_types::config::Assignment;
use jujubewall_types::id::FencingNumber;
use jujubewall_upstream::engine::EngineAction;
use tokio::time::Instant;

use crate::plan::document::Assignments;

/// Task in progress for an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Task {
    /// Weights are being transferred for the engine.
    Fetching(Assignment),
    /// The weights have been transferred and may be loaded.
    Fetched(Assignment),
    /// An assignment is being drained.
    Draining {
        /// Assignment to drop afterwards.
        assignment: Assignment,
        /// Whether the assignment has no work left.
        is_idle: bool,
    },
    /// An order is ready for the caller to take and send.
    Offered {
        /// Action of the order.
        action: EngineAction,
        /// Time until which the order may be taken.
        until: Instant,
    },
    /// An order was taken and has not been answered yet.
    Ordered,
}

/// State of one engine on this agent's host.
#[derive(Clone, Debug)]
pub(super) struct EngineState {
    /// Number of layers that fit into the engine's memory.
    pub(super) max_layers: u32,
    /// Loaded assignments; `None` until the status has been read since the last order.
    pub(super) loaded: Option<Assignments>,
    /// Time at which the status was last requested.
    pub(super) requested_at: Option<Instant>,
    /// Task in progress, if any.
    pub(super) task: Option<Task>,
    /// Fencing number of the last order that was taken for sending.
    pub(super) last_sent: FencingNumber,
}

impl EngineState {
    /// Creates the state of an engine whose status is still unknown.
    pub(super) fn new(max_layers: u32) -> Self {
        Self {
            max_layers,
            loaded: None,
            requested_at: None,
            task: None,
            last_sent: FencingNumber::default(),
        }
    }

    /// Returns the number of layers that still fit into memory.
    pub(super) fn free_layers(&self) -> u32 {
        let loaded = self.loaded.iter().flatten();
        let used: u32 = loaded.map(|held| held.layers.len()).sum();
        self.max_layers.saturating_sub(used)
    }

    /// Returns the next missing assignment of `hold`, if it fits.
    pub(super) fn next_load(&self, hold: &[Assignment]) -> Option<Assignment> {
        let loaded = self.loaded.as_ref()?;
        let missing = hold.iter().find(|wanted| !loaded.contains(wanted))?;
        (missing.layers.len() <= self.free_layers()).then(|| missing.clone())
    }

    /// Returns the next loaded assignment that is not in `hold`.
    pub(super) fn next_drop(&self, hold: &[Assignment]) -> Option<Assignment> {
        let loaded = self.loaded.as_ref()?;
        loaded.iter().find(|held| !hold.contains(held)).cloned()
    }
}
