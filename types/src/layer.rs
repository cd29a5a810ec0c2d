//! Ranges of model layers.

use std::fmt;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A half-open range of layers: `first` is inside, `end` is not.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(deny_unknown_fields)]
pub struct LayerRange {
    /// The first layer of the range.
    pub first: u32,
    /// The layer after the last one of the range.
    pub end: u32,
}

impl LayerRange {
    /// Creates the range from `first` up to but without `end`.
    pub const fn new(first: u32, end: u32) -> Self {
        Self { first, end }
    }

    /// Returns the number of layers in the range.
    pub const fn len(self) -> u32 {
        self.end.saturating_sub(self.first)
    }

    /// Returns whether the range holds no layer.
    pub const fn is_empty(self) -> bool {
        self.end <= self.first
    }

    /// Returns whether `layer` lies inside the range.
    pub const fn contains(self, layer: u32) -> bool {
        self.first <= layer && layer < self.end
    }
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.first, self.end)
    }
}
