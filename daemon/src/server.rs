//! The HTTP server for callers, operators and monitoring.

pub mod answer;
pub mod body;
pub mod listener;
pub mod sse;
