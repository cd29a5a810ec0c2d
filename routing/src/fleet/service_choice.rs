//! Chooses the upstream of a call to a plain service.
//!
//! The upstream with the least work in flight for its slots gets the call: a slow upstream
//! keeps its calls longer and so gets fewer. Failures of recent calls count as work,
//! because an upstream that fails at once has none in flight. An upstream at its pace gets the
//! call only if no other can take it.

use jujubewall_types::id::ServiceName;
use tokio::time::Instant;

use super::instances::InstanceKey;
use super::instances::InstanceTable;
use super::instances::Work;
use super::pace;

/// The calls in flight for each slot above which an upstream is full: one that runs and two
/// that wait, with which a call of usual length still meets its objective.
pub(super) const MAX_CALLS_PER_SLOT: f64 = 3.0;

/// The calls for each slot that an upstream which fails every call counts as having.
pub(super) const FAILURE_WEIGHT: f64 = 4.0;

/// The work of one call.
pub const CALL_WORK: Work = Work {
    requests: 1,
    first_requests: 0,
    token_layers: 0.0,
};

/// The reason why no upstream can take a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoUpstream {
    /// Every usable upstream is full.
    AllFull,
    /// No upstream is usable.
    NoneUsable,
}

/// Chooses the upstream of a call.
///
/// `excluded` are upstreams on which the call has already failed; `draw` is random, so that
/// gateways break ties differently.
pub fn choose_upstream(
    table: &InstanceTable,
    service: &ServiceName,
    excluded: &[InstanceKey],
    draw: u64,
    now: Instant,
) -> Result<InstanceKey, NoUpstream> {
    let mut best: Option<(f64, u64, InstanceKey)> = None;
    let mut best_within_pace: Option<(f64, u64, InstanceKey)> = None;
    let mut usable = 0;
    let mut paced = 0;
    for (index, (key, tracked)) in table.of_service(service).enumerate() {
        if !tracked.is_usable() || tracked.is_paused(now) || excluded.contains(&key) {
            continue;
        }
        usable += 1;
        paced += usize::from(tracked.is_paced(now));
        let slots = f64::from(tracked.instance.slots.max(1));
        // Estimated work of peers does not make an upstream full.
        if f64::from(table.total_work(tracked).requests) / slots >= MAX_CALLS_PER_SLOT {
            continue;
        }
        let calls_per_slot = f64::from(table.expected_work(tracked, now).requests) / slots;
        let load = calls_per_slot + FAILURE_WEIGHT * tracked.failure_rate(now);
        let tie = draw.rotate_left(u32::try_from(index % 64).unwrap_or(0));
        let is_better = |best: Option<(f64, u64, InstanceKey)>| {
            best.is_none_or(|(known, known_tie, _)| {
                load.total_cmp(&known).then(tie.cmp(&known_tie)).is_lt()
            })
        };
        if is_better(best) {
            best = Some((load, tie, key));
        }
        if is_better(best_within_pace) && !tracked.is_at_pace(now) {
            best_within_pace = Some((load, tie, key));
        }
    }
    if pace::is_heeded(paced, usable) {
        best = best_within_pace.or(best);
    }
    match best {
        Some((_, _, key)) => Ok(key),
        None if usable > 0 => Err(NoUpstream::AllFull),
        None => Err(NoUpstream::NoneUsable),
    }
}
