//! The daemon's processes: sockets and actors around the decisions.

pub mod network;
pub mod server;
pub mod settings;
