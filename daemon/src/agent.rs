//! The agent in front of the upstreams of one host.

pub mod actor;
mod admissions;
mod engine;
mod holdings;
pub mod orders;
pub mod plan;
mod service;
mod upstreams;
