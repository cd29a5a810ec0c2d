//! Streaming answers: what an entry and an agent decide about each request.
//!
//! [`entry::EntryStreams`] holds the log of committed tokens, which is the
//! truth of an answer. [`agent::AgentStreams`] holds, for each stage that it
//! runs, how far the engine's KV cache reaches and a bounded copy of the
//! stage's output. Every message is keyed by request, attempt and position, so
//! that duplicates, late and reordered messages change nothing.

pub mod action;
pub mod agent;
pub mod entry;
pub mod invariant;
pub mod payload;
pub mod settings;
