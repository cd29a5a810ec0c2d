//! Probing the stages of a stalled stream, and repairing the stream.

use jujubewall_protocol::stream::ProbeStage;
use jujubewall_protocol::stream::ResendOutput;
use jujubewall_protocol::stream::StageActivity;
use jujubewall_protocol::stream::StageProgress;
use jujubewall_protocol::stream::StreamMessage;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::stream::entry::effects::Effects;
use crate::stream::entry::recovery::recover;
use crate::stream::entry::stream::Loss;
use crate::stream::entry::stream::Phase;
use crate::stream::entry::stream::StallDetection;
use crate::stream::entry::stream::Stream;
use crate::stream::entry::stream::stage_index;
use crate::stream::settings::EntrySettings;

/// The number of probe rounds after which a stage that has not answered counts as lost.
const MAX_PROBE_ROUNDS: u32 = 2;

/// The number of probe rounds after which the stages count as lost if none has answered.
const MAX_PROBE_ROUNDS_ALL_SILENT: u32 = 4;

/// Probes the stages of a stalled stream, or reroutes around those that did not answer.
pub fn check_stall(
    now: Instant,
    stream: &mut Stream,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    let stages = stream.route.len();
    let Phase::Running(detection) = &mut stream.phase else {
        return;
    };
    if detection.answers.is_empty() {
        detection.answers = vec![None; stages];
        detection.rounds = 0;
    }
    let silent = silent_stages(detection);
    let is_every_stage_silent = silent.len() == stages && stages > 1;
    let max_rounds = if is_every_stage_silent {
        MAX_PROBE_ROUNDS_ALL_SILENT
    } else {
        MAX_PROBE_ROUNDS
    };
    if detection.rounds >= max_rounds {
        recover(now, stream, &silent, true, Loss::Silent, settings, effects);
        return;
    }
    detection.rounds += 1;
    detection.due = now + settings.probe_timeout();
    for stage in silent {
        send_probe(stream, stage, effects);
    }
}

/// Sends a probe to one stage.
pub fn send_probe(stream: &Stream, stage: u8, effects: &mut Effects) {
    let probe = ProbeStage {
        id: stream.stream_id(),
        stage,
        known_tokens: stream.known_tokens(),
    };
    stream.send_to(stage, StreamMessage::Probe(probe), effects);
}

/// Records the answer of one stage, and repairs the stream once all have answered.
pub fn on_progress(
    now: Instant,
    stream: &mut Stream,
    progress: StageProgress,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    let Phase::Running(detection) = &mut stream.phase else {
        return;
    };
    if let Some(answer) = detection.answers.get_mut(usize::from(progress.stage)) {
        *answer = Some(progress);
    }
    let answers: SmallVec<[StageProgress; 4]> =
        detection.answers.iter().copied().flatten().collect();
    if answers.len() < stream.route.len() {
        return;
    }
    detection.answers.clear();
    detection.due = now + settings.probe_timeout();
    repair(now, stream, &answers, settings, effects);
}

fn silent_stages(detection: &StallDetection) -> SmallVec<[u8; 4]> {
    let answers = detection.answers.iter().enumerate();
    let silent = answers.filter(|(_, answer)| answer.is_none());
    silent.map(|(index, _)| stage_index(index)).collect()
}

/// Reroutes around stages that don't know the stream, or resends the input of the
/// first starved stage.
///
/// A stage whose input was resent [`EntrySettings::max_repairs`] times in vain is
/// replaced, or the stage before it.
fn repair(
    now: Instant,
    stream: &mut Stream,
    answers: &[StageProgress],
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    let is_unknown = |answer: &&StageProgress| answer.activity == StageActivity::Unknown;
    let unknown = answers.iter().filter(is_unknown);
    let unknown: SmallVec<[u8; 4]> = unknown.map(|answer| answer.stage).collect();
    if !unknown.is_empty() {
        recover(
            now,
            stream,
            &unknown,
            false,
            Loss::Certain,
            settings,
            effects,
        );
        return;
    }
    let Some(starved) = starved_stage(stream, answers) else {
        return;
    };
    let Phase::Running(detection) = &mut stream.phase else {
        return;
    };
    detection.record_repair();
    if detection.repairs > settings.max_repairs {
        let lost = stage_to_replace(stream, starved.stage);
        recover(now, stream, &[lost], true, Loss::Silent, settings, effects);
    } else {
        resend_input(stream, starved, settings, effects);
    }
}

/// Returns the first stage that waits for input which has already been sent to it.
fn starved_stage(stream: &Stream, answers: &[StageProgress]) -> Option<StageProgress> {
    let mut available = stream.known_tokens().min(stream.total_tokens() - 1);
    for answer in answers {
        let waits = matches!(answer.activity, StageActivity::Idle | StageActivity::Opened);
        if waits && answer.ran < available {
            return Some(*answer);
        }
        available = answer.ran;
    }
    None
}

/// Returns the stage to replace when input does not reach the stage `starved`.
///
/// The first time it is the receiver; if the same stage starves again, it is the
/// sender. The sender to the first stage is the last one.
fn stage_to_replace(stream: &mut Stream, starved: u8) -> u8 {
    let last = stage_index(stream.route.len() - 1);
    if stream.last_starved.replace(starved) == Some(starved) {
        starved.checked_sub(1).unwrap_or(last)
    } else {
        starved
    }
}

fn resend_input(
    stream: &mut Stream,
    starved: StageProgress,
    settings: &EntrySettings,
    effects: &mut Effects,
) {
    let index = usize::from(starved.stage);
    if starved.activity == StageActivity::Opened
        && let Some(resume) = stream.resumes.get(index).copied()
    {
        stream.send_to(starved.stage, StreamMessage::Resume(resume), effects);
    } else if index == 0 {
        stream.send_known_tokens(starved.ran, settings.prefill_chunk_positions, effects);
    } else {
        let stage = starved.stage - 1;
        let resend = ResendOutput {
            id: stream.stream_id(),
            stage,
            from: starved.ran,
        };
        stream.send_to(stage, StreamMessage::Resend(resend), effects);
    }
}
