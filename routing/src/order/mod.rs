//! Calls that must not be repeated.
//!
//! [`agent::AgentOrders`] decides at the one agent that may send a call, and
//! [`entry::EntryOrders`] at the entry that answers the caller. A call with an
//! idempotency key is claimed by a compare-and-swap in the key-value service
//! before it is sent; a call without one is claimed in the memory of its
//! agent's process. `not_run` is told only by an agent that has not begun to
//! send the call and never will, or that has the upstream's own answer.

pub mod action;
pub mod agent;
pub mod counters;
pub mod entry;
pub mod invariant;
pub mod key;
pub mod record;
pub mod settings;

mod ledger;
mod origin;
mod outcome;
mod shard;
