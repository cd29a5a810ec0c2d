//! The agent in front of the upstreams of one host.

pub mod actor;
mod engine;
mod service;
mod upstreams;
