//! The plan: which engine holds which layers of which version.
//!
//! [`planner::plan`] is a pure function of the configuration, the engines that
//! are there and the plan before. Any entry may write its result by a
//! compare-and-swap ([`writer::PlanWriter`]); the revision of that write is the
//! fencing number of every order that follows from it. The agent beside an
//! engine compares the engine with the plan ([`reconcile::Reconciler`]) and
//! gives no order with an older number, whatever its engine checks.

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

pub(crate) use split::Share;
pub(crate) use split::split;
