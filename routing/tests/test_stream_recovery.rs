//! Tests of streams on a network in which one thing fails at a time.

use std::time::Duration;

use assert_matches::assert_matches;
use jujubewall_routing::stream::settings::EntrySettings;
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
    assert_eq!(
        answer.tokens,
        network.expected(REQUEST, ANSWER_TOKENS as usize)
    );
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
        network.run(LONG, |_| false);
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
