//! The state machines that carry a streaming answer through its pipeline.
//!
//! [`entry::EntryStreams`] holds the log of committed tokens, which is
//! authoritative for an answer. [`agent::AgentStreams`] holds, for each stage that
//! it runs, the number of positions in the engine's KV cache and a bounded copy of
//! the stage's output. Every message is keyed by request, attempt and position, so
//! that duplicate, late and reordered messages have no effect.

pub mod action;
pub mod agent;
pub mod entry;
pub mod invariant;
pub mod payload;
pub mod settings;
