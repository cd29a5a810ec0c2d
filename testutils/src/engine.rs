//! A model engine that computes a fold in place of a model.

mod batch;
mod http;
mod kv_cache;
mod load_report;
mod prefix_cache;
mod settings;
mod state;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use jujubewall_platform::weight_store::WeightStore;
use jujubewall_types::config::Assignment;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::Position;
use jujubewall_types::id::RequestId;
use jujubewall_upstream::engine::CacheEvent;
use jujubewall_upstream::engine::CacheExport;
use jujubewall_upstream::engine::Engine;
use jujubewall_upstream::engine::EngineAction;
use jujubewall_upstream::engine::EngineOrder;
use jujubewall_upstream::engine::EngineOutput;
use jujubewall_upstream::engine::EngineStatus;
use jujubewall_upstream::engine::EngineStep;
use jujubewall_upstream::engine::LoadReport;
use jujubewall_upstream::error::UpstreamError;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

pub use self::prefix_cache::PREFIX_BLOCK_POSITIONS;
pub use self::prefix_cache::prefix_hash;
pub use self::settings::EngineSettings;
pub use self::settings::MIN_ACTIVATION_BYTES;
use self::state::EngineState;

/// Whether an engine works.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Mode {
    #[default]
    Running,
    Frozen,
    Killed,
}

/// An engine in memory; clones share their state.
#[derive(Clone)]
pub struct FakeEngine {
    settings: Arc<EngineSettings>,
    weight_store: Option<Arc<dyn WeightStore>>,
    state: Arc<Mutex<EngineState>>,
    mode: Arc<watch::Sender<Mode>>,
}

impl FakeEngine {
    /// Creates an engine that holds nothing.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            settings: Arc::new(settings),
            weight_store: None,
            state: Arc::default(),
            mode: Arc::default(),
        }
    }

    /// Makes the engine load its weights from a store.
    #[must_use]
    pub fn with_weight_store(mut self, weight_store: Arc<dyn WeightStore>) -> Self {
        self.weight_store = Some(weight_store);
        self
    }

    /// Makes the engine hold an assignment without an order.
    pub fn hold(&self, assignment: Assignment) {
        self.state().load(assignment);
    }

    /// Ends the engine: it forgets everything and every call fails.
    pub fn kill(&self) {
        self.state().forget();
        self.mode.send_replace(Mode::Killed);
    }

    /// Starts a killed engine, which then holds nothing.
    pub fn restart(&self) {
        self.mode.send_replace(Mode::Running);
    }

    /// Makes every call hang until the engine is thawed.
    pub fn freeze(&self) {
        self.mode.send_replace(Mode::Frozen);
    }

    /// Lets calls that hang go on.
    pub fn thaw(&self) {
        self.mode.send_replace(Mode::Running);
    }

    /// Multiplies the time of each step by `factor`.
    pub fn set_slow_factor(&self, factor: f64) {
        self.state().slow_factor = factor;
    }

    /// Returns how often a layer ran at a position of a request.
    pub fn runs(&self, request: RequestId, position: Position, layer: u32) -> u32 {
        self.state().runs(request, position, layer)
    }

    /// Returns the number of layer runs of a request, over all positions.
    pub fn runs_of_request(&self, request: RequestId) -> u64 {
        self.state().runs_of_request(request)
    }

    /// Returns the number of layer runs since the engine was created.
    pub fn total_runs(&self) -> u64 {
        self.state().total_runs()
    }

    /// Returns the number of requests that have a KV cache.
    pub fn live_requests(&self) -> usize {
        self.state().live_requests()
    }

    /// Returns the assignments that are loaded.
    pub fn loaded(&self) -> Vec<Assignment> {
        self.state().status().loaded
    }

    /// Returns every order that has arrived, oldest first, also those that were refused.
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.state().orders().to_vec()
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while the engine is frozen and fails with `error` if it is killed.
    async fn wait_until_running(&self, error: UpstreamError) -> Result<(), UpstreamError> {
        let mut mode = self.mode.subscribe();
        let mode = mode.wait_for(|mode| *mode != Mode::Frozen).await;
        match mode.as_deref() {
            Ok(Mode::Running) => Ok(()),
            _ => Err(error),
        }
    }

    async fn arrive(&self) -> Result<(), UpstreamError> {
        let error = UpstreamError::NotSent("connection refused".into());
        self.wait_until_running(error).await
    }

    async fn reply(&self) -> Result<(), UpstreamError> {
        let error = UpstreamError::ReplyLost("connection reset".into());
        self.wait_until_running(error).await
    }

    /// Waits until a batch that holds the step has ended.
    async fn wait_for_batch(&self, step: &EngineStep) -> Result<(), UpstreamError> {
        let now = Instant::now();
        let duration = self.state().step_time(&self.settings, step, now);
        if duration.is_zero() {
            return Ok(());
        }
        let (done, must_start) = self.state().enqueue(&self.settings, step, duration, now);
        if must_start {
            tokio::spawn(self.clone().run_batches());
        }
        let done = done.await;
        done.map_err(|_| UpstreamError::ReplyLost("the batch was dropped".into()))
    }

    async fn run_batches(self) {
        loop {
            let batch = self.state().next_batch(&self.settings);
            let Some(batch) = batch else { return };
            sleep_until(batch.ends_at).await;
            batch.finish();
        }
    }

    async fn transfer_weights(&self, assignment: &Assignment) -> Result<(), UpstreamError> {
        if let Some(store) = &self.weight_store {
            let fetched = store.fetch(assignment).await;
            fetched.map_err(|error| UpstreamError::Refused(error.to_string()))?;
        }
        let duration: Duration = self.settings.load_layer * assignment.layers.len();
        if !duration.is_zero() {
            sleep(duration).await;
        }
        Ok(())
    }
}

#[async_trait]
impl Engine for FakeEngine {
    async fn run(&self, step: EngineStep) -> Result<EngineOutput, UpstreamError> {
        self.arrive().await?;
        self.wait_for_batch(&step).await?;
        self.reply().await?;
        self.state().run(&self.settings, &step)
    }

    async fn release(&self, request: RequestId, attempt: Attempt) -> Result<(), UpstreamError> {
        self.arrive().await?;
        self.state().release(request, attempt);
        Ok(())
    }

    async fn export_cache(&self, request: RequestId) -> Result<CacheExport, UpstreamError> {
        self.arrive().await?;
        self.state().export(request)
    }

    async fn import_cache(
        &self,
        request: RequestId,
        attempt: Attempt,
        cache: CacheExport,
    ) -> Result<(), UpstreamError> {
        self.arrive().await?;
        self.state().import(request, attempt, &cache)
    }

    async fn load(&self) -> Result<LoadReport, UpstreamError> {
        self.arrive().await?;
        Ok(self.state().load_report(&self.settings, Instant::now()))
    }

    async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, UpstreamError> {
        self.arrive().await?;
        Ok(self.state().cache_events(after, Instant::now()))
    }

    async fn status(&self) -> Result<EngineStatus, UpstreamError> {
        self.arrive().await?;
        Ok(self.state().status())
    }

    async fn order(&self, order: EngineOrder) -> Result<(), UpstreamError> {
        self.arrive().await?;
        self.state().check_order(&self.settings, &order)?;
        match order.action {
            EngineAction::Load(assignment) => {
                self.transfer_weights(&assignment).await?;
                self.reply().await?;
                self.state().load(assignment);
            }
            EngineAction::Drop(assignment) => self.state().unload(&assignment),
        }
        Ok(())
    }
}
