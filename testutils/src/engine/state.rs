//! What an engine holds and counts.

use std::collections::HashMap;
use std::time::Duration;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use jujubewall_types::config::Assignment;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::FencingNumber;
use jujubewall_types::id::Position;
use jujubewall_types::id::RequestId;
use jujubewall_upstream::engine::CacheEvent;
use jujubewall_upstream::engine::CacheExport;
use jujubewall_upstream::engine::EngineAction;
use jujubewall_upstream::engine::EngineOrder;
use jujubewall_upstream::engine::EngineOutput;
use jujubewall_upstream::engine::EngineStatus;
use jujubewall_upstream::engine::EngineStep;
use jujubewall_upstream::engine::LoadReport;
use jujubewall_upstream::error::UpstreamError;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::batch::Batch;
use super::batch::BatchQueue;
use super::kv_cache::RequestCache;
use super::kv_cache::refused;
use super::load_report::LoadHistory;
use super::prefix_cache::PrefixCache;
use super::settings::EngineSettings;
use super::settings::MIN_ACTIVATION_BYTES;
use crate::model_fold::ModelFold;

/// The bytes of one token.
const TOKEN_BYTES: usize = 4;

pub(super) struct EngineState {
    pub(super) slow_factor: f64,
    fencing: FencingNumber,
    loaded: Vec<Assignment>,
    caches: HashMap<RequestId, RequestCache>,
    released: HashMap<RequestId, Attempt>,
    prefixes: PrefixCache,
    queue: BatchQueue,
    loads: LoadHistory,
    runs: HashMap<(RequestId, Position, u32), u32>,
    total_runs: u64,
    orders: Vec<EngineOrder>,
}

impl Default for EngineState {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            fencing: FencingNumber::default(),
            loaded: Vec::new(),
            caches: HashMap::new(),
            released: HashMap::new(),
            prefixes: PrefixCache::default(),
            queue: BatchQueue::default(),
            loads: LoadHistory::default(),
            runs: HashMap::new(),
            total_runs: 0,
            orders: Vec::new(),
        }
    }
}

impl EngineState {
    pub(super) fn load(&mut self, assignment: Assignment) {
        if !self.loaded.contains(&assignment) {
            self.loaded.push(assignment);
        }
    }

    pub(super) fn unload(&mut self, assignment: &Assignment) {
        self.loaded.retain(|loaded| loaded != assignment);
    }

    /// Forgets all but the counts of runs and the orders.
    pub(super) fn forget(&mut self) {
        let forgotten = Self::default();
        self.fencing = forgotten.fencing;
        self.loaded = forgotten.loaded;
        self.caches = forgotten.caches;
        self.released = forgotten.released;
        self.prefixes = forgotten.prefixes;
    }

    pub(super) fn check_order(
        &mut self,
        settings: &EngineSettings,
        order: &EngineOrder,
    ) -> Result<(), UpstreamError> {
        self.orders.push(order.clone());
        if settings.checks_fencing && order.fencing < self.fencing {
            return Err(UpstreamError::Fenced);
        }
        self.fencing = self.fencing.max(order.fencing);
        let EngineAction::Load(assignment) = &order.action else {
            return Ok(());
        };
        let others = self.loaded.iter().filter(|loaded| *loaded != assignment);
        let held: u32 = others.map(|loaded| loaded.layers.len()).sum();
        if held + assignment.layers.len() > settings.max_layers {
            return Err(refused("the layers do not fit into memory"));
        }
        Ok(())
    }

    /// Returns the time that a step takes, less what its cached prefix saves.
    pub(super) fn step_time(
        &mut self,
        settings: &EngineSettings,
        step: &EngineStep,
        now: Instant,
    ) -> Duration {
        let mut positions = step.positions;
        if step.first_position == Position(0) && step.positions > 1 {
            let position_bytes = step.payload.len() / step.positions as usize;
            let position_bytes = position_bytes.max(1);
            let cached = self
                .prefixes
                .touch(&step.payload, position_bytes, settings, now);
            // The last position always runs, since its output is asked for.
            positions -= cached.min(positions - 1);
        }
        settings.token_layer(step.positions) * positions * step.layers.len()
    }

    pub(super) fn enqueue(
        &mut self,
        settings: &EngineSettings,
        step: &EngineStep,
        duration: Duration,
        now: Instant,
    ) -> (oneshot::Receiver<()>, bool) {
        let queued = self.queue.push(step.priority, duration, now);
        self.record_load(settings, now);
        queued
    }

    pub(super) fn next_batch(&mut self, settings: &EngineSettings) -> Option<Batch> {
        let batch = self
            .queue
            .next_batch(settings.batch_limit, self.slow_factor);
        self.record_load(settings, Instant::now());
        batch
    }

    pub(super) fn run(
        &mut self,
        settings: &EngineSettings,
        step: &EngineStep,
    ) -> Result<EngineOutput, UpstreamError> {
        self.check_step(step)?;
        let inputs = read_inputs(settings, step)?;
        let fold = ModelFold::new(&step.model, &step.version);
        let cache = self.caches.entry(step.request);
        let cache = cache.or_insert_with(|| RequestCache::new(step));
        cache.accept(step)?;
        let positions = (step.first_position.0..).map(Position);
        let outputs: Vec<u64> = positions
            .zip(inputs)
            .map(|(position, input)| cache.run(fold, step.layers, position, input))
            .collect();
        self.count_runs(settings, step);
        self.record_load(settings, Instant::now());
        Ok(write_output(settings, step, fold, &outputs))
    }

    fn check_step(&self, step: &EngineStep) -> Result<(), UpstreamError> {
        if self.released.get(&step.request) >= Some(&step.attempt) {
            return Err(refused("the attempt has been released"));
        }
        if step.positions == 0 || step.layers.is_empty() {
            return Err(refused("the step is empty"));
        }
        let is_held = self.loaded.iter().any(|held| {
            let is_version = held.model == step.model && held.version == step.version;
            is_version
                && held.layers.first <= step.layers.first
                && step.layers.end <= held.layers.end
        });
        if is_held {
            Ok(())
        } else {
            Err(refused("the layers are not loaded"))
        }
    }

    fn count_runs(&mut self, settings: &EngineSettings, step: &EngineStep) {
        self.total_runs += u64::from(step.positions) * u64::from(step.layers.len());
        if !settings.counts_runs {
            return;
        }
        let first = step.first_position.0;
        for position in (first..first + step.positions).map(Position) {
            for layer in step.layers.first..step.layers.end {
                *self
                    .runs
                    .entry((step.request, position, layer))
                    .or_default() += 1;
            }
        }
    }

    pub(super) fn release(&mut self, request: RequestId, attempt: Attempt) {
        let released = self.released.entry(request).or_default();
        *released = attempt.max(*released);
        if self
            .caches
            .get(&request)
            .is_some_and(|cache| cache.attempt() <= attempt)
        {
            self.caches.remove(&request);
        }
    }

    pub(super) fn export(&self, request: RequestId) -> Result<CacheExport, UpstreamError> {
        let cache = self.caches.get(&request);
        cache
            .ok_or_else(|| refused("the request has no KV cache"))?
            .export()
    }

    pub(super) fn import(
        &mut self,
        request: RequestId,
        attempt: Attempt,
        cache: &CacheExport,
    ) -> Result<(), UpstreamError> {
        let held = self.caches.get(&request).map(RequestCache::attempt);
        if held >= Some(attempt) || self.released.get(&request) >= Some(&attempt) {
            return Err(refused("an attempt that is as high has run"));
        }
        let imported = RequestCache::import(cache, attempt)?;
        self.caches.insert(request, imported);
        Ok(())
    }

    pub(super) fn load_report(&self, settings: &EngineSettings, now: Instant) -> LoadReport {
        self.loads.report(settings.load_report_lag, now)
    }

    pub(super) fn cache_events(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        self.prefixes.events_after(after, now)
    }

    pub(super) fn status(&self) -> EngineStatus {
        EngineStatus {
            fencing: self.fencing,
            loaded: self.loaded.clone(),
        }
    }

    pub(super) fn orders(&self) -> &[EngineOrder] {
        &self.orders
    }

    pub(super) fn live_requests(&self) -> usize {
        self.caches.len()
    }

    pub(super) fn runs(&self, request: RequestId, position: Position, layer: u32) -> u32 {
        let count = self.runs.get(&(request, position, layer));
        count.copied().unwrap_or(0)
    }

    pub(super) fn runs_of_request(&self, request: RequestId) -> u64 {
        let runs = self.runs.iter().filter(|((run, _, _), _)| *run == request);
        runs.map(|(_, count)| u64::from(*count)).sum()
    }

    pub(super) const fn total_runs(&self) -> u64 {
        self.total_runs
    }

    fn record_load(&mut self, settings: &EngineSettings, now: Instant) {
        let report = LoadReport {
            queued_steps: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            live_requests: u32::try_from(self.caches.len()).unwrap_or(u32::MAX),
            cache_use_permille: 0,
            age_ms: 0,
        };
        self.loads.record(report, settings.load_report_lag, now);
    }
}

/// Reads the input of each position of a step.
fn read_inputs(settings: &EngineSettings, step: &EngineStep) -> Result<Vec<u64>, UpstreamError> {
    let is_first = step.layers.first == 0;
    let position_bytes = if is_first {
        TOKEN_BYTES
    } else {
        settings.activation_bytes.max(MIN_ACTIVATION_BYTES)
    };
    if step.payload.len() != position_bytes * step.positions as usize {
        return Err(refused("the payload has another number of positions"));
    }
    let fold = ModelFold::new(&step.model, &step.version);
    let chunks = step.payload.chunks_exact(position_bytes);
    let inputs = chunks.map(|chunk| read_input(fold, is_first, chunk));
    Ok(inputs.collect())
}

fn read_input(fold: ModelFold, is_first: bool, chunk: &[u8]) -> u64 {
    let mut word = [0; MIN_ACTIVATION_BYTES];
    let used = chunk.len().min(MIN_ACTIVATION_BYTES);
    word[..used].copy_from_slice(&chunk[..used]);
    let value = u64::from_le_bytes(word);
    if is_first {
        fold.embed(u32::try_from(value).unwrap_or(u32::MAX))
    } else {
        value
    }
}

/// Writes activations, or after the model's last layer the next token.
fn write_output(
    settings: &EngineSettings,
    step: &EngineStep,
    fold: ModelFold,
    outputs: &[u64],
) -> EngineOutput {
    if step.is_last {
        let token = outputs.last().map_or(0, |output| fold.token(*output));
        let payload = Bytes::copy_from_slice(&token.to_le_bytes());
        return EngineOutput { payload };
    }
    let padding = settings
        .activation_bytes
        .saturating_sub(MIN_ACTIVATION_BYTES);
    let mut payload = BytesMut::with_capacity(outputs.len() * (MIN_ACTIVATION_BYTES + padding));
    for output in outputs {
        payload.put_u64_le(*output);
        payload.put_bytes(0, padding);
    }
    EngineOutput {
        payload: payload.freeze(),
    }
}
