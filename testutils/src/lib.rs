//! Small stand-ins for the systems outside, used by tests and examples.

pub mod notes;
