//! Writing the plan by compare-and-swap.

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

/// The key of the plan.
pub const PLAN_KEY: &str = "jujubewall/plan";

/// A plan with its place in the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WrittenPlan {
    /// The revision of the write; `None` for the empty plan before the first write.
    pub revision: Option<Revision>,
    /// The plan.
    pub plan: Plan,
}

impl WrittenPlan {
    /// Returns the number that orders which follow from the plan carry.
    pub fn fencing(&self) -> FencingNumber {
        FencingNumber(self.revision.unwrap_or_default().0)
    }
}

/// What one step of planning came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanStep {
    /// The plan in force is the one that follows from the input.
    Unchanged(WrittenPlan),
    /// A new plan was written.
    Written(WrittenPlan),
    /// Another planner wrote first; the next step starts from its plan.
    Overtaken,
}

/// The reason that a step of planning failed.
#[derive(Debug, Error)]
pub enum PlanStepError {
    /// The key-value service gave no answer; a write may have had its effect.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The plan cannot be read or written.
    #[error(transparent)]
    Plan(#[from] PlanError),
}

/// Reads and writes the plan.
///
/// Any number of planners may run at once: only the compare-and-swap decides,
/// and a planner that was paused finds the revision moved on. A lease only
/// spares work. A write whose reply was lost needs no care: the next step reads
/// what is in force, which is either that write or another one.
pub struct PlanWriter {
    service: Arc<dyn KeyValue>,
    settings: PlanSettings,
}

impl PlanWriter {
    /// Creates a writer.
    pub fn new(service: Arc<dyn KeyValue>, settings: PlanSettings) -> Self {
        Self { service, settings }
    }

    /// Reads the plan in force.
    pub async fn read(&self) -> Result<WrittenPlan, PlanStepError> {
        let entry = self.service.get(PLAN_KEY).await?;
        Ok(decode(entry)?)
    }

    /// Makes the plan that follows from the input and writes it if it is new.
    ///
    /// An input for an older configuration than that of the plan in force is
    /// refused, so that a planner that lags undoes nothing.
    pub async fn step(&self, input: &PlanInput) -> Result<PlanStep, PlanStepError> {
        let current = self.read().await?;
        if input.revision < current.plan.made_for {
            return Ok(PlanStep::Overtaken);
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
            Swap::Conflict(_) => PlanStep::Overtaken,
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
