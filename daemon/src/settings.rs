//! The settings file of a process.
//!
//! [`Settings`] is the document as written, in the right shape but unchecked.
//! [`CheckedSettings`] can only be obtained from a document without a fault,
//! and is all that a process starts from. Every fault of a document is found
//! in one pass and carries its path in the document.

mod checked;
mod document;
mod fault;
mod files;
mod leaf;
mod limits;
mod listen;
mod object;
mod partners;
mod shape;

pub use checked::CheckedSettings;
pub use checked::RoleSettings;
pub use document::PartnerSettings;
pub use document::PlatformSettings;
pub use document::Settings;
pub use document::TlsSettings;
pub use fault::SettingsFault;
pub use fault::SettingsFaults;
pub use fault::SettingsProblem;
pub use limits::Limits;
