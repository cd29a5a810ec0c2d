//! The daemon's processes: the sockets and actors that carry out the decisions of the other
//! crates.

pub mod agent;
pub mod alarm;
pub mod entry;
pub mod gateway;
mod listening;
pub mod membership;
mod metered_socket;
pub mod metrics;
pub mod network;
pub mod process;
pub mod request_memory;
pub mod server;
pub mod settings;
pub mod supervise;
pub mod vocabulary;
