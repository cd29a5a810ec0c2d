//! Generation of keys.

pub mod authority;
mod file;
pub mod secret;
