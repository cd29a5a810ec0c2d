//! At-most-once execution of service calls.
//!
//! [`agent::AgentOrders`] is the state machine of the one agent that may send
//! a call, [`entry::EntryOrders`] that of the entry that answers the caller.
//! The key of a call with an idempotency key is claimed by a compare-and-swap
//! in the key-value service before the call is sent; a call without one is
//! tracked only in the memory of its agent's process. An agent reports
//! `not_run` only if it has not begun to send the call and never will, or if
//! the upstream itself answered so.

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
