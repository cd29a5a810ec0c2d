//! The plan as it is kept in the key-value service.

use std::collections::BTreeMap;

use bytes::Bytes;
use jujubewall_types::config::Assignment;
use jujubewall_types::id::Revision;
use jujubewall_types::id::UpstreamName;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use thiserror::Error;

/// The version of the plan's format; another one is refused.
pub const PLAN_FORMAT: u16 = 1;

/// A short list of assignments.
pub type Assignments = SmallVec<[Assignment; 2]>;

/// What one engine is to hold.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EnginePlan {
    /// The assignment that the engine ends up with.
    pub target: Option<Assignment>,
    /// The assignments that the engine is to have loaded now; others are to be
    /// drained and dropped.
    pub hold: Assignments,
}

/// What every engine is to hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// The version of the format.
    pub format: u16,
    /// The revision of the configuration that the plan was made for.
    pub made_for: Revision,
    /// The engines by name.
    pub engines: BTreeMap<UpstreamName, EnginePlan>,
}

/// The reason that bytes are not accepted as a plan.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The bytes cannot be decoded or encoded.
    #[error("the plan is malformed: {0}")]
    Malformed(#[from] postcard::Error),
    /// The plan was written by a process that uses another format.
    #[error("the plan has format {0}; this process reads {PLAN_FORMAT}")]
    UnknownFormat(u16),
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            format: PLAN_FORMAT,
            made_for: Revision::default(),
            engines: BTreeMap::new(),
        }
    }
}

impl Plan {
    /// Encodes the plan.
    pub fn encode(&self) -> Result<Bytes, PlanError> {
        Ok(Bytes::from(postcard::to_stdvec(self)?))
    }

    /// Decodes a plan.
    pub fn decode(bytes: &[u8]) -> Result<Self, PlanError> {
        let (format, _) = postcard::take_from_bytes::<u16>(bytes)?;
        if format != PLAN_FORMAT {
            return Err(PlanError::UnknownFormat(format));
        }
        Ok(postcard::from_bytes(bytes)?)
    }

    /// Returns the assignment that an engine ends up with.
    pub fn target(&self, engine: &UpstreamName) -> Option<&Assignment> {
        self.engines.get(engine)?.target.as_ref()
    }

    /// Returns what an engine is to have loaded now.
    pub fn hold(&self, engine: &UpstreamName) -> &[Assignment] {
        self.engines
            .get(engine)
            .map_or(&[], |engine| engine.hold.as_slice())
    }
}
