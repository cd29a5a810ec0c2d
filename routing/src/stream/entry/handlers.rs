//! How an entry handles each message and deadline of one stream.

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
use crate::stream::entry::stream::Committed;
use crate::stream::entry::stream::Phase;
use crate::stream::entry::stream::Stream;
use crate::stream::entry::stream::stage_index;
use crate::stream::invariant::StreamInvariant;
use crate::stream::settings::EntrySettings;

/// The number of times that stages are asked to open before silent ones are given up.
const OPEN_ROUNDS: u32 = 2;

/// The number of times that stages are asked to open before slow ones are given up.
const MAX_OPEN_ROUNDS: u32 = 16;

/// The weight of the newest gap between tokens in the mean, as its reciprocal.
const GAP_WEIGHT_DIVISOR: u32 = 8;

/// Handles one message about the current attempt.
pub fn handle(
    now: Instant,
    stream: &mut Stream,
    message: StreamMessage,
    settings: &EntrySettings,
    fx: &mut Effects,
) {
    match message {
        StreamMessage::Opened(opened) => on_opened(now, stream, &opened, settings, fx),
        StreamMessage::Quiesced(held) => on_quiesced(now, stream, &held, settings, fx),
        StreamMessage::Token(token) => on_token(now, stream, &token, settings, fx),
        StreamMessage::Refused(refused) => on_refused(now, stream, refused, settings, fx),
        StreamMessage::Failed(failed) if usize::from(failed.stage) < stream.route.len() => {
            recover(now, stream, &[failed.stage], true, settings, fx);
        }
        StreamMessage::Progress(progress) => {
            note_heard(stream, &progress);
            probe::on_progress(now, stream, progress, settings, fx);
        }
        StreamMessage::Leaving(leaving) if usize::from(leaving.stage) < stream.route.len() => {
            let grace = Duration::from_millis(leaving.grace_ms);
            recovery::consider_move(stream, leaving.stage, grace, fx);
        }
        _ => {}
    }
}

fn note_heard(stream: &mut Stream, progress: &StageProgress) {
    if let Phase::Opening(opening) = &mut stream.phase
        && let Some(heard) = opening.heard.get_mut(usize::from(progress.stage))
    {
        *heard = Some(progress.activity);
    }
}

fn on_opened(
    now: Instant,
    stream: &mut Stream,
    opened: &StageHeld,
    settings: &EntrySettings,
    fx: &mut Effects,
) {
    let Phase::Opening(opening) = &mut stream.phase else {
        return;
    };
    if let Some(held) = opening.held.get_mut(usize::from(opened.stage)) {
        *held = Some(opened.held);
    }
    adopt_tokens(now, stream, opened, fx);
    recovery::start_if_opened(now, stream, settings, fx);
}

fn on_quiesced(
    now: Instant,
    stream: &mut Stream,
    quiesced: &StageHeld,
    settings: &EntrySettings,
    fx: &mut Effects,
) {
    let Phase::Opening(opening) = &mut stream.phase else {
        return;
    };
    if let Some(source) = &mut opening.source {
        source.held = Some(quiesced.held);
    }
    adopt_tokens(now, stream, quiesced, fx);
    recovery::start_if_opened(now, stream, settings, fx);
}

/// Commits tokens of the attempt before that reached a stage but not the entry.
///
/// Only that attempt could generate them, and what the stages computed from
/// them need not run again.
fn adopt_tokens(now: Instant, stream: &mut Stream, told: &StageHeld, fx: &mut Effects) {
    if told.held.attempt.next() != stream.attempt {
        return;
    }
    let (known, total) = (stream.known_tokens(), stream.total_tokens());
    let mut committed = Committed::default();
    for (position, &token) in (stream.attempt_known..total).zip(&told.tokens) {
        if position >= known {
            committed.push(position, token);
        }
    }
    if committed.tokens.is_empty() {
        return;
    }
    stream.tokens.extend_from_slice(&committed.tokens);
    stream.lineage.extend_start(stream.known_tokens());
    stream.last_token = now;
    deliver(stream, committed, fx);
    if stream.is_whole() {
        finish(stream, fx);
    }
}

/// A refusal that another upstream may not share leads to another route.
fn on_refused(
    now: Instant,
    stream: &mut Stream,
    refused: StageFailed,
    settings: &EntrySettings,
    fx: &mut Effects,
) {
    let Some(stage) = stream.route.get(usize::from(refused.stage)) else {
        return;
    };
    fx.observe(Observation::Refused {
        request: refused.id.request,
        upstream: stage.upstream.clone(),
        failure: refused.failure.clone(),
    });
    let is_final = matches!(
        refused.failure.kind,
        ErrorKind::AccountLimit | ErrorKind::DeadlineUnreachable | ErrorKind::UnknownModel
    );
    if is_final {
        fail(stream, refused.failure, settings, fx);
        return;
    }
    let upstream = stage.upstream.clone();
    if !stream.excluded.contains(&upstream) {
        stream.excluded.push(upstream);
    }
    recover(now, stream, &[refused.stage], false, settings, fx);
}

fn on_token(
    now: Instant,
    stream: &mut Stream,
    generated: &GeneratedToken,
    settings: &EntrySettings,
    fx: &mut Effects,
) {
    if !matches!(stream.phase, Phase::Running(_)) {
        return;
    }
    let is_whole =
        generated.id == stream.stream_id() && generated.layers_done == stream.request.layer_count;
    fx.check(StreamInvariant::TokenOfWholePipeline, is_whole);
    if !is_whole {
        return;
    }
    let committed = stream.commit(generated);
    if committed.tokens.is_empty() {
        return;
    }
    note_gap(now, stream, fx);
    if let Phase::Running(watch) = &mut stream.phase {
        watch.progressed(now + settings.stall());
    }
    deliver(stream, committed, fx);
    if stream.is_whole() {
        finish(stream, fx);
    }
}

fn note_gap(now: Instant, stream: &mut Stream, fx: &mut Effects) {
    let gap = now.saturating_duration_since(stream.last_token);
    let request = stream.id();
    stream.last_token = now;
    if let Some(stall) = stream.stall.take() {
        stream.excluded.clear();
        fx.observe(Observation::Recovered {
            request,
            stall: now.saturating_duration_since(stall.since),
            rerun_positions: stall.rerun_positions,
        });
    } else if stream.delivered > 0 {
        let mean = stream.mean_gap.unwrap_or(gap);
        let older = mean * (GAP_WEIGHT_DIVISOR - 1);
        stream.mean_gap = Some((older + gap) / GAP_WEIGHT_DIVISOR);
        fx.observe(Observation::TokenGap { request, gap });
    }
}

fn deliver(stream: &mut Stream, committed: Committed, fx: &mut Effects) {
    for position in committed.positions {
        let is_in_order = position == stream.next_delivered();
        fx.check(StreamInvariant::DeliveredInOrder, is_in_order);
        stream.delivered += 1;
    }
    fx.push(EntryAction::Deliver {
        request: stream.id(),
        tokens: committed.tokens,
    });
}

fn finish(stream: &mut Stream, fx: &mut Effects) {
    let is_whole = stream.delivered == stream.request.max_answer_tokens;
    fx.check(StreamInvariant::FinishedWhole, is_whole);
    stream.close_all(fx);
    stream.phase = Phase::Ended;
    let request = stream.id();
    fx.push(EntryAction::Finish { request });
}

/// Handles the choice of a route.
pub fn on_route(
    now: Instant,
    stream: &mut Stream,
    route: Result<Route, Failure>,
    settings: &EntrySettings,
    fx: &mut Effects,
) {
    match &mut stream.phase {
        Phase::Rerouting { .. } => match route {
            Ok(route) => recovery::begin(now, stream, route, None, settings, fx),
            Err(failure) => fail(stream, failure, settings, fx),
        },
        Phase::Running(watch) => {
            let moving = watch.moving.take();
            if let (Some(stage), Ok(route)) = (moving, route) {
                recovery::begin(now, stream, route, Some(stage), settings, fx);
            }
        }
        Phase::Opening(_) | Phase::Ended => {}
    }
}

/// Handles what is due at one stream.
pub fn check_due(now: Instant, stream: &mut Stream, settings: &EntrySettings, fx: &mut Effects) {
    if now >= stream.request.deadline {
        let failure = Failure::new(ErrorKind::StreamLost, "the deadline has passed");
        fail(stream, failure, settings, fx);
        return;
    }
    match &stream.phase {
        Phase::Opening(opening) if now >= opening.due => check_opening(now, stream, settings, fx),
        Phase::Running(watch) if now >= watch.due => {
            probe::check_watch(now, stream, settings, fx);
        }
        Phase::Rerouting { until } if now >= *until => {
            let failure = Failure::new(ErrorKind::NoUpstream, "no route was found in time");
            fail(stream, failure, settings, fx);
        }
        _ => {}
    }
}

/// Asks the stages again that have not told what they hold, or gives them up.
fn check_opening(now: Instant, stream: &mut Stream, settings: &EntrySettings, fx: &mut Effects) {
    let Phase::Opening(opening) = &mut stream.phase else {
        return;
    };
    let rounds = opening.rounds;
    let is_missing = |&(_, held): &(usize, &Option<_>)| held.is_none();
    let missing = opening.held.iter().enumerate().filter(is_missing);
    let missing: SmallVec<[u8; 4]> = missing.map(|(index, _)| stage_index(index)).collect();
    let is_lost = |stage: &u8| match opening.heard[usize::from(*stage)] {
        None => true,
        // Admission answers by itself before the deadline.
        Some(StageActivity::Queued) => false,
        Some(_) => rounds >= MAX_OPEN_ROUNDS,
    };
    let lost: SmallVec<[u8; 4]> = missing.iter().copied().filter(is_lost).collect();
    if rounds >= OPEN_ROUNDS && !lost.is_empty() {
        recover(now, stream, &lost, true, settings, fx);
        return;
    }
    if rounds >= OPEN_ROUNDS
        && opening
            .source
            .as_ref()
            .is_some_and(|source| source.held.is_none())
    {
        opening.source = None;
    }
    opening.rounds += 1;
    opening.due = now + settings.open_timeout();
    opening.heard.fill(None);
    recovery::send_quiesce(opening, fx);
    let resumes = recovery::is_resumable(stream, settings);
    stream.send_opens(
        now,
        resumes,
        |index| missing.contains(&stage_index(index)),
        fx,
    );
    for &stage in &missing {
        probe::send_probe(stream, stage, fx);
    }
    recovery::start_if_opened(now, stream, settings, fx);
}
