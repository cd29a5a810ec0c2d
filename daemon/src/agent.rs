//! The agent in front of the upstreams of one host.

pub mod actor;
mod admissions;
mod engine;
pub mod orders;
mod service;
mod upstreams;
