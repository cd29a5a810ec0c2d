//! Messages by which agents tell entries what their engines hold, and learn of plans.
//!
//! An agent sends its report to every live entry when it changes and every few
//! seconds. A report takes some hundred bytes, so that 1,200 agents which report
//! every ten seconds give each entry 120 small messages a second. The number of
//! planning entries that answer with a plan does not grow with the fleet.

use bytes::Bytes;
use jujubewall_types::config::Assignment;
use jujubewall_types::id::FencingNumber;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::UpstreamName;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// What one engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineHoldings {
    /// The engine.
    pub upstream: UpstreamName,
    /// Whether the engine answers its agent.
    pub is_reachable: bool,
    /// The assignments that are loaded, as of the last status that was read.
    pub loaded: SmallVec<[Assignment; 2]>,
    /// Those of them that take no new work, since they are about to be dropped.
    pub draining: SmallVec<[Assignment; 2]>,
}

impl EngineHoldings {
    /// Returns the assignments that take new work.
    pub fn usable(&self) -> impl Iterator<Item = &Assignment> {
        let is_usable = |held: &&Assignment| !self.draining.contains(held);
        self.loaded.iter().filter(is_usable)
    }
}

/// What the engines beside one agent hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HoldingsReport {
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// The number of the report, which rises within an incarnation.
    pub number: u64,
    /// The highest number of a plan that the agent knows.
    pub plan: FencingNumber,
    /// The engines whose status has been read or could not be read.
    pub engines: Vec<EngineHoldings>,
}

/// Any message about what engines hold and are to hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReportMessage {
    /// Agent to entry: what the engines hold.
    Holdings(HoldingsReport),
    /// Entry to agent: the part of a newer plan that is about its engines.
    Plan {
        /// The number of the plan.
        number: FencingNumber,
        /// The encoded part of the plan.
        plan: Bytes,
    },
}
