//! What the reconciler asks of its surroundings.

use jujubewall_types::config::Assignment;
use jujubewall_types::id::UpstreamName;

/// Matches the reading of a plan to the question.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReadToken(pub u64);

/// What the reconciler asks of its surroundings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReconcileAction {
    /// Read the plan from the key-value service, beginning now.
    ReadPlan {
        /// To be given back with the plan.
        token: ReadToken,
    },
    /// Read an engine's status.
    ReadStatus {
        /// The engine.
        engine: UpstreamName,
    },
    /// Transfer weights from the weight store.
    Fetch {
        /// The engine.
        engine: UpstreamName,
        /// The weights.
        assignment: Assignment,
    },
    /// Give an assignment no new work, and report when it has none left.
    Drain {
        /// The engine.
        engine: UpstreamName,
        /// The assignment.
        assignment: Assignment,
    },
    /// Give an assignment work again.
    EndDrain {
        /// The engine.
        engine: UpstreamName,
        /// The assignment.
        assignment: Assignment,
    },
    /// Take the order from `release_order` and send it at once.
    OrderReady {
        /// The engine.
        engine: UpstreamName,
    },
}

/// The actions in the order in which they are to be carried out.
pub type ReconcileActions = Vec<ReconcileAction>;
