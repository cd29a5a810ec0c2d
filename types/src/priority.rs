//! The importance of a request beside others of the same account.

use serde::Deserialize;
use serde::Serialize;

/// The priority of a request; a higher one is served earlier.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Work that may wait, such as bulk drafts.
    Bulk,
    /// Work without a stated priority.
    #[default]
    Normal,
    /// Work that a person waits for.
    Interactive,
}
