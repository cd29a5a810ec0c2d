//! The HTTP server for callers, operators and monitoring.

pub mod answer;
pub mod body;
pub mod listener;
mod socket;
pub mod sse;
