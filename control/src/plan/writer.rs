//! Reading the plan and writing it by compare-and-swap.

use std::sync::Arc;

use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_platform::key_value::Swap;
use jujubewall_types::id::FencingNumber;
use jujubewall_types::id::Revision;
use thiserror::Error;

use super::document::Plan;
use super::document::PlanError;
use super::input::PlanInput;
use super::planner::plan;
use super::settings::PlanSettings;

/// Key of the plan in the key-value service.
pub const PLAN_KEY: &str = "jujubewall/plan";

/// A plan with its revision in the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WrittenPlan {
    /// Revision of the write; `None` for the empty plan before the first write.
    pub revision: Option<Revision>,
    /// The plan itself.
    pub plan: Plan,
}

impl WrittenPlan {
    /// Returns the fencing number of orders that are derived from the plan.
    pub fn fencing(&self) -> FencingNumber {
        FencingNumber(self.revision.unwrap_or_default().0)
    }
}

/// Result of one planning step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanStep {
    /// The current plan already matches the input.
    Unchanged(WrittenPlan),
    /// A new plan was written.
    Written(WrittenPlan),
    /// Another planner wrote first, or the current plan is for a newer configuration; the
    /// next step starts from that plan.
    Superseded,
}

/// Reason for which a planning step failed.
#[derive(Debug, Error)]
pub enum PlanStepError {
    /// The key-value service did not answer; a write may have taken effect.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The plan cannot be read or written.
    #[error(transparent)]
    Plan(#[from] PlanError),
}

/// Reads and writes the plan.
///
/// Any number of planners may run at once: the compare-and-swap alone decides, and a write
/// by a planner that was paused fails because the revision has changed. A lease only avoids
/// duplicate work. A write whose reply was lost needs no special handling: the next step
/// reads the current plan, which is the result of that write or of another one.
pub struct PlanWriter {
    service: Arc<dyn KeyValue>,
    settings: PlanSettings,
}

impl PlanWriter {
    /// Creates a writer.
    pub fn new(service: Arc<dyn KeyValue>, settings: PlanSettings) -> Self {
        Self { service, settings }
    }

    /// Reads the current plan.
    pub async fn read(&self) -> Result<WrittenPlan, PlanStepError> {
        let entry = self.service.get(PLAN_KEY).await?;
        Ok(decode(entry)?)
    }

    /// Computes the plan for the input and writes it if it differs from the current one.
    ///
    /// An input with an older configuration than that of the current plan is rejected, so
    /// that a lagging planner undoes nothing.
    pub async fn step(&self, input: &PlanInput) -> Result<PlanStep, PlanStepError> {
        let current = self.read().await?;
        if input.revision < current.plan.config_revision {
            return Ok(PlanStep::Superseded);
        }
        let next = plan(input, &current.plan, &self.settings);
        if next.engines == current.plan.engines && current.revision.is_some() {
            return Ok(PlanStep::Unchanged(current));
        }
        self.write(current.revision, next).await
    }

    async fn write(
        &self,
        expected: Option<Revision>,
        plan: Plan,
    ) -> Result<PlanStep, PlanStepError> {
        let value = plan.encode()?;
        let swap = self
            .service
            .compare_and_swap(PLAN_KEY, expected, value, None)
            .await?;
        Ok(match swap {
            Swap::Done(revision) => PlanStep::Written(WrittenPlan {
                revision: Some(revision),
                plan,
            }),
            Swap::Conflict(_) => PlanStep::Superseded,
        })
    }
}

fn decode(entry: Option<KeyValueEntry>) -> Result<WrittenPlan, PlanError> {
    let Some(entry) = entry else {
        return Ok(WrittenPlan {
            revision: None,
            plan: Plan::default(),
        });
    };
    Ok(WrittenPlan {
        revision: Some(entry.revision),
        plan: Plan::decode(&entry.value)?,
    })
}
