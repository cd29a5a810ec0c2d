//! The stall of live streams after one engine's host is lost.
//!
//! Entries and agents run their real decisions on the in-memory network of
//! `testutils`, on instants that the network moves on by itself: the figures
//! hold the waits that the decisions choose and the times that the settings
//! below state, but no time of sockets or of the processor.

use std::time::Duration;

use argh::FromArgs;
use hdrhistogram::Histogram;
use jujubewall_routing::stream::settings::RecoveryMode;
use jujubewall_testutils::engine::EngineSettings;
use jujubewall_testutils::stream_network::End;
use jujubewall_testutils::stream_network::LinkFaults;
use jujubewall_testutils::stream_network::NetworkSettings;
use jujubewall_testutils::stream_network::StreamNetwork;
use jujubewall_types::id::RequestId;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::time::Instant;

/// The number of stages of a pipeline.
const STAGES: usize = 4;
/// The number of engines for each stage.
const REPLICAS: usize = 10;
/// The number of layers of each stage.
const LAYERS_PER_STAGE: u32 = 8;
/// The time of one layer for one position that is generated.
const DECODE_TOKEN_LAYER: Duration = Duration::from_micros(1_600);
/// The time of one layer for one position of several.
const PREFILL_TOKEN_LAYER: Duration = Duration::from_micros(20);
/// The time that moving the KV cache of one layer and position takes.
const CACHE_POSITION_LAYER: Duration = Duration::from_micros(3);
/// The number of positions between two copies of a KV cache.
const CHECKPOINT_POSITIONS: u32 = 64;
/// The number of streams that run at once.
const STREAMS: u32 = 20;
/// The number of tokens of each prompt.
const PROMPT_TOKENS: u32 = 512;
/// The number of tokens of each answer.
const ANSWER_TOKENS: u32 = 96;
/// The time over which the streams start.
const START_SPAN: Duration = Duration::from_secs(2);
/// When the fault comes at the earliest.
const FAULT_FROM_MS: u64 = 3_500;
/// When the fault comes at the latest.
const FAULT_TO_MS: u64 = 6_000;
/// More than any run takes.
const LONG: Duration = Duration::from_mins(2);
/// The time after which a closed connection tells of a killed process.
const KILL_NOTICED_AFTER: Duration = Duration::from_millis(50);
/// The longest time that a percentile shows.
const MAX_TIME_US: u64 = 60_000_000;

/// Measures the stall of live streams after one engine's host is lost.
#[derive(FromArgs)]
#[argh(subcommand, name = "recovery")]
pub struct RecoveryCommand {
    /// print one JSON document
    #[argh(switch)]
    json: bool,
    /// the seed, by which every figure repeats
    #[argh(option, default = "20261204")]
    seed: u64,
    /// the number of faults for each way and fault
    #[argh(option, default = "50")]
    trials: u64,
}

/// A way to go on after a stage is lost.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Way {
    StartOver,
    Replay,
    KvImport,
}

/// What happens to the host of one engine.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Fault {
    Kill,
    KillWithClosedConnection,
    Freeze,
    SilentCut,
}

/// Times in milliseconds.
#[derive(Debug, Serialize)]
struct Percentiles {
    samples: u64,
    p50_ms: f64,
    p95_ms: f64,
    max_ms: f64,
}

/// The figures of one way and fault.
#[derive(Debug, Serialize)]
struct Figures {
    way: Way,
    fault: Fault,
    stall: Percentiles,
    /// The layers that ran more than once, for each affected stream and position.
    layers_rerun_per_position: f64,
    /// Of these, the layers of stages that were not lost.
    other_layers_rerun_per_position: f64,
    broken_answers: u64,
}

/// The whole report.
#[derive(Debug, Serialize)]
struct Report {
    clock: &'static str,
    seed: u64,
    engines: usize,
    layers: u32,
    streams: u32,
    token_gap_without_failure: Percentiles,
    results: Vec<Figures>,
}

/// What the trials of one way and fault have shown.
struct Tally {
    stalls: Histogram<u64>,
    rerun: u64,
    other_rerun: u64,
    positions: u64,
    broken: u64,
}

impl RecoveryCommand {
    /// Runs the measurement and prints its report.
    pub fn run(&self) -> eyre::Result<()> {
        let mut gaps = new_histogram()?;
        let mut results = Vec::new();
        for way in [Way::StartOver, Way::Replay, Way::KvImport] {
            for fault in [
                Fault::Kill,
                Fault::KillWithClosedConnection,
                Fault::Freeze,
                Fault::SilentCut,
            ] {
                results.push(self.measure(way, fault, &mut gaps)?);
            }
        }
        let report = Report {
            clock: "paused",
            seed: self.seed,
            engines: STAGES * REPLICAS,
            layers: LAYERS_PER_STAGE * u32::try_from(STAGES)?,
            streams: STREAMS,
            token_gap_without_failure: percentiles(&gaps),
            results,
        };
        if self.json {
            println!("{}", serde_json::to_string_pretty(&report)?);
        } else {
            print_table(&report);
        }
        Ok(())
    }

    fn measure(&self, way: Way, fault: Fault, gaps: &mut Histogram<u64>) -> eyre::Result<Figures> {
        let mut tally = Tally {
            stalls: new_histogram()?,
            rerun: 0,
            other_rerun: 0,
            positions: 0,
            broken: 0,
        };
        for trial in 0..self.trials {
            run_trial(way, fault, self.seed + trial, gaps, &mut tally)?;
        }
        let per_position = |layers: u64| layers as f64 / tally.positions as f64;
        Ok(Figures {
            way,
            fault,
            stall: percentiles(&tally.stalls),
            layers_rerun_per_position: per_position(tally.rerun),
            other_layers_rerun_per_position: per_position(tally.other_rerun),
            broken_answers: tally.broken,
        })
    }
}

/// Runs all streams with one fault, and counts what the affected ones show.
fn run_trial(
    way: Way,
    fault: Fault,
    seed: u64,
    gaps: &mut Histogram<u64>,
    tally: &mut Tally,
) -> eyre::Result<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut network = StreamNetwork::new(settings(way, fault, seed), Instant::now());
    let begun_at = network.now();
    start_streams(&mut network)?;
    let fault_ms = rng.random_range(FAULT_FROM_MS..FAULT_TO_MS);
    let fault_at = begun_at + Duration::from_millis(fault_ms);
    network.run(fault_at - network.now(), |_| false);
    let lost = rng.random_range(0..network.agent_count());
    let affected = affected_streams(&network, lost);
    inject(&mut network, fault, lost);
    network.run(LONG, StreamNetwork::is_done);
    record_gaps(&network, fault_at, gaps)?;
    for request in affected {
        record_stall(&network, request, lost, fault_at, tally)?;
    }
    Ok(())
}

fn settings(way: Way, fault: Fault, seed: u64) -> NetworkSettings {
    let mut settings = NetworkSettings {
        entries: 2,
        stages: STAGES,
        replicas: REPLICAS,
        layers_per_stage: LAYERS_PER_STAGE,
        engine: EngineSettings {
            decode_token_layer: DECODE_TOKEN_LAYER,
            prefill_token_layer: PREFILL_TOKEN_LAYER,
            ..EngineSettings::default()
        },
        samples: true,
        cache_position_layer: CACHE_POSITION_LAYER,
        faults: LinkFaults {
            jitter: Duration::from_micros(50),
            ..LinkFaults::default()
        },
        seed,
        ..NetworkSettings::default()
    };
    if matches!(fault, Fault::KillWithClosedConnection) {
        settings.kill_noticed_after = Some(KILL_NOTICED_AFTER);
    }
    match way {
        Way::StartOver => settings.entry.recovery = RecoveryMode::StartOver,
        Way::Replay => {}
        Way::KvImport => settings.agent.checkpoint_positions = CHECKPOINT_POSITIONS,
    }
    settings
}

/// Starts the streams one after the other, evenly over the pipelines.
fn start_streams(network: &mut StreamNetwork) -> eyre::Result<()> {
    for stream in 0..STREAMS {
        let replica = stream as usize % REPLICAS;
        let agents: Vec<usize> = (0..STAGES).map(|stage| replica * STAGES + stage).collect();
        let prompt = (0..PROMPT_TOKENS).map(|token| token + stream).collect();
        let request = RequestId(u128::from(stream));
        let entry = usize::try_from(stream % 2)?;
        network.start(entry, request, prompt, ANSWER_TOKENS, &agents);
        network.run(START_SPAN / STREAMS, |_| false);
    }
    Ok(())
}

/// Lists the streams that have not ended and run at an agent.
fn affected_streams(network: &StreamNetwork, agent: usize) -> Vec<RequestId> {
    let replica = agent / STAGES;
    let running = network
        .answers()
        .iter()
        .filter(|(_, answer)| answer.end.is_none());
    let running = running.map(|(request, _)| *request);
    running
        .filter(|request| request.0 % REPLICAS as u128 == replica as u128)
        .collect()
}

fn inject(network: &mut StreamNetwork, fault: Fault, agent: usize) {
    match fault {
        Fault::Kill | Fault::KillWithClosedConnection => network.kill(agent),
        Fault::Freeze => network.freeze(agent),
        Fault::SilentCut => network.isolate(agent),
    }
}

/// Records the gaps between tokens that came before the fault.
fn record_gaps(
    network: &StreamNetwork,
    fault_at: Instant,
    gaps: &mut Histogram<u64>,
) -> eyre::Result<()> {
    for answer in network.answers().values() {
        for pair in answer.times.windows(2).filter(|pair| pair[1] <= fault_at) {
            gaps.record(micros(pair[1] - pair[0]))?;
        }
    }
    Ok(())
}

/// Records the longest gap that ended after the fault, and what ran more than once.
fn record_stall(
    network: &StreamNetwork,
    request: RequestId,
    lost: usize,
    fault_at: Instant,
    tally: &mut Tally,
) -> eyre::Result<()> {
    let answer = &network.answers()[&request];
    let is_whole = answer.end == Some(End::Finished)
        && answer.tokens.len() == ANSWER_TOKENS as usize
        && network.is_consistent(request);
    tally.broken += u64::from(!is_whole);
    let later = answer.times.windows(2).filter(|pair| pair[1] > fault_at);
    if let Some(stall) = later.map(|pair| pair[1] - pair[0]).max() {
        tally.stalls.record(micros(stall))?;
    }
    let positions = u64::from(PROMPT_TOKENS + ANSWER_TOKENS - 1);
    tally.positions += positions;
    for stage in 0..STAGES {
        let replicas = (0..network.agent_count()).filter(|&agent| network.stage_of(agent) == stage);
        let runs = replicas.map(|agent| network.engine(agent).runs_of_request(request));
        let rerun = runs
            .sum::<u64>()
            .saturating_sub(positions * u64::from(LAYERS_PER_STAGE));
        tally.rerun += rerun;
        if stage != network.stage_of(lost) {
            tally.other_rerun += rerun;
        }
    }
    Ok(())
}

fn new_histogram() -> eyre::Result<Histogram<u64>> {
    Ok(Histogram::new_with_max(MAX_TIME_US, 3)?)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(MAX_TIME_US)
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let ms = |us: u64| us as f64 / 1_000.0;
    Percentiles {
        samples: histogram.len(),
        p50_ms: ms(histogram.value_at_quantile(0.5)),
        p95_ms: ms(histogram.value_at_quantile(0.95)),
        max_ms: ms(histogram.max()),
    }
}

fn print_table(report: &Report) {
    let gap = &report.token_gap_without_failure;
    println!(
        "token gap without failure: p50 {} ms, p95 {} ms",
        gap.p50_ms, gap.p95_ms
    );
    for result in &report.results {
        println!(
            "{:?} after {:?}: stall p50 {} ms, p95 {} ms, max {} ms; {:.2} layers rerun per position, {:.2} of other stages",
            result.way,
            result.fault,
            result.stall.p50_ms,
            result.stall.p95_ms,
            result.stall.max_ms,
            result.layers_rerun_per_position,
            result.other_layers_rerun_per_position,
        );
    }
}
