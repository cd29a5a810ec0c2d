//! An answer through real processes' actors and sockets, in this process.

use std::time::Instant;

use bytes::Bytes;
use eyre::ensure;
use eyre::eyre;
use hdrhistogram::Histogram;
use jujubewall_daemon::process::Running;
use jujubewall_daemon::settings::Settings;
use jujubewall_testutils::client::Event;
use jujubewall_testutils::client::EventStream;
use jujubewall_testutils::client::HttpUser;
use jujubewall_testutils::daemon::eventually;
use jujubewall_testutils::fleet::COMPLETIONS;
use jujubewall_testutils::fleet::NOTES;
use jujubewall_testutils::fleet::completion;
use jujubewall_testutils::site::ACCOUNT_KEY;
use jujubewall_testutils::site::MODEL;
use jujubewall_testutils::site::OPERATOR_KEY;
use jujubewall_testutils::site::SiteShape;
use jujubewall_testutils::site::TestSite;
use jujubewall_testutils::site::VERSION;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::Position;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;
use jujubewall_types::priority::Priority;
use jujubewall_upstream::engine::Engine as _;
use jujubewall_upstream::engine::EngineStep;
use jujubewall_upstream::http_engine::HttpEngine;
use serde_json::json;

use crate::overhead::histogram;
use crate::overhead::record;

/// The number of tokens and calls before the first one that counts.
const WARM_UP: usize = 100;

/// The number of layers of each stage.
const LAYERS_PER_STAGE: u32 = 4;

/// The times of one pipeline.
pub struct PipelineTimes {
    /// The time between two tokens at the caller.
    pub token_gap: Histogram<u64>,
    /// The time of one engine call, made directly.
    pub engine_call: Histogram<u64>,
}

/// Measures an answer of `tokens` tokens through `stages` stages.
pub async fn measure_pipeline(stages: usize, tokens: usize) -> eyre::Result<PipelineTimes> {
    let layer_count = LAYERS_PER_STAGE * u32::try_from(stages)?;
    let site = TestSite::start(SiteShape {
        stages,
        layer_count,
        ..SiteShape::default()
    })
    .await;
    let mut processes = Vec::new();
    for settings in site.agent_settings() {
        processes.push(Running::start(&Settings::read(&settings)?)?);
    }
    let settings = Settings::read(&site.entry_settings("entry-0"))?;
    let entry = Running::start(&settings)?;
    let operator = entry
        .operator_address()
        .ok_or_else(|| eyre!("no operators"))?;
    let note = json!(site.release_note("overhead"));
    let answer = HttpUser::new(operator, OPERATOR_KEY)
        .post(NOTES, &note)
        .await?;
    ensure!(answer.status == 200, "the note is not accepted");
    for process in processes.iter().chain([&entry]) {
        wait_until_ready(process).await;
    }
    let caller = entry.caller_address().ok_or_else(|| eyre!("no callers"))?;
    let caller = HttpUser::new(caller, ACCOUNT_KEY);
    let body = completion("overhead", WARM_UP + tokens, true);
    let stream = caller.stream(COMPLETIONS, &body).await;
    let stream = stream.map_err(|answer| eyre!("refused: {answer:?}"))?;
    let token_gap = measure_gaps(stream).await?;
    let engine_call = measure_engine(&site, tokens).await?;
    for process in processes.into_iter().chain([entry]) {
        process.stop().await;
    }
    Ok(PipelineTimes {
        token_gap,
        engine_call,
    })
}

async fn wait_until_ready(process: &Running) {
    let monitoring = HttpUser::new(process.metrics_address(), "");
    eventually("readiness", async || {
        let answer = monitoring.get("/readyz").await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

async fn measure_gaps(mut stream: EventStream) -> eyre::Result<Histogram<u64>> {
    let mut times = histogram()?;
    let mut count = 0;
    let mut last = Instant::now();
    loop {
        match stream.next().await {
            Some(Event::Text(_)) if count < WARM_UP => count += 1,
            Some(Event::Text(_)) => record(&mut times, last),
            Some(Event::Done) => return Ok(times),
            other => return Err(eyre!("the answer breaks off: {other:?}")),
        }
        last = Instant::now();
    }
}

/// Calls the first engine as its agent does, one position after the other.
async fn measure_engine(site: &TestSite, calls: usize) -> eyre::Result<Histogram<u64>> {
    let engine = HttpEngine::new(site.engines[0].address());
    let mut times = histogram()?;
    for index in 0..WARM_UP + calls {
        let step = EngineStep {
            request: RequestId(u128::MAX),
            attempt: Attempt(0),
            model: ModelName::new(MODEL)?,
            version: VersionName::new(VERSION)?,
            first_position: Position(u32::try_from(index)?),
            positions: 1,
            layers: LayerRange::new(0, LAYERS_PER_STAGE),
            is_last: false,
            priority: Priority::Normal,
            payload: Bytes::copy_from_slice(&65_u32.to_le_bytes()),
        };
        let started = Instant::now();
        engine.run(step).await?;
        if index >= WARM_UP {
            record(&mut times, started);
        }
    }
    Ok(times)
}
