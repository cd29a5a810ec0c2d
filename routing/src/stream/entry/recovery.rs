//! How a stream goes on with a new attempt.

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
use smallvec::SmallVec;
use smallvec::smallvec;
use tokio::time::Instant;

use crate::stream::action::EntryAction;
use crate::stream::action::Observation;
use crate::stream::action::RouteNeed;
use crate::stream::entry::effects::Effects;
use crate::stream::entry::plan::CacheSource;
use crate::stream::entry::plan::StageMeans;
use crate::stream::entry::plan::StagePlan;
use crate::stream::entry::plan::plan_resume;
use crate::stream::entry::stream::MoveSource;
use crate::stream::entry::stream::Opening;
use crate::stream::entry::stream::Phase;
use crate::stream::entry::stream::Stall;
use crate::stream::entry::stream::Stream;
use crate::stream::entry::stream::Watch;
use crate::stream::entry::stream::covers_layers_once;
use crate::stream::entry::stream::distinct_agents;
use crate::stream::entry::stream::stage_index;
use crate::stream::invariant::StreamInvariant;
use crate::stream::settings::EntrySettings;
use crate::stream::settings::RecoveryMode;

/// Asks for a route without the stages that are lost.
pub fn recover(
    now: Instant,
    stream: &mut Stream,
    lost: &[u8],
    excludes: bool,
    settings: &EntrySettings,
    fx: &mut Effects,
) {
    if !matches!(stream.phase, Phase::Opening(_) | Phase::Running(_)) {
        return;
    }
    if excludes {
        exclude(stream, lost, fx);
    }
    if stream.attempt.0 >= settings.max_attempts {
        let failure = Failure::new(ErrorKind::StreamLost, "too many stages were lost");
        fail(stream, failure, settings, fx);
        return;
    }
    let since = stream.last_token;
    stream.stall.get_or_insert(Stall {
        since,
        rerun_positions: 0,
    });
    stream.phase = Phase::Rerouting {
        until: now + settings.route_timeout(),
    };
    need_route(stream, lost, fx);
}

fn exclude(stream: &mut Stream, lost: &[u8], fx: &mut Effects) {
    for &index in lost {
        let stage = stream.route[usize::from(index)].clone();
        fx.observe(Observation::StageLost {
            upstream: stage.upstream.clone(),
            agent_address: stage.agent_address,
        });
        if !stream.excluded.contains(&stage.upstream) {
            stream.excluded.push(stage.upstream);
        }
    }
}

fn need_route(stream: &Stream, lost: &[u8], fx: &mut Effects) {
    fx.push(EntryAction::NeedRoute(Box::new(RouteNeed {
        request: stream.id(),
        route: stream.route.clone(),
        lost: lost.iter().copied().collect(),
        exclude: stream.excluded.clone(),
    })));
}

/// Asks for a route without a leaving upstream, unless the stream ends in time there.
pub fn consider_move(stream: &mut Stream, stage: u8, grace: Duration, fx: &mut Effects) {
    let left = stream.total_tokens() - stream.known_tokens();
    let ends_in_time = stream.mean_gap.is_some_and(|gap| gap * left <= grace);
    let upstream = stream.route[usize::from(stage)].upstream.clone();
    let Phase::Running(watch) = &mut stream.phase else {
        return;
    };
    if ends_in_time || watch.moving.is_some() {
        return;
    }
    watch.moving = Some(stage);
    if !stream.excluded.contains(&upstream) {
        stream.excluded.push(upstream);
    }
    need_route(stream, &[stage], fx);
}

/// Begins an attempt on `route`; the stage `moving` of the old one still runs.
pub fn begin(
    now: Instant,
    stream: &mut Stream,
    route: Route,
    moving: Option<u8>,
    settings: &EntrySettings,
    fx: &mut Effects,
) {
    let is_covering = covers_layers_once(&route, stream.request.layer_count);
    fx.check(StreamInvariant::RouteCoversLayersOnce, is_covering);
    if !is_covering {
        let failure = Failure::new(ErrorKind::Internal, "the route does not cover the model");
        fail(stream, failure, settings, fx);
        return;
    }
    let old_route = stream.route.clone();
    stream.begin_attempt(route);
    let resumes = is_resumable(stream, settings);
    let source = moving.filter(|_| resumes);
    let opening = Opening {
        held: smallvec![None; stream.route.len()],
        heard: smallvec![None; stream.route.len()],
        source: source.and_then(|stage| move_source(stream, &old_route, stage)),
        old_route,
        due: now + settings.open_timeout(),
        rounds: 1,
    };
    stream.send_opens(now, resumes, |_| true, fx);
    send_quiesce(&opening, fx);
    stream.phase = Phase::Opening(Box::new(opening));
}

/// Sends the order that stops the stage which moves.
pub fn send_quiesce(opening: &Opening, fx: &mut Effects) {
    if let Some(source) = opening
        .source
        .as_ref()
        .filter(|source| source.held.is_none())
    {
        let agent = opening.old_route[usize::from(source.old_stage)].agent_address;
        fx.send(agent, StreamMessage::Quiesce(source.quiesce.clone()));
    }
}

/// Returns whether the stages of the current attempt keep what they hold.
pub fn is_resumable(stream: &Stream, settings: &EntrySettings) -> bool {
    stream.attempt > Attempt(1) && settings.recovery == RecoveryMode::Replay
}

fn move_source(stream: &Stream, old_route: &Route, old_stage: u8) -> Option<MoveSource> {
    let old = &old_route[usize::from(old_stage)];
    let replaces =
        |stage: &RouteStage| stage.layers == old.layers && stage.upstream != old.upstream;
    let stage = stream.route.iter().position(replaces)?;
    Some(MoveSource {
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

/// Starts the attempt once every stage has told what it holds.
pub fn start_if_opened(
    now: Instant,
    stream: &mut Stream,
    settings: &EntrySettings,
    fx: &mut Effects,
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
    let watch = Watch::new(now + settings.stall());
    let phase = std::mem::replace(&mut stream.phase, Phase::Running(watch));
    let Phase::Opening(opening) = phase else {
        return;
    };
    let keep = if is_resumable(stream, settings) {
        resume_stages(stream, &opening, fx)
    } else {
        0
    };
    stream.send_known_tokens(keep, settings.prefill_chunk_positions, fx);
    close_replaced(stream, &opening, fx);
}

/// Orders every stage to go on, and returns how many positions the first one keeps.
fn resume_stages(stream: &mut Stream, opening: &Opening, fx: &mut Effects) -> u32 {
    let means = stage_means(stream, opening);
    let plans = plan_resume(stream.known_tokens(), &means);
    let rerun: u32 = rerun_positions(&means, &plans);
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
        stream.send_to(stage, StreamMessage::Resume(resume), fx);
        stream.resumes.push(resume);
        if let Some(holder) = plan.import_from {
            let order = SendCache {
                id: stream.stream_id(),
                stage,
                layers: stream.route[index].layers,
                to_address: stream.route[index].agent_address,
            };
            fx.send(holder, StreamMessage::SendCache(order));
        }
    }
    plans[0].keep
}

fn stage_means(stream: &Stream, opening: &Opening) -> SmallVec<[StageMeans; 4]> {
    let held = opening.held.iter().enumerate();
    let mut means: SmallVec<[StageMeans; 4]> = held
        .map(|(index, held)| {
            let held = held.unwrap_or_default();
            let mut means = StageMeans::new(&held, &stream.lineage);
            means.source = copy_source(stream, opening, index);
            means
        })
        .collect();
    if let Some(source) = &opening.source
        && let Some(held) = source.held
    {
        let agent = opening.old_route[usize::from(source.old_stage)].agent_address;
        let old = StageMeans::new(&held, &stream.lineage);
        let index = usize::from(source.quiesce.stage);
        let is_last = index + 1 == means.len();
        means[index].source = Some(CacheSource {
            address: agent,
            positions: old.cached,
            // A last stage's output are tokens, which the entry has taken over.
            retained_from: if is_last {
                old.cached
            } else {
                old.retained_from
            },
        });
    }
    means
}

/// Returns the agent of another stage that keeps a copy of this one's KV cache.
fn copy_source(stream: &Stream, opening: &Opening, index: usize) -> Option<CacheSource> {
    let layers = stream.route[index].layers;
    let holders = stream.route.iter().zip(&opening.held);
    let copies = holders.filter_map(|(stage, held)| {
        let copy = held.as_ref().and_then(|held: &HeldState| held.checkpoint)?;
        let positions = stream
            .lineage
            .valid_positions(copy.attempt.0, copy.positions);
        let address = stage.agent_address;
        (copy.layers == layers).then_some(CacheSource {
            address,
            positions,
            retained_from: positions,
        })
    });
    copies.max_by_key(|source| source.positions)
}

fn rerun_positions(means: &[StageMeans], plans: &[StagePlan]) -> u32 {
    let again = |(means, plan): (&StageMeans, &StagePlan)| means.cached.saturating_sub(plan.keep);
    means.iter().zip(plans).map(again).sum()
}

/// Lets the agents whose stages were replaced forget the attempts before.
fn close_replaced(stream: &Stream, opening: &Opening, fx: &mut Effects) {
    let earlier = StreamId {
        request: stream.id(),
        attempt: Attempt(stream.attempt.0 - 1),
    };
    let is_kept = |upstream| stream.route.iter().any(|stage| stage.upstream == upstream);
    let mut replaced = opening.old_route.clone();
    replaced.retain(|stage| !is_kept(stage.upstream.clone()));
    let gives_cache = opening.source.as_ref().map(|source| {
        let stage = &opening.old_route[usize::from(source.old_stage)];
        stage.agent_address
    });
    for agent in distinct_agents(&replaced) {
        if gives_cache != Some(agent) {
            fx.send(agent, StreamMessage::Close(earlier));
        }
    }
}

/// Ends a stream without its whole answer.
///
/// Once a stage may have run, the caller is no longer told that nothing ran.
pub fn fail(stream: &mut Stream, mut failure: Failure, settings: &EntrySettings, fx: &mut Effects) {
    if stream.has_run {
        failure.kind = ErrorKind::StreamLost;
    }
    if failure.kind.answer().retry == RetryAdvice::After {
        failure
            .retry_after_ms
            .get_or_insert(settings.retry_after_ms);
    }
    stream.close_all(fx);
    stream.phase = Phase::Ended;
    let request = stream.id();
    fx.push(EntryAction::Fail { request, failure });
}
