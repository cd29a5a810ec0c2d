//! Domain types shared by every jujubewall package.
//!
//! The package holds no policy and performs no input or output. Names are
//! cheap-to-clone strings, counters are `Copy`, and every type that crosses a
//! process boundary derives its serialisation.

pub mod admin;
pub mod config;
pub mod digest;
pub mod error;
pub mod explain;
pub mod fleet;
pub mod id;
pub mod layer;
pub mod member;
pub mod note;
pub mod outcome;
pub mod priority;
