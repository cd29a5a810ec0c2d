//! Results of commands as text.

mod audit;
pub mod keys;
pub mod losses;
pub mod note;
pub mod settings;
mod status;
mod table;
mod upstreams;
