//! Planning as a pure function.

use jujubewall_types::id::ModelName;

use super::coverage::Coverage;
use super::document::PLAN_FORMAT;
use super::document::Plan;
use super::input::PlanInput;
use super::rollout::engine_plans;
use super::settings::PlanSettings;
use super::targets::targets;

/// Computes the plan that follows `previous`.
///
/// The function is deterministic, so every planner gets the same plan from the same input.
/// Planning again from the result without any change gives the same plan.
pub fn plan(input: &PlanInput, previous: &Plan, settings: &PlanSettings) -> Plan {
    let targets = targets(input, previous);
    Plan {
        format: PLAN_FORMAT,
        config_revision: input.revision,
        engines: engine_plans(input, &targets, previous, settings),
    }
}

/// Returns the rate of a model, in tokens per second, once all targets are loaded.
pub fn planned_tokens_per_s(input: &PlanInput, plan: &Plan, model: &ModelName) -> u64 {
    let Some(layer_count) = input.models.get(model).map(|model| model.layer_count) else {
        return 0;
    };
    let mut coverage = Coverage::new(layer_count);
    for (name, engine) in &input.engines {
        let target = plan.target(name).filter(|target| target.model == *model);
        if let Some(target) = target.filter(|_| engine.is_live()) {
            coverage.add(target.layers, engine.tokens_per_s(target.layers.len()));
        }
    }
    coverage.tokens_per_s()
}

/// Returns the models of which some layers stay uncovered, for lack of engines.
pub fn uncovered_models(input: &PlanInput, plan: &Plan) -> Vec<ModelName> {
    let is_uncovered = |model: &&ModelName| planned_tokens_per_s(input, plan, model) == 0;
    input.models.keys().filter(is_uncovered).cloned().collect()
}
