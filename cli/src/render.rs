//! Results of commands as text.

mod audit;
mod explain;
pub mod keys;
pub mod losses;
pub mod note;
pub mod settings;
mod status;
mod table;
mod upstreams;
