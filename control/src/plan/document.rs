//! The plan as stored in the key-value service.

use std::collections::BTreeMap;

use bytes::Bytes;
use jujubewall_types::config::Assignment;
use jujubewall_types::id::Revision;
use jujubewall_types::id::UpstreamName;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use thiserror::Error;

/// Version of the plan's format; plans of other versions are rejected.
pub const PLAN_FORMAT: u16 = 1;

/// A list of assignments, usually one or two.
pub type Assignments = SmallVec<[Assignment; 2]>;

/// Target and current assignments of one engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EnginePlan {
    /// Assignment that the engine has at the end of the rollout, if any.
    pub target: Option<Assignment>,
    /// Assignments that the engine has to have loaded now; any other one is drained and
    /// dropped.
    pub hold: Assignments,
}

/// Target and current assignments of every engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// Version of the format, [`PLAN_FORMAT`].
    pub format: u16,
    /// Revision of the configuration from which the plan was made.
    pub config_revision: Revision,
    /// Plans of the engines by name.
    pub engines: BTreeMap<UpstreamName, EnginePlan>,
}

/// Reason for which a plan cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The bytes cannot be decoded or encoded.
    #[error("the plan is malformed: {0}")]
    Malformed(#[from] postcard::Error),
    /// The plan was written in a format that this process does not read.
    #[error("the plan has format {0}; this process reads {PLAN_FORMAT}")]
    UnknownFormat(u16),
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            format: PLAN_FORMAT,
            config_revision: Revision::default(),
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

    /// Returns the assignment that an engine has at the end of the rollout.
    pub fn target(&self, engine: &UpstreamName) -> Option<&Assignment> {
        self.engines.get(engine)?.target.as_ref()
    }

    /// Returns the assignments that an engine has to have loaded now.
    pub fn hold(&self, engine: &UpstreamName) -> &[Assignment] {
        self.engines
            .get(engine)
            .map_or(&[], |engine| engine.hold.as_slice())
    }
}
