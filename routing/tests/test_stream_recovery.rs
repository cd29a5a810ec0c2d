//! Tests of streams on a simulated network with injected faults.

use std::time::Duration;

use assert_matches::assert_matches;
use jujubewall_routing::stream::settings::RecoveryMode;
use jujubewall_testutils::engine::EngineSettings;
use jujubewall_testutils::stream_network::End;
use jujubewall_testutils::stream_network::NetworkSettings;
use jujubewall_testutils::stream_network::StreamNetwork;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::id::Position;
use jujubewall_types::id::RequestId;
use tokio::time::Instant;

const REQUEST: RequestId = RequestId(7);
const PROMPT_TOKENS: u32 = 300;
const ANSWER_TOKENS: u32 = 40;
/// The target for the longest time without a token.
const MAX_STALL: Duration = Duration::from_secs(1);
/// How long a sound engine may be silent and go on.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Longer than any request of these tests takes.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(30);

fn settings() -> NetworkSettings {
    NetworkSettings {
        engine: EngineSettings {
            decode_token_layer: Duration::from_millis(5),
            prefill_token_layer: Duration::from_micros(50),
            ..EngineSettings::default()
        },
        samples: true,
        ..NetworkSettings::default()
    }
}

/// Starts the request on the first engine of each stage.
fn started(settings: NetworkSettings) -> StreamNetwork {
    let mut network = StreamNetwork::new(settings, Instant::now());
    let prompt = (0..PROMPT_TOKENS).collect();
    network.start(0, REQUEST, prompt, ANSWER_TOKENS, &[0, 1, 2]);
    network
}

/// Runs until `tokens` have arrived, or until the request ends if `tokens` is zero.
fn run_until_tokens(network: &mut StreamNetwork, tokens: usize) {
    network.run(MAX_REQUEST_TIME, |network| {
        let answer = &network.answers()[&REQUEST];
        answer.end.is_some() || (tokens > 0 && answer.tokens.len() >= tokens)
    });
}

fn assert_complete(network: &StreamNetwork) {
    let answer = &network.answers()[&REQUEST];
    assert_eq!(answer.end, Some(End::Finished));
    assert_eq!(answer.tokens.len(), ANSWER_TOKENS as usize);
    assert!(network.is_consistent(REQUEST));
}

fn longest_gap(network: &StreamNetwork) -> Duration {
    let times = &network.answers()[&REQUEST].times;
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or_default()
}

/// Returns the number of (position, layer) pairs that an engine ran more than once.
fn rerun_count(network: &StreamNetwork, agent: usize) -> usize {
    let engine = network.engine(agent);
    let first = u32::try_from(network.stage_of(agent)).unwrap() * 2;
    let positions = (0..PROMPT_TOKENS + ANSWER_TOKENS).map(Position);
    let layers = positions.flat_map(|position| [(position, first), (position, first + 1)]);
    layers
        .filter(|&(position, layer)| engine.runs(REQUEST, position, layer) > 1)
        .count()
}

#[test]
fn test_answer_without_faults_runs_each_position_once() {
    let mut network = started(settings());
    run_until_tokens(&mut network, 0);
    assert_complete(&network);
    for agent in 0..3 {
        assert_eq!(rerun_count(&network, agent), 0);
        let runs = network.engine(agent).runs_of_request(REQUEST);
        assert_eq!(runs, u64::from((PROMPT_TOKENS + ANSWER_TOKENS - 1) * 2));
        network.run(MAX_STALL, |_| false);
        assert_eq!(network.stage_count(agent), 0);
        assert_eq!(network.engine(agent).live_requests(), 0);
    }
}

/// A fault of the first engine of a stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    Kill,
    Freeze,
    Isolate,
    CutFromEntry,
    CutFromNextStage,
}

const FAULTS: [Fault; 5] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::Isolate,
    Fault::CutFromEntry,
    Fault::CutFromNextStage,
];

fn inject(network: &mut StreamNetwork, fault: Fault, stage: usize) {
    match fault {
        Fault::Kill => network.kill(stage),
        Fault::Freeze => network.freeze(stage),
        Fault::Isolate => network.isolate(stage),
        Fault::CutFromEntry => network.cut(stage, None),
        Fault::CutFromNextStage => network.cut(stage, Some((stage + 1) % 3)),
    }
}

/// Runs the request with a fault at each stage before the token `at`.
fn run_faults(settings: &NetworkSettings, at: usize, check: impl Fn(&StreamNetwork, Fault, usize)) {
    for fault in FAULTS {
        for stage in 0..3 {
            let mut network = started(settings.clone());
            network.run(Duration::from_millis(11), |_| false);
            run_until_tokens(&mut network, at);
            inject(&mut network, fault, stage);
            run_until_tokens(&mut network, 0);
            println!(
                "{fault:?} at stage {stage} before token {at}: {:?}",
                longest_gap(&network)
            );
            assert_complete(&network);
            check(&network, fault, stage);
            network.thaw(stage);
            network.heal();
            network.run(MAX_REQUEST_TIME, |_| false);
            let left = (0..network.agent_count()).map(|agent| network.stage_count(agent));
            assert_eq!(left.sum::<usize>(), 0, "every agent has removed its stages");
        }
    }
}

/// Checks that the stall is short and that the remaining engines rerun nothing.
///
/// A stage that is cut off from the next one may be kept and the next one replaced.
fn check_recovery(network: &StreamNetwork, fault: Fault, stage: usize) {
    assert!(longest_gap(network) <= MAX_STALL);
    for agent in (0..3).filter(|&agent| agent != stage) {
        let may_be_replaced = fault == Fault::CutFromNextStage;
        assert!(may_be_replaced || rerun_count(network, agent) == 0);
    }
}

#[test]
fn test_fault_during_prefill() {
    run_faults(&settings(), 0, |_, _, _| {});
}

#[test]
fn test_fault_between_tokens() {
    run_faults(&settings(), 10, check_recovery);
}

#[test]
fn test_fault_before_last_token() {
    run_faults(&settings(), ANSWER_TOKENS as usize - 1, check_recovery);
}

#[test]
fn test_start_over_recovers_from_faults() {
    let mut settings = settings();
    settings.entry.recovery = RecoveryMode::StartOver;
    run_faults(&settings, 10, |network, _, stage| {
        assert!(longest_gap(network) <= 2 * MAX_STALL);
        let _ = stage;
    });
}

#[test]
fn test_two_stages_lost_at_once() {
    for (one, other) in [(0, 1), (0, 2), (1, 2)] {
        let mut network = started(settings());
        run_until_tokens(&mut network, 10);
        network.kill(one);
        network.freeze(other);
        run_until_tokens(&mut network, 0);
        assert_complete(&network);
        let stays = 3 - one - other;
        assert_eq!(rerun_count(&network, stays), 0);
    }
}

#[test]
fn test_replacement_lost_during_recovery() {
    let mut settings = settings();
    settings.replicas = 3;
    for delay_ms in [1, 100, 300, 510, 520, 530] {
        let mut network = started(settings.clone());
        run_until_tokens(&mut network, 10);
        network.kill(1);
        network.run(Duration::from_millis(delay_ms), |_| false);
        network.kill(4);
        run_until_tokens(&mut network, 0);
        assert_complete(&network);
        assert_eq!(rerun_count(&network, 0) + rerun_count(&network, 2), 0);
    }
}

#[test]
fn test_stage_lost_repeatedly() {
    let mut network = started(settings());
    for round in 1..20 {
        run_until_tokens(&mut network, 2 * round);
        let (dying, spare) = if round % 2 == 1 { (1, 4) } else { (4, 1) };
        network.restart(spare);
        network.kill(dying);
    }
    run_until_tokens(&mut network, 0);
    assert_complete(&network);
    assert_eq!(rerun_count(&network, 0) + rerun_count(&network, 2), 0);
}

/// Stage 1 has run tokens that neither the entry nor a remaining stage knows. Different
/// tokens may be generated for these positions, so stage 1 has to drop them.
#[test]
fn test_positions_of_lost_tokens_are_dropped() {
    let mut network = started(settings());
    run_until_tokens(&mut network, 10);
    network.cut(2, None);
    network.run(Duration::from_millis(100), |_| false);
    network.kill(0);
    network.kill(2);
    run_until_tokens(&mut network, 0);
    assert_complete(&network);
}

#[test]
fn test_missing_replacement_fails_soon_with_retry_advice() {
    let mut settings = settings();
    settings.replicas = 1;
    let mut network = started(settings);
    run_until_tokens(&mut network, 10);
    network.kill(1);
    let killed_at = network.now();
    run_until_tokens(&mut network, 0);
    let answer = &network.answers()[&REQUEST];
    assert_matches!(&answer.end, Some(End::Failed(failure)) => {
        assert_eq!(failure.kind, ErrorKind::StreamLost);
        assert!(failure.retry_after_ms.is_some());
    });
    assert!(answer.ended_at.unwrap() - killed_at <= MAX_STALL);
}

/// Freezes agents for [`SILENCE`] after the tenth token, and checks that the answer goes on
/// and that no position ran again at an agent that was not frozen.
fn check_silence(settings: NetworkSettings, silent: &[usize]) {
    let mut network = started(settings);
    run_until_tokens(&mut network, 10);
    for &agent in silent {
        network.freeze(agent);
    }
    network.run(SILENCE, |_| false);
    for &agent in silent {
        network.thaw(agent);
    }
    run_until_tokens(&mut network, 0);
    println!("{silent:?} silent: {:?}", longest_gap(&network));
    assert_complete(&network);
    assert!(longest_gap(&network) <= SILENCE + MAX_STALL);
    for agent in (0..3).filter(|agent| !silent.contains(agent)) {
        assert_eq!(rerun_count(&network, agent), 0);
    }
}

/// An answer was cut half a second into a silence of the only engines of one stage.
#[test]
fn test_answer_goes_on_after_all_replicas_of_a_stage_were_silent() {
    for stage in 0..3 {
        check_silence(settings(), &[stage, stage + 3]);
    }
}

/// An answer was cut during a silence of the only pipeline.
#[test]
fn test_answer_goes_on_after_the_only_pipeline_was_silent() {
    let mut settings = settings();
    settings.replicas = 1;
    check_silence(settings, &[0, 1, 2]);
}

/// An answer was cut half a second into a silence of the only engine of one stage.
#[test]
fn test_answer_goes_on_after_the_only_engine_of_a_stage_was_silent() {
    for stage in 0..3 {
        let mut settings = settings();
        settings.replicas = 1;
        check_silence(settings, &[stage]);
    }
}

/// An answer was cut 0.4 s into a silence of the only engine of one stage, though its
/// agent answered.
#[test]
fn test_answer_goes_on_after_the_only_engine_behind_a_live_agent_was_silent() {
    for stage in 0..3 {
        let mut settings = settings();
        settings.replicas = 1;
        let mut network = started(settings);
        run_until_tokens(&mut network, 10);
        network.silence_engine(stage, SILENCE);
        run_until_tokens(&mut network, 0);
        assert_complete(&network);
        assert!(longest_gap(&network) <= SILENCE + MAX_STALL);
        for agent in 0..3 {
            assert_eq!(rerun_count(&network, agent), 0);
        }
    }
}

/// The route timeout was not waited for when no route was found at once.
#[test]
fn test_silent_stage_is_kept_for_the_route_timeout() {
    for stage in 0..3 {
        let mut settings = settings();
        settings.replicas = 1;
        settings.entry.route_timeout_ms = 2_000;
        check_silence(settings, &[stage]);
    }
}

/// A stream that waits for silent engines goes on with the first one that answers.
#[test]
fn test_answer_goes_on_when_one_of_the_silent_replicas_answers() {
    for dead in [1, 4] {
        let mut settings = settings();
        settings.entry.route_timeout_ms = 2_000;
        let mut network = started(settings);
        run_until_tokens(&mut network, 10);
        network.freeze(1);
        network.freeze(4);
        network.run(SILENCE, |_| false);
        network.thaw(5 - dead);
        run_until_tokens(&mut network, 0);
        assert_complete(&network);
        assert_eq!(rerun_count(&network, 0) + rerun_count(&network, 2), 0);
    }
}

#[test]
fn test_retention_limit_falls_back_to_rerun() {
    let mut settings = settings();
    settings.agent.retained_bytes = 1024;
    run_faults(&settings, 10, |network, _, _| {
        let kept = (0..3).map(|agent| network.retained_bytes(agent));
        assert!(kept.max() <= Some(1024));
    });
}

#[test]
fn test_checkpoint_avoids_rerun() {
    let mut settings = settings();
    settings.agent.checkpoint_positions = 16;
    run_faults(&settings, 30, |network, fault, stage| {
        check_recovery(network, fault, stage);
        if matches!(fault, Fault::Kill) {
            let runs = network.engine(stage + 3).runs_of_request(REQUEST);
            assert!(runs < u64::from(PROMPT_TOKENS), "the cache was imported");
        }
    });
}

#[test]
fn test_leaving_stage_migrates_without_rerun() {
    for stage in 0..3 {
        let mut network = started(settings());
        run_until_tokens(&mut network, 10);
        network.leave(stage, Duration::from_millis(200));
        run_until_tokens(&mut network, 0);
        assert_complete(&network);
        assert!(longest_gap(&network) < Duration::from_millis(100));
        for agent in 0..network.agent_count() {
            assert_eq!(rerun_count(&network, agent), 0);
        }
        let all = (0..network.agent_count()).map(|agent| network.engine(agent));
        let runs: u64 = all.map(|engine| engine.runs_of_request(REQUEST)).sum();
        assert_eq!(runs, u64::from((PROMPT_TOKENS + ANSWER_TOKENS - 1) * 6));
        assert_eq!(network.stage_count(stage), 0);
    }
}

#[test]
fn test_stream_that_ends_within_grace_does_not_migrate() {
    let mut network = started(settings());
    run_until_tokens(&mut network, 10);
    network.leave(1, MAX_REQUEST_TIME);
    run_until_tokens(&mut network, 0);
    assert_complete(&network);
    assert_eq!(network.engine(4).total_runs(), 0);
}

/// A stream without a replacement for its leaving engine keeps running, and migrates once
/// there is one.
#[test]
fn test_leaving_stage_without_replacement_keeps_running() {
    let mut network = started(settings());
    network.kill(4);
    run_until_tokens(&mut network, 2);
    network.leave(1, Duration::from_millis(100));
    run_until_tokens(&mut network, 20);
    network.restart(4);
    run_until_tokens(&mut network, 0);
    assert_complete(&network);
    assert!(longest_gap(&network) < Duration::from_millis(100));
    assert!(network.engine(4).total_runs() > 0);
    assert_eq!(rerun_count(&network, 1) + rerun_count(&network, 4), 0);
}

#[test]
fn test_leaving_agent_takes_no_new_stream() {
    let mut network = StreamNetwork::new(settings(), Instant::now());
    network.leave(1, MAX_REQUEST_TIME);
    network.start(0, REQUEST, vec![1, 2, 3], ANSWER_TOKENS, &[0, 1, 2]);
    run_until_tokens(&mut network, 0);
    assert_complete(&network);
    assert_eq!(network.engine(1).total_runs(), 0);
}

#[test]
fn test_one_requests_recovery_does_not_delay_another() {
    let other = RequestId(8);
    let mut network = started(settings());
    network.start(
        0,
        other,
        (0..PROMPT_TOKENS).collect(),
        ANSWER_TOKENS,
        &[3, 4, 5],
    );
    run_until_tokens(&mut network, 10);
    network.freeze(1);
    network.run(MAX_STALL / 2, |_| false);
    let times = &network.answers()[&other].times;
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.max() < Some(Duration::from_millis(40)));
    network.run(MAX_REQUEST_TIME, StreamNetwork::is_done);
    assert_complete(&network);
    assert!(network.is_consistent(other));
}

#[test]
fn test_cancel_releases_every_stage() {
    let mut network = started(settings());
    run_until_tokens(&mut network, 10);
    network.cancel(0, REQUEST);
    network.run(MAX_REQUEST_TIME, |_| false);
    for agent in 0..3 {
        assert_eq!(network.stage_count(agent), 0);
        assert_eq!(network.engine(agent).live_requests(), 0);
    }
}
