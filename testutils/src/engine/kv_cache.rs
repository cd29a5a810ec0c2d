//! The KV cache of one request.

use std::collections::BTreeMap;

use bytes::Bytes;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::Position;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;
use jujubewall_upstream::engine::CacheExport;
use jujubewall_upstream::engine::EngineStep;
use jujubewall_upstream::error::UpstreamError;
use serde::Deserialize;
use serde::Serialize;

use crate::model_fold::ModelFold;

/// The running state of each layer after each position.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct RequestCache {
    model: ModelName,
    version: VersionName,
    layers: BTreeMap<u32, Vec<u64>>,
    #[serde(skip)]
    attempt: Attempt,
    #[serde(skip)]
    has_stepped: bool,
}

impl RequestCache {
    pub(super) fn new(step: &EngineStep) -> Self {
        Self {
            model: step.model.clone(),
            version: step.version.clone(),
            layers: BTreeMap::new(),
            attempt: step.attempt,
            has_stepped: true,
        }
    }

    pub(super) const fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Checks that `step` may run, and lets a higher attempt take the cache over.
    pub(super) fn accept(&mut self, step: &EngineStep) -> Result<(), UpstreamError> {
        if step.attempt < self.attempt {
            return Err(refused("a higher attempt has run"));
        }
        let is_takeover = step.attempt > self.attempt || !self.has_stepped;
        let is_same_version = self.model == step.model && self.version == step.version;
        let first = step.first_position.0 as usize;
        if is_takeover && !is_same_version && first == 0 {
            *self = Self::new(step);
        } else if !is_same_version {
            return Err(refused("the KV cache belongs to another version"));
        }
        for layer in step.layers.first..step.layers.end {
            let cached = self.layers.get(&layer).map_or(0, Vec::len);
            check_place(cached, first, is_takeover)?;
        }
        if is_takeover {
            self.truncate(first);
        }
        self.attempt = step.attempt;
        self.has_stepped = true;
        Ok(())
    }

    /// Runs the step's layers at one position.
    pub(super) fn run(
        &mut self,
        fold: ModelFold,
        layers: LayerRange,
        position: Position,
        input: u64,
    ) -> u64 {
        let mut activation = input;
        for layer in layers.first..layers.end {
            let states = self.layers.entry(layer).or_default();
            let state = states.last().copied().unwrap_or(fold.initial_state());
            let (state, output) = fold.run_layer(layer, position, state, activation);
            states.push(state);
            activation = output;
        }
        activation
    }

    /// Exports the cache.
    pub(super) fn export(&self) -> Result<CacheExport, UpstreamError> {
        let first = self.layers.keys().next().copied().unwrap_or(0);
        let end = self.layers.keys().next_back().map_or(0, |layer| layer + 1);
        let positions = self.layers.values().map(Vec::len).min().unwrap_or(0);
        let payload = postcard::to_stdvec(self).map_err(|error| refused(&error.to_string()))?;
        Ok(CacheExport {
            layers: LayerRange::new(first, end),
            positions: u32::try_from(positions).unwrap_or(u32::MAX),
            payload: Bytes::from(payload),
        })
    }

    /// Imports a cache, which the first step of `attempt` may truncate.
    pub(super) fn import(cache: &CacheExport, attempt: Attempt) -> Result<Self, UpstreamError> {
        let imported = postcard::from_bytes(&cache.payload);
        let mut imported: Self = imported.map_err(|error| refused(&error.to_string()))?;
        imported.attempt = attempt;
        imported.has_stepped = false;
        Ok(imported)
    }

    fn truncate(&mut self, positions: usize) {
        for states in self.layers.values_mut() {
            states.truncate(positions);
        }
    }
}

fn check_place(cached: usize, first: usize, is_takeover: bool) -> Result<(), UpstreamError> {
    if cached < first {
        return Err(refused("positions are missing from the KV cache"));
    }
    if cached > first && !is_takeover {
        return Err(refused("the position has run already"));
    }
    Ok(())
}

pub(super) fn refused(text: &str) -> UpstreamError {
    UpstreamError::Refused(text.to_owned())
}
