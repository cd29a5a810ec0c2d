//! Runtime checks of the invariants of streaming answers.

use log::error;

/// An invariant that holds whatever messages arrive or components fail.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StreamInvariant {
    /// The stages of a route cover the layers once and in order.
    RouteCoversLayersOnce,
    /// The input of a stage has passed exactly the layers before the stage's own.
    LayersInOrder,
    /// A stage runs each position once and in order, apart from positions that a later
    /// attempt dropped.
    PositionsInOrder,
    /// A delivered token belongs to the current attempt and has passed every layer.
    TokenOfWholePipeline,
    /// The tokens of an answer are delivered once and in order.
    DeliveredInOrder,
    /// An answer is finished only when every token has been delivered.
    FinishedWhole,
    /// No stage is opened after the agent has begun to leave.
    NoNewWorkAfterLeave,
    /// The retained bytes stay within their limit.
    RetentionBounded,
}

impl StreamInvariant {
    /// Every invariant, in the order of declaration.
    pub const ALL: [Self; 8] = [
        Self::RouteCoversLayersOnce,
        Self::LayersInOrder,
        Self::PositionsInOrder,
        Self::TokenOfWholePipeline,
        Self::DeliveredInOrder,
        Self::FinishedWhole,
        Self::NoNewWorkAfterLeave,
        Self::RetentionBounded,
    ];

    /// Returns the name of the invariant in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RouteCoversLayersOnce => "route_covers_layers_once",
            Self::LayersInOrder => "layers_in_order",
            Self::PositionsInOrder => "positions_in_order",
            Self::TokenOfWholePipeline => "token_of_whole_pipeline",
            Self::DeliveredInOrder => "delivered_in_order",
            Self::FinishedWhole => "finished_whole",
            Self::NoNewWorkAfterLeave => "no_new_work_after_leave",
            Self::RetentionBounded => "retention_bounded",
        }
    }
}

/// The number of violations of each invariant.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamInvariants {
    violations: [u64; StreamInvariant::ALL.len()],
}

impl StreamInvariants {
    /// Counts and logs a violation unless `holds`, and panics in debug builds.
    pub fn check(&mut self, invariant: StreamInvariant, holds: bool) {
        if holds {
            return;
        }
        self.violations[invariant as usize] += 1;
        error!("invariant {} is violated", invariant.as_str());
        debug_assert!(holds, "invariant {} is violated", invariant.as_str());
    }

    /// Returns the number of violations of `invariant` so far.
    pub const fn violations(&self, invariant: StreamInvariant) -> u64 {
        self.violations[invariant as usize]
    }
}
