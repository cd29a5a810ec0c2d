//! The daemon's processes: sockets and actors around the decisions.

pub mod agent;
pub mod alarm;
pub mod entry;
pub mod gateway;
pub mod membership;
pub mod metrics;
pub mod network;
pub mod process;
pub mod server;
pub mod settings;
pub mod supervise;
pub mod vocabulary;
