//! Explains the choice of a path.

use jujubewall_types::explain::ExplainedCandidate;
use tokio::time::Instant;

use super::Candidate;
use super::FAILURE_COST_S;
use super::PathRequest;
use crate::fleet::explain::describe;
use crate::fleet::explain::exclusion;
use crate::fleet::explain::whole;
use crate::fleet::instances::InstanceTable;

/// Describes the engines of a service as the choice of a path sees them.
pub fn explain_path(
    table: &InstanceTable,
    choice: &PathRequest<'_>,
    now: Instant,
) -> Vec<ExplainedCandidate> {
    let PathRequest {
        spec, need, limits, ..
    } = *choice;
    let mut explained = Vec::new();
    for (key, tracked) in table.of_service(choice.service) {
        let mut candidate = describe(table, tracked, now);
        if let Some(engine) = Candidate::new(table, spec, key, tracked, now) {
            let layers = f64::from(engine.layers.len());
            let free_bytes = (engine.memory_mb - layers * spec.layer_mb).max(0.0) * 1_000_000.0;
            let held = engine.work.token_layers + engine.unaccounted_token_layers;
            let free = limits.reserved_memory() * free_bytes / spec.token_layer_bytes() - held;
            candidate.free_context_tokens = Some(u64::from(whole(free / layers.max(1.0))));
            if engine.layers.first == 0 {
                let first = f64::from(engine.work.first_requests);
                candidate.free_slots = whole(limits.first_slots * f64::from(spec.slots) - first);
            }
            let layers_s = layers * engine.cost_per_layer_s(spec, need);
            let stage_s = engine.prefill_wait_s(spec) + FAILURE_COST_S * tracked.failure_rate(now);
            let factor = choice.preference.factor(&engine);
            candidate.cost = Some(factor * layers_s + stage_s);
            let exclusions = &mut candidate.exclusions;
            if engine.layers.first == 0 && engine.available_layers(spec, limits).first > 0 {
                exclusions.push(exclusion("no free first slot", false));
            }
            if !engine.has_capacity(spec, need, limits) {
                exclusions.push(exclusion("no memory for the context", false));
            } else if !engine.has_expected_capacity(spec, need, limits) {
                exclusions.push(exclusion("no memory for the context is expected", true));
            }
            if tracked.is_avoided(now) {
                exclusions.push(exclusion("runs of this gateway have failed", true));
            } else if table.is_deprioritized(tracked, now) {
                exclusions.push(exclusion("doubted by other gateways", true));
            }
        } else if tracked.instance.layers.is_none() {
            candidate
                .exclusions
                .push(exclusion("holds no layers", false));
        } else {
            let belief = "its layers or its accelerator are not in the configuration";
            candidate.exclusions.push(exclusion(belief, false));
        }
        explained.push(candidate);
    }
    explained
}
