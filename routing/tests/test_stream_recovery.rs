//! Tests of streams on a network in which one thing fails at a time.

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
/// The target for the stall of a stream.
const MAX_STALL: Duration = Duration::from_secs(1);
/// More than any request of these tests takes.
const LONG: Duration = Duration::from_secs(30);

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

/// Runs until `tokens` have come, or until the end.
fn run_to(network: &mut StreamNetwork, tokens: usize) {
    network.run(LONG, |network| {
        let answer = &network.answers()[&REQUEST];
        answer.end.is_some() || (tokens > 0 && answer.tokens.len() >= tokens)
    });
}

fn assert_whole(network: &StreamNetwork) {
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
fn doubled_runs(network: &StreamNetwork, agent: usize) -> usize {
    let engine = network.engine(agent);
    let first = u32::try_from(network.stage_of(agent)).unwrap() * 2;
    let positions = (0..PROMPT_TOKENS + ANSWER_TOKENS).map(Position);
    let layers = positions.flat_map(|position| [(position, first), (position, first + 1)]);
    layers
        .filter(|&(position, layer)| engine.runs(REQUEST, position, layer) > 1)
        .count()
}

#[test]
fn test_answer_crosses_all_stages() {
    let mut network = started(settings());
    run_to(&mut network, 0);
    assert_whole(&network);
    for agent in 0..3 {
        assert_eq!(doubled_runs(&network, agent), 0);
        let runs = network.engine(agent).runs_of_request(REQUEST);
        assert_eq!(runs, u64::from((PROMPT_TOKENS + ANSWER_TOKENS - 1) * 2));
        network.run(MAX_STALL, |_| false);
        assert_eq!(network.stage_count(agent), 0);
        assert_eq!(network.engine(agent).live_requests(), 0);
    }
}

/// What happens to the first engine of a stage.
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
            run_to(&mut network, at);
            inject(&mut network, fault, stage);
            run_to(&mut network, 0);
            println!(
                "{fault:?} at stage {stage} before token {at}: {:?}",
                longest_gap(&network)
            );
            assert_whole(&network);
            check(&network, fault, stage);
            network.thaw(stage);
            network.heal();
            network.run(LONG, |_| false);
            let left = (0..network.agent_count()).map(|agent| network.stage_count(agent));
            assert_eq!(left.sum::<usize>(), 0, "every agent forgets the stream");
        }
    }
}

/// Checks that the stall is short and that engines which stay run nothing again.
fn check_recovery(network: &StreamNetwork, fault: Fault, stage: usize) {
    assert!(longest_gap(network) <= MAX_STALL);
    for agent in (0..3).filter(|&agent| agent != stage) {
        let may_be_blamed = fault == Fault::CutFromNextStage;
        assert!(may_be_blamed || doubled_runs(network, agent) == 0);
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
fn test_start_over_runs_every_stage_again() {
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
        run_to(&mut network, 10);
        network.kill(one);
        network.freeze(other);
        run_to(&mut network, 0);
        assert_whole(&network);
        let stays = 3 - one - other;
        assert_eq!(doubled_runs(&network, stays), 0);
    }
}

#[test]
fn test_replacement_lost_during_recovery() {
    let mut settings = settings();
    settings.replicas = 3;
    for delay_ms in [1, 100, 300, 510, 520, 530] {
        let mut network = started(settings.clone());
        run_to(&mut network, 10);
        network.kill(1);
        network.run(Duration::from_millis(delay_ms), |_| false);
        network.kill(4);
        run_to(&mut network, 0);
        assert_whole(&network);
        assert_eq!(doubled_runs(&network, 0) + doubled_runs(&network, 2), 0);
    }
}

/// Stage 1 has run on tokens that nobody who is left knows, so that others are generated.
#[test]
fn test_work_on_tokens_that_were_lost_is_forgotten() {
    let mut network = started(settings());
    run_to(&mut network, 10);
    network.cut(2, None);
    network.run(Duration::from_millis(100), |_| false);
    network.kill(0);
    network.kill(2);
    run_to(&mut network, 0);
    assert_whole(&network);
}

#[test]
fn test_no_replacement_fails_at_once_with_advice() {
    let mut settings = settings();
    settings.replicas = 1;
    let mut network = started(settings);
    run_to(&mut network, 10);
    network.kill(1);
    let killed_at = network.now();
    run_to(&mut network, 0);
    let answer = &network.answers()[&REQUEST];
    assert_matches!(&answer.end, Some(End::Failed(failure)) => {
        assert_eq!(failure.kind, ErrorKind::StreamLost);
        assert!(failure.retry_after_ms.is_some());
    });
    assert!(answer.ended_at.unwrap() - killed_at <= MAX_STALL);
}

#[test]
fn test_retention_is_bounded_and_falls_back_to_running_again() {
    let mut settings = settings();
    settings.agent.retained_bytes = 1024;
    run_faults(&settings, 10, |network, _, _| {
        let kept = (0..3).map(|agent| network.retained_bytes(agent));
        assert!(kept.max() <= Some(1024));
    });
}

#[test]
fn test_checkpoint_saves_running_again() {
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
fn test_leaving_stage_moves_without_running_again() {
    for stage in 0..3 {
        let mut network = started(settings());
        run_to(&mut network, 10);
        network.leave(stage, Duration::from_millis(200));
        run_to(&mut network, 0);
        assert_whole(&network);
        assert!(longest_gap(&network) < Duration::from_millis(100));
        for agent in 0..network.agent_count() {
            assert_eq!(doubled_runs(&network, agent), 0);
        }
        let all = (0..network.agent_count()).map(|agent| network.engine(agent));
        let runs: u64 = all.map(|engine| engine.runs_of_request(REQUEST)).sum();
        assert_eq!(runs, u64::from((PROMPT_TOKENS + ANSWER_TOKENS - 1) * 6));
        assert_eq!(network.stage_count(stage), 0);
    }
}

#[test]
fn test_stream_that_ends_within_grace_does_not_move() {
    let mut network = started(settings());
    run_to(&mut network, 10);
    network.leave(1, LONG);
    run_to(&mut network, 0);
    assert_whole(&network);
    assert_eq!(network.engine(4).total_runs(), 0);
}

/// A stream for which no other engine is left goes on, and moves once there is one.
#[test]
fn test_leaving_stage_without_replacement_is_not_cut_off() {
    let mut network = started(settings());
    network.kill(4);
    run_to(&mut network, 2);
    network.leave(1, Duration::from_millis(100));
    run_to(&mut network, 20);
    network.restart(4);
    run_to(&mut network, 0);
    assert_whole(&network);
    assert!(longest_gap(&network) < Duration::from_millis(100));
    assert!(network.engine(4).total_runs() > 0);
    assert_eq!(doubled_runs(&network, 1) + doubled_runs(&network, 4), 0);
}

#[test]
fn test_leaving_agent_takes_no_new_stream() {
    let mut network = StreamNetwork::new(settings(), Instant::now());
    network.leave(1, LONG);
    network.start(0, REQUEST, vec![1, 2, 3], ANSWER_TOKENS, &[0, 1, 2]);
    run_to(&mut network, 0);
    assert_whole(&network);
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
    run_to(&mut network, 10);
    network.freeze(1);
    network.run(MAX_STALL / 2, |_| false);
    let times = &network.answers()[&other].times;
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.max() < Some(Duration::from_millis(40)));
    network.run(LONG, StreamNetwork::is_done);
    assert_whole(&network);
    assert!(network.is_consistent(other));
}

#[test]
fn test_cancel_lets_every_agent_forget() {
    let mut network = started(settings());
    run_to(&mut network, 10);
    network.cancel(0, REQUEST);
    network.run(LONG, |_| false);
    for agent in 0..3 {
        assert_eq!(network.stage_count(agent), 0);
        assert_eq!(network.engine(agent).live_requests(), 0);
    }
}
