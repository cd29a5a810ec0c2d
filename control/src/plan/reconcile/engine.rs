//! What is known about one engine beside this agent.

use jujubewall_types::config::Assignment;
use jujubewall_types::id::FencingNumber;
use jujubewall_upstream::engine::EngineAction;
use tokio::time::Instant;

use crate::plan::document::Assignments;

/// What the engine is busy with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Task {
    /// Weights are being transferred for it.
    Fetching(Assignment),
    /// The weights have been transferred and may be loaded.
    Fetched(Assignment),
    /// An assignment is being drained.
    Draining {
        /// The assignment.
        assignment: Assignment,
        /// Whether it has no work left.
        is_idle: bool,
    },
    /// An order is offered to the surroundings.
    Offered {
        /// What it asks for.
        action: EngineAction,
        /// When the offer ends.
        until: Instant,
    },
    /// An order was sent and is not answered yet.
    Ordered,
}

/// One engine beside this agent.
#[derive(Clone, Debug)]
pub(super) struct EngineState {
    /// The number of layers that fit into its memory.
    pub(super) max_layers: u32,
    /// What it has loaded; `None` until its status has been read since the last order.
    pub(super) loaded: Option<Assignments>,
    /// When its status was last asked for.
    pub(super) asked_at: Option<Instant>,
    /// What it is busy with.
    pub(super) task: Option<Task>,
    /// The number of the last order that was sent.
    pub(super) last_sent: FencingNumber,
}

impl EngineState {
    /// Creates the state of an engine that has not been asked yet.
    pub(super) fn new(max_layers: u32) -> Self {
        Self {
            max_layers,
            loaded: None,
            asked_at: None,
            task: None,
            last_sent: FencingNumber::default(),
        }
    }

    /// Returns the number of layers that still fit.
    pub(super) fn room(&self) -> u32 {
        let loaded = self.loaded.iter().flatten();
        let used: u32 = loaded.map(|held| held.layers.len()).sum();
        self.max_layers.saturating_sub(used)
    }

    /// Returns the next assignment to load, if it fits.
    pub(super) fn next_load(&self, hold: &[Assignment]) -> Option<Assignment> {
        let loaded = self.loaded.as_ref()?;
        let missing = hold.iter().find(|wanted| !loaded.contains(wanted))?;
        (missing.layers.len() <= self.room()).then(|| missing.clone())
    }

    /// Returns the next assignment to drop.
    pub(super) fn next_drop(&self, hold: &[Assignment]) -> Option<Assignment> {
        let loaded = self.loaded.as_ref()?;
        loaded.iter().find(|held| !hold.contains(held)).cloned()
    }
}
