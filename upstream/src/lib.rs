//! Upstreams: model engines and plain services.
//!
//! The traits are what an agent sees. The HTTP clients are the only place that
//! knows an outside wire format.

pub mod engine;
pub mod error;
pub mod service;
