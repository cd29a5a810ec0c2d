//! Decisions about requests and members.
//!
//! Every module takes events and instants of the runtime's clock and returns
//! actions; none performs input or output.

pub mod admission;
pub mod bound;
pub mod choice;
pub mod fleet;
pub mod lifecycle;
pub mod link;
pub mod membership;
pub mod order;
pub mod retry;
pub mod stream;
pub mod timer;

mod path;
