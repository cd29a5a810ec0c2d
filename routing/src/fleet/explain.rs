//! Explains which upstreams a request would use now, without any effect.

use std::time::Duration;

use jujubewall_types::explain::Exclusion;
use jujubewall_types::explain::ExplainedCandidate;
use jujubewall_types::explain::ExplainedPart;
use jujubewall_types::fleet::InstanceState;
use jujubewall_types::id::ServiceName;
use tokio::time::Instant;

use super::instances::InstanceKey;
use super::instances::InstanceTable;
use super::instances::TrackedInstance;
use super::service_choice::FAILURE_WEIGHT;
use super::service_choice::MAX_CALLS_PER_SLOT;

/// The largest number of upstreams that are listed, which keeps the document below 64 KiB.
const MAX_CANDIDATES: usize = 100;

/// Returns the duration in milliseconds.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Creates the reason why an upstream is never used, or used only as a last resort.
pub(super) fn exclusion(belief: &str, is_last_resort: bool) -> Exclusion {
    Exclusion {
        belief: belief.into(),
        is_last_resort,
        age_ms: None,
        ends_in_ms: None,
    }
}

/// Describes an upstream without what depends on the kind of its service.
pub(super) fn describe(
    table: &InstanceTable,
    tracked: &TrackedInstance,
    now: Instant,
) -> ExplainedCandidate {
    let age = |since: Instant| Some(millis(now.saturating_duration_since(since)));
    let mut exclusions = Vec::new();
    if tracked.instance.state != InstanceState::Ready {
        exclusions.push(exclusion("its entry says that it drains", false));
    }
    if let Some(since) = tracked.leaving_since() {
        let reason = if tracked.has_announced_leaving() {
            "it says that it leaves"
        } else {
            "it may be leaving: a health check has to tell"
        };
        exclusions.push(Exclusion {
            age_ms: age(since),
            ..exclusion(reason, false)
        });
    }
    if let Some(since) = tracked.suspected_since() {
        let belief = if tracked.refused_since().is_some() {
            "suspected: it refused a connection"
        } else {
            "suspected: it was silent"
        };
        exclusions.push(Exclusion {
            age_ms: age(since),
            ..exclusion(belief, false)
        });
    }
    if let Some(left) = tracked.pause_left(now) {
        exclusions.push(Exclusion {
            ends_in_ms: Some(millis(left)),
            ..exclusion("it asks for no requests", false)
        });
    }
    let starts_per_s = tracked.starts_per_s(now);
    if tracked.is_at_pace(now) {
        exclusions.push(exclusion("at its pace", true));
    }
    ExplainedCandidate {
        upstream: tracked.instance.id.clone(),
        domain: tracked.instance.failure_domain.clone(),
        layers: tracked.instance.layers,
        cost: None,
        expected_requests: table.expected_work(tracked, now).requests,
        free_slots: 0,
        free_context_tokens: None,
        starts_per_s,
        exclusions,
    }
}

/// Describes the upstreams of a plain service.
pub fn explain_call(
    table: &InstanceTable,
    service: &ServiceName,
    now: Instant,
) -> Vec<ExplainedCandidate> {
    let explain = |(_, tracked): (InstanceKey, &TrackedInstance)| {
        let mut candidate = describe(table, tracked, now);
        let slots = f64::from(tracked.instance.slots.max(1));
        let free = MAX_CALLS_PER_SLOT * slots - f64::from(table.total_work(tracked).requests);
        candidate.free_slots = whole(free);
        if candidate.free_slots == 0 {
            candidate.exclusions.push(exclusion("full", false));
        }
        let calls_per_slot = f64::from(candidate.expected_requests) / slots;
        candidate.cost = Some(calls_per_slot + FAILURE_WEIGHT * tracked.failure_rate(now));
        candidate
    };
    table.of_service(service).map(explain).collect()
}

/// Returns the whole part of a number that may be negative.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn whole(number: f64) -> u32 {
    number.max(0.0) as u32
}

/// Orders upstreams by use and cost, and drops those beyond the bound of the document. Returns
/// the number of those.
pub fn bound_candidates(candidates: &mut Vec<ExplainedCandidate>, used: &[ExplainedPart]) -> usize {
    let is_used = |candidate: &ExplainedCandidate| {
        used.iter().any(|part| part.upstream == candidate.upstream)
    };
    let is_excluded = |candidate: &ExplainedCandidate| {
        let mut exclusions = candidate.exclusions.iter();
        exclusions.any(|exclusion| !exclusion.is_last_resort)
    };
    candidates.sort_by(|one, other| {
        let cost = |candidate: &ExplainedCandidate| candidate.cost.unwrap_or(f64::INFINITY);
        (!is_used(one), is_excluded(one))
            .cmp(&(!is_used(other), is_excluded(other)))
            .then(cost(one).total_cmp(&cost(other)))
            .then_with(|| one.upstream.cmp(&other.upstream))
    });
    let omitted = candidates.len().saturating_sub(MAX_CANDIDATES);
    candidates.truncate(MAX_CANDIDATES);
    omitted
}
