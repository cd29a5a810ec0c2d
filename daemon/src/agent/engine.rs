//! Running engine calls for the agent's decisions.

use std::sync::Arc;

use bytes::Bytes;
use jujubewall_protocol::stream::KvCache;
use jujubewall_routing::stream::action::StageError;
use jujubewall_routing::stream::action::StageStep;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::RequestId;
use jujubewall_upstream::engine::CacheExport;
use jujubewall_upstream::engine::Engine;
use jujubewall_upstream::engine::EngineStep;

/// Runs one step.
pub async fn run_step(
    engine: Option<Arc<dyn Engine>>,
    step: StageStep,
) -> Result<Bytes, StageError> {
    let engine = known(engine)?;
    let step = EngineStep {
        model: step.model,
        version: step.version,
        request: step.request,
        attempt: step.attempt,
        first_position: step.first_position,
        positions: step.positions,
        layers: step.layers,
        is_last: step.is_last,
        priority: step.priority,
        payload: step.payload,
    };
    let output = engine.run(step).await.map_err(stage_error)?;
    Ok(output.payload)
}

/// Exports the KV cache of a request.
pub async fn export_cache(
    engine: Option<Arc<dyn Engine>>,
    request: RequestId,
) -> Result<KvCache, StageError> {
    let engine = known(engine)?;
    let export = engine.export_cache(request).await.map_err(stage_error)?;
    Ok(KvCache {
        layers: export.layers,
        positions: export.positions,
        payload: export.payload,
    })
}

/// Imports a KV cache for an attempt of a request.
pub async fn import_cache(
    engine: Option<Arc<dyn Engine>>,
    request: RequestId,
    attempt: Attempt,
    cache: KvCache,
) -> Result<(), StageError> {
    let engine = known(engine)?;
    let import = CacheExport {
        layers: cache.layers,
        positions: cache.positions,
        payload: cache.payload,
    };
    engine
        .import_cache(request, attempt, import)
        .await
        .map_err(stage_error)
}

fn known(engine: Option<Arc<dyn Engine>>) -> Result<Arc<dyn Engine>, StageError> {
    engine.ok_or_else(|| StageError {
        message: "the agent knows no such engine".to_owned(),
    })
}

fn stage_error(error: impl std::fmt::Display) -> StageError {
    StageError {
        message: error.to_string(),
    }
}
