//! Messages between the system's own processes.
//!
//! Messages are one-way and carry the keys that make them safe to repeat,
//! delay and reorder. Each concern has its own module and its own enum; the
//! codec comes from a library.

pub mod call;
pub mod codec;
pub mod config;
pub mod frame;
pub mod hello;
pub mod limit;
pub mod member;
pub mod message;
pub mod report;
pub mod stream;
