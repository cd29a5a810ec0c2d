//! The agent in front of the upstreams of one host.

pub mod actor;
mod admissions;
mod engine;
mod service;
mod upstreams;
