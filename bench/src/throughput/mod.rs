//! Throughput, fairness and recovery of the load policies.

mod engine;
mod measure;
mod policy;
mod scenario;
mod world;

pub use self::measure::ThroughputCommand;
