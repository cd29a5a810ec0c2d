//! Connections that have gone silent.
//!
//! Silence on an open connection proves nothing about the process at its other
//! end, because something in between may have lost track of the connection. A
//! silent peer is therefore dialled again from a new socket, and judged by that
//! connection alone. Many peers that fall silent together speak against the
//! own link, and none of them is judged until one is heard again.

mod monitor;
mod peer;
mod settings;

pub use self::monitor::LinkAction;
pub use self::monitor::LinkMonitor;
pub use self::settings::LinkSettings;
