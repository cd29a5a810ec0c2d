//! The agent's side of the plan.
//!
//! The reconciler compares the assignments that an engine has loaded with those in the
//! plan, and gives one order at a time until both agree. It follows only the state that
//! the plan describes, never a relayed command.
//!
//! Only a [`authority::Confirmed`] authority can sign an order. A process that has just
//! started, has been paused or has seen a higher fencing number has an
//! [`authority::Unconfirmed`] one until it has read the plan again.

pub mod action;
pub mod authority;
mod engine;
mod machine;
mod settings;

pub use machine::Reconciler;
pub use settings::ReconcileSettings;
