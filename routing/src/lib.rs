//! State machines for routing, admission, membership and streams.
//!
//! Every module takes events and instants of the runtime's clock and returns
//! actions. No module performs I/O.

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
