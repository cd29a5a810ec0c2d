//! How soon a note is in force everywhere, and what that costs.
//!
//! Every member has its own QUIC endpoint on loopback with mutual TLS, its own
//! disseminator and its own handle. Only the key-value service is in memory; it
//! answers after a set delay and counts its calls.

mod fleet;
mod measure;
mod member;
mod report;
mod service;
mod trial;

pub use self::measure::NotesCommand;
