//! Planning which positions each stage of a new attempt keeps, resends and reruns.

use std::net::SocketAddr;

use jujubewall_protocol::stream::HeldState;
use smallvec::SmallVec;

/// The state from which a stage of the new attempt can resume.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResumableState {
    /// The number of positions in the stage's KV cache that are valid for the answer.
    pub cached: u32,
    /// The first position whose output the stage retains and can resend.
    pub retained_from: u32,
    /// Another agent's KV cache for the stage, if there is one.
    pub source: Option<CacheSource>,
}

/// A KV cache for a stage that another agent holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheSource {
    /// The address of the agent that holds the cache.
    pub address: SocketAddr,
    /// The number of positions in the cache that are valid for the answer.
    pub positions: u32,
    /// The first position whose output is transferred with the cache.
    pub retained_from: u32,
}

/// How a stage of the new attempt resumes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StagePlan {
    /// The number of positions that the stage keeps and does not rerun.
    pub keep: u32,
    /// The first position whose output the stage sends to the next one.
    pub send_from: u32,
    /// The agent whose KV cache the stage imports before it resumes.
    pub import_from: Option<SocketAddr>,
}

impl ResumableState {
    /// Creates the resumable state from what a stage holds and the attempt history.
    pub fn new(held: &HeldState, history: &AttemptHistory) -> Self {
        let cached = history.valid_positions(held.attempt.0, held.cached);
        Self {
            cached,
            retained_from: held.retained_from.min(cached),
            source: None,
        }
    }
}

/// The number of tokens that were known at the start of each attempt.
///
/// Positions that a stage computed in one attempt are valid only up to the start
/// of the next attempt, because the next attempt may have generated different
/// tokens from there on.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    known_at_start: SmallVec<[u32; 4]>,
}

impl AttemptHistory {
    /// Records that the next attempt begins with `known_tokens`.
    pub fn begin_attempt(&mut self, known_tokens: u32) {
        self.known_at_start.push(known_tokens);
    }

    /// Raises the number of tokens with which the current attempt begins.
    pub fn extend_start(&mut self, known_tokens: u32) {
        if let Some(start) = self.known_at_start.last_mut() {
            *start = known_tokens;
        }
    }

    /// Returns how many of the `positions` computed in `attempt` are valid for the answer.
    ///
    /// Attempts are numbered from one. Returns zero for the current attempt, because
    /// no stage has computed anything in it yet.
    pub fn valid_positions(&self, attempt: u32, positions: u32) -> u32 {
        let next_start = self.known_at_start.get(attempt as usize);
        let is_earlier = attempt > 0;
        next_start.map_or(
            0,
            |&start| if is_earlier { positions.min(start) } else { 0 },
        )
    }
}

/// Plans how every stage resumes in an attempt that begins with `known_tokens`.
///
/// Goes from the last stage to the first. Each stage sends the output that the
/// next one is missing: from retained output if it has it, and by rerunning
/// those positions otherwise.
pub fn plan_resume(known_tokens: u32, stages: &[ResumableState]) -> SmallVec<[StagePlan; 4]> {
    let mut missing_from = known_tokens - 1;
    let mut plans = SmallVec::new();
    for state in stages.iter().rev() {
        let plan = plan_stage(missing_from, state);
        missing_from = plan.keep;
        plans.push(plan);
    }
    plans.reverse();
    plans
}

fn plan_stage(missing_from: u32, state: &ResumableState) -> StagePlan {
    let source = state
        .source
        .filter(|source| source.positions > state.cached);
    let cached = source.map_or(state.cached, |source| source.positions);
    let retained_from = source.map_or(state.retained_from, |source| source.retained_from);
    let can_resend = missing_from >= retained_from;
    let keep = if can_resend {
        cached
    } else {
        missing_from.min(cached)
    };
    StagePlan {
        keep,
        send_from: missing_from,
        import_from: source.map(|source| source.address),
    }
}
