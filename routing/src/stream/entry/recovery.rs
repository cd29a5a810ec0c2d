//! Rerouting a stream and opening its next attempt.

use std::time::Duration;

use jujubewall_protocol::stream::HeldState;
use jujubewall_protocol::stream::QuiesceStage;
use jujubewall_protocol::stream::ResumeStage;
use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::RouteStage;
use jujubewall_protocol::stream::SendCache;
use jujubewall_protocol::stream::StreamId;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::error::RetryAdvice;
use jujubewall_types::id::Attempt;
use log::debug;
use smallvec::SmallVec;
use smallvec::smallvec;
use tokio::time::Instant;

use crate::stream::action::EntryAction;
use crate::stream::action::Observation;
use crate::stream::action::RerouteRequest;
use crate::stream::entry::effects::Effects;
use crate::stream::entry::plan::CacheSource;
use crate::stream::entry::plan::ResumableState;
use crate::stream::entry::plan::StagePlan;
use crate::stream::entry::plan::plan_resume;
use crate::stream::entry::stream::KeptPipeline;
use crate::stream::entry::stream::Loss;
use crate::stream::entry::stream::MigrationSource;
use crate::stream::entry::stream::Opening;
use crate::stream::entry::stream::Phase;
use crate::stream::entry::stream::Stall;
use crate::stream::entry::stream::StallDetection;
use crate::stream::entry::stream::Stream;
use crate::stream::entry::stream::covers_layers_once;
use crate::stream::entry::stream::distinct_agents;
use crate::stream::entry::stream::stage_index;
use crate::stream::invariant::StreamInvariant;
use crate::stream::settings::EntrySettings;
use crate::stream::settings::RecoveryMode;

/// Requests a route that replaces the stages in `lost`.
///
/// Excludes their upstreams from further routes if `excludes_lost` is set. The stream can
/// return to the present route unless its loss is certain. Fails the stream after
/// [`EntrySettings::max_attempts`] losses without a new token.
pub fn recover(
    now: Instant,
    stream: &mut Stream,
    lost: &[u8],
    excludes_lost: bool,
    cause: Loss,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    if !matches!(stream.phase, Phase::Opening(_) | Phase::Running(_)) {
        return;
    }
    if excludes_lost {
        exclude(stream, lost, cause, effects);
    }
    note_silent_route(stream, lost, cause);
    stream.losses_since_token += 1;
    if stream.losses_since_token >= settings.max_attempts {
        let failure = Failure::new(ErrorKind::StreamLost, "too many stages were lost");
        fail(stream, failure, settings, effects);
        return;
    }
    let since = stream.last_token;
    stream.stall.get_or_insert(Stall {
        since,
        rerun_positions: 0,
    });
    stream.phase = Phase::Rerouting {
        deadline: now + settings.route_timeout(),
        cause,
    };
    request_route(stream, lost, effects);
}

/// Notes the present route if it may go on, or forgets an earlier one that has ended.
///
/// A replacement that has ended says nothing about the stage that it was to replace.
fn note_silent_route(stream: &mut Stream, lost: &[u8], cause: Loss) {
    if cause != Loss::Certain {
        stream.silent_route = Some(stream.route.clone());
        return;
    }
    let is_lost = |kept: &RouteStage| {
        let mut lost = lost.iter().map(|&index| &stream.route[usize::from(index)]);
        lost.any(|stage| stage.upstream == kept.upstream)
    };
    if stream
        .silent_route
        .as_ref()
        .is_some_and(|route| route.iter().any(is_lost))
    {
        stream.silent_route = None;
    }
}

/// Returns to the pipeline with the silent stages, or fails the stream if there is none
/// or it was kept for the route timeout.
///
/// Its stages are opened for a new attempt, so that what they send late for earlier ones
/// is dropped, and what they have computed is kept. The silent upstreams may be chosen
/// again, since any of them may be the first to go on.
pub fn keep_or_fail(
    now: Instant,
    stream: &mut Stream,
    cause: Loss,
    failure: Failure,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    let earlier = stream.kept.and_then(|kept| kept.deadline);
    let deadline = match cause {
        Loss::EngineSilent => None,
        Loss::Certain | Loss::Silent => earlier.or(Some(now + settings.route_timeout())),
    };
    let is_over = deadline.is_some_and(|deadline| now >= deadline);
    let Some(route) = stream.silent_route.clone().filter(|_| !is_over) else {
        fail(stream, failure, settings, effects);
        return;
    };
    debug!(
        "event=pipeline_kept request={} cause={cause:?} reason=\"{}\"",
        stream.id(),
        failure.message
    );
    stream.kept = Some(KeptPipeline { deadline });
    let silent = std::mem::take(&mut stream.silent_upstreams);
    stream
        .excluded_upstreams
        .retain(|upstream| !silent.contains(upstream));
    open_attempt(now, stream, route, None, settings, effects);
}

/// Returns when the next round of opening stages ends, at the latest when a kept pipeline
/// has been silent for too long.
pub fn open_due(now: Instant, stream: &Stream, settings: &EntrySettings) -> Instant {
    let due = now + settings.open_timeout();
    let deadline = stream.kept.and_then(|kept| kept.deadline);
    let deadline = deadline.filter(|deadline| *deadline > now);
    deadline.map_or(due, |deadline| due.min(deadline))
}

fn exclude(stream: &mut Stream, lost: &[u8], cause: Loss, effects: &mut Effects) {
    for &index in lost {
        let stage = stream.route[usize::from(index)].clone();
        effects.observe(Observation::StageLost {
            upstream: stage.upstream.clone(),
            agent_address: stage.agent_address,
        });
        if !stream.excluded_upstreams.contains(&stage.upstream) {
            if cause != Loss::Certain {
                stream.silent_upstreams.push(stage.upstream.clone());
            }
            stream.excluded_upstreams.push(stage.upstream);
        }
    }
}

fn request_route(stream: &Stream, lost: &[u8], effects: &mut Effects) {
    effects.push(EntryAction::ChooseRoute(Box::new(RerouteRequest {
        request: stream.id(),
        route: stream.route.clone(),
        stages_to_replace: lost.iter().copied().collect(),
        excluded_upstreams: stream.excluded_upstreams.clone(),
    })));
}

/// Requests a route without a leaving upstream, unless the stream is expected to end
/// within `grace`.
pub fn consider_migration(stream: &mut Stream, stage: u8, grace: Duration, effects: &mut Effects) {
    let left = stream.total_tokens() - stream.known_tokens();
    let ends_in_time = stream.mean_gap.is_some_and(|gap| gap * left <= grace);
    let upstream = stream.route[usize::from(stage)].upstream.clone();
    let Phase::Running(detection) = &mut stream.phase else {
        return;
    };
    if ends_in_time || detection.migrating_stage.is_some() {
        return;
    }
    detection.migrating_stage = Some(stage);
    if !stream.excluded_upstreams.contains(&upstream) {
        stream.excluded_upstreams.push(upstream);
    }
    request_route(stream, &[stage], effects);
}

/// Opens the next attempt on `route`.
///
/// The stage `migrating_stage` of the old route still runs, and its state is migrated.
pub fn open_attempt(
    now: Instant,
    stream: &mut Stream,
    route: Route,
    migrating_stage: Option<u8>,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    let is_covering = covers_layers_once(&route, stream.request.layer_count);
    effects.check(StreamInvariant::RouteCoversLayersOnce, is_covering);
    if !is_covering {
        let failure = Failure::new(ErrorKind::Internal, "the route does not cover the model");
        fail(stream, failure, settings, effects);
        return;
    }
    let old_route = stream.route.clone();
    stream.begin_attempt(route);
    let resumes = is_resumable(stream, settings);
    let source = migrating_stage.filter(|_| resumes);
    let opening = Opening {
        held: smallvec![None; stream.route.len()],
        activities: smallvec![None; stream.route.len()],
        source: source.and_then(|stage| migration_source(stream, &old_route, stage)),
        old_route,
        due: open_due(now, stream, settings),
        rounds: 1,
    };
    stream.send_opens(now, resumes, |_| true, effects);
    send_quiesce(&opening, effects);
    stream.phase = Phase::Opening(Box::new(opening));
}

/// Stops the stage that migrates, unless it has already reported that it stopped.
pub fn send_quiesce(opening: &Opening, effects: &mut Effects) {
    if let Some(source) = opening
        .source
        .as_ref()
        .filter(|source| source.held.is_none())
    {
        let agent = opening.old_route[usize::from(source.old_stage)].agent_address;
        effects.send(agent, StreamMessage::Quiesce(source.quiesce.clone()));
    }
}

/// Returns whether the stages of the current attempt keep their state and are resumed.
pub fn is_resumable(stream: &Stream, settings: &EntrySettings) -> bool {
    stream.attempt > Attempt(1) && settings.recovery == RecoveryMode::Replay
}

fn migration_source(stream: &Stream, old_route: &Route, old_stage: u8) -> Option<MigrationSource> {
    let old = &old_route[usize::from(old_stage)];
    let replaces =
        |stage: &RouteStage| stage.layers == old.layers && stage.upstream != old.upstream;
    let stage = stream.route.iter().position(replaces)?;
    Some(MigrationSource {
        quiesce: QuiesceStage {
            id: stream.stream_id(),
            stage: stage_index(stage),
            upstream: old.upstream.clone(),
            known_tokens: stream.known_tokens(),
        },
        old_stage,
        held: None,
    })
}

/// Starts the attempt once every stage has reported what it holds.
pub fn start_if_opened(
    now: Instant,
    stream: &mut Stream,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    let Phase::Opening(opening) = &stream.phase else {
        return;
    };
    let awaits_source = opening
        .source
        .as_ref()
        .is_some_and(|source| source.held.is_none());
    if awaits_source || opening.held.iter().any(Option::is_none) {
        return;
    }
    if let Some(kept) = &mut stream.kept {
        kept.deadline = None;
    }
    let detection = StallDetection::new(now + settings.stall());
    let phase = std::mem::replace(&mut stream.phase, Phase::Running(detection));
    let Phase::Opening(opening) = phase else {
        return;
    };
    let keep = if is_resumable(stream, settings) {
        resume_stages(stream, &opening, effects)
    } else {
        0
    };
    stream.send_known_tokens(keep, settings.prefill_chunk_positions, effects);
    close_replaced(stream, &opening, effects);
}

/// Resumes every stage, and returns the number of positions that the first one keeps.
fn resume_stages(stream: &mut Stream, opening: &Opening, effects: &mut Effects) -> u32 {
    let states = resumable_states(stream, opening);
    let plans = plan_resume(stream.known_tokens(), &states);
    let rerun: u32 = rerun_positions(&states, &plans);
    if let Some(stall) = &mut stream.stall {
        stall.rerun_positions += rerun;
    }
    for (index, plan) in plans.iter().enumerate() {
        let stage = stage_index(index);
        let resume = ResumeStage {
            id: stream.stream_id(),
            stage,
            keep: plan.keep,
            send_from: plan.send_from,
            known_tokens: stream.known_tokens(),
            imports_cache: plan.import_from.is_some(),
        };
        stream.send_to(stage, StreamMessage::Resume(resume), effects);
        stream.resumes.push(resume);
        if let Some(holder) = plan.import_from {
            let order = SendCache {
                id: stream.stream_id(),
                stage,
                layers: stream.route[index].layers,
                to_address: stream.route[index].agent_address,
            };
            effects.send(holder, StreamMessage::SendCache(order));
        }
    }
    plans[0].keep
}

fn resumable_states(stream: &Stream, opening: &Opening) -> SmallVec<[ResumableState; 4]> {
    let held = opening.held.iter().enumerate();
    let mut states: SmallVec<[ResumableState; 4]> = held
        .map(|(index, held)| {
            let held = held.unwrap_or_default();
            let mut state = ResumableState::new(&held, &stream.history);
            state.source = checkpoint_source(stream, opening, index);
            state
        })
        .collect();
    if let Some(source) = &opening.source
        && let Some(held) = source.held
    {
        let agent = opening.old_route[usize::from(source.old_stage)].agent_address;
        let old = ResumableState::new(&held, &stream.history);
        let index = usize::from(source.quiesce.stage);
        let is_last = index + 1 == states.len();
        states[index].source = Some(CacheSource {
            address: agent,
            positions: old.cached,
            // The output of a last stage is tokens, which the entry has already committed.
            retained_from: if is_last {
                old.cached
            } else {
                old.retained_from
            },
        });
    }
    states
}

/// Returns the longest checkpoint of the stage's KV cache that another stage's agent keeps.
fn checkpoint_source(stream: &Stream, opening: &Opening, index: usize) -> Option<CacheSource> {
    let layers = stream.route[index].layers;
    let holders = stream.route.iter().zip(&opening.held);
    let checkpoints = holders.filter_map(|(stage, held)| {
        let checkpoint = held.as_ref().and_then(|held: &HeldState| held.checkpoint)?;
        let positions = stream
            .history
            .valid_positions(checkpoint.attempt.0, checkpoint.positions);
        let address = stage.agent_address;
        (checkpoint.layers == layers).then_some(CacheSource {
            address,
            positions,
            retained_from: positions,
        })
    });
    checkpoints.max_by_key(|source| source.positions)
}

/// Returns the number of valid cached positions that the stages rerun.
fn rerun_positions(states: &[ResumableState], plans: &[StagePlan]) -> u32 {
    let rerun =
        |(state, plan): (&ResumableState, &StagePlan)| state.cached.saturating_sub(plan.keep);
    states.iter().zip(plans).map(rerun).sum()
}

/// Closes the earlier attempts at the agents whose stages were replaced.
///
/// The agent that is to export its KV cache is left open.
fn close_replaced(stream: &Stream, opening: &Opening, effects: &mut Effects) {
    let earlier = StreamId {
        request: stream.id(),
        attempt: Attempt(stream.attempt.0 - 1),
    };
    let is_kept = |upstream| stream.route.iter().any(|stage| stage.upstream == upstream);
    let mut replaced = opening.old_route.clone();
    replaced.retain(|stage| !is_kept(stage.upstream.clone()));
    let cache_exporter = opening.source.as_ref().map(|source| {
        let stage = &opening.old_route[usize::from(source.old_stage)];
        stage.agent_address
    });
    for agent in distinct_agents(&replaced) {
        if cache_exporter != Some(agent) {
            effects.send(agent, StreamMessage::Close(earlier));
        }
    }
}

/// Ends a stream before its answer is complete.
///
/// Once a stage may have run, the failure is reported as [`ErrorKind::StreamLost`], so
/// that the caller is not told that nothing ran.
pub fn fail(
    stream: &mut Stream,
    mut failure: Failure,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    if stream.has_run {
        failure.kind = ErrorKind::StreamLost;
    }
    if failure.kind.answer().retry == RetryAdvice::After {
        failure
            .retry_after_ms
            .get_or_insert(settings.retry_after_ms);
    }
    stream.close_all(effects);
    stream.phase = Phase::Ended;
    let request = stream.id();
    effects.push(EntryAction::Fail { request, failure });
}
