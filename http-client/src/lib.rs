//! Bounded HTTP/1.1 calls to one address outside the system.
//!
//! A call is written to at most one connection, once. Its error tells whether
//! the call can have reached the other side.

mod answer_head;
mod client;
mod deadlines;
mod error;

pub use answer_head::HeadFault;
pub use answer_head::check_head;
pub use client::HttpClient;
pub use deadlines::CallDeadlines;
pub use error::HttpCallError;
