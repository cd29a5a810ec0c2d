//! Handlers for the messages and deadlines of one stream.

use std::time::Duration;

use jujubewall_protocol::stream::GeneratedToken;
use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::StageActivity;
use jujubewall_protocol::stream::StageFailed;
use jujubewall_protocol::stream::StageHeld;
use jujubewall_protocol::stream::StageProgress;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::stream::action::EntryAction;
use crate::stream::action::Observation;
use crate::stream::entry::effects::Effects;
use crate::stream::entry::probe;
use crate::stream::entry::recovery;
use crate::stream::entry::recovery::fail;
use crate::stream::entry::recovery::recover;
use crate::stream::entry::stream::CommittedTokens;
use crate::stream::entry::stream::Loss;
use crate::stream::entry::stream::Phase;
use crate::stream::entry::stream::Stream;
use crate::stream::entry::stream::stage_index;
use crate::stream::invariant::StreamInvariant;
use crate::stream::settings::EntrySettings;

/// The number of `Open` rounds after which a stage that sent nothing counts as lost.
const MAX_SILENT_OPEN_ROUNDS: u32 = 2;

/// The number of `Open` rounds after which a stage that reports activity but has
/// not opened counts as lost.
const MAX_SLOW_OPEN_ROUNDS: u32 = 16;

/// The number of `Open` rounds after which another route is asked for again while the
/// stream keeps a silent pipeline.
const KEPT_ROUTE_RETRY_ROUNDS: u32 = 2;

/// The reciprocal of the newest token gap's weight in the moving average.
const GAP_WEIGHT_DIVISOR: u32 = 8;

/// Handles a message about the current attempt.
pub fn handle(
    now: Instant,
    stream: &mut Stream,
    message: StreamMessage,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    match message {
        StreamMessage::Opened(opened) => on_opened(now, stream, &opened, settings, effects),
        StreamMessage::Quiesced(held) => on_quiesced(now, stream, &held, settings, effects),
        StreamMessage::Token(token) => on_token(now, stream, &token, settings, effects),
        StreamMessage::Refused(refused) => on_refused(now, stream, refused, settings, effects),
        StreamMessage::Failed(failed) if usize::from(failed.stage) < stream.route.len() => {
            let cause = match failed.failure.kind {
                ErrorKind::OutcomeUnknown => Loss::EngineSilent,
                _ => Loss::Certain,
            };
            recover(now, stream, &[failed.stage], true, cause, settings, effects);
        }
        StreamMessage::Progress(progress) => {
            record_activity(stream, &progress);
            probe::on_progress(now, stream, progress, settings, effects);
        }
        StreamMessage::Leaving(leaving) if usize::from(leaving.stage) < stream.route.len() => {
            let grace = Duration::from_millis(leaving.grace_ms);
            recovery::consider_migration(stream, leaving.stage, grace, effects);
        }
        _ => {}
    }
}

fn record_activity(stream: &mut Stream, progress: &StageProgress) {
    if let Phase::Opening(opening) = &mut stream.phase
        && let Some(activity) = opening.activities.get_mut(usize::from(progress.stage))
    {
        *activity = Some(progress.activity);
    }
}

fn on_opened(
    now: Instant,
    stream: &mut Stream,
    opened: &StageHeld,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    let Phase::Opening(opening) = &mut stream.phase else {
        return;
    };
    if let Some(held) = opening.held.get_mut(usize::from(opened.stage)) {
        *held = Some(opened.held);
    }
    commit_reported_tokens(now, stream, opened, effects);
    recovery::start_if_opened(now, stream, settings, effects);
}

fn on_quiesced(
    now: Instant,
    stream: &mut Stream,
    quiesced: &StageHeld,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    let Phase::Opening(opening) = &mut stream.phase else {
        return;
    };
    if let Some(source) = &mut opening.source {
        source.held = Some(quiesced.held);
    }
    commit_reported_tokens(now, stream, quiesced, effects);
    recovery::start_if_opened(now, stream, settings, effects);
}

/// Commits tokens of the previous attempt that reached a stage but not the entry.
///
/// Only the previous attempt can have generated them. Committing them keeps the
/// positions that the stages computed from them valid, so that they aren't rerun.
fn commit_reported_tokens(
    now: Instant,
    stream: &mut Stream,
    report: &StageHeld,
    effects: &mut Effects,
) {
    if report.held.attempt.next() != stream.attempt {
        return;
    }
    let (known, total) = (stream.known_tokens(), stream.total_tokens());
    let mut committed = CommittedTokens::default();
    for (position, &token) in (stream.attempt_known_tokens..total).zip(&report.tokens) {
        if position >= known {
            committed.push(position, token);
        }
    }
    if committed.tokens.is_empty() {
        return;
    }
    stream.tokens.extend_from_slice(&committed.tokens);
    stream.history.extend_start(stream.known_tokens());
    stream.last_token = now;
    deliver(stream, committed, effects);
    if stream.is_complete() {
        finish(stream, effects);
    }
}

/// Fails the stream if every upstream would refuse it, and reroutes it otherwise.
fn on_refused(
    now: Instant,
    stream: &mut Stream,
    refused: StageFailed,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    let Some(stage) = stream.route.get(usize::from(refused.stage)) else {
        return;
    };
    effects.observe(Observation::Refused {
        request: refused.id.request,
        upstream: stage.upstream.clone(),
        failure: refused.failure.clone(),
    });
    let is_final = matches!(
        refused.failure.kind,
        ErrorKind::AccountLimit | ErrorKind::DeadlineUnreachable | ErrorKind::UnknownModel
    );
    if is_final {
        fail(stream, refused.failure, settings, effects);
        return;
    }
    let upstream = stage.upstream.clone();
    if !stream.excluded_upstreams.contains(&upstream) {
        stream.excluded_upstreams.push(upstream);
    }
    let lost = [refused.stage];
    recover(now, stream, &lost, false, Loss::Certain, settings, effects);
}

fn on_token(
    now: Instant,
    stream: &mut Stream,
    generated: &GeneratedToken,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    if !matches!(stream.phase, Phase::Running(_)) {
        return;
    }
    let is_of_whole_pipeline =
        generated.id == stream.stream_id() && generated.layers_done == stream.request.layer_count;
    effects.check(StreamInvariant::TokenOfWholePipeline, is_of_whole_pipeline);
    if !is_of_whole_pipeline {
        return;
    }
    let committed = stream.commit(generated);
    if committed.tokens.is_empty() {
        return;
    }
    record_token_gap(now, stream, effects);
    if let Phase::Running(detection) = &mut stream.phase {
        detection.record_progress(now + settings.stall());
    }
    deliver(stream, committed, effects);
    if stream.is_complete() {
        finish(stream, effects);
    }
}

fn record_token_gap(now: Instant, stream: &mut Stream, effects: &mut Effects) {
    let gap = now.saturating_duration_since(stream.last_token);
    let request = stream.id();
    stream.last_token = now;
    stream.losses_since_token = 0;
    stream.silent_route = None;
    stream.kept = None;
    if let Some(stall) = stream.stall.take() {
        stream.excluded_upstreams.clear();
        stream.silent_upstreams.clear();
        effects.observe(Observation::Recovered {
            request,
            stall: now.saturating_duration_since(stall.since),
            rerun_positions: stall.rerun_positions,
        });
    } else if stream.delivered > 0 {
        let mean = stream.mean_gap.unwrap_or(gap);
        let older = mean * (GAP_WEIGHT_DIVISOR - 1);
        stream.mean_gap = Some((older + gap) / GAP_WEIGHT_DIVISOR);
        effects.observe(Observation::TokenGap { request, gap });
    }
}

fn deliver(stream: &mut Stream, committed: CommittedTokens, effects: &mut Effects) {
    for position in committed.positions {
        let is_in_order = position == stream.next_delivery_position();
        effects.check(StreamInvariant::DeliveredInOrder, is_in_order);
        stream.delivered += 1;
    }
    effects.push(EntryAction::Deliver {
        request: stream.id(),
        tokens: committed.tokens,
    });
}

fn finish(stream: &mut Stream, effects: &mut Effects) {
    let is_fully_delivered = stream.delivered == stream.request.max_answer_tokens;
    effects.check(StreamInvariant::FinishedWhole, is_fully_delivered);
    stream.close_all(effects);
    stream.phase = Phase::Ended;
    let request = stream.id();
    effects.push(EntryAction::Finish { request });
}

/// Handles the chosen route, or the failure to choose one.
pub fn on_route(
    now: Instant,
    stream: &mut Stream,
    route: Result<Route, Failure>,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    match &mut stream.phase {
        &mut Phase::Rerouting { cause, .. } => match route {
            Ok(route) => recovery::open_attempt(now, stream, route, None, settings, effects),
            Err(failure) => {
                recovery::keep_or_fail(now, stream, cause, failure, settings, effects);
            }
        },
        Phase::Running(detection) => {
            let migrating_stage = detection.migrating_stage.take();
            if let (Some(stage), Ok(route)) = (migrating_stage, route) {
                recovery::open_attempt(now, stream, route, Some(stage), settings, effects);
            }
        }
        Phase::Opening(_) | Phase::Ended => {}
    }
}

/// Handles the request deadline and the timeout of the current phase.
pub fn check_due(
    now: Instant,
    stream: &mut Stream,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    if now >= stream.request.deadline {
        let failure = Failure::new(ErrorKind::StreamLost, "the deadline has passed");
        fail(stream, failure, settings, effects);
        return;
    }
    match &stream.phase {
        Phase::Opening(opening) if now >= opening.due => {
            check_opening(now, stream, settings, effects);
        }
        Phase::Running(detection) if now >= detection.due => {
            probe::check_stall(now, stream, settings, effects);
        }
        Phase::Rerouting { deadline, cause } if now >= *deadline => {
            let (cause, message) = (*cause, "no route was found in time");
            let failure = Failure::new(ErrorKind::NoUpstream, message);
            recovery::keep_or_fail(now, stream, cause, failure, settings, effects);
        }
        _ => {}
    }
}

/// Sends `Open` again to the stages that have not opened, or reroutes around lost ones.
fn check_opening(
    now: Instant,
    stream: &mut Stream,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    let due = recovery::open_due(now, stream, settings);
    let Phase::Opening(opening) = &mut stream.phase else {
        return;
    };
    let rounds = opening.rounds;
    let max_slow_rounds = match stream.kept {
        Some(_) => KEPT_ROUTE_RETRY_ROUNDS,
        None => MAX_SLOW_OPEN_ROUNDS,
    };
    let is_missing = |&(_, held): &(usize, &Option<_>)| held.is_none();
    let missing = opening.held.iter().enumerate().filter(is_missing);
    let missing: SmallVec<[u8; 4]> = missing.map(|(index, _)| stage_index(index)).collect();
    let is_lost = |stage: &u8| match opening.activities[usize::from(*stage)] {
        None => true,
        // Admission admits or refuses the stage before the request deadline.
        Some(StageActivity::Queued) => false,
        Some(_) => rounds >= max_slow_rounds,
    };
    let lost: SmallVec<[u8; 4]> = missing.iter().copied().filter(is_lost).collect();
    let is_silent = |stage: &u8| opening.activities[usize::from(*stage)].is_none();
    let cause = if lost.iter().any(is_silent) {
        Loss::Silent
    } else {
        Loss::EngineSilent
    };
    let kept_until = stream.kept.and_then(|kept| kept.deadline);
    let is_kept_too_long = kept_until == Some(opening.due);
    if !lost.is_empty() && (rounds >= MAX_SILENT_OPEN_ROUNDS || is_kept_too_long) {
        recover(now, stream, &lost, true, cause, settings, effects);
        return;
    }
    if rounds >= MAX_SILENT_OPEN_ROUNDS
        && opening
            .source
            .as_ref()
            .is_some_and(|source| source.held.is_none())
    {
        opening.source = None;
    }
    opening.rounds += 1;
    opening.due = due;
    opening.activities.fill(None);
    recovery::send_quiesce(opening, effects);
    let resumes = recovery::is_resumable(stream, settings);
    stream.send_opens(
        now,
        resumes,
        |index| missing.contains(&stage_index(index)),
        effects,
    );
    for &stage in &missing {
        probe::send_probe(stream, stage, effects);
    }
    recovery::start_if_opened(now, stream, settings, effects);
}
