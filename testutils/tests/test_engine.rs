//! Tests of the model engine's stand-in.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use jujubewall_testutils::engine::EngineSettings;
use jujubewall_testutils::engine::FakeEngine;
use jujubewall_testutils::engine::PREFIX_BLOCK_POSITIONS;
use jujubewall_testutils::model_fold::Token;
use jujubewall_testutils::model_fold::decode_tokens;
use jujubewall_testutils::model_fold::encode_tokens;
use jujubewall_testutils::model_fold::expected_answer;
use jujubewall_types::config::Assignment;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::FencingNumber;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::Position;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;
use jujubewall_types::priority::Priority;
use jujubewall_upstream::engine::Engine;
use jujubewall_upstream::engine::EngineAction;
use jujubewall_upstream::engine::EngineOrder;
use jujubewall_upstream::engine::EngineStep;
use jujubewall_upstream::error::UpstreamError;
use tokio::time::Instant;
use tokio::time::timeout;

const REQUEST: RequestId = RequestId(7);
const LAYER_COUNT: u32 = 6;
const PROMPT: &[Token] = &[104, 101, 108, 108, 111];

fn model() -> ModelName {
    ModelName::new("assistant").unwrap()
}

fn version() -> VersionName {
    VersionName::new("v1").unwrap()
}

fn assignment(first: u32, end: u32) -> Assignment {
    Assignment {
        model: model(),
        version: version(),
        layers: LayerRange::new(first, end),
    }
}

fn engine(settings: EngineSettings, first: u32, end: u32) -> FakeEngine {
    let engine = FakeEngine::new(settings);
    engine.hold(assignment(first, end));
    engine
}

fn step(attempt: u32, position: usize, layers: LayerRange, payload: Vec<u8>) -> EngineStep {
    let position_bytes = if layers.first == 0 { 4 } else { 8 };
    EngineStep {
        request: REQUEST,
        attempt: Attempt(attempt),
        model: model(),
        version: version(),
        first_position: Position(u32::try_from(position).unwrap()),
        positions: u32::try_from(payload.len() / position_bytes).unwrap(),
        layers,
        is_last: layers.end == LAYER_COUNT,
        priority: Priority::Normal,
        payload: Bytes::from(payload),
    }
}

/// Generates tokens through two engines from `sequence`, whose first positions are cached.
async fn generate(
    stages: [&FakeEngine; 2],
    attempt: u32,
    sequence: &mut Vec<Token>,
    cached: usize,
    count: usize,
) -> Result<(), UpstreamError> {
    let mut position = cached;
    for _ in 0..count {
        let tokens = encode_tokens(&sequence[position..]);
        let first = step(attempt, position, LayerRange::new(0, 3), tokens);
        let activations = stages[0].run(first).await?.payload.to_vec();
        let last = step(attempt, position, LayerRange::new(3, 6), activations);
        let token = stages[1].run(last).await?.payload;
        position = sequence.len();
        sequence.extend(decode_tokens(&token));
    }
    Ok(())
}

fn expected(count: usize) -> Vec<Token> {
    expected_answer(&model(), &version(), LAYER_COUNT, PROMPT, count)
}

#[tokio::test(start_paused = true)]
async fn test_split_engines_give_the_expected_answer() {
    let stages = [
        engine(EngineSettings::default(), 0, 3),
        engine(EngineSettings::default(), 3, 6),
    ];
    let mut sequence = PROMPT.to_vec();
    let stages = [&stages[0], &stages[1]];
    generate(stages, 0, &mut sequence, 0, 8).await.unwrap();
    assert_eq!(sequence[PROMPT.len()..], expected(8));
    assert!(sequence.iter().all(|token| (32..127).contains(token)));
    for position in (0..12).map(Position) {
        assert_eq!(stages[0].runs(REQUEST, position, 2), 1);
        assert_eq!(stages[1].runs(REQUEST, position, 3), 1);
    }
    let other = VersionName::new("v2").unwrap();
    assert_ne!(expected_answer(&model(), &other, 6, PROMPT, 8), expected(8));
    assert_ne!(
        expected_answer(&model(), &version(), 5, PROMPT, 8),
        expected(8)
    );
}

#[tokio::test(start_paused = true)]
async fn test_skipped_doubled_or_swapped_layers_change_the_activation() {
    let run = async |ranges: &[(u32, u32)]| {
        let engine = engine(EngineSettings::default(), 0, LAYER_COUNT);
        let mut payload = encode_tokens(&PROMPT[..1]);
        for (index, (first, end)) in ranges.iter().enumerate() {
            let mut step = step(0, 0, LayerRange::new(*first, *end), payload);
            step.request = RequestId(index as u128);
            step.is_last = false;
            payload = engine.run(step).await.unwrap().payload.to_vec();
        }
        payload
    };
    let right = run(&[(0, 1), (1, 2), (2, 3)]).await;
    assert_eq!(run(&[(0, 3)]).await, right);
    assert_ne!(run(&[(0, 1), (2, 3)]).await, right);
    assert_ne!(run(&[(0, 1), (1, 2), (1, 2), (2, 3)]).await, right);
    assert_ne!(run(&[(0, 1), (2, 3), (1, 2)]).await, right);
}

#[tokio::test(start_paused = true)]
async fn test_attempts_take_over_exported_and_truncated_caches() {
    let old = [
        engine(EngineSettings::default(), 0, 3),
        engine(EngineSettings::default(), 3, 6),
    ];
    let mut sequence = PROMPT.to_vec();
    generate([&old[0], &old[1]], 0, &mut sequence, 0, 4)
        .await
        .unwrap();
    let cached = sequence.len() - 1;

    let repeated = step(0, cached - 1, LayerRange::new(0, 3), encode_tokens(&[65]));
    assert_matches!(old[0].run(repeated).await, Err(UpstreamError::Refused(_)));
    let gap = step(1, cached + 1, LayerRange::new(0, 3), encode_tokens(&[65]));
    assert_matches!(old[0].run(gap).await, Err(UpstreamError::Refused(_)));

    let new = engine(EngineSettings::default(), 3, 6);
    let cache = old[1].export_cache(REQUEST).await.unwrap();
    assert_eq!(
        (cache.layers, cache.positions as usize),
        (LayerRange::new(3, 6), cached)
    );
    new.import_cache(REQUEST, Attempt(1), cache).await.unwrap();
    // The attempt goes back by one token, which both caches hold already.
    sequence.pop();
    let stages = [&old[0], &new];
    generate(stages, 1, &mut sequence, cached - 1, 4)
        .await
        .unwrap();
    assert_eq!(sequence[PROMPT.len()..], expected(7));
    assert_eq!(new.runs_of_request(REQUEST), 4 * 3);
    let late = step(
        0,
        sequence.len() - 1,
        LayerRange::new(0, 3),
        encode_tokens(&[65]),
    );
    assert_matches!(old[0].run(late).await, Err(UpstreamError::Refused(_)));
    new.release(REQUEST, Attempt(1)).await.unwrap();
    assert_eq!(new.live_requests(), 0);
}

#[tokio::test(start_paused = true)]
async fn test_batches_take_the_configured_time_and_honour_priorities() {
    let settings = EngineSettings {
        decode_token_layer: Duration::from_millis(1),
        prefill_token_layer: Duration::from_millis(2),
        batch_limit: 1,
        ..EngineSettings::default()
    };
    let engine = engine(settings, 0, 3);
    let begin = Instant::now();
    let run = async |request: u128, priority: Priority, tokens: usize| {
        let mut step = step(
            0,
            0,
            LayerRange::new(0, 3),
            encode_tokens(&vec![65; tokens]),
        );
        step.request = RequestId(request);
        step.priority = priority;
        engine.run(step).await.unwrap();
        begin.elapsed().as_millis()
    };
    let (first, bulk, interactive) = tokio::join!(
        run(1, Priority::Normal, 1),
        run(2, Priority::Bulk, 2),
        run(3, Priority::Interactive, 1),
    );
    assert_eq!((interactive, first, bulk), (3, 6, 18));
    let prompt = 2 * PREFIX_BLOCK_POSITIONS;
    let cold = run(4, Priority::Normal, prompt).await - bulk;
    let warm = run(5, Priority::Normal, prompt).await - bulk - cold;
    assert_eq!((cold, warm), (6 * prompt as u128, 6));
    engine.set_slow_factor(10.0);
    assert_eq!(run(6, Priority::Normal, 1).await - bulk - cold - warm, 30);
}

#[tokio::test(start_paused = true)]
async fn test_frozen_and_killed_engines_answer_truthfully() {
    let engine = engine(EngineSettings::default(), 0, 3);
    let call = || engine.run(step(0, 0, LayerRange::new(0, 3), encode_tokens(&[65])));
    engine.freeze();
    let hanging = timeout(Duration::from_mins(1), call()).await;
    assert!(hanging.is_err());
    engine.kill();
    assert_matches!(call().await, Err(UpstreamError::NotSent(_)));
    engine.restart();
    assert_matches!(call().await, Err(UpstreamError::Refused(_)));
    assert_eq!(engine.total_runs(), 0);
}

#[tokio::test(start_paused = true)]
async fn test_orders_cache_events_and_load_reports() {
    for checks_fencing in [true, false] {
        let settings = EngineSettings {
            checks_fencing,
            max_layers: 5,
            load_layer: Duration::from_secs(1),
            cache_event_lag: Duration::from_secs(2),
            load_report_lag: Duration::from_secs(3),
            ..EngineSettings::default()
        };
        let engine = FakeEngine::new(settings);
        let order = |fencing, action| EngineOrder {
            fencing: FencingNumber(fencing),
            action,
        };
        let begin = Instant::now();
        let load = order(5, EngineAction::Load(assignment(0, 3)));
        engine.order(load).await.unwrap();
        assert_eq!(begin.elapsed(), Duration::from_secs(3));
        let too_large = order(6, EngineAction::Load(assignment(3, 6)));
        assert_matches!(
            engine.order(too_large).await,
            Err(UpstreamError::Refused(_))
        );
        let old = order(4, EngineAction::Drop(assignment(0, 3)));
        let result = engine.order(old).await;
        assert_eq!(result == Err(UpstreamError::Fenced), checks_fencing);
        let status = engine.status().await.unwrap();
        assert_eq!(status.loaded.is_empty(), !checks_fencing);

        engine.hold(assignment(0, 3));
        let prompt = encode_tokens(&[65; PREFIX_BLOCK_POSITIONS]);
        engine
            .run(step(0, 0, LayerRange::new(0, 3), prompt))
            .await
            .unwrap();
        assert_eq!(engine.cache_events(0).await.unwrap(), []);
        assert_eq!(engine.load().await.unwrap().live_requests, 0);
        tokio::time::advance(Duration::from_secs(3)).await;
        assert_eq!(engine.cache_events(0).await.unwrap().len(), 1);
        assert_eq!(engine.load().await.unwrap().live_requests, 1);
    }
}
