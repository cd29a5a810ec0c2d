//! The plan: which engine holds which layers of which version.
//!
//! [`planner::plan`] is a pure function of the configuration, the present engines and
//! the previous plan. Any entry may write its result by compare-and-swap
//! ([`writer::PlanWriter`]); the revision of that write is the fencing number of every
//! order derived from the plan. The agent on an engine's host compares the engine with
//! the plan ([`reconcile::Reconciler`]) and never gives an order with an older number,
//! whether or not the engine itself checks fencing numbers.

pub mod coverage;
pub mod document;
pub mod input;
pub mod planner;
pub mod reconcile;
mod rollout;
pub mod settings;
mod split;
mod targets;
pub mod writer;

pub(crate) use split::EngineCapacity;
pub(crate) use split::split;
