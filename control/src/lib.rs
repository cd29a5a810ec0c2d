//! Control plane: configuration, placement and plans, coordinated through the key-value service.
//!
//! [`store::NoteStore`] is the entry point for a process that accepts notes:
//!
//! - `NoteStore::new(service)` needs only the key-value service.
//! - `load()` reads the newest configuration and its head.
//! - `submit(&submission)` returns `Accepted`, `Refused`, `IdReused` or `Unknown`; an error
//!   means that the note was not accepted. The same note may be submitted any
//!   number of times.
//! - `note_status(&id)` and `audit(from, limit)` read the history.
//!
//! [`dissemination`] propagates accepted notes to every member; readers hold a
//! [`dissemination::handle::ConfigHandle`]. After an acceptance, a process passes
//! `newest_snapshot()` to its own disseminator as [`dissemination::Event::Loaded`].
//!
//! [`answer`] converts results into the answers of the operator API.
//!
//! The modules below the store are pure: [`merge`] decides whether a note is accepted,
//! [`proposal`] computes the values to write, and [`snapshot`] rebuilds a revision from its
//! head and chunks.

pub mod answer;
pub mod audit;
pub mod change;
pub mod clash;
pub mod dissemination;
pub mod head;
pub mod invariant;
pub mod item;
pub mod keys;
pub mod merge;
pub mod placement;
pub mod plan;
pub mod proposal;
pub mod shard;
pub mod snapshot;
pub mod store;
