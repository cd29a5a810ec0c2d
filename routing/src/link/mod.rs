//! Failure detection for the connections to peers.
//!
//! Silence on an open connection does not prove that the peer's process has
//! failed, because a device in between may have lost the state of the connection.
//! A silent peer is therefore dialled again from a new socket, and only the
//! outcome of that decides whether the peer is lost. If many peers become silent
//! at the same time, the process suspects its own link, and no peer counts as lost
//! until a message from one of them arrives.

mod monitor;
mod peer;
mod settings;

pub use self::monitor::LinkAction;
pub use self::monitor::LinkMonitor;
pub use self::settings::LinkSettings;
