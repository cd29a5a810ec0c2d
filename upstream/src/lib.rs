//! Upstreams: model engines and plain services.
//!
//! The traits are what an agent sees. The HTTP clients are the only place that
//! knows an outside wire format, which [`wire`] spells out for engines.

pub mod engine;
pub mod error;
pub mod http_engine;
pub mod http_service;
pub mod service;
pub mod wire;
