//! How an entry finds out why a stream does not go on.

use jujubewall_protocol::stream::ProbeStage;
use jujubewall_protocol::stream::ResendOutput;
use jujubewall_protocol::stream::StageActivity;
use jujubewall_protocol::stream::StageProgress;
use jujubewall_protocol::stream::StreamMessage;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::stream::entry::effects::Effects;
use crate::stream::entry::recovery::recover;
use crate::stream::entry::stream::Phase;
use crate::stream::entry::stream::Stream;
use crate::stream::entry::stream::Watch;
use crate::stream::entry::stream::stage_index;
use crate::stream::settings::EntrySettings;

/// The number of unanswered probes after which a stage counts as lost.
const PROBE_ROUNDS: u32 = 2;

/// The number of unanswered probes after which all stages together count as lost.
const PROBE_ROUNDS_OF_ALL: u32 = 4;

/// Asks the stages of a stalled stream, or gives up those that did not answer.
pub fn check_watch(now: Instant, stream: &mut Stream, settings: &EntrySettings, fx: &mut Effects) {
    let stages = stream.route.len();
    let Phase::Running(watch) = &mut stream.phase else {
        return;
    };
    if watch.answers.is_empty() {
        watch.answers = vec![None; stages];
        watch.rounds = 0;
    }
    let silent = silent_stages(watch);
    let is_all = silent.len() == stages && stages > 1;
    let max_rounds = if is_all {
        PROBE_ROUNDS_OF_ALL
    } else {
        PROBE_ROUNDS
    };
    if watch.rounds >= max_rounds {
        recover(now, stream, &silent, true, settings, fx);
        return;
    }
    watch.rounds += 1;
    watch.due = now + settings.probe_timeout();
    for stage in silent {
        send_probe(stream, stage, fx);
    }
}

/// Asks one stage how far it has come.
pub fn send_probe(stream: &Stream, stage: u8, fx: &mut Effects) {
    let probe = ProbeStage {
        id: stream.stream_id(),
        stage,
        known_tokens: stream.known_tokens(),
    };
    stream.send_to(stage, StreamMessage::Probe(probe), fx);
}

/// Takes in the answer of one stage, and acts once all have answered.
pub fn on_progress(
    now: Instant,
    stream: &mut Stream,
    progress: StageProgress,
    settings: &EntrySettings,
    fx: &mut Effects,
) {
    let Phase::Running(watch) = &mut stream.phase else {
        return;
    };
    if let Some(answer) = watch.answers.get_mut(usize::from(progress.stage)) {
        *answer = Some(progress);
    }
    let answers: SmallVec<[StageProgress; 4]> = watch.answers.iter().copied().flatten().collect();
    if answers.len() < stream.route.len() {
        return;
    }
    watch.answers.clear();
    watch.due = now + settings.probe_timeout();
    repair(now, stream, &answers, settings, fx);
}

fn silent_stages(watch: &Watch) -> SmallVec<[u8; 4]> {
    let answers = watch.answers.iter().enumerate();
    let silent = answers.filter(|(_, answer)| answer.is_none());
    silent.map(|(index, _)| stage_index(index)).collect()
}

/// Repeats the message that the first idle stage lacks.
fn repair(
    now: Instant,
    stream: &mut Stream,
    answers: &[StageProgress],
    settings: &EntrySettings,
    fx: &mut Effects,
) {
    let is_unknown = |answer: &&StageProgress| answer.activity == StageActivity::Unknown;
    let unknown = answers.iter().filter(is_unknown);
    let unknown: SmallVec<[u8; 4]> = unknown.map(|answer| answer.stage).collect();
    if !unknown.is_empty() {
        recover(now, stream, &unknown, false, settings, fx);
        return;
    }
    let Some(starved) = starved_stage(stream, answers) else {
        return;
    };
    let Phase::Running(watch) = &mut stream.phase else {
        return;
    };
    watch.repaired();
    if watch.repairs > settings.max_repairs {
        let lost = blamed_stage(stream, starved.stage);
        recover(now, stream, &[lost], true, settings, fx);
    } else {
        repeat_input(stream, starved, settings, fx);
    }
}

/// Returns the first stage that waits although its input has been sent.
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

/// Returns the stage to replace when input does not arrive at `starved`.
///
/// The first time it is the receiver; if that did not help, it is the sender.
fn blamed_stage(stream: &mut Stream, starved: u8) -> u8 {
    let last = stage_index(stream.route.len() - 1);
    if stream.last_starved.replace(starved) == Some(starved) {
        starved.checked_sub(1).unwrap_or(last)
    } else {
        starved
    }
}

fn repeat_input(
    stream: &mut Stream,
    starved: StageProgress,
    settings: &EntrySettings,
    fx: &mut Effects,
) {
    let index = usize::from(starved.stage);
    if starved.activity == StageActivity::Opened
        && let Some(resume) = stream.resumes.get(index).copied()
    {
        stream.send_to(starved.stage, StreamMessage::Resume(resume), fx);
    } else if index == 0 {
        stream.send_known_tokens(starved.ran, settings.prefill_chunk_positions, fx);
    } else {
        let stage = starved.stage - 1;
        let resend = ResendOutput {
            id: stream.stream_id(),
            stage,
            from: starved.ran,
        };
        stream.send_to(stage, StreamMessage::Resend(resend), fx);
    }
}
