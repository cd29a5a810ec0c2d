//! The agent's side of the plan.
//!
//! The reconciler compares what an engine has loaded with what the plan says it
//! is to hold, and gives one order at a time until both agree. It obeys the
//! state that the plan describes, never a relayed command.
//!
//! Only a [`authority::Confirmed`] authority can sign an order. A process that
//! has just started, has been paused or has met a higher number has an
//! [`authority::Unconfirmed`] one until it has read the plan anew.

pub mod action;
pub mod authority;
mod engine;
mod machine;
mod settings;

pub use machine::Reconciler;
pub use settings::ReconcileSettings;
