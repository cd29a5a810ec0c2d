//! Actions that the reconciler requests from its caller.

use jujubewall_types::config::Assignment;
use jujubewall_types::id::UpstreamName;

/// Matches a plan that was read to the request for it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReadToken(pub u64);

/// An action that the reconciler requests from its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReconcileAction {
    /// Read the plan from the key-value service, starting now.
    ReadPlan {
        /// Token to pass back with the plan.
        token: ReadToken,
    },
    /// Read an engine's status.
    ReadStatus {
        /// Name of the engine.
        engine: UpstreamName,
    },
    /// Transfer weights from the weight store.
    Fetch {
        /// Engine to load the weights later.
        engine: UpstreamName,
        /// Assignment whose weights to transfer.
        assignment: Assignment,
    },
    /// Give an assignment no new work, and report when no work is left.
    Drain {
        /// Engine that holds the assignment.
        engine: UpstreamName,
        /// Assignment to drain.
        assignment: Assignment,
    },
    /// Stop draining an assignment and give it work again.
    EndDrain {
        /// Engine that holds the assignment.
        engine: UpstreamName,
        /// Assignment to use again.
        assignment: Assignment,
    },
    /// Take the order from `Reconciler::release_order` and send it at once.
    OrderReady {
        /// Engine that the order is for.
        engine: UpstreamName,
    },
}

/// Actions in the order in which to carry them out.
pub type ReconcileActions = Vec<ReconcileAction>;
