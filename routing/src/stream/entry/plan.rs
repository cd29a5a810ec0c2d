//! How the stages of a later attempt go on with the least work.

use std::net::SocketAddr;

use jujubewall_protocol::stream::HeldState;
use smallvec::SmallVec;

/// What a stage of the new attempt can go on from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StageMeans {
    /// The number of positions in its KV cache that belong to the answer.
    pub cached: u32,
    /// The first position whose output it can send again.
    pub retained_from: u32,
    /// Where a longer KV cache can be had.
    pub source: Option<CacheSource>,
}

/// A KV cache that another agent holds for a stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheSource {
    /// The agent that holds it.
    pub address: SocketAddr,
    /// The number of its positions that belong to the answer.
    pub positions: u32,
    /// The first position whose output comes with it.
    pub retained_from: u32,
}

/// What a stage of the new attempt does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StagePlan {
    /// The number of positions that it does not run again.
    pub keep: u32,
    /// The first position whose output it sends to the next stage.
    pub send_from: u32,
    /// The agent from which it imports its KV cache first.
    pub import_from: Option<SocketAddr>,
}

impl StageMeans {
    /// Creates the means of a stage from what it holds and the lineage of the answer.
    pub fn new(held: &HeldState, lineage: &Lineage) -> Self {
        let cached = lineage.valid_positions(held.attempt.0, held.cached);
        Self {
            cached,
            retained_from: held.retained_from.min(cached),
            source: None,
        }
    }
}

/// The number of tokens that were known when each attempt began.
///
/// What a stage computed in an attempt belongs to the answer only up to where
/// the next attempt began, because that one may have generated other tokens.
#[derive(Clone, Debug, Default)]
pub struct Lineage {
    known_at_start: SmallVec<[u32; 4]>,
}

impl Lineage {
    /// Notes that the next attempt begins with `known_tokens`.
    pub fn begin_attempt(&mut self, known_tokens: u32) {
        self.known_at_start.push(known_tokens);
    }

    /// Notes that the current attempt begins with more tokens than was said before.
    pub fn extend_start(&mut self, known_tokens: u32) {
        if let Some(start) = self.known_at_start.last_mut() {
            *start = known_tokens;
        }
    }

    /// Returns how many of the positions that were run in `attempt` belong to the answer.
    ///
    /// Attempts count from one. What the current attempt itself has run is not
    /// valid here, because no stage has begun it yet.
    pub fn valid_positions(&self, attempt: u32, positions: u32) -> u32 {
        let next_start = self.known_at_start.get(attempt as usize);
        let is_earlier = attempt > 0;
        next_start.map_or(
            0,
            |&start| if is_earlier { positions.min(start) } else { 0 },
        )
    }
}

/// Plans from the last stage to the first how an attempt with `known_tokens` begins.
///
/// Each stage sends what the next one lacks: from retained output if it can, and
/// by running those positions again if it cannot.
pub fn plan_resume(known_tokens: u32, stages: &[StageMeans]) -> SmallVec<[StagePlan; 4]> {
    let mut lacked_from = known_tokens - 1;
    let mut plans = SmallVec::new();
    for means in stages.iter().rev() {
        let plan = plan_stage(lacked_from, means);
        lacked_from = plan.keep;
        plans.push(plan);
    }
    plans.reverse();
    plans
}

fn plan_stage(lacked_from: u32, means: &StageMeans) -> StagePlan {
    let source = means
        .source
        .filter(|source| source.positions > means.cached);
    let cached = source.map_or(means.cached, |source| source.positions);
    let retained_from = source.map_or(means.retained_from, |source| source.retained_from);
    let can_send = lacked_from >= retained_from;
    let keep = if can_send {
        cached
    } else {
        lacked_from.min(cached)
    };
    StagePlan {
        keep,
        send_from: lacked_from,
        import_from: source.map(|source| source.address),
    }
}
